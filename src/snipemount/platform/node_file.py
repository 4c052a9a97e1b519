"""Settings file that the platform writes for each daemon process."""

from __future__ import annotations

import math
import os
from typing import TYPE_CHECKING

import attrs

from ..decisions.leafs.leaf_directory import DEFAULT_HEARTBEAT_MS
from ..duties.record import MAX_LEASE_MS
from ..errors import SettingsError
from ..memory.unfinished_requests import ProgressTimeouts

if TYPE_CHECKING:
    from pathlib import Path

NODE_FILE_VARIABLE = "SNIPEMOUNT_NODE_FILE"
DEFAULT_PATH = "/etc/snipemount/local.conf"
MS_PER_S = 1000.0
PRESSURE = "pressure"  # in the list of contracts
USAGE_REPORT = "usage_report"  # in the list of duties
# Windows of the usage report whose report may be due at a time: a stored object with
# counts holds no more.
MAX_DUE_WINDOWS = 60


@attrs.frozen
class Endpoint:
    """IP address and TCP port."""

    host: str
    port: int


@attrs.frozen
class VmCapacity:
    """Processor and network link that the platform gives to this VM.

    Parameters
    ----------
    cores : float
        Processor time per second, in cores of the usual speed, for one thread.
    link_mbps : float
        Bandwidth of the VM's link in Mbit/s; 0 when the platform states none.
    """

    cores: float
    link_mbps: float


@attrs.frozen
class ProcessLimits:
    """Limits of the platform on this process.

    Parameters
    ----------
    memory_mb : float
        Memory above which the process is killed; 0 when the platform states none.
    max_descriptors : int
        Descriptors that the process may have open; 0 when the platform states none.
    """

    memory_mb: float = 0.0
    max_descriptors: int = 0


@attrs.frozen
class DutySettings:
    """Duties that one daemon at a time performs for the whole deployment.

    Parameters
    ----------
    reports_usage : bool
        Whether the usage of organisations is reported.
    unknown_names : tuple of str
        Duties that are asked for and that this build does not perform.
    address : Endpoint or None
        Where they are performed.
    calls_per_s : float
        Calls there that all daemons together may make per second; 0 for no limit.
    lease_ms : int
        Time in which no second daemon may act.
    report_window_ms : float
        Length of a window of the usage report.
    report_due_ms : float
        Time after the end of a window until its report is due.
    """

    reports_usage: bool = False
    unknown_names: tuple[str, ...] = ()
    address: Endpoint | None = None
    calls_per_s: float = 0.0
    lease_ms: int = 3000
    report_window_ms: float = 5000.0
    report_due_ms: float = 10_000.0


@attrs.frozen
class GuaranteeBounds:
    """Bounds that the operators set for the guarantees.

    Parameters
    ----------
    drain_ms : float
        Time after which a draining leaf must get no further request.
    grace_ms : float
        Time between the signal to stop and the kill.
    extra_attempt_ratio : float
        Extra attempts allowed per request of a service.
    extra_attempt_window_ms : float
        Sliding window in which requests and extra attempts are counted.
    extra_attempt_slack : float
        Extra attempts allowed on top of the ratio, in each window.
    canary_share : float
        Largest share of the requests that a bad version may get.
    cold_load_ratio : float
        Factor on the load that the operators state for a cold leaf.
    cold_slack_per_s : float
        Requests per second to a cold leaf allowed on top.
    zone_out_ms : float
        Time after which no request may reach a zone that operators have taken out.
    configuration_ms : float
        Time after which no request may be handled by an older configuration.
    version_back_ms : float
        Time after which a bad version may get no more requests.
    """

    drain_ms: float
    grace_ms: float
    extra_attempt_ratio: float
    extra_attempt_window_ms: float
    extra_attempt_slack: float
    canary_share: float
    cold_load_ratio: float
    cold_slack_per_s: float
    zone_out_ms: float
    configuration_ms: float
    version_back_ms: float


