"""Leafs in virtual time whose answers follow a script."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import attrs

from ..model.forwarding import (
    LeafAnswer,
    NotRun,
    NotRunReason,
    NoValidResponse,
    NoValidResponseReason,
)
from ..ports.leaf import AttemptHandle, AttemptReport, LeafPort

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.forwarding import ForwardRequest, LoadReport
    from ..model.leaf import Leaf
    from ..timers import Timer, TimerService


@attrs.define
class Script:
    """What one leaf does with the requests that reach it.

    Parameters
    ----------
    work_ms : float
        Time that an answer takes.
    status : int
        HTTP status of its answers.
    paused_until_ms : float
        It starts no work before this time.
    dark : bool
        It gives no response to what is sent to it.
    unreachable : bool
        No connection can be opened.
    loses : bool
        It runs a request and its connection breaks.
    refuses : bool
        It has no room and says that it did not run the request.
    other : bool
        Another leaf has its address.
    body : bytes
        Body of its answers.
    load : LoadReport or None
        Load that it reports.
    """

    work_ms: float = 10.0
    status: int = 200
    paused_until_ms: float = 0.0
    dark: bool = False
    unreachable: bool = False
    loses: bool = False
    refuses: bool = False
    other: bool = False
    body: bytes = b""
    load: LoadReport | None = None


class ScriptedAttempt(AttemptHandle):
    """An attempt at a scripted leaf."""

    def __init__(self, timer: Timer | None, on_cancel: Callable[[], None]) -> None:
        self._timer = timer
        self._on_cancel = on_cancel

    def cancel(self) -> bool:
        """Stop the work."""
        if self._timer is not None:
            self._timer.cancel()
        self._on_cancel()
        return True


class ScriptedLeafs(LeafPort):
    """Port to scripted leafs.

    Parameters
    ----------
    timers : TimerService
        Virtual time.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self.scripts: defaultdict[str, Script] = defaultdict(Script)
        self.arrivals: list[tuple[float, str, str]] = []
        self.runs: Counter[str] = Counter()
        self.cancelled = 0
        self.probes = 0
        self.closed_idle: list[str] = []
        self.ready: set[str] = set()
        self.working: Counter[str] = Counter()

    def send(
        self,
        leaf: Leaf,
        request: ForwardRequest,
        time_left_ms: float,
        done: Callable[[AttemptReport], None],
    ) -> AttemptHandle:
        """Follow the leaf's script."""
        script = self.scripts[leaf.leaf_id]
        now_ms = self._timers.now_ms()
        if script.unreachable:
            report = AttemptReport(NotRun(NotRunReason.UNREACHABLE))
            return self._later(1.0, leaf, done, report)
        self.arrivals.append((now_ms, leaf.leaf_id, request.request_id))
        if script.refuses or script.other:
            reason = NotRunReason.OTHER_LEAF if script.other else NotRunReason.REFUSED
            return self._later(
                1.0, leaf, done, AttemptReport(NotRun(reason), script.load)
            )
        self.runs[request.request_id] += 1
        self.working[leaf.leaf_id] += 1
        if script.dark:
            return ScriptedAttempt(None, lambda: self._cancelled(leaf))
        start_ms = max(0.0, script.paused_until_ms - now_ms)
        report = self._report(leaf, script)
        return self._later(start_ms + script.work_ms, leaf, done, report)

    def probe(self, leaf: Leaf, done: Callable[[bool], None]) -> None:
        """Report whether the leaf can be reached."""
        script = self.scripts[leaf.leaf_id]
        self.probes += 1
        alive = not (script.unreachable or script.dark)
        self._timers.call_later(1.0, lambda: done(alive))

    def ensure_connection(self, leaf: Leaf) -> bool:
        """Note that a connection is wanted; each leaf gets one."""
        if leaf.leaf_id in self.ready:
            return False
        self.ready.add(leaf.leaf_id)
        return True

    def close_idle(self, leaf: Leaf) -> None:
        """Note that the connections to a leaf were closed."""
        self.closed_idle.append(leaf.leaf_id)

    def _later(
        self,
        delay_ms: float,
        leaf: Leaf,
        done: Callable[[AttemptReport], None],
        report: AttemptReport,
    ) -> AttemptHandle:
        def end() -> None:
            self.working[leaf.leaf_id] -= 1
            done(report)

        timer = self._timers.call_later(delay_ms, end)
        return ScriptedAttempt(timer, lambda: self._cancelled(leaf))

    def _cancelled(self, leaf: Leaf) -> None:
        self.cancelled += 1
        self.working[leaf.leaf_id] -= 1

    @staticmethod
    def _report(leaf: Leaf, script: Script) -> AttemptReport:
        if script.loses:
            return AttemptReport(
                NoValidResponse(NoValidResponseReason.CONNECTION_CLOSED)
            )
        receipt = f"ran.{leaf.leaf_id}"
        headers = (("Receipt", receipt),)
        answer = LeafAnswer(script.status, headers, script.body, receipt)
        return AttemptReport(answer, script.load)


__all__ = ["Script", "ScriptedLeafs"]
