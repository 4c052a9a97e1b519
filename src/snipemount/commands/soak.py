"""`snipemount soak`: run daemon processes on loopback under random faults."""

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


@cappa.command(
    name="soak", help="Run daemons under random faults and check guarantees."
)
@attrs.define
class Soak:
    """Arguments of `soak`.

    Parameters
    ----------
    seed : int
        First seed.
    seeds : int
        Number of seeds, run one after the other from `seed` on.
    minutes : float
        Time during which faults are injected, for each seed.
    daemons : int
        Number of daemons.
    logs : Path or None
        Folder that gets the daemons' logs of the seeds with violations; None to
        keep no logs.
    """

    seed: Annotated[int, cappa.Arg(long=True, help="First seed.")] = 1
    seeds: Annotated[int, cappa.Arg(long=True, help="Number of seeds.")] = 1
    minutes: Annotated[float, cappa.Arg(long=True, help="Minutes per seed.")] = 0.5
    daemons: Annotated[int, cappa.Arg(long=True, help="Number of daemons.")] = 3
    logs: Annotated[Path | None, cappa.Arg(long=True, help="Log folder.")] = None

    def __call__(self) -> None:
        """Run the seeds; exit with status 1 when a guarantee was violated."""
        failed_seeds = 0
        for seed in range(self.seed, self.seed + self.seeds):
            with tempfile.TemporaryDirectory() as path:
                folder = Path(path)
                fault_ms = self.minutes * MS_PER_MINUTE
                soak = run_soak(seed, fault_ms, self.daemons, folder)
                summary = uvloop.run(soak)
                failed_seeds += self._report_result(summary, folder)
        print(f"{self.seeds} seeds, {failed_seeds} with a violated guarantee")
        sys.exit(1 if failed_seeds else 0)

    def _report_result(self, summary: SoakSummary, folder: Path) -> bool:
        print(json.dumps(attrs.asdict(summary)), flush=True)
        violated = bool(summary.violations or summary.time_violations)
        if violated and self.logs is not None:
            log_folder = self.logs / f"seed-{summary.seed}"
            log_folder.mkdir(parents=True, exist_ok=True)
            for log in folder.glob("*.log"):
                (log_folder / log.name).write_bytes(log.read_bytes())
        return violated


__all__ = ["Soak"]
