"""Graceful stop of the caller interface within the platform's grace period."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from structlog.typing import FilteringBoundLogger

    from ..timers import LoopTimers
    from .caller_server import CallerServer

# Time in which the balancer stops sending callers: two failed readiness checks and
# the requests that are then still in transit.
BALANCER_REMOVAL_MS = 2500.0
# After it, for callers that still use an open connection.
LAST_REQUESTS_MS = 500.0
# End of the grace period that is kept free to close everything before the kill.
CLOSE_RESERVE_MS = 600.0
LAST_ANSWERS_MS = 100.0  # for answers to be written that end pending requests
MAX_SERVING_SHARE = 0.5  # of the grace period, in which new requests are served


@attrs.frozen
class StopTimes:
    """Times of a stop, counted from the signal.

    Parameters
    ----------
    removal_ms : float
        Until then the balancer may send new callers.
    refuse_ms : float
        From then on new requests are refused: they might not end in time.
    end_ms : float
        Time at which pending requests are ended.
    """

    removal_ms: float
    refuse_ms: float
    end_ms: float

    @classmethod
    def for_grace(cls, grace_ms: float) -> StopTimes:
        """Return the times for a grace period, in milliseconds."""
        latest_ms = MAX_SERVING_SHARE * grace_ms
        return cls(
            min(BALANCER_REMOVAL_MS, latest_ms),
            min(BALANCER_REMOVAL_MS + LAST_REQUESTS_MS, latest_ms),
            grace_ms - CLOSE_RESERVE_MS,
        )


async def stop_serving(
    server: CallerServer,
    close_listener: Callable[[], None],
    timers: LoopTimers,
    times: StopTimes,
    logger: FilteringBoundLogger,
) -> None:
    """Serve what has been read, refuse what comes late, and end what is left.

    Each request that is read gets an answer: its own; a refusal, once it might not end
    within the grace period; or, at its end, the failure that states that it may have
    run.

    Parameters
    ----------
    server : CallerServer
        Server to stop; its responses ask callers to close their connections.
    close_listener : Callable
        Stops to accept connections.
    timers : LoopTimers
        Clock and timers.
    times : StopTimes
        Times of the steps.
    logger : FilteringBoundLogger
        Receives start and end, and the number of requests that were ended.
    """
    started_ms = timers.now_ms()
    end_ms = started_ms + times.end_ms
    server.closing = True
    logger.info("stopping", in_flight=server.in_flight)
    await timers.sleep(times.removal_ms)
    if not await server.wait_until_idle(timers, started_ms + times.refuse_ms):
        server.start_refusing()
        await server.wait_until_idle(timers, end_ms)
    # The listener closes only when no request runs, so that a request that
    # arrives at this moment meets the close before any of it has been read.
    close_listener()
    server.close_idle()
    await server.wait_until_idle(timers, end_ms)
    server.start_refusing()
    ended = server.fail_pending()
    if ended:
        logger.warning("requests_ended_by_stop", count=ended)
        await server.wait_until_idle(timers, timers.now_ms() + LAST_ANSWERS_MS)
    logger.info("stopped", in_flight=server.in_flight)


__all__ = ["StopTimes", "stop_serving"]
