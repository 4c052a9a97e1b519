"""The collector's own object in the store, which is written as a whole."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..ports.platform import Conflicted, Failed, Found, Kind, Missing, Written
from ..result_limit import limited

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.store_version import StoreVersion
    from ..ports.platform import PlatformPort, ReadResult, WriteResult
    from ..timers import TimerService

# Until a call without a result counts as failed; longer than the client's own timeout.
MAX_CALL_MS = 5000.0


class CountsObject:
    """Writes the document of one collector, one call at a time.

    The object is read before the first write, and again when the outcome of a write is
    not known or another process of this daemon has written.

    Parameters
    ----------
    platform : PlatformPort
        The store.
    name : str
        Name of the daemon and of its object.
    timers : TimerService
        Limits the time of a call.
    on_read : Callable
        Called with the document that is stored, before it is replaced.
    """

    def __init__(
        self,
        platform: PlatformPort,
        name: str,
        timers: TimerService,
        on_read: Callable[[dict[str, Any]], None],
    ) -> None:
        self._platform = platform
        self._name = name
        self._timers = timers
        self._on_read = on_read
        self._version: StoreVersion | None = None  # None if the object does not exist
        self._is_known = False
        self.is_busy = False

    def save(
        self, document: Callable[[], dict[str, Any]], done: Callable[[str], None]
    ) -> None:
        """Write a document; must not be called while `is_busy`.

        Parameters
        ----------
        document : Callable
            Returns the document, after `on_read` has been called.
        done : Callable
            Called with the reason why it may not have been written; empty if it was.
        """
        self.is_busy = True

        def on_read(result: ReadResult) -> None:
            match result:
                case Found(stored):
                    self._on_read(stored.spec)
                    self._version = stored.version
                case Missing():
                    self._version = None
                case Failed(detail):
                    self._finish(detail, done)
                    return
            write()

        def write() -> None:
            self._platform.write(
                Kind.USAGE_COUNTS,
                self._name,
                document(),
                self._version,
                limited(self._timers, MAX_CALL_MS, on_written),
            )

        def on_written(result: WriteResult) -> None:
            self._is_known = isinstance(result, Written)
            match result:
                case Written(stored):
                    self._version = stored.version
                    self._finish("", done)
                case Conflicted():
                    self._finish("conflict", done)
                case Failed(detail):
                    self._finish(detail, done)

        if self._is_known:
            write()
        else:
            self._platform.read(
                Kind.USAGE_COUNTS,
                self._name,
                limited(self._timers, MAX_CALL_MS, on_read),
            )

    def _finish(self, fault: str, done: Callable[[str], None]) -> None:
        self.is_busy = False
        done(fault)


__all__ = ["MAX_CALL_MS", "CountsObject"]