@attrs.frozen
class NodeSettings:
    """Settings of one daemon: its own addresses, its peers and the bounds.

    Parameters
    ----------
    name : str
        Name of the daemon's VM.
    zone : str
        Availability zone.
    callers : Endpoint
        Address to listen on for callers.
    readiness : Endpoint
        Address to listen on for the balancer's readiness checks.
    store : Endpoint
        Address of the platform's store.
    peers : Endpoint
        Address to listen on for other daemons; the port is the same on all VMs.
    queries : Endpoint
        Address to listen on for queries that other daemons delegate.
    seeds : tuple of str
        IP addresses of some VMs with a daemon; may be out of date.
    first_start : bool
        Whether the whole system is being started for the first time.
    leaf_heartbeat_ms : float
        Period of the leafs' heartbeats to the store.
    capacity : VmCapacity
        Processor and link of the VM.
    bounds : GuaranteeBounds
        Bounds that the operators set for the guarantees.
    limits : ProcessLimits
        Limits of the platform on this process.
    duties : DutySettings
        Duties that one daemon at a time performs.
    caller_timeouts : ProgressTimeouts
        Times within which callers have to make progress.
    leafs_under_pressure : bool
        Whether leafs may be overloaded, so that requests are admitted by their load.
    """

    name: str
    zone: str
    callers: Endpoint
    readiness: Endpoint
    store: Endpoint
    peers: Endpoint
    queries: Endpoint
    seeds: tuple[str, ...]
    first_start: bool
    leaf_heartbeat_ms: float
    capacity: VmCapacity
    bounds: GuaranteeBounds
    limits: ProcessLimits = ProcessLimits()
    duties: DutySettings = DutySettings()
    caller_timeouts: ProgressTimeouts = ProgressTimeouts()
    leafs_under_pressure: bool = False


def node_file_path() -> str:
    """Return the path of the settings file, from the environment or the default."""
    return os.environ.get(NODE_FILE_VARIABLE, DEFAULT_PATH)


