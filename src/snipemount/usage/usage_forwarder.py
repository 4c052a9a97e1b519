"""Passes the counts of this daemon on to its collector."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.relay import RelayUsage

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ports.relay import RelayPort
    from ..timers import TimerService
    from .usage_collector import UsageCollector
    from .usage_counter import UsageCounter
    from .wall_clock import WallClock

FORWARD_PERIOD_MS = 500.0


class UsageForwarder:
    """Sends changed windows to the relay, or collects them here if there is none.

    Parameters
    ----------
    daemon : str
        Name of this daemon.
    run : str
        Random id of this process.
    counter : UsageCounter
        Counts of this process.
    collector : UsageCollector
        Receives them while this daemon follows the store itself.
    clock : WallClock
        True time.
    relay : RelayPort
        Sends them to the daemon that is followed.
    followed_since_ms : Callable
        Returns the time since which a daemon is followed; None if none is.
    """

    def __init__(
        self,
        daemon: str,
        run: str,
        counter: UsageCounter,
        collector: UsageCollector,
        clock: WallClock,
        relay: RelayPort,
        followed_since_ms: Callable[[], float | None],
    ) -> None:
        self._daemon = daemon
        self._run = run
        self._counter = counter
        self._collector = collector
        self._clock = clock
        self._relay = relay
        self._followed_since_ms = followed_since_ms
        self._sent_to_ms: float | None = None

    def start(self, timers: TimerService) -> None:
        """Forward the counts periodically."""
        timers.call_every(FORWARD_PERIOD_MS, self.forward)

    def forward(self) -> None:
        """Pass on what has changed; all kept windows if the collector has changed."""
        self._counter.advance(self._clock.now_ms())
        followed_since_ms = self._followed_since_ms()
        if followed_since_ms != self._sent_to_ms:
            self._sent_to_ms = followed_since_ms
            self._counter.mark_unsent()
        for counts in self._counter.take_changed():
            usage = RelayUsage(
                self._daemon,
                self._run,
                counts.window,
                counts.closed,
                tuple(counts.counts.items()),
            )
            if followed_since_ms is None:
                self._collector.add(usage)
            else:
                self._relay.report(usage)
        self._collector.check(followed_since_ms is None)

    def finish(self) -> None:
        """Pass on the last counts, as this process counts no more."""
        self._counter.close_all()
        self.forward()


__all__ = ["FORWARD_PERIOD_MS", "UsageForwarder"]
