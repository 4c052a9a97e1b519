"""Admission of requests whose fingerprint has not been proven harmless."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..decisions.requests.quarantine import Quarantine
    from .jobs import Job

MAX_PROVEN_REQUESTS = 20_000


@attrs.frozen
class Admitted:
    """The request may run.

    Parameters
    ----------
    max_servers : int
        Servers that it may be sent to until it is proven; 0 for no limit.
    """

    max_servers: int


@attrs.frozen
class Quarantined:
    """The request has crashed too many servers and must not run."""


@attrs.frozen
class WaitsForProof:
    """The request waits until another one with its fingerprint is proven or ends."""


Admission = Admitted | Quarantined | WaitsForProof


class ProofGate:
    """Lets one request of each unproven fingerprint run at a time.

    A request is proven once a server has answered it, and is then known not to crash
    servers of that version.

    Parameters
    ----------
    quarantine : Quarantine
        Decides which requests may run, after crashes of servers.
    """

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine
        self._waiting: dict[str, list[Job]] = {}
        self._proven: OrderedDict[str, None] = OrderedDict()

    def admit(
        self, job: Job, version: str, proving_servers: int, now_ms: float
    ) -> Admission:
        """Decide whether a request may run on a version now.

        Parameters
        ----------
        job : Job
            The request.
        version : str
            Version that it would run on.
        proving_servers : int
            Servers that an unproven request may be sent to; 0 for no limit.
        now_ms : float
            Current time.
        """
        fingerprint = job.request.fingerprint
        strikes_left = self._quarantine.strikes_until_quarantine(fingerprint, now_ms)
        if strikes_left == 0:
            return Quarantined()
        if proving_servers == 0 or self.is_proven(fingerprint, version):
            return Admitted(0)
        waiting = self._waiting.get(fingerprint)
        if waiting is not None and not job.proving:
            waiting.append(job)
            return WaitsForProof()
        self._waiting.setdefault(fingerprint, [])
        job.proving = True
        return Admitted(min(strikes_left, proving_servers))

    def mark_proven(self, fingerprint: str, version: str) -> None:
        """Record that a server has answered a request with this fingerprint."""
        self._proven[f"{fingerprint}/{version}"] = None
        if len(self._proven) > MAX_PROVEN_REQUESTS:
            self._proven.popitem(last=False)

    def is_proven(self, fingerprint: str, version: str) -> bool:
        """Return whether a server of a version has answered the request."""
        return f"{fingerprint}/{version}" in self._proven

    def release(self, job: Job) -> list[Job]:
        """Return the requests that waited until this one was proven or has ended."""
        if not job.proving:
            return []
        job.proving = False
        return self._waiting.pop(job.request.fingerprint, [])


__all__ = ["Admission", "Admitted", "ProofGate", "Quarantined", "WaitsForProof"]
