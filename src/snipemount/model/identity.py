"""Organisations that share a deployment, and whom a request belongs to."""

from __future__ import annotations

import attrs


@attrs.frozen
class Organisation:
    """An organisation whose callers send its API keys.

    Parameters
    ----------
    name : str
        Name, unique in a configuration; leafs are told it.
    api_keys : frozenset of str
        Keys of its callers; none when all were withdrawn.
    priority : int or None
        Priority of its requests, 0 is the most urgent; None for the route's.
    """

    name: str
    api_keys: frozenset[str] = attrs.field(repr=False)
    priority: int | None = None


@attrs.frozen
class Unchecked:
    """The configuration has no organisations: callers need no key."""


@attrs.frozen
class Anonymous:
    """The route is public, and the request has no valid key."""


@attrs.frozen
class OfOrganisation:
    """The request bears a key of an organisation.

    Parameters
    ----------
    name : str
        Name of the organisation.
    priority : int or None
        Priority of its requests; None for the route's.
    """

    name: str
    priority: int | None = None


CallerIdentity = Unchecked | Anonymous | OfOrganisation

__all__ = [
    "Anonymous",
    "CallerIdentity",
    "OfOrganisation",
    "Organisation",
    "Unchecked",
]
