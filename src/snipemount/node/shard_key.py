"""Mapping of a caller's shard key to the shard that holds it."""

from __future__ import annotations

import hashlib


def shard_of(shard_key: str, shard_count: int) -> int:
    """Return the shard, from 0 to `shard_count` - 1, that holds `shard_key`."""
    digest = hashlib.blake2b(shard_key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % shard_count


__all__ = ["shard_of"]
