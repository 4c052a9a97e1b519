"""Lease of a duty, kept in the platform's store."""

from __future__ import annotations

from collections import deque
from copy import deepcopy
from typing import TYPE_CHECKING, Any

from ..ports.platform import Kind
from ..result_limit import limited
from .election import LeaseElection
from .events import (
    EndSave,
    NotifyAcquired,
    NotifyLost,
    ReadEnded,
    ReportStoodBack,
    ReportUnreadable,
    Save,
    SaveRequested,
    SendRead,
    SendWrite,
    StandBackRequested,
    StopRequested,
    Woken,
    WriteEnded,
)
from .record import MAX_LEASE_MS

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from structlog.typing import FilteringBoundLogger

    from ..ports.platform import PlatformPort
    from ..timers import Timer, TimerService
    from .events import Action, Event
    from .observer import LeaseObserver

# Shortest delay until a future time, so that rounding cannot make a timer fire for ever
# just before it.
MIN_DELAY_MS = 1.0
# Of running time, until a call without a result counts as failed: beyond the timeout of
# any call that is useful for a lease.
MAX_CALL_LEASES = 2


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

    Raises
    ------
    ValueError
        When `lease_ms` is not positive, or longer than other daemons believe.
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
        if not 0 < lease_ms <= MAX_LEASE_MS:
            raise ValueError(f"lease_ms of {name} is {lease_ms}, not 1..{MAX_LEASE_MS}")
        self._platform = platform
        self._timers = timers
        self._name = name
        self._daemon = daemon
        self._lease_ms = lease_ms
        self._may_stand = may_stand
        self._observer = observer
        self._random = random
        self._logger = logger.bind(duty=name)
        self._election: LeaseElection | None = None
        self._timer: Timer | None = None
        self._events: deque[tuple[LeaseElection, Event]] = deque()
        self._is_handling = False

    def start(self) -> None:
        """Become a candidate, as a new process; do nothing when it was started."""
        if self._election is not None:
            return
        run = f"{self._random.getrandbits(64):016x}"
        self._election = LeaseElection(
            self._daemon, run, self._lease_ms, self._random, self._timers.boot_ms()
        )
        self._handle(Woken())

    def stop(self) -> None:
        """End everything at once.

        No call to the store follows, and the result of a pending one is ignored. A held
        lease is lost (`on_lost` is called), and saves end unconfirmed.
        """
        election, self._election = self._election, None
        if election is not None:
            self._apply(election, StopRequested())

    @property
    def is_held(self) -> bool:
        """Whether this daemon holds the lease and it is valid now."""
        return self.remaining_ms() > 0

    @property
    def fence(self) -> int:
        """Fencing token of the holder; 0 while the lease is not held."""
        return self._election.fence(self._timers.boot_ms()) if self._election else 0

    def remaining_ms(self) -> float:
        """Return for how long the lease is still valid; 0 while it is not held."""
        if self._election is None:
            return 0.0
        return self._election.remaining_ms(self._timers.boot_ms())

    def save(self, checkpoint: dict[str, Any], done: Callable[[bool], None]) -> None:
        """Store a checkpoint of the duty with a renewal, which is sent at once.

        After a failed call it is stored with the next renewal.

        Parameters
        ----------
        checkpoint : dict
            JSON document for this holder and the next one.
        done : Callable
            Called once: with True when the checkpoint is in the store for certain and
            the lease still held; with False when the lease is lost, or a later save
            replaced this one. It may be stored even then.
        """
        save = Save(deepcopy(checkpoint), done)
        if self._election is None:
            self._perform(EndSave(save, False))
            return
        self._handle(SaveRequested(save))

    def stand_back(self, reason: str) -> None:
        """Give up the lease, and be no candidate for two lease times."""
        if self._election is not None:
            self._handle(StandBackRequested(reason))

    def _handle(self, event: Event) -> None:
        """Handle an event, after those that are being handled now."""
        if self._election is None:
            return
        self._events.append((self._election, event))
        if not self._is_handling:
            self._handle_queued()

    def _handle_queued(self) -> None:
        self._is_handling = True
        try:
            while self._events:
                election, event = self._events.popleft()
                if election is self._election:
                    self._apply(election, event)
                elif isinstance(event, SaveRequested):
                    self._perform(EndSave(event.save, False))
        finally:
            self._is_handling = False
            if self._events:  # the observer raised an error
                self._timers.call_soon(self._handle_queued)

    def _apply(self, election: LeaseElection, event: Event) -> None:
        actions = election.handle(event, self._may_stand(), self._timers.boot_ms())
        self._schedule(election)
        for action in actions:
            self._perform(action)

    def _schedule(self, election: LeaseElection) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if election.wake_ms is None:
            return
        delay_ms = election.wake_ms - self._timers.boot_ms()
        if delay_ms > 0:
            delay_ms = max(MIN_DELAY_MS, delay_ms)
        self._timer = self._timers.call_later(delay_ms, lambda: self._handle(Woken()))

    def _perform(self, action: Action) -> None:
        match action:
            case SendRead():
                self._platform.read(
                    Kind.DUTY_LEASE, self._name, self._receiver(ReadEnded)
                )
            case SendWrite(spec, version):
                self._platform.write(
                    Kind.DUTY_LEASE,
                    self._name,
                    spec,
                    version,
                    self._receiver(WriteEnded),
                )
            case NotifyAcquired(fence, checkpoint):
                self._logger.info("duty_acquired", fence=fence)
                self._observer.on_acquired(fence, deepcopy(checkpoint))
            case NotifyLost(fence, reason):
                self._logger.info("duty_lost", fence=fence, reason=reason)
                self._observer.on_lost()
            case EndSave(save, confirmed):
                save.done(confirmed)
            case ReportStoodBack(reason):
                self._logger.info("duty_stood_back", reason=reason)
            case ReportUnreadable(version):
                self._logger.warning("duty_lease_unreadable", version=version.number)

    def _receiver(self, event_type: Callable[[Any], Event]) -> Callable[[Any], None]:
        """Return a receiver of a call's only result; after a stop it does nothing."""
        election = self._election

        def receive(result: Any) -> None:
            if self._election is election:
                self._handle(event_type(result))

        return limited(self._timers, MAX_CALL_LEASES * self._lease_ms, receive)


__all__ = ["DutyLease"]
