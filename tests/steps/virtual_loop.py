"""Event loop without I/O whose time jumps to the next timer."""

from __future__ import annotations

import asyncio
import selectors

from snipemount.timers import LoopTimers

MS_PER_S = 1000.0
START_S = 10_000.0  # long after the start of the machine, as a real clock


class JumpingSelector(selectors.SelectSelector):
    """Reports no I/O; instead of waiting it advances a virtual clock."""

    def __init__(self):
        super().__init__()
        self.now_s = START_S

    def select(self, timeout=None):
        """Advance the clock by the time that the loop would wait."""
        if timeout is None:
            raise RuntimeError("the loop waits, but no timer is scheduled")
        self.now_s += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time, for code that opens no sockets."""

    def __init__(self):
        self._jumping = JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        """Return the virtual time in seconds."""
        return self._jumping.now_s


class VirtualLoopTimers(LoopTimers):
    """Timers of a loop in virtual time."""

    def now_ms(self):
        """Return the loop's time in milliseconds."""
        return self._loop.time() * MS_PER_S


__all__ = ["VirtualLoopTimers", "VirtualTimeLoop"]
