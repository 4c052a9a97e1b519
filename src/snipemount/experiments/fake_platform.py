"""In-memory fake of the platform port, with injected faults, in virtual time."""

from __future__ import annotations

from collections import deque
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, TypeVar

import attrs

from ..decisions.fleet.state_age import MAX_WATCH_WAIT_MS
from ..decisions.fleet.store_era import (
    EarlierAnswer,
    EraTracker,
    FirstOfEra,
    checked_write,
)
from ..ports.platform import (
    Confirmed,
    Conflicted,
    Expired,
    Failed,
    Kind,
    PlatformPort,
    Watch,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ..decisions.fleet.store_era import AnswerEra
    from ..model.store_version import StoreVersion
    from ..ports.platform import ListResult, ReadResult, WatchEvent, WriteResult
    from ..standins.object_store import LogEntry, ObjectStore
    from ..timers import TimerService

T = TypeVar("T")
PLATFORM_LATENCY_MS = 2.0
PLATFORM_TIMEOUT_MS = 1000.0
MIN_CONFIRMATION_MS = 200.0
STALE_COPY_PERIOD_MS = 50.0


@attrs.define
class PlatformFaults:
    """Injected faults of the platform, shared by all daemons.

    Parameters
    ----------
    down : bool
        Whether calls fail after a timeout without taking effect.
    lose_replies : int
        Number of writes still to come whose replies are lost although they take
        effect.
    added_latency_ms : float
        Latency added to each call in each direction.
    stale_reads : StaleReads or None
        State returned by reads that may be stale; None while those are current.
    """

    down: bool = False
    lose_replies: int = 0
    added_latency_ms: float = 0.0
    stale_reads: StaleReads | None = None


class StaleReads:
    """Past states of a store, from which reads that may be stale are answered.

    Parameters
    ----------
    store : ObjectStore
        The store to copy periodically.
    timers : TimerService
        Timers of the copies.
    behind_ms : float
        Age of the state that is read.
    """

    def __init__(
        self, store: ObjectStore, timers: TimerService, behind_ms: float
    ) -> None:
        self._store = store
        self._timers = timers
        self._behind_ms = behind_ms
        self._copies: deque[tuple[float, ObjectStore]] = deque()
        self._copy()
        timers.call_every(STALE_COPY_PERIOD_MS, self._copy)

    def _copy(self) -> None:
        now_ms = self._timers.now_ms()
        self._copies.append((now_ms, self._store.copy()))
        while len(self._copies) > 1 and now_ms - self._copies[1][0] >= self._behind_ms:
            self._copies.popleft()

    @property
    def state(self) -> ObjectStore:
        """The state that is read now."""
        return self._copies[0][1]


class FakePlatform(PlatformPort):
    """One daemon's port to the object store.

    Parameters
    ----------
    store : ObjectStore
        Object store, shared by all daemons.
    timers : TimerService
        Timers of the daemon's process.
    faults : PlatformFaults
        Injected faults, shared by all daemons.
    watch_wait_ms : mapping of Kind to float
        Longest wait of a watch of a kind; `MAX_WATCH_WAIT_MS` for others.

    Attributes
    ----------
    cut_off : bool
        Whether the platform is down for this daemon alone.
    """

    def __init__(
        self,
        store: ObjectStore,
        timers: TimerService,
        faults: PlatformFaults,
        watch_wait_ms: Mapping[Kind, float] = MappingProxyType({}),
    ) -> None:
        self._store = store
        self._timers = timers
        self._faults = faults
        self._watch_wait_ms = watch_wait_ms
        self.cut_off = False
        self._eras = EraTracker()
        self._era_observers: list[Callable[[int, int], None]] = []

    def subscribe_era(self, on_era: Callable[[int, int], None]) -> None:
        """Call back when an answer is the first of an era of the store."""
        self._era_observers.append(on_era)

    @property
    def _down(self) -> bool:
        return self._faults.down or self.cut_off

    def read(self, kind: Kind, name: str, done: Callable[[ReadResult], None]) -> None:
        """Read one object."""
        self._call(lambda: self._store.read(kind, name), done)

    def list_all(
        self,
        kind: Kind,
        done: Callable[[ListResult], None],
        may_be_stale: bool = False,
    ) -> None:
        """Read all objects of a kind."""
        stale_reads = self._faults.stale_reads if may_be_stale else None
        self._call(
            lambda: (stale_reads.state if stale_reads else self._store).list_all(kind),
            done,
        )

    def write_status(
        self,
        kind: Kind,
        name: str,
        status: dict[str, Any],
        version: StoreVersion,
        done: Callable[[WriteResult], None],
    ) -> None:
        """Replace the status of an object."""
        if version.era < self._eras.era:
            self._timers.call_soon(lambda: done(Conflicted()))
            return
        self._call(lambda: self._store.write_status(kind, name, status, version), done)

    def write(
        self,
        kind: Kind,
        name: str,
        spec: dict[str, Any],
        version: StoreVersion | None,
        done: Callable[[WriteResult], None],
    ) -> None:
        """Create or replace an object; its reply is lost while that fault is set."""
        if version is not None and version.era < self._eras.era:
            self._timers.call_soon(lambda: done(Conflicted()))
            return

        def write_and_reply() -> WriteResult:
            result: WriteResult = self._store.write(kind, name, spec, version)
            if self._faults.lose_replies > 0:
                self._faults.lose_replies -= 1
                return Failed("the reply to the write was lost")
            return result if version is None else checked_write(result, version)

        self._call(write_and_reply, done)

    def watch(
        self,
        kind: Kind,
        version: StoreVersion,
        on_event: Callable[[WatchEvent], None],
        state_age_ms: float = 0.0,
    ) -> Watch:
        """Report each change after `version` until cancelled.

        `on_event` gets `Expired` if the store does not have these changes, and
        `Failed` if the platform is down at the start or at a later change; either
        ends the watch. While the platform is up, `on_event` also gets the version
        of the store after each change and at a fixed period.
        """

        def end_if_returned() -> bool:
            if self._store.era == version.era:
                return False
            stop()
            on_event(Expired())
            self._note_era(self._eras.era)
            return True

        def forward(entry: LogEntry) -> None:
            if not self._down and end_if_returned():
                return
            if self._down:
                confirmations.cancel()
                self._store.unsubscribe(subscription)
                self._timers.call_soon(
                    lambda: on_event(Failed("the watch ended: the platform is down"))
                )
                return
            self._timers.call_later(PLATFORM_LATENCY_MS, lambda: on_event(entry))
            confirmed = Confirmed(self._store.version)
            self._timers.call_later(PLATFORM_LATENCY_MS, lambda: on_event(confirmed))

        def confirm() -> None:
            if not self._down and not end_if_returned():
                on_event(Confirmed(self._store.version))
                self._note_era(self._eras.era)

        missed = None
        if self._store.era == version.era:
            missed = self._store.changes_since(kind, version)
        subscription = self._store.subscribe(kind, forward)
        if missed is None or self._down:
            self._store.unsubscribe(subscription)
            event = Failed("the platform is down") if self._down else Expired()
            refusal = self._timers.call_later(
                PLATFORM_LATENCY_MS, lambda: self._refuse_watch(event, on_event)
            )
            return Watch(refusal.cancel)
        wait_ms = self._watch_wait_ms.get(kind, MAX_WATCH_WAIT_MS)
        confirmations = self._timers.call_every(wait_ms, confirm)
        least_ms = MIN_CONFIRMATION_MS if state_age_ms <= wait_ms else 0.0
        first_ms = max(PLATFORM_LATENCY_MS + least_ms, wait_ms - state_age_ms)
        first = self._timers.call_later(first_ms, confirm)
        for entry in missed:
            forward(entry)

        def stop() -> None:
            first.cancel()
            confirmations.cancel()
            self._store.unsubscribe(subscription)

        return Watch(stop)

    def _call(
        self, operation: Callable[[], T], done: Callable[[T | Failed], None]
    ) -> None:
        one_way_ms = PLATFORM_LATENCY_MS / 2 + self._faults.added_latency_ms

        def arrive() -> None:
            if self._down:
                wait_ms = PLATFORM_TIMEOUT_MS
                self._timers.call_later(
                    wait_ms,
                    lambda: done(Failed("no response from the platform: timeout")),
                )
                return
            result, era = operation(), self._store.era
            self._timers.call_later(one_way_ms, lambda: answer(result, era))

        def answer(result: T, era: int) -> None:
            known = self._eras.answered(era, era_at_call)
            if isinstance(known, EarlierAnswer):
                done(Failed("an answer from before the return of the store"))
                return
            done(result)
            self._announce(known)

        era_at_call = self._eras.era
        self._timers.call_later(one_way_ms, arrive)

    def _refuse_watch(
        self, event: Failed | Expired, on_event: Callable[[WatchEvent], None]
    ) -> None:
        on_event(event)
        if isinstance(event, Expired):
            self._note_era(self._eras.era)

    def _note_era(self, era_at_call: int) -> None:
        """Apply the era that an answer of this moment states."""
        self._announce(self._eras.answered(self._store.era, era_at_call))

    def _announce(self, answer: AnswerEra) -> None:
        if isinstance(answer, FirstOfEra):
            for on_era in self._era_observers:
                on_era(answer.era, answer.before)


__all__ = ["FakePlatform", "PlatformFaults", "StaleReads"]
