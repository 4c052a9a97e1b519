"""Crashes of leafs in the store, for other zones and for daemons that start."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..adapters.crash_codec import decode_document, encode_document
from ..model.crash import CrashReport, ReportedAnswer
from ..ports.platform import Conflicted, Failed, Kind, Written
from ..result_limit import limited
from .crash_reports import MAX_REPORTED, TELL_DELAY_MS

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from ..model.store_version import StoreVersion
    from ..ports.platform import PlatformPort, StoredObject, WriteResult
    from ..timers import TimerService
    from .crash_reports import CrashReports

SAVE_PERIOD_MS = 1000.0
MAX_CALL_MS = 5000.0  # until a call without a result counts as failed
# For the daemons of other zones to learn that a request was answered.
ANSWER_KEPT_MS = 60_000.0

StrikeKey = tuple[str, str]
AnswerKey = tuple[str, str]


@attrs.frozen
class SavedKeys:
    """What a stored document is about: crashes and answers, without their times."""

    strikes: frozenset[StrikeKey] = frozenset()
    answers: frozenset[AnswerKey] = frozenset()


class StoredCrashReports:
    """Keeps one object for each zone; its relaying daemon writes it when it changes.

    Receives the objects of all zones as a subscriber of their feed.

    Parameters
    ----------
    platform : PlatformPort
        The store.
    zone : str
        Zone of this daemon.
    timers : TimerService
        Clocks.
    reports : CrashReports
        What the zone knows, and what other zones tell.
    logger : FilteringBoundLogger
        Receives faults.
    """

    def __init__(
        self,
        platform: PlatformPort,
        zone: str,
        timers: TimerService,
        reports: CrashReports,
        logger: FilteringBoundLogger,
    ) -> None:
        self._platform = platform
        self._zone = zone
        self._timers = timers
        self._reports = reports
        self._logger = logger
        self._saved: dict[str, SavedKeys] = {}
        self._version: StoreVersion | None = (
            None  # of the zone's object; None if it is missing
        )
        self._is_listed = False
        self._is_busy = False
        self._next_save_ms = 0.0
        self._answers: dict[AnswerKey, float] = {}

    def listed(self, objects: tuple[StoredObject, ...]) -> None:
        """Learn what all zones have stored."""
        self._is_listed = True
        self._version = None
        self._saved.clear()
        for stored in objects:
            self.changed(stored)

    def changed(self, stored: StoredObject) -> None:
        """Learn what a zone has stored."""
        report, faults = decode_document(
            stored.spec, stored.name, self._timers.wall_ms()
        )
        if faults:
            self._logger.warning(
                "crash_report_unreadable", zone=stored.name, entries=faults
            )
        self._saved[stored.name] = _keys(report)
        if stored.name == self._zone:
            self._version = stored.version
        self._reports.learn(report, forwards=True)

    def removed(self, name: str) -> None:
        """Forget the object of a zone."""
        self._saved.pop(name, None)
        if name == self._zone:
            self._version = None

    def confirmed(self) -> None:
        """Do nothing: crashes are not less true when the store is away."""

    def store_unreachable(self, reason: str) -> None:
        """Do nothing: crashes are not less true when the store is away."""

    def save_if_changed(self) -> None:
        """Write what the zone knows, unless the store has it, once a second at most."""
        now_ms = self._timers.now_ms()
        if not self._is_listed or self._is_busy or now_ms < self._next_save_ms:
            return
        self._next_save_ms = now_ms + SAVE_PERIOD_MS
        report = self._report(now_ms)
        saved = self._saved.get(self._zone, SavedKeys())
        if _keys(report) == saved:
            return
        self._is_busy = True
        self._platform.write(
            Kind.CRASH_REPORT,
            self._zone,
            encode_document(report, self._timers.wall_ms()),
            self._version,
            limited(self._timers, MAX_CALL_MS, self._on_written),
        )

    def _on_written(self, result: WriteResult) -> None:
        self._is_busy = False
        match result:
            case Written(stored):
                self.changed(stored)
            case Conflicted():
                pass  # the feed brings what another daemon has written
            case Failed(detail):
                self._logger.warning("crash_report_not_saved", reason=detail)

    def _report(self, now_ms: float) -> CrashReport:
        """Return the crashes that daemons of this zone have found, and answers."""
        standing = self._reports.standing()
        strikes = tuple(
            strike
            for strike in standing.strikes
            if strike.notice.zone == self._zone and strike.age_ms >= TELL_DELAY_MS
        )
        own = {strike.notice.fingerprint for strike in strikes}
        answers = [a for a in standing.answers if a.fingerprint in own]
        answers += self._current_answers(now_ms)
        return CrashReport(strikes, tuple(answers[-MAX_REPORTED:]))

    def _current_answers(self, now_ms: float) -> list[ReportedAnswer]:
        """Return the answers that clear crashes which other zones may know."""
        stored = {key for keys in self._saved.values() for key in keys.strikes}
        for answer in self._reports.answers_to(stored):
            key = answer.fingerprint, answer.software
            self._answers.setdefault(key, now_ms - answer.age_ms)
        for key, at_ms in list(self._answers.items()):
            if now_ms - at_ms > ANSWER_KEPT_MS:
                del self._answers[key]
        return [
            ReportedAnswer(fingerprint, software, now_ms - at_ms)
            for (fingerprint, software), at_ms in self._answers.items()
        ]


def _keys(report: CrashReport) -> SavedKeys:
    return SavedKeys(
        frozenset((s.notice.fingerprint, s.notice.notice_id) for s in report.strikes),
        frozenset((a.fingerprint, a.software) for a in report.answers),
    )


__all__ = ["StoredCrashReports"]
