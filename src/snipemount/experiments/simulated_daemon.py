"""One daemon of a simulated deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..node.node import Node
    from .fake_platform import FakePlatform
    from .fakes import FakeBackend, ProcessTimers


@attrs.define(eq=False)
class SimulatedDaemon:
    """One simulated daemon.

    Parameters
    ----------
    node : Node
        Node under test.
    process : ProcessTimers
        Timers of its process, which can be paused or killed.
    backend : FakeBackend
        Its port to the backend servers.
    platform : FakePlatform
        Its port to the object store.
    """

    node: Node
    process: ProcessTimers
    backend: FakeBackend
    platform: FakePlatform


__all__ = ["SimulatedDaemon"]
