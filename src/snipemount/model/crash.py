"""Crashes of servers, and the requests that they were running."""

from __future__ import annotations

import attrs


@attrs.frozen
class StrikeNotice:
    """A server was lost while it ran a request not known to be harmless.

    Parameters
    ----------
    notice_id : str
        The same for all requests that one crash has ended, and for each daemon that
        reports it; a notice that is received twice counts once.
    fingerprint : str
        Fingerprint of the request.
    server : str
        Name of the lost server.
    software : str
        Service and version that the server ran; empty if they make no difference.
    zone : str
        Availability zone of the daemon that found the crash; empty if it does not
        matter.
    """

    notice_id: str
    fingerprint: str
    server: str
    software: str = ""
    zone: str = ""


@attrs.frozen
class ReportedStrike:
    """A notice, and the time since the crash."""

    notice: StrikeNotice
    age_ms: float


@attrs.frozen
class ReportedAnswer:
    """A server has answered a request that others were lost to.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request.
    software : str
        Service and version of the server.
    age_ms : float
        Time since the answer.
    """

    fingerprint: str
    software: str
    age_ms: float


@attrs.frozen
class CrashReport:
    """What daemons tell each other of requests that servers were lost to."""

    strikes: tuple[ReportedStrike, ...] = ()
    answers: tuple[ReportedAnswer, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.strikes or self.answers)


__all__ = ["CrashReport", "ReportedAnswer", "ReportedStrike", "StrikeNotice"]
