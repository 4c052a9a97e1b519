"""The duty of reporting usage: carries out the plan while the lease is held."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from ..decisions.estimates.token_bucket import TokenBucket
from ..duties.observer import LeaseObserver
from ..errors import DecodeError
from ..ports.platform import Failed, Kind, Listed
from ..ports.usage import ReportAccepted, ReportRejected, ReportUnanswered
from ..result_limit import limited
from .counts_object import MAX_CALL_MS
from .report_checkpoint import decode_checkpoint, encode_checkpoint
from .report_plan import (
    GiveUpWindows,
    ListCounts,
    ReportPlan,
    SaveCheckpoint,
    SendReport,
)
from .stored_counts import decode_counts
from .usage_collection import UsageCollection

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from structlog.typing import FilteringBoundLogger

    from ..model.store_version import StoreVersion
    from ..ports.platform import ListResult, PlatformPort, StoredObject
    from ..ports.usage import ReportResult, UsageCall, UsagePort
    from ..timers import Timer, TimerService
    from .wall_clock import WallClock
    from .window_times import WindowTimes

STEP_PERIOD_MS = 100.0
CALL_TIMEOUT_MS = 1000.0
CALL_TIMEOUT_SHARE = 1.0 / 3.0  # of the lease, at most
ABORT_MARGIN_MS = 100.0  # for a busy loop to abort a call at its timeout
RATE_SHARE = 0.9  # calls that are made evenly may arrive closer together
MAX_NAMED_DAEMONS = 8  # in a log line
UNKNOWN_DAEMONS = "unknown"  # named as missing while the registry was not read


class Lease(Protocol):
    """What the duty needs of its lease."""

    @property
    def fence(self) -> int:
        """Fencing token; 0 while the lease is not held."""

    def remaining_ms(self) -> float:
        """Return for how long the lease is held for certain."""

    def save(self, checkpoint: dict[str, Any], done: Callable[[bool], None]) -> None:
        """Store a checkpoint; `done` gets whether that was confirmed."""

    def stand_back(self, reason: str) -> None:
        """Leave the duty to another daemon."""


class UsageDuty(LeaseObserver):
    """Reports each window while this daemon holds the duty.

    Parameters
    ----------
    name : str
        Name of this daemon.
    times : WindowTimes
        Ends and due times of the windows.
    lease_ms : float
        Length of the lease.
    calls_per_s : float
        Calls that all daemons together may make; 0 for no limit. Only the holder calls.
    clock : WallClock
        True time.
    timers : TimerService
        Monotonic clock and timers.
    platform : PlatformPort
        The store with the counts.
    port : UsagePort
        Sends the reports.
    daemons : Callable
        Returns the names of the registered daemons; None while they are not known.
    random : Random
        Source of jitter.
    logger : FilteringBoundLogger
        Receives sent, incomplete and late reports.

    Attributes
    ----------
    lease : Lease or None
        Lease of the duty; set before it is started.
    reported, given_up, incomplete : int
        Windows whose report was taken, was not taken in time, or may lack counts.
    """

    def __init__(
        self,
        name: str,
        times: WindowTimes,
        lease_ms: float,
        calls_per_s: float,
        clock: WallClock,
        timers: TimerService,
        platform: PlatformPort,
        port: UsagePort,
        daemons: Callable[[], Iterable[str] | None],
        random: Random,
        logger: FilteringBoundLogger,
    ) -> None:
        self._name = name
        self._times = times
        self._clock = clock
        self._timers = timers
        self._platform = platform
        self._port = port
        self._logger = logger
        self._timeout_ms = min(CALL_TIMEOUT_MS, CALL_TIMEOUT_SHARE * lease_ms)
        self._bucket: TokenBucket | None = None
        if calls_per_s > 0.0:
            per_ms = RATE_SHARE * calls_per_s / 1000.0
            self._bucket = TokenBucket(1.0, per_ms, timers.now_ms())
        self._plan = ReportPlan(times, random)
        self._daemons = daemons
        self._tenure = 0  # results of calls of an earlier one are ignored
        self._ticks: Timer | None = None
        self._call: UsageCall | None = None
        # Last version of objects with odd entries, by name.
        self._faulty: dict[str, StoreVersion] = {}
        self.lease: Lease | None = None
        self.reported = 0
        self.given_up = 0
        self.incomplete = 0

    def on_acquired(self, fence: int, checkpoint: dict[str, Any]) -> None:
        """Begin to report, first what the holder before has saved."""
        self._end()
        self._tenure += 1
        now_ms = self._clock.now_ms()
        try:
            saved = decode_checkpoint(checkpoint)
            if saved is not None and saved.window > self._times.at(now_ms):
                raise DecodeError(f"checkpoint: window {saved.window} has not begun")
        except DecodeError as error:
            self._logger.warning("usage_checkpoint_unreadable", reason=error.detail)
            saved = None
        self._plan.acquired(saved, now_ms)
        self._logger.info("usage_duty_began", fence=fence, window=self._plan.window)
        self._ticks = self._timers.call_every(STEP_PERIOD_MS, self._step)

    def on_lost(self) -> None:
        """Stop at once; a pending call is aborted."""
        self._end()
        self._logger.info("usage_duty_ended", window=self._plan.window)

    def _end(self) -> None:
        self._tenure += 1
        if self._ticks is not None:
            self._ticks.cancel()
            self._ticks = None
        if self._call is not None:
            self._call.cancel()
            self._call = None

    def _step(self) -> None:
        self._abort_outlived_call()
        action = self._plan.next_action(self._clock.now_ms())
        match action:
            case ListCounts(window):
                self._list(window)
            case SaveCheckpoint(checkpoint):
                self._save(encode_checkpoint(checkpoint))
            case SendReport(window, counts):
                self._send(window, counts)
            case GiveUpWindows(first, last, had_counts):
                self.given_up += last - first + 1
                self._logger.error(
                    "usage_given_up", window=first, last=last, had_counts=had_counts
                )

    def _abort_outlived_call(self) -> None:
        """Abort a call after a suspension, as its packets may still be repeated."""
        assert self.lease is not None
        if self._call is not None and self.lease.remaining_ms() <= 0.0:
            self._call.cancel()
            self._call = None
            self._fail("send", "lease expired")

    def _list(self, window: int) -> None:
        tenure = self._tenure

        def on_listed(result: ListResult) -> None:
            if tenure != self._tenure:
                return
            match result:
                case Listed(objects, _):
                    self._assemble(window, objects)
                case Failed(detail):
                    self._fail("listing", detail)

        self._platform.list_all(
            Kind.USAGE_COUNTS, limited(self._timers, MAX_CALL_MS, on_listed)
        )

    def _assemble(self, window: int, objects: tuple[StoredObject, ...]) -> None:
        collection = UsageCollection()
        for stored in objects:
            faults = decode_counts(stored.spec, collection, window, window)
            # An entry that stays is not logged with each listing.
            if faults and stored.version != self._faulty.get(stored.name):
                self._faulty[stored.name] = stored.version
                self._logger.warning(
                    "usage_dropped", sender=stored.name, reason=faults[0]
                )
        known = self._daemons()
        expected = (UNKNOWN_DAEMONS,) if known is None else known
        report = collection.report(window, expected)
        is_final = self._plan.listed(report, self._clock.now_ms())
        if is_final and report.missing:
            self.incomplete += 1
            self._logger.warning(
                "usage_incomplete",
                window=window,
                missing=len(report.missing),
                daemons=",".join(report.missing[:MAX_NAMED_DAEMONS]),
            )

    def _save(self, checkpoint: dict[str, Any]) -> None:
        assert self.lease is not None
        tenure = self._tenure

        def on_saved(confirmed: bool) -> None:
            if tenure == self._tenure:
                self._plan.saved(confirmed, self._clock.now_ms())

        self.lease.save(checkpoint, on_saved)

    def _send(self, window: int, counts: dict[str, int]) -> None:
        assert self.lease is not None
        if self.lease.remaining_ms() <= self._timeout_ms + ABORT_MARGIN_MS:
            self._plan.postponed()
            return
        if not self._take_token():
            self._plan.postponed()
            return
        tenure = self._tenure

        def on_sent(result: ReportResult) -> None:
            if tenure == self._tenure:
                self._call = None
                self._on_result(window, result)

        self._call = self._port.send(
            self._name, self.lease.fence, window, counts, self._timeout_ms, on_sent
        )

    def _take_token(self) -> bool:
        if self._bucket is None:
            return True
        if self._bucket.available(self._timers.now_ms()) < 1.0:
            return False
        self._bucket.spend(1.0)
        return True

    def _on_result(self, window: int, result: ReportResult) -> None:
        match result:
            case ReportAccepted():
                self.reported += 1
                self._plan.accepted()
                self._logger.info("usage_reported", window=window)
            case ReportRejected(status, retry_after_ms) as rejected:
                if rejected.concerns_all:
                    self._plan.refused(self._clock.now_ms(), retry_after_ms)
                    self._log_failure("send", f"status {status}")
                else:
                    self._fail("send", f"status {status}")
            case ReportUnanswered(detail):
                self._fail("send", detail)

    def _log_failure(self, call: str, reason: str) -> None:
        self._logger.warning(
            "usage_call_failed", call=call, window=self._plan.window, reason=reason
        )

    def _fail(self, call: str, reason: str) -> None:
        now_ms = self._clock.now_ms()
        self._plan.failed(now_ms)
        self._log_failure(call, reason)
        if self._plan.should_stand_back(now_ms) and self.lease is not None:
            self._plan.stood_back()
            self.lease.stand_back(f"{call}: {reason}")


__all__ = ["Lease", "UsageDuty"]
