"""Entry of this daemon in the registry of daemons in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..ports.platform import Conflicted, Failed, Found, Kind, Missing, Written
from ..ports.relay import DaemonAddress

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from ..ports.platform import PlatformPort, ReadResult, StoredObject, WriteResult
    from ..timers import TimerService

REGISTRY_PERIOD_MS = 10_000.0  # of listings, and of attempts to register


class Registration:
    """Writes the entry of this daemon, and replaces one of an earlier process.

    Parameters
    ----------
    platform : PlatformPort
        The store.
    own : DaemonAddress
        What the entry states.
    timers : TimerService
        Timers of further attempts.
    logger : FilteringBoundLogger
        Receives the result.
    """

    def __init__(
        self,
        platform: PlatformPort,
        own: DaemonAddress,
        timers: TimerService,
        logger: FilteringBoundLogger,
    ) -> None:
        self._platform = platform
        self._own = own
        self._timers = timers
        self._logger = logger

    def register(self) -> None:
        """Create the entry; try again later if that fails."""
        self._write(None)

    def _write(self, version: int | None) -> None:
        spec = registry_spec(self._own)
        self._platform.write(
            Kind.DAEMON, self._own.name, spec, version, self._on_written
        )

    def _on_written(self, result: WriteResult) -> None:
        match result:
            case Written():
                self._logger.info("registered", name=self._own.name)
            case Conflicted():
                # An earlier process of this VM registered, maybe with another address.
                self._platform.read(Kind.DAEMON, self._own.name, self._on_read)
            case Failed(detail):
                self._logger.warning("not_registered", reason=detail)
                self._timers.call_later(REGISTRY_PERIOD_MS, self.register)

    def _on_read(self, result: ReadResult) -> None:
        match result:
            case Found(stored) if stored.spec != registry_spec(self._own):
                self._write(stored.version)
            case Missing() | Failed():
                self._timers.call_later(REGISTRY_PERIOD_MS, self.register)


def registry_spec(daemon: DaemonAddress) -> dict[str, object]:
    """Return the fields of a daemon's entry."""
    return {
        "zone": daemon.zone,
        "host": daemon.host,
        "port": daemon.port,
        "query_port": daemon.query_port,
        "legs_per_s": daemon.legs_per_s,
    }


def registered_daemon(stored: StoredObject) -> DaemonAddress | None:
    """Return the daemon of an entry, or None if fields are missing or malformed.

    An entry of an earlier build states neither a port for queries nor a capacity.
    """
    spec = stored.spec
    zone, host, port = (spec.get(key) for key in ("zone", "host", "port"))
    if not (isinstance(zone, str) and isinstance(host, str) and isinstance(port, int)):
        return None
    query_port, legs_per_s = spec.get("query_port"), spec.get("legs_per_s")
    if not isinstance(query_port, int) or not isinstance(legs_per_s, int | float):
        return DaemonAddress(stored.name, zone, host, port)
    return DaemonAddress(stored.name, zone, host, port, query_port, float(legs_per_s))


__all__ = [
    "REGISTRY_PERIOD_MS",
    "Registration",
    "registered_daemon",
    "registry_spec",
]