def read_node_file(path: Path) -> NodeSettings:
    """Read and check the settings file.

    Raises
    ------
    SettingsError
        When it cannot be read, or a field is missing or malformed.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return parse_node_file(text)


def parse_node_file(text: str) -> NodeSettings:
    """Parse the settings file's text; unknown fields are ignored.

    Raises
    ------
    SettingsError
        When a field is missing or malformed.
    """
    fields = _Fields(dict(_pairs(text)))
    return NodeSettings(
        name=fields.text("node_name"),
        zone=fields.text("zone"),
        callers=fields.endpoint("listen_addrs.front"),
        readiness=fields.endpoint("listen_addrs.readiness"),
        store=fields.endpoint("platform.address"),
        peers=Endpoint(fields.text("ip"), fields.peer_port("port_range", 0)),
        queries=Endpoint(fields.text("ip"), fields.peer_port("port_range", 1)),
        seeds=fields.hosts("seeds"),
        first_start=fields.flag("bootstrap"),
        leaf_heartbeat_ms=fields.number("heartbeat_ms", DEFAULT_HEARTBEAT_MS),
        capacity=VmCapacity(
            # A share of each core, and how many times as fast as usual they are.
            cores=fields.number("limits.cpu_share", 1.0)
            * fields.number("limits.cpu_cores", 1.0),
            link_mbps=fields.number("limits.link_mbps", 0.0),
        ),
        bounds=GuaranteeBounds(
            drain_ms=fields.number("bounds.drain_ms", 3000.0),
            grace_ms=fields.number("bounds.grace_s", 6.0) * MS_PER_S,
            extra_attempt_ratio=fields.number("bounds.retry_budget_ratio", 0.2),
            extra_attempt_window_ms=fields.number("bounds.retry_window_s", 10.0)
            * MS_PER_S,
            extra_attempt_slack=fields.number("bounds.retry_budget_slack", 0.0),
            canary_share=fields.number("bounds.canary_share", 0.1),
            cold_load_ratio=fields.number("bounds.cold_over", 1.0),
            cold_slack_per_s=fields.number("bounds.cold_slack", 0.0),
            zone_out_ms=fields.number("bounds.evacuate_ms", 5000.0),
            configuration_ms=fields.number("bounds.config_apply_ms", 3000.0),
            version_back_ms=fields.number("bounds.rollback_ms", 5000.0),
        ),
        limits=ProcessLimits(
            memory_mb=fields.limit("limits.memory_mb"),
            max_descriptors=int(fields.limit("limits.max_fds")),
        ),
        duties=_duties(fields),
        caller_timeouts=ProgressTimeouts(
            body_ms=fields.positive("limits.body_timeout_ms", 30_000.0),
            stall_ms=fields.positive("limits.body_stall_ms", 5_000.0),
        ),
        leafs_under_pressure=PRESSURE in fields.names("contracts"),
    )


def _duties(fields: _Fields) -> DutySettings:
    names = fields.names("cloud_api.duties")
    if not names:
        return DutySettings()
    window_s = fields.positive("bounds.report_window_s", 5.0)
    due_s = fields.positive("bounds.usage_late_s", 10.0)
    if due_s > MAX_DUE_WINDOWS * window_s:
        raise SettingsError(
            f"bounds.report_window_s: {window_s:g} is less than bounds.usage_late_s "
            f"({due_s:g}) / {MAX_DUE_WINDOWS}"
        )
    return DutySettings(
        reports_usage=USAGE_REPORT in names,
        unknown_names=tuple(sorted(names - {USAGE_REPORT})),
        address=fields.endpoint("cloud_api.address"),
        calls_per_s=fields.limit("cloud_api.duty_per_s"),
        lease_ms=fields.whole("bounds.lease_ms", 3000, MAX_LEASE_MS),
        report_window_ms=window_s * MS_PER_S,
        report_due_ms=due_s * MS_PER_S,
    )


def _pairs(text: str) -> list[tuple[str, str]]:
    lines = (line.strip() for line in text.splitlines())
    kept = (line for line in lines if line and not line.startswith("#"))
    split = (line.partition("=") for line in kept)
    return [(key.strip(), value.strip()) for key, _, value in split]


class _Fields:
    """Typed access to the file's fields, with errors that name the key."""

    def __init__(self, fields: dict[str, str]) -> None:
        self._fields = fields

    def text(self, key: str) -> str:
        value = self._fields.get(key, "")
        if not value:
            raise SettingsError(f"{key}: missing")
        return value

    def number(self, key: str, default: float) -> float:
        value = self._fields.get(key, "")
        if not value:
            return default
        try:
            return float(value)
        except ValueError:
            raise SettingsError(f"{key}: {value!r} is not a number") from None

    def positive(self, key: str, default: float) -> float:
        value = self.number(key, default)
        if not (math.isfinite(value) and value > 0.0):
            raise SettingsError(f"{key}: {value:g} is not a positive number")
        return value

    def limit(self, key: str) -> float:
        """Return a limit; 0 for none."""
        return self.positive(key, 0.0) if self.number(key, 0.0) != 0.0 else 0.0

    def whole(self, key: str, default: int, maximum: int) -> int:
        """Return a whole number between 1 and `maximum`."""
        value = self.number(key, float(default))
        if not (1.0 <= value <= maximum and value.is_integer()):
            raise SettingsError(
                f"{key}: {value:g} is not a whole number from 1 to {maximum}"
            )
        return int(value)

    def flag(self, key: str) -> bool:
        return self._fields.get(key, "").lower() == "true"

    def peer_port(self, key: str, offset: int) -> int:
        """Return the port at `offset` in a range of first and last port."""
        first, _, last = self.text(key).partition(",")
        if not first.isdigit() or not last.isdigit():
            raise SettingsError(f"{key}: {self.text(key)!r} is not a range of ports")
        port = int(first) + offset
        if port > int(last):
            raise SettingsError(f"{key}: {port} is beyond the last port {last}")
        return port

    def names(self, key: str) -> frozenset[str]:
        """Return the names in a list."""
        listed = (name.strip() for name in self._fields.get(key, "").split(","))
        return frozenset(name for name in listed if name)

    def hosts(self, key: str) -> tuple[str, ...]:
        addresses = self._fields.get(key, "").split(",")
        hosts = (address.strip().rpartition(":")[0] for address in addresses)
        return tuple(host for host in hosts if host)

    def endpoint(self, key: str) -> Endpoint:
        host, _, port = self.text(key).rpartition(":")
        if not host or not port.isdigit():
            raise SettingsError(f"{key}: {self.text(key)!r} is not host:port")
        return Endpoint(host, int(port))


__all__ = [
    "DutySettings",
    "Endpoint",
    "GuaranteeBounds",
    "NodeSettings",
    "ProcessLimits",
    "VmCapacity",
    "node_file_path",
    "parse_node_file",
    "read_node_file",
]
