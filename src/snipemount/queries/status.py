"""`snipemount status`, `zone status`, `move status`, `events`, `histogram`."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
import cappa

from ..client import AdminArguments, table

ZONE_HEAD = ("zone", "state", "servers", "daemons")
MOVE_HEAD = ("service", "from", "to", "state", "share", "judged", "reason")


def zone_lines(zones: list[dict[str, Any]]) -> list[str]:
    """Return a table of availability zones."""
    rows = [
        (z["name"], "out" if z["out"] else "in", z["servers"], z["daemons_alive"])
        for z in zones
    ]
    return table(rows, ZONE_HEAD)


def move_lines(moves: list[dict[str, Any]]) -> list[str]:
    """Return a table of version moves."""
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
    return table(rows, MOVE_HEAD)


@cappa.command(name="status", help="Show daemons, zones and moves.")
@attrs.define(kw_only=True)
class StatusCommand(AdminArguments):
    """Arguments of the subcommand."""

    def __call__(self) -> None:
        """Print the status."""
        status = asyncio.run(self.ask("GET", "/status"))
        daemons = [
            (d["name"], d["zone"], "alive" if d["alive"] else "silent")
            for d in status["daemons"]
        ]
        lines = table(daemons, ("daemon", "zone", "state"))
        lines += ["", *zone_lines(status["zones"]), "", *move_lines(status["moves"])]
        self.show(status, lines)


@cappa.command(name="status", help="Show the availability zones.")
@attrs.define(kw_only=True)
class ZoneStatusCommand(AdminArguments):
    """Arguments of the subcommand."""

    def __call__(self) -> None:
        """Print the zones."""
        zones = asyncio.run(self.ask("GET", "/zones"))
        self.show(zones, zone_lines(zones))


@cappa.command(name="status", help="Show the version moves.")
@attrs.define(kw_only=True)
class MoveStatusCommand(AdminArguments):
    """Arguments of the subcommand."""

    def __call__(self) -> None:
        """Print the moves."""
        moves = asyncio.run(self.ask("GET", "/moves"))
        self.show(moves, move_lines(moves))


@cappa.command(name="events", help="Show what operators were told.")
@attrs.define(kw_only=True)
class Events(AdminArguments):
    """Arguments of the subcommand."""

    def __call__(self) -> None:
        """Print the events."""
        events = asyncio.run(self.ask("GET", "/events"))
        rows = [
            (e["subject"], e["what"], e["reason"], e["reported_by"]) for e in events
        ]
        self.show(events, table(rows, ("subject", "what", "reason", "by")))


@cappa.command(name="histogram", help="Show latency by service, caller and class.")
@attrs.define(kw_only=True)
class HistogramCommand(AdminArguments):
    """Arguments of the subcommand."""

    def __call__(self) -> None:
        """Print the quantiles."""
        found = asyncio.run(self.ask("GET", "/histograms"))
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
            for row in found
        ]
        head = ("service", "caller", "class", "count", "p50_ms", "p99_ms", "p999_ms")
        self.show(found, table(rows, head))


__all__ = [
    "Events",
    "HistogramCommand",
    "MoveStatusCommand",
    "StatusCommand",
    "ZoneStatusCommand",
]
