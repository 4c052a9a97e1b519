"""Queries over all shards: admission, timing, hedges, merge and answer."""
