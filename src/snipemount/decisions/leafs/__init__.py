"""Leafs: directory, state of each, limits and choice for an attempt."""
