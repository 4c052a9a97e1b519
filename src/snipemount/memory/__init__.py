"""Bounds on the memory of a process."""
