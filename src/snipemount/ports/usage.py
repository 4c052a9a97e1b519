"""Interface to the service that takes the usage reports."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

# Statuses of HTTP.
TOO_MANY_REQUESTS = 429
SERVER_ERRORS = 500  # and above


@attrs.frozen
class ReportAccepted:
    """The report was taken."""


@attrs.frozen
class ReportRejected:
    """The service has responded with an error.

    Parameters
    ----------
    status : int
        HTTP status code.
    retry_after_ms : float
        Time for which it wants no further call; 0 if it states none.
    """

    status: int
    retry_after_ms: float = 0.0

    @property
    def concerns_all(self) -> bool:
        """Whether another daemon would get the same response.

        So it is when calls are too many or the service has a fault, but not when it
        does not take the holder's name or fencing token.
        """
        return self.status == TOO_MANY_REQUESTS or self.status >= SERVER_ERRORS


@attrs.frozen
class ReportUnanswered:
    """There was no response in time; the report may have been taken."""

    detail: str


ReportResult = ReportAccepted | ReportRejected | ReportUnanswered


class UsageCall(ABC):
    """A call that is pending."""

    @abstractmethod
    def cancel(self) -> None:
        """Abort the call; its `done` callback is not called any more."""


class UsagePort(ABC):
    """Sends usage reports."""

    @abstractmethod
    def send(
        self,
        holder: str,
        fence: int,
        window: int,
        counts: Mapping[str, int],
        timeout_ms: float,
        done: Callable[[ReportResult], None],
    ) -> UsageCall:
        """Send the report of a window.

        Parameters
        ----------
        holder : str
            Name of the daemon that holds the duty.
        fence : int
            Fencing token of its lease.
        window : int
            Number of the window.
        counts : mapping of str to int
            Requests by organisation.
        timeout_ms : float
            Time after which the call is aborted.
        done : Callable
            Called with the result, never before this method returns.
        """


__all__ = [
    "ReportAccepted",
    "ReportRejected",
    "ReportResult",
    "ReportUnanswered",
    "UsageCall",
    "UsagePort",
]
