"""Estimates and buckets that other decisions are built from."""
