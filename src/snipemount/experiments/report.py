"""Statistics, targets, tables and plots of experiments."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from pathlib import Path

    from .samples import Sample


@attrs.frozen
class RunStatistics:
    """Statistics of one run of an experiment.

    Parameters
    ----------
    label : str
        Service and variant of the run, as printed in the table.
    varied_value : float
        Value of the parameter that differs between the runs, such as the share of
        stragglers or of the capacity; 0 when there is none.
    requests : int
        Requests sent.
    complete : int
        Requests with a complete answer.
    p50_ms : float
        Median latency of the complete answers.
    p99_ms : float
        99th percentile of the latency of the complete answers.
    p999_ms : float
        99.9th percentile of the latency of the complete answers.
    coverage : float
        Share of the requested shards that answered, over the requests that were run.
    extra_load : float
        Extra attempts (hedges and retries) as a fraction of first attempts.
    note : str
        Further counts of the run, as text.
    """

    label: str
    varied_value: float
    requests: int
    complete: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    coverage: float
    extra_load: float
    note: str = ""


@attrs.frozen
class ExperimentTarget:
    """A target of an experiment.

    Parameters
    ----------
    text : str
        The measured value and its bound.
    met : bool
        Whether the measured value is within the bound.
    """

    text: str
    met: bool


@attrs.frozen
class Report:
    """Result of one experiment.

    Parameters
    ----------
    name : str
        Name of the experiment.
    rows : tuple of RunStatistics
        One entry for each run.
    targets : tuple of ExperimentTarget
        Targets that the runs are checked against.
    """

    name: str
    rows: tuple[RunStatistics, ...]
    targets: tuple[ExperimentTarget, ...]


def summarize(
    label: str,
    varied_value: float,
    samples: list[Sample],
    extra_load: float,
    note: str = "",
) -> RunStatistics:
    """Return the statistics of a run.

    Samples without an answer count as requests only. Requests that were not run do
    not count towards the coverage.
    """
    latencies_ms = sorted(s.elapsed_ms for s in samples if s.complete)
    requested = answered = 0
    for sample in samples:
        if sample.answer is None or sample.answer.coverage is None:
            continue
        if not sample.answer.not_run:
            requested += sample.answer.coverage.total
            answered += sample.answer.coverage.answered
    return RunStatistics(
        label=label,
        varied_value=varied_value,
        requests=len(samples),
        complete=len(latencies_ms),
        p50_ms=quantile(latencies_ms, 0.5),
        p99_ms=quantile(latencies_ms, 0.99),
        p999_ms=quantile(latencies_ms, 0.999),
        coverage=answered / requested if requested else 0.0,
        extra_load=extra_load,
        note=note,
    )


def quantile(ordered: list[float], fraction: float) -> float:
    """Return a quantile of values in ascending order; 0 when there are none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def to_text(report: Report) -> str:
    """Return a report as text: a table of the runs, then one line for each target."""
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
    """Write a bar chart of the p99 and p99.9 of each run to `path`.

    The suffix of `path` sets the file format. Needs the `plots` extra.

    Raises
    ------
    ModuleNotFoundError
        When matplotlib is not installed.
    """
    from matplotlib.figure import Figure

    figure = Figure(figsize=(8, 0.35 * len(report.rows) + 1.5), layout="constrained")
    axes = figure.subplots()
    labels = [row.label for row in report.rows]
    positions = range(len(labels))
    axes.barh(positions, [row.p999_ms for row in report.rows], label="p99.9", alpha=0.4)
    axes.barh(positions, [row.p99_ms for row in report.rows], label="p99")
    axes.set_yticks(positions, labels)
    axes.invert_yaxis()
    axes.set_xlabel("milliseconds")
    axes.set_title(report.name)
    axes.legend()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path)


__all__ = [
    "ExperimentTarget",
    "Report",
    "RunStatistics",
    "plot",
    "quantile",
    "summarize",
    "to_text",
]
