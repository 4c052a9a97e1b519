"""What the daemons of a zone tell each other of requests that leafs crash on."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from ..model.crash import CrashReport, ReportedAnswer, ReportedStrike

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..decisions.requests.request_strikes import Strike
    from ..model.crash import StrikeNotice
    from ..timers import TimerService
    from .crash_watch import CrashWatch

# In this time most requests that were lost with a crash are answered elsewhere, and
# need not be told.
TELL_DELAY_MS = 300.0
# Of one report, and of what waits to be told.
MAX_REPORTED = 64
# Of each report on average; bounds the bytes that a daemon sends, at ten reports a
# second, to about 5 KB/s.
MEAN_REPORTED = 3
RETOLD_MS = 60_000.0  # age up to which crashes are told to a daemon that is followed


class CrashReports:
    """Collects what to tell of crashes, and applies what other daemons tell.

    A daemon tells what it has found itself, and one that relays the store tells its
    followers also what it has heard. A crash that was told before is not told again.

    Parameters
    ----------
    watch : CrashWatch
        Finds crashes, and learns those that are heard.
    timers : TimerService
        Monotonic clock.
    """

    def __init__(self, watch: CrashWatch, timers: TimerService) -> None:
        self._watch = watch
        self._timers = timers
        self._untold: OrderedDict[tuple[str, str], StrikeNotice] = OrderedDict()
        self._untold_answers: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._allowed = MAX_REPORTED
        watch.on_strike = self._add_strike
        watch.on_answer = self._add_answer

    def take_untold(self) -> CrashReport:
        """Return what has not been told yet; the rest waits for the next call."""
        self._allowed = min(MAX_REPORTED, self._allowed + MEAN_REPORTED)
        report = self._with_answers(self._take_strikes())
        report = attrs.evolve(report, answers=report.answers + self._take_answers())
        self._allowed -= len(report.strikes) + len(report.answers)
        return report

    def learn(self, report: CrashReport, forwards: bool) -> None:
        """Apply what another daemon tells.

        Parameters
        ----------
        report : CrashReport
            What it tells.
        forwards : bool
            Whether to tell others what was not known before.
        """
        for answer in report.answers:
            if self._watch.learn_answer(answer) and forwards:
                self._add_answer(answer)
        for strike in report.strikes:
            if self._watch.learn_strike(strike):
                self._answer_strike(strike, forwards)

    def standing(self) -> CrashReport:
        """Return the crashes that no answer has cleared, and answers of other software.

        Those of the requests with the most crashes, if they are too many.
        """
        now_ms = self._timers.now_ms()
        quarantine = self._watch.quarantine
        by_request = [
            quarantine.standing(request) for _, request in quarantine.requests()
        ]
        by_request.sort(key=len, reverse=True)
        strikes = [
            ReportedStrike(strike.notice, now_ms - strike.at_ms)
            for of_request in by_request
            for strike in of_request
        ]
        return self._with_answers(strikes[:MAX_REPORTED])

    def _with_answers(self, strikes: list[ReportedStrike]) -> CrashReport:
        """Return a report of crashes, and of answers by leafs of other software.

        Such an answer clears no crash, but speaks for the request elsewhere.
        """
        now_ms = self._timers.now_ms()
        answers = []
        for fingerprint in dict.fromkeys(s.notice.fingerprint for s in strikes):
            answered = self._watch.quarantine.answered_elsewhere(fingerprint)
            if answered is not None:
                age_ms = max(0.0, now_ms - answered.at_ms)
                answers.append(ReportedAnswer(fingerprint, answered.software, age_ms))
        return CrashReport(tuple(strikes), tuple(answers))

    def answers_to(self, strikes: Iterable[tuple[str, str]]) -> list[ReportedAnswer]:
        """Return the answers that clear some crashes.

        Parameters
        ----------
        strikes : Iterable of (str, str)
            Fingerprint and id of the notice of each.
        """
        answers = []
        for fingerprint, notice_id in strikes:
            cleared = self._watch.quarantine.cleared_by(fingerprint, notice_id)
            if cleared is not None:
                age_ms = max(0.0, self._timers.now_ms() - cleared.at_ms)
                answers.append(ReportedAnswer(fingerprint, cleared.software, age_ms))
        return answers

    def retell(self) -> None:
        """Tell recent crashes again, as another daemon is followed now."""
        for strike in self.standing().strikes:
            if strike.age_ms <= RETOLD_MS:
                self._add_strike(strike.notice)

    def _answer_strike(self, strike: ReportedStrike, forwards: bool) -> None:
        """Tell that the request was answered here, or pass the crash on."""
        notice = strike.notice
        answers = self.answers_to([(notice.fingerprint, notice.notice_id)])
        for answer in answers:
            self._add_answer(answer)
        if forwards and not answers:
            self._add_strike(notice)

    def _add_strike(self, notice: StrikeNotice) -> None:
        if len(self._untold) < MAX_REPORTED:
            self._untold[notice.fingerprint, notice.notice_id] = notice

    def _add_answer(self, answer: ReportedAnswer) -> None:
        if len(self._untold_answers) < MAX_REPORTED:
            at_ms = self._timers.now_ms() - answer.age_ms
            self._untold_answers[answer.fingerprint, answer.software] = at_ms

    def _take_strikes(self) -> list[ReportedStrike]:
        now_ms = self._timers.now_ms()
        taken: list[ReportedStrike] = []
        for key, notice in list(self._untold.items()):
            strike = self._find(notice)
            if strike is None:
                del self._untold[key]
                continue
            age_ms = now_ms - strike.at_ms
            if age_ms >= TELL_DELAY_MS and len(taken) < self._allowed:
                del self._untold[key]
                taken.append(ReportedStrike(notice, age_ms))
        return taken

    def _find(self, notice: StrikeNotice) -> Strike | None:
        """Return the strike of a notice, unless an answer has cleared it."""
        standing = self._watch.quarantine.standing_of(notice.fingerprint)
        return next(
            (s for s in standing if s.notice.notice_id == notice.notice_id), None
        )

    def _take_answers(self) -> tuple[ReportedAnswer, ...]:
        now_ms = self._timers.now_ms()
        taken: list[ReportedAnswer] = []
        while self._untold_answers and len(taken) < self._allowed:
            (fingerprint, software), at_ms = self._untold_answers.popitem(last=False)
            taken.append(ReportedAnswer(fingerprint, software, now_ms - at_ms))
        return tuple(taken)


__all__ = ["MAX_REPORTED", "CrashReports"]
