"""Leafs in the platform's directory, and orders to move their versions."""

from __future__ import annotations

import attrs


@attrs.frozen
class Leaf:
    """One instance of a leaf: a leaf process from its start to its end.

    Parameters
    ----------
    leaf_id : str
        Id of the leaf. A restarted leaf may keep it.
    service : str
        Name of the service that it belongs to.
    host : str
        IP address.
    port : int
        TCP port.
    zone : str
        Availability zone.
    version : str
        Software version.
    slots : int
        Maximum number of requests that it runs at the same time.
    draining : bool
        Whether it is draining and must get no new work.
    cold_ms : float
        Time that it stays cold, counted from the writing of the directory entry; 0
        when it is warm.
    started_wall_ms : float
        Wall-clock time of the start; distinguishes the instances that use the same
        id one after the other.
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
    def incarnation(self) -> tuple[str, float]:
        """Identity of the instance: leaf id and start time."""
        return self.leaf_id, self.started_wall_ms

    @property
    def software(self) -> str:
        """Service and version, which tell what a request is run by."""
        return f"{self.service}/{self.version}"


@attrs.frozen
class VersionOrder:
    """The operators' order to move a service to another version.

    Parameters
    ----------
    service : str
        Name of the service to move.
    to_version : str
        Version that gets all traffic at the end of the move.
    duration_ms : float
        Time within which the move has to be complete.
    revision : int
        Store version at which the order was created.
    status : str
        Status of the move that a daemon wrote last; empty while there is none.
    """

    service: str
    to_version: str
    duration_ms: float
    revision: int
    status: str


__all__ = ["Leaf", "VersionOrder"]
