"""Daemons and availability zones: membership, ownership, relays, shared limits."""
