"""Tables and plots of experiments."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from pathlib import Path

    from .world import Sample


@attrs.frozen
class Figures:
    """What one run of an experiment showed.

    Parameters
    ----------
    label : str
        What was run.
    x : float
        Place on the horizontal axis of the plot.
    requests : int
        Requests sent.
    complete : int
        Complete answers.
    p50_ms : float
        Median time of the complete answers.
    p99_ms : float
        99 in 100 complete answers came within this time.
    p999_ms : float
        999 in 1000 complete answers came within this time.
    coverage : float
        Shards answered of shards asked, over the requests not refused.
    extra_load : float
        Hedges and retries of first attempts.
    note : str
        What else was counted.
    """

    label: str
    x: float
    requests: int
    complete: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    coverage: float
    extra_load: float
    note: str = ""


@attrs.frozen
class Target:
    """A stated target and whether the figures meet it."""

    text: str
    met: bool


@attrs.frozen
class Report:
    """Result of one experiment."""

    name: str
    rows: tuple[Figures, ...]
    targets: tuple[Target, ...]


def summarize(
    label: str, x: float, samples: list[Sample], extra_load: float, note: str = ""
) -> Figures:
    """Return the figures of a run."""
    times = sorted(s.elapsed_ms for s in samples if s.full)
    asked = answered = 0
    for sample in samples:
        if sample.answer is None or sample.answer.coverage is None:
            continue
        if not sample.answer.not_run:
            asked += sample.answer.coverage.total
            answered += sample.answer.coverage.answered
    return Figures(
        label=label,
        x=x,
        requests=len(samples),
        complete=len(times),
        p50_ms=quantile(times, 0.5),
        p99_ms=quantile(times, 0.99),
        p999_ms=quantile(times, 0.999),
        coverage=answered / asked if asked else 0.0,
        extra_load=extra_load,
        note=note,
    )


def quantile(ordered: list[float], fraction: float) -> float:
    """Return a quantile of ordered values; 0 when there are none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def to_text(report: Report) -> str:
    """Return the table of a report as text."""
    lines = [
        f"{'run':38} {'requests':>8} {'complete':>8} {'p50_ms':>7} {'p99_ms':>7} "
        f"{'p999_ms':>8} {'coverage':>9} {'extra':>6}  note"
    ]
    lines += [
        f"{row.label:38} {row.requests:8d} {row.complete:8d} {row.p50_ms:7.1f} "
        f"{row.p99_ms:7.1f} {row.p999_ms:8.1f} {row.coverage:9.4f} "
        f"{row.extra_load:6.3f}  {row.note}"
        for row in report.rows
    ]
    lines += [f"{'met' if t.met else 'MISSED':7} {t.text}" for t in report.targets]
    return "\n".join(lines)


def plot(report: Report, path: Path) -> None:
    """Write a plot of the p99 of each run; needs the `plots` extra.

    Raises
    ------
    ModuleNotFoundError
        When matplotlib is not installed.
    """
    from matplotlib.figure import Figure

    figure = Figure(figsize=(8, 0.35 * len(report.rows) + 1.5), layout="constrained")
    axes = figure.subplots()
    labels = [row.label for row in report.rows]
    places = range(len(labels))
    axes.barh(places, [row.p999_ms for row in report.rows], label="p99.9", alpha=0.4)
    axes.barh(places, [row.p99_ms for row in report.rows], label="p99")
    axes.set_yticks(places, labels)
    axes.invert_yaxis()
    axes.set_xlabel("milliseconds")
    axes.set_title(report.name)
    axes.legend()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path)


__all__ = ["Figures", "Report", "Target", "plot", "quantile", "summarize", "to_text"]
