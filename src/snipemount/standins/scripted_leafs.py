"""Leafs in virtual time whose responses are scripted."""

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
from ..model.leaf_notice import SILENT_NOTICE
from ..ports.leaf import AttemptHandle, AttemptReport, LeafPort, ProbeResult

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.forwarding import ForwardRequest, LoadReport
    from ..model.leaf import Leaf
    from ..model.leaf_notice import LeafNotice
    from ..timers import Timer, TimerService


@attrs.define
class Script:
    """Responses, timing and faults of one leaf; may be changed while it runs.

    Parameters
    ----------
    work_ms : float
        Duration of a request.
    connect_ms : float
        Time that a connection takes before each request; 0 when one is open.
    status : int
        HTTP status of the responses.
    paused_until_ms : float
        Time before which no request starts to be executed.
    unresponsive : bool
        Whether the leaf is unresponsive: requests and probes get no response.
    unreachable : bool
        Whether no connection to the leaf can be opened.
    refuses_connections : bool
        Whether connections to the leaf are refused.
    drops_packets : bool
        Whether opening a connection to the leaf never ends.
    closes_connection : bool
        Whether the connection is closed without a response after a request was
        executed.
    refuses : bool
        Whether requests are refused for lack of capacity and reported as not
        executed.
    address_reused : bool
        Whether another leaf listens at the address of this one.
    body : bytes
        Body of the responses.
    load : LoadReport or None
        Load that each response reports; None to report none.
    notice : LeafNotice
        What the leaf states about itself in each response, refusals included.
    """

    work_ms: float = 10.0
    connect_ms: float = 0.0
    status: int = 200
    paused_until_ms: float = 0.0
    unresponsive: bool = False
    unreachable: bool = False
    refuses_connections: bool = False
    drops_packets: bool = False
    closes_connection: bool = False
    refuses: bool = False
    address_reused: bool = False
    body: bytes = b""
    load: LoadReport | None = None
    notice: LeafNotice = SILENT_NOTICE


class ScriptedAttempt(AttemptHandle):
    """Handle of one attempt at a scripted leaf."""

    def __init__(
        self,
        timer: Timer | None,
        on_cancel: Callable[[], None],
        was_sent: bool = True,
    ) -> None:
        self._timer = timer
        self._on_cancel = on_cancel
        self._was_sent = was_sent

    @property
    def was_sent(self) -> bool:
        """Whether the leaf may have got the request."""
        return self._was_sent

    def cancel(self) -> bool:
        """Cancel the attempt; return whether the leaf may have got it."""
        if self._timer is not None:
            self._timer.cancel()
        self._on_cancel()
        return self._was_sent


class ScriptedLeafs(LeafPort):
    """Leaf port that runs scripts and records what is sent to each leaf.

    Parameters
    ----------
    timers : TimerService
        Clock and timers in virtual time.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self.scripts: defaultdict[str, Script] = defaultdict(Script)
        # Time, leaf id and request id of each attempt that reached a leaf.
        self.arrivals: list[tuple[float, str, str]] = []
        # Number of attempts that a leaf executed, by request id.
        self.runs: Counter[str] = Counter()
        self.cancelled = 0
        self.probes = 0
        self.closed_idle: list[str] = []
        # Ids of the leafs for which a connection was requested.
        self.connected: set[str] = set()
        # Attempts in progress, by leaf id.
        self.in_progress: Counter[str] = Counter()

    def send(
        self,
        leaf: Leaf,
        request: ForwardRequest,
        time_left_ms: float,
        done: Callable[[AttemptReport], None],
    ) -> AttemptHandle:
        """Send an attempt; `done` gets the report that the leaf's script yields."""
        script = self.scripts[leaf.leaf_id]
        now_ms = self._timers.now_ms()
        if script.unreachable:
            report = AttemptReport(NotRun(NotRunReason.UNREACHABLE))
            return self._report_later(1.0, leaf, done, report)
        if script.refuses_connections:
            report = AttemptReport(NotRun(NotRunReason.CONNECTION_REFUSED))
            return self._report_later(1.0, leaf, done, report)
        if script.drops_packets:
            return ScriptedAttempt(None, lambda: None, was_sent=False)
        self.arrivals.append((now_ms, leaf.leaf_id, request.request_id))
        if script.refuses or script.address_reused:
            return self._report_later(1.0, leaf, done, self._refusal(script))
        self.runs[request.request_id] += 1
        self.in_progress[leaf.leaf_id] += 1
        if script.unresponsive:
            return ScriptedAttempt(None, lambda: self._record_cancel(leaf))
        start_ms = max(script.connect_ms, script.paused_until_ms - now_ms)
        report = self._report(leaf, script)
        return self._report_later(start_ms + script.work_ms, leaf, done, report)

    def probe(self, leaf: Leaf, done: Callable[[ProbeResult], None]) -> None:
        """Call `done` with whether the leaf accepts a connection."""
        script = self.scripts[leaf.leaf_id]
        self.probes += 1
        result = ProbeResult.ACCEPTED
        if script.unreachable or script.unresponsive:
            result = ProbeResult.NO_RESPONSE
        elif script.refuses_connections:
            result = ProbeResult.REFUSED
        self._timers.call_later(1.0, lambda: done(result))

    def ensure_connection(self, leaf: Leaf) -> bool:
        """Record a connection to a leaf; return whether it is the first."""
        if leaf.leaf_id in self.connected:
            return False
        self.connected.add(leaf.leaf_id)
        return True

    def close_idle(self, leaf: Leaf) -> None:
        """Record that the idle connections to a leaf were closed."""
        self.closed_idle.append(leaf.leaf_id)

    def _report_later(
        self,
        delay_ms: float,
        leaf: Leaf,
        done: Callable[[AttemptReport], None],
        report: AttemptReport,
    ) -> AttemptHandle:
        def end() -> None:
            self.in_progress[leaf.leaf_id] -= 1
            done(report)

        timer = self._timers.call_later(delay_ms, end)
        return ScriptedAttempt(timer, lambda: self._record_cancel(leaf))

    def _record_cancel(self, leaf: Leaf) -> None:
        self.cancelled += 1
        self.in_progress[leaf.leaf_id] -= 1

    @staticmethod
    def _refusal(script: Script) -> AttemptReport:
        if script.address_reused:
            return AttemptReport(NotRun(NotRunReason.OTHER_LEAF), script.load)
        outcome = NotRun(NotRunReason.REFUSED)
        return AttemptReport(outcome, script.load, notice=script.notice)

    @staticmethod
    def _report(leaf: Leaf, script: Script) -> AttemptReport:
        if script.closes_connection:
            return AttemptReport(
                NoValidResponse(NoValidResponseReason.CONNECTION_CLOSED)
            )
        receipt = f"ran.{leaf.leaf_id}"
        headers = (("Receipt", receipt),)
        answer = LeafAnswer(script.status, headers, script.body, receipt)
        size_bytes = len(script.body)
        return AttemptReport(
            answer, script.load, size_bytes, script.connect_ms, script.notice
        )


__all__ = ["Script", "ScriptedLeafs"]
