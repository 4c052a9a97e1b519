"""`snipemount status`, `zone status`, `move status`, `events`, `histogram`.

Each prints the state of the deployment as one daemon reports it.
"""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
import cappa

from ..client import AdminArguments, format_table

ZONE_COLUMNS = ("zone", "state", "servers", "daemons")
MOVE_COLUMNS = ("service", "from", "to", "state", "share", "judged", "reason")


def format_zones(zones: list[dict[str, Any]]) -> list[str]:
    """Return the lines of a table of availability zones.

    Parameters
    ----------
    zones : list of dict
        Zones as the administration interface returns them.
    """
    rows = [
        (z["name"], "out" if z["out"] else "in", z["servers"], z["daemons_alive"])
        for z in zones
    ]
    return format_table(rows, ZONE_COLUMNS)


def format_moves(moves: list[dict[str, Any]]) -> list[str]:
    """Return the lines of a table of version moves.

    Parameters
    ----------
    moves : list of dict
        Moves as the administration interface returns them.
    """
    rows = [
        (
            m["service"],
            m["from_version"],
            m["to_version"],
            m["state"],
            f"{m['share']:.2f}",
            m["judged"],
            m["reason"] or "-",
        )
        for m in moves
    ]
    return format_table(rows, MOVE_COLUMNS)


@cappa.command(name="status", help="Show daemons, zones and moves.")
@attrs.define(kw_only=True)
class StatusCommand(AdminArguments):
    """Arguments of `status`."""

    def __call__(self) -> None:
        """Print the daemons, availability zones and version moves."""
        status = asyncio.run(self.call_daemon("GET", "/status"))
        daemons = [
            (d["name"], d["zone"], "alive" if d["alive"] else "silent")
            for d in status["daemons"]
        ]
        lines = format_table(daemons, ("daemon", "zone", "state"))
        lines += [
            "",
            *format_zones(status["zones"]),
            "",
            *format_moves(status["moves"]),
        ]
        self.print_result(status, lines)


@cappa.command(name="status", help="Show the availability zones.")
@attrs.define(kw_only=True)
class ZoneStatusCommand(AdminArguments):
    """Arguments of `zone status`."""

    def __call__(self) -> None:
        """Print the availability zones."""
        zones = asyncio.run(self.call_daemon("GET", "/zones"))
        self.print_result(zones, format_zones(zones))


@cappa.command(name="status", help="Show the version moves.")
@attrs.define(kw_only=True)
class MoveStatusCommand(AdminArguments):
    """Arguments of `move status`."""

    def __call__(self) -> None:
        """Print the version moves."""
        moves = asyncio.run(self.call_daemon("GET", "/moves"))
        self.print_result(moves, format_moves(moves))


@cappa.command(name="events", help="List the events reported to operators.")
@attrs.define(kw_only=True)
class Events(AdminArguments):
    """Arguments of `events`."""

    def __call__(self) -> None:
        """Print the stored events, each with the daemon that wrote it."""
        events = asyncio.run(self.call_daemon("GET", "/events"))
        rows = [
            (e["subject"], e["what"], e["reason"], e["reported_by"]) for e in events
        ]
        self.print_result(
            events, format_table(rows, ("subject", "what", "reason", "by"))
        )


@cappa.command(name="histogram", help="Show latency by service, caller and class.")
@attrs.define(kw_only=True)
class HistogramCommand(AdminArguments):
    """Arguments of `histogram`."""

    def __call__(self) -> None:
        """Print p50, p99 and p99.9 of the latency of each series."""
        histograms = asyncio.run(self.call_daemon("GET", "/histograms"))
        rows = [
            (
                row["series"]["service"],
                row["series"]["caller"],
                row["series"]["priority"],
                row["count"],
                f"{row['p50_ms']:.2f}",
                f"{row['p99_ms']:.2f}",
                f"{row['p999_ms']:.2f}",
            )
            for row in histograms
        ]
        columns = ("service", "caller", "class", "count", "p50_ms", "p99_ms", "p999_ms")
        self.print_result(histograms, format_table(rows, columns))


__all__ = [
    "Events",
    "HistogramCommand",
    "MoveStatusCommand",
    "StatusCommand",
    "ZoneStatusCommand",
]
