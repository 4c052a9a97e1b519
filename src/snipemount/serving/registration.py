"""Entry of this daemon in the registry of daemons in the platform's store."""

from __future__ import annotations

import math
from ipaddress import ip_address
from typing import TYPE_CHECKING, Any

from ..errors import MALFORMED_INPUT_ERRORS
from ..ports.platform import Conflicted, Failed, Found, Kind, Missing, Written
from ..ports.relay import DaemonAddress

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from ..model.store_version import StoreVersion
    from ..ports.platform import PlatformPort, ReadResult, StoredObject, WriteResult
    from ..timers import TimerService

REGISTRY_PERIOD_MS = 10_000.0  # of listings, and of attempts to register
MAX_PORT = 65535
MAX_LEGS_PER_S = 1_000_000.0  # beyond any VM's; the largest one decides who coordinates


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
        self._is_registered = False

    def register(self) -> None:
        """Create the entry; try again later if that fails."""
        self._write(None)

    def restore(self, registered: tuple[StoredObject, ...]) -> None:
        """Write the entry again if the registry has lost it, or holds an earlier one.

        So it does after a return of the store from an older copy.

        Parameters
        ----------
        registered : tuple of StoredObject
            A listing of the registry.
        """
        if not self._is_registered:
            return  # it is being written
        entry = next((s for s in registered if s.name == self._own.name), None)
        if entry is not None and entry.spec == registry_spec(self._own):
            return
        self._is_registered = False
        self._logger.warning("registration_lost", name=self._own.name)
        self._write(None if entry is None else entry.version)

    def update(self, registered: tuple[StoredObject, ...]) -> None:
        """Write the entry unless a current listing of the registry holds it already.

        An earlier process of this VM may have written it, maybe with another address.
        """
        for stored in registered:
            if stored.name == self._own.name:
                self._update_entry(stored)
                return
        self.register()

    def _update_entry(self, stored: StoredObject) -> None:
        if stored.spec == registry_spec(self._own):
            self._note_registered()
        else:
            self._write(stored.version)

    def _write(self, version: StoreVersion | None) -> None:
        spec = registry_spec(self._own)
        self._platform.write(
            Kind.DAEMON, self._own.name, spec, version, self._on_written
        )

    def _on_written(self, result: WriteResult) -> None:
        match result:
            case Written():
                self._note_registered()
            case Conflicted():
                # An earlier process of this VM registered, maybe with another address.
                self._platform.read(Kind.DAEMON, self._own.name, self._on_read)
            case Failed(detail):
                self._logger.warning("not_registered", reason=detail)
                self._timers.call_later(REGISTRY_PERIOD_MS, self.register)

    def _note_registered(self) -> None:
        self._is_registered = True
        self._logger.info("registered", name=self._own.name)

    def _on_read(self, result: ReadResult) -> None:
        match result:
            case Found(stored):
                self._update_entry(stored)
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

    Another writer may have left the entry, so every field is checked. An entry of an
    earlier build states neither a port for queries nor a capacity; 0 means the same.
    """
    spec = stored.spec
    try:
        return DaemonAddress(
            stored.name,
            _zone(spec["zone"]),
            str(ip_address(spec["host"])),
            _port(spec["port"]),
            _port(spec.get("query_port", 0), least=0),
            _capacity(spec.get("legs_per_s", 0.0)),
        )
    except MALFORMED_INPUT_ERRORS:
        return None


def _zone(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"zone {value!r} is not a non-empty string")
    return value


def _port(value: Any, least: int = 1) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"port {value!r} is not an integer")
    if not least <= value <= MAX_PORT:
        raise ValueError(f"port {value} is not between {least} and {MAX_PORT}")
    return value


def _capacity(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"capacity {value!r} is not a number")
    if math.isnan(value) or not 0.0 <= value <= MAX_LEGS_PER_S:
        raise ValueError(f"capacity {value} is not between 0 and {MAX_LEGS_PER_S:.0f}")
    return float(value)


__all__ = [
    "REGISTRY_PERIOD_MS",
    "Registration",
    "registered_daemon",
    "registry_spec",
]
