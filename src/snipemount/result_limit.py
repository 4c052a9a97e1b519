"""Limit on the time of a call to the store, whose result may never come."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .ports.platform import Failed

if TYPE_CHECKING:
    from collections.abc import Callable

    from .timers import TimerService


def limited(
    timers: TimerService, limit_ms: float, done: Callable[[Any], None]
) -> Callable[[Any], None]:
    """Return a receiver that passes on one result, or `Failed` at the limit.

    A result is lost when the client of the store fails unexpectedly; what waits for it
    would wait for ever.

    Parameters
    ----------
    timers : TimerService
        Timer of the limit.
    limit_ms : float
        Running time until the call counts as failed; a later result is ignored.
    done : Callable
        Called once.
    """
    is_pending = True

    def receive(result: Any) -> None:
        nonlocal is_pending
        if is_pending:
            is_pending = False
            limit.cancel()
            done(result)

    limit = timers.call_later(limit_ms, lambda: receive(Failed("no result")))
    return receive


__all__ = ["limited"]
