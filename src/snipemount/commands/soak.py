"""`snipemount soak`: real daemons on loopback under random faults."""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import attrs
import cappa
import uvloop

from ..soak.run import SoakSummary, run_soak

MS_PER_MINUTE = 60_000.0


@cappa.command(name="soak", help="Run daemons under random faults and check promises.")
@attrs.define
class Soak:
    """Arguments of the subcommand.

    Parameters
    ----------
    seed : int
        First seed.
    seeds : int
        How many seeds, one after the other.
    minutes : float
        How long faults are brought about, each seed.
    daemons : int
        How many daemons.
    logs : Path or None
        Folder that keeps the daemons' logs of seeds with findings.
    """

    seed: Annotated[int, cappa.Arg(long=True, help="First seed.")] = 1
    seeds: Annotated[int, cappa.Arg(long=True, help="How many seeds.")] = 1
    minutes: Annotated[float, cappa.Arg(long=True, help="Length of each.")] = 0.5
    daemons: Annotated[int, cappa.Arg(long=True, help="How many daemons.")] = 3
    logs: Annotated[Path | None, cappa.Arg(long=True, help="Keeps logs.")] = None

    def __call__(self) -> None:
        """Run the seeds; exits with 1 when a promise was broken."""
        broken = 0
        for seed in range(self.seed, self.seed + self.seeds):
            with tempfile.TemporaryDirectory() as name:
                folder = Path(name)
                span_ms = self.minutes * MS_PER_MINUTE
                work = run_soak(seed, span_ms, self.daemons, folder)
                summary = uvloop.run(work)
                broken += self._report(summary, folder)
        print(f"{self.seeds} seeds, {broken} with a broken promise")
        sys.exit(1 if broken else 0)

    def _report(self, summary: SoakSummary, folder: Path) -> bool:
        print(json.dumps(attrs.asdict(summary)), flush=True)
        found = bool(summary.violations or summary.time_violations)
        if found and self.logs is not None:
            kept = self.logs / f"seed-{summary.seed}"
            kept.mkdir(parents=True, exist_ok=True)
            for log in folder.glob("*.log"):
                (kept / log.name).write_bytes(log.read_bytes())
        return found


__all__ = ["Soak"]
