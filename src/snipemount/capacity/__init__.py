"""Learnt capacity of leafs, and placement by expected finish time."""
