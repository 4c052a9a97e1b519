"""Leafs as the platform's directory lists them, and what operators order."""

from __future__ import annotations

import attrs


@attrs.frozen
class Leaf:
    """One start of a leaf process.

    Parameters
    ----------
    leaf_id : str
        Id under which it answers; a restart may keep it.
    service : str
        Service it belongs to.
    host : str
        IP number.
    port : int
        TCP port.
    zone : str
        Availability zone.
    version : str
        Version of its software.
    slots : int
        Requests that it runs at the same time.
    draining : bool
        Whether it is leaving and wants no new work.
    cold_ms : float
        How much longer it was cold when the entry was written.
    started_wall_ms : float
        Wall-clock time of its start; tells two starts under one id apart.
    """

    leaf_id: str
    service: str
    host: str
    port: int
    zone: str
    version: str
    slots: int
    draining: bool
    cold_ms: float
    started_wall_ms: float

    @property
    def start_key(self) -> tuple[str, float]:
        """Identity of this start."""
        return self.leaf_id, self.started_wall_ms


@attrs.frozen
class VersionOrder:
    """The operators' order to move a service to another version.

    Parameters
    ----------
    service : str
        Service to move.
    to_version : str
        Version that is to carry the traffic.
    duration_ms : float
        Time within which the move is to be done.
    revision : int
        Revision of the stored order when it was created.
    status : str
        Last status written by a daemon; empty before the first.
    """

    service: str
    to_version: str
    duration_ms: float
    revision: int
    status: str


__all__ = ["Leaf", "VersionOrder"]
