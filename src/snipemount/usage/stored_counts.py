"""Stored object in which a collector keeps the counts of daemons.

`organisations` lists names once; the counts of a process are in the same order, without
the zeros at the end: `{"organisations": ["a", "b"], "windows": {"350000000":
{"daemon": {"run": {"closed": true, "counts": [3, 1]}}}}}`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..errors import MALFORMED_INPUT_ERRORS
from ..model.usage import (
    MAX_ORGANISATIONS,
    checked_count,
    checked_name,
    checked_window,
)
from .usage_collection import MAX_RUNS, UsageCollection

if TYPE_CHECKING:
    from .usage_collection import Run

MAX_WINDOWS = 64
MAX_FAULTS = 4  # that are stated of one object


def encode_counts(collection: UsageCollection) -> dict[str, Any]:
    """Return the document of a collection.

    Processes with the most organisations are left out where there would be too many
    of these together, so that a faulty process does not hide the counts of others.
    """
    windows = {number: collection.runs(number) for number in collection.windows}
    names, left_out = _organisations_of(collection)
    organisations = sorted(names)
    encoded: dict[str, dict[str, dict[str, Any]]] = {}
    for number, runs in windows.items():
        daemons = encoded.setdefault(str(number), {})
        for (daemon, run_id), run in sorted(runs.items()):
            if (daemon, run_id) in left_out:
                continue
            counts = [run.counts.get(name, 0) for name in organisations]
            while counts and not counts[-1]:
                counts.pop()
            daemons.setdefault(daemon, {})[run_id] = {
                "closed": run.closed,
                "counts": counts,
            }
    return {"organisations": organisations, "windows": encoded}


def _organisations_of(
    collection: UsageCollection,
) -> tuple[set[str], set[Run]]:
    """Return the organisations to state, and the processes to leave out."""
    of_runs: dict[Run, set[str]] = {}
    for number in collection.windows:
        for run, counts in collection.runs(number).items():
            of_runs.setdefault(run, set()).update(counts.counts)
    names: set[str] = set()
    left_out: set[Run] = set()
    for run, of_run in sorted(of_runs.items(), key=lambda item: len(item[1])):
        if len(names | of_run) > MAX_ORGANISATIONS:
            left_out.add(run)
        else:
            names |= of_run
    return names, left_out


def decode_counts(
    document: dict[str, Any], into: UsageCollection, first: int, last: int
) -> list[str]:
    """Merge the counts of a document into a collection.

    Parameters
    ----------
    document : dict
        The stored document.
    into : UsageCollection
        Receives the counts.
    first, last : int
        Windows to read; the others are left out.

    Returns
    -------
    list of str
        Causes for which entries were dropped, a few of them.
    """
    faults: list[str] = []
    try:
        organisations = _organisations(document["organisations"])
        windows = dict(document["windows"])
        if len(windows) > MAX_WINDOWS:
            raise ValueError(f"{len(windows)} windows are more than {MAX_WINDOWS}")
        numbered = {checked_window(int(key)): value for key, value in windows.items()}
    except MALFORMED_INPUT_ERRORS as error:
        return [f"document: {error!r}"[:200]]
    for window, daemons in numbered.items():
        if first <= window <= last:
            _decode_window(window, daemons, organisations, into, faults)
    return faults[:MAX_FAULTS]


def _organisations(value: Any) -> list[str]:
    if not isinstance(value, list):
        raise TypeError(f"organisations {value!r} is not a list")
    if len(value) > MAX_ORGANISATIONS:
        raise ValueError(f"{len(value)} organisations")
    if len(set(value)) != len(value):
        raise ValueError("an organisation is listed twice")
    return [checked_name(name) for name in value]


def _decode_window(
    window: int,
    daemons: Any,
    organisations: list[str],
    into: UsageCollection,
    faults: list[str],
) -> None:
    if not isinstance(daemons, dict) or len(daemons) > MAX_RUNS:
        faults.append(f"window {window}: not a map of at most {MAX_RUNS} daemons")
        return
    for daemon, runs in daemons.items():
        try:
            decoded = [
                ((checked_name(daemon), checked_name(run)), *_run(entry, organisations))
                for run, entry in runs.items()
            ]
            for run, closed, counts in decoded:
                into.add(window, run, closed, counts)
        except MALFORMED_INPUT_ERRORS as error:
            faults.append(f"window {window}, daemon {daemon}: {error!r}"[:200])


def _run(entry: Any, organisations: list[str]) -> tuple[bool, list[tuple[str, int]]]:
    closed, counts = entry["closed"], entry["counts"]
    if not isinstance(closed, bool):
        raise TypeError(f"closed: {closed!r} is not a boolean")
    if not isinstance(counts, list) or len(counts) > len(organisations):
        raise TypeError("counts is not a list with a number for each organisation")
    numbers = [checked_count(number) for number in counts]
    return closed, list(zip(organisations, numbers, strict=False))


__all__ = ["decode_counts", "encode_counts"]
