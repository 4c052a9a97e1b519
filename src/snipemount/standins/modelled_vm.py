"""VM with a limited processor and network link, in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..ports.leaf import AttemptHandle, LeafPort

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.forwarding import ForwardRequest
    from ..model.leaf import Leaf
    from ..ports.leaf import AttemptReport, ProbeResult
    from ..timers import TimerService

# Processor time of an attempt on one core, as in docs/CAPACITY.md.
SEND_CORE_MS = 0.06
READ_CORE_MS = 0.095
HEADER_BYTES = 200  # of a leaf's response
BITS_PER_BYTE = 8
BITS_PER_MS_AND_MBPS = 1000.0


class ModelledVm:
    """Processor and link of a VM; each serves one piece of work after the other.

    Parameters
    ----------
    timers : TimerService
        Clock and timers in virtual time.
    cores : float
        Speed of the processor, in cores of the usual speed.
    link_mbps : float
        Bandwidth of the link in each direction.
    """

    def __init__(self, timers: TimerService, cores: float, link_mbps: float) -> None:
        self._timers = timers
        self.cores = cores
        self.link_mbps = link_mbps
        self._processor_free_ms = 0.0
        self._inbound_free_ms = 0.0
        self._outbound_free_ms = 0.0
        self.frozen_until_ms = 0.0

    def process(self, core_ms: float, callback: Callable[[], None]) -> None:
        """Call `callback` when the processor has done work of `core_ms`."""
        now_ms = self._timers.now_ms()
        start_ms = max(now_ms, self._processor_free_ms, self.frozen_until_ms)
        self._processor_free_ms = start_ms + core_ms / self.cores
        self._timers.call_later(self._processor_free_ms - now_ms, callback)

    def receive(
        self, size_bytes: int, core_ms: float, callback: Callable[[], None]
    ) -> None:
        """Call `callback` when bytes have passed the link and were processed."""
        now_ms = self._timers.now_ms()
        start_ms = max(now_ms, self._inbound_free_ms)
        self._inbound_free_ms = start_ms + self._transfer_ms(size_bytes)
        self._timers.call_later(
            self._inbound_free_ms - now_ms, lambda: self.process(core_ms, callback)
        )

    def transmit(self, size_bytes: int, callback: Callable[[], None]) -> None:
        """Call `callback` when bytes have left on the link."""
        now_ms = self._timers.now_ms()
        start_ms = max(now_ms, self._outbound_free_ms)
        self._outbound_free_ms = start_ms + self._transfer_ms(size_bytes)
        self._timers.call_later(self._outbound_free_ms - now_ms, callback)

    def _transfer_ms(self, size_bytes: int) -> float:
        return size_bytes * BITS_PER_BYTE / (self.link_mbps * BITS_PER_MS_AND_MBPS)


class ModelledAttempt(AttemptHandle):
    """Attempt that waits for the processor, for the leaf or for the link."""

    def __init__(self) -> None:
        self.cancelled = False
        self.inner: AttemptHandle | None = None

    @property
    def was_sent(self) -> bool:
        """Whether the processor has got to the attempt, and it was sent."""
        return self.inner is not None and self.inner.was_sent

    def cancel(self) -> bool:
        """Cancel the attempt; return whether it was sent."""
        self.cancelled = True
        return self.inner is not None and self.inner.cancel()


class ModelledVmLeafs(LeafPort):
    """Leaf port of a daemon on a modelled VM.

    Parameters
    ----------
    vm : ModelledVm
        VM whose processor and link each attempt uses.
    inner : LeafPort
        Sends the attempts.
    """

    def __init__(self, vm: ModelledVm, inner: LeafPort) -> None:
        self._vm = vm
        self._inner = inner

    def send(
        self,
        leaf: Leaf,
        request: ForwardRequest,
        time_left_ms: float,
        done: Callable[[AttemptReport], None],
    ) -> AttemptHandle:
        """Send an attempt when the processor gets to it."""
        attempt = ModelledAttempt()

        def deliver(report: AttemptReport) -> None:
            if not attempt.cancelled:
                done(report)

        def on_report(report: AttemptReport) -> None:
            size_bytes = report.bytes_read + HEADER_BYTES
            self._vm.receive(size_bytes, READ_CORE_MS, lambda: deliver(report))

        def start() -> None:
            if not attempt.cancelled:
                attempt.inner = self._inner.send(leaf, request, time_left_ms, on_report)

        self._vm.process(SEND_CORE_MS, start)
        return attempt

    def probe(self, leaf: Leaf, done: Callable[[ProbeResult], None]) -> None:
        """Probe through the inner port."""
        self._inner.probe(leaf, done)

    def ensure_connection(self, leaf: Leaf) -> bool:
        """Ensure a connection of the inner port."""
        return self._inner.ensure_connection(leaf)

    def close_idle(self, leaf: Leaf) -> None:
        """Close idle connections of the inner port."""
        self._inner.close_idle(leaf)


__all__ = ["ModelledVm", "ModelledVmLeafs"]
