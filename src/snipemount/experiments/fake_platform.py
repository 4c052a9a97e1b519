"""In-memory fake of the platform port, with injected faults, in virtual time."""

from __future__ import annotations

from collections import deque
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, TypeVar

import attrs

from ..decisions.fleet.state_age import MAX_WATCH_WAIT_MS
from ..ports.platform import Confirmed, Expired, Failed, Kind, PlatformPort, Watch

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

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
        version: int,
        done: Callable[[WriteResult], None],
    ) -> None:
        """Replace the status of an object."""
        self._call(lambda: self._store.write_status(kind, name, status, version), done)

    def write(
        self,
        kind: Kind,
        name: str,
        spec: dict[str, Any],
        version: int | None,
        done: Callable[[WriteResult], None],
    ) -> None:
        """Create or replace an object; its reply is lost while that fault is set."""

        def write_and_reply() -> WriteResult:
            result: WriteResult = self._store.write(kind, name, spec, version)
            if self._faults.lose_replies > 0:
                self._faults.lose_replies -= 1
                return Failed("the reply to the write was lost")
            return result

        self._call(write_and_reply, done)

    def watch(
        self,
        kind: Kind,
        version: int,
        on_event: Callable[[WatchEvent], None],
        state_age_ms: float = 0.0,
    ) -> Watch:
        """Report each change after `version` until cancelled.

        `on_event` gets `Expired` if the store no longer has these changes, and
        `Failed` if the platform is down at the start or at a later change; either
        ends the watch. While the platform is up, `on_event` also gets the version
        of the store after each change and at a fixed period.
        """

        def forward(entry: LogEntry) -> None:
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
            if not self._down:
                on_event(Confirmed(self._store.version))

        missed = self._store.changes_since(kind, version)
        subscription = self._store.subscribe(kind, forward)
        if missed is None or self._down:
            self._store.unsubscribe(subscription)
            event = Failed("the platform is down") if self._down else Expired()
            self._timers.call_later(PLATFORM_LATENCY_MS, lambda: on_event(event))
            return Watch(lambda: None)
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
            result = operation()
            self._timers.call_later(one_way_ms, lambda: done(result))

        self._timers.call_later(one_way_ms, arrive)


__all__ = ["FakePlatform", "PlatformFaults", "StaleReads"]
