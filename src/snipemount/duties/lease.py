"""Lease of a duty, kept in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from structlog.typing import FilteringBoundLogger

    from ..ports.platform import PlatformPort
    from ..timers import TimerService
    from .observer import LeaseObserver


class DutyLease:
    """Lease of one duty, which at most one daemon of the fleet holds at any moment.

    Parameters
    ----------
    platform : PlatformPort
        The store.
    timers : TimerService
        Timers and clock of the process.
    name : str
        Name of the duty.
    daemon : str
        Name of this daemon.
    lease_ms : int
        Time for which the lease is valid after the start of a confirmed write.
    may_stand : Callable
        Returns whether this daemon is a candidate now. A holder stays holder if not.
    observer : LeaseObserver
        Performs the duty.
    random : Random
        Generator for the id of the process and the jitter.
    logger : FilteringBoundLogger
        Receives acquisitions and losses.
    """

    def __init__(
        self,
        platform: PlatformPort,
        timers: TimerService,
        name: str,
        daemon: str,
        lease_ms: int,
        may_stand: Callable[[], bool],
        observer: LeaseObserver,
        random: Random,
        logger: FilteringBoundLogger,
    ) -> None:
        self._platform = platform
        self._timers = timers
        self._name = name
        self._daemon = daemon
        self._lease_ms = lease_ms
        self._may_stand = may_stand
        self._observer = observer
        self._random = random
        self._logger = logger

    def start(self) -> None:
        """Become a candidate."""

    def stop(self) -> None:
        """End everything at once; a held lease is lost, and saves end unconfirmed."""

    @property
    def is_held(self) -> bool:
        """Whether this daemon holds the lease and it is valid now."""
        return self.remaining_ms() > 0

    @property
    def fence(self) -> int:
        """Fencing token of the holder; 0 while the lease is not held."""
        return 0

    def remaining_ms(self) -> float:
        """Return for how long the lease is still valid; 0 while it is not held."""
        return 0.0

    def save(self, checkpoint: dict[str, Any], done: Callable[[bool], None]) -> None:
        """Store a checkpoint of the duty with the next renewal, sent at once.

        Parameters
        ----------
        checkpoint : dict
            JSON document for this holder and the next one.
        done : Callable
            Called once: with True when the checkpoint is in the store for certain and
            the lease still held; with False when the lease is lost, or a later save
            replaced this one. It may be stored even then.
        """

    def stand_back(self, reason: str) -> None:
        """Give up the lease, and be no candidate for two lease times."""


__all__ = ["DutyLease"]
