"""Counts of many daemons, merged so that repeats and reordering are harmless."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..model.usage import MAX_ORGANISATIONS

if TYPE_CHECKING:
    from collections.abc import Iterable

# Of one window; several times the daemons of any deployment.
MAX_RUNS = 10_000

Run = tuple[str, str]  # name of the daemon, id of its process


@attrs.define
class RunCounts:
    """What one process has counted in one window.

    Parameters
    ----------
    closed : bool
        Whether the counts are final.
    counts : dict of str to int
        Requests by organisation.
    """

    closed: bool = False
    counts: dict[str, int] = attrs.field(factory=dict)

    def merge(self, closed: bool, counts: Iterable[tuple[str, int]]) -> bool:
        """Take the larger of the counts; return whether anything has changed.

        Raises
        ------
        ValueError
            When there are too many organisations; nothing has changed then.
        """
        counts = tuple(counts)
        added = sum(name not in self.counts for name, _ in counts)
        if len(self.counts) + added > MAX_ORGANISATIONS:
            raise ValueError(f"more than {MAX_ORGANISATIONS} organisations")
        changed = closed and not self.closed
        self.closed = self.closed or closed
        for organisation, number in counts:
            if number > self.counts.get(organisation, 0):
                self.counts[organisation] = number
                changed = True
        return changed


@attrs.frozen
class WindowReport:
    """Requests of one window, over all daemons.

    Parameters
    ----------
    counts : dict of str to int
        Requests by organisation; those without any are left out.
    missing : tuple of str
        Daemons of which some counts may be missing.
    """

    counts: dict[str, int]
    missing: tuple[str, ...]


class UsageCollection:
    """Counts by window and process.

    The counts of one process in one window only grow, so the larger one is the later
    one, wherever it comes from.
    """

    def __init__(self) -> None:
        self._windows: dict[int, dict[Run, RunCounts]] = {}

    @property
    def windows(self) -> list[int]:
        """Numbers of the windows, in order."""
        return sorted(self._windows)

    def runs(self, window: int) -> dict[Run, RunCounts]:
        """Return the counts in a window, by process."""
        return self._windows.get(window, {})

    def add(
        self, window: int, run: Run, closed: bool, counts: Iterable[tuple[str, int]]
    ) -> bool:
        """Merge what a process has counted; return whether anything has changed.

        Raises
        ------
        ValueError
            When the window has too many processes, or the process too many
            organisations.
        """
        runs = self._windows.setdefault(window, {})
        known = runs.get(run)
        if known is not None:
            return known.merge(closed, counts)
        if len(runs) >= MAX_RUNS:
            raise ValueError(f"window {window} has counts of {len(runs)} processes")
        runs[run] = RunCounts()
        runs[run].merge(closed, counts)
        return True

    def merge(self, other: UsageCollection) -> None:
        """Merge another collection into this one."""
        for window in other.windows:
            for run, counts in other.runs(window).items():
                self.add(window, run, counts.closed, counts.counts.items())

    def remove_before(self, window: int) -> None:
        """Remove the windows before one."""
        for number in self.windows:
            if number < window:
                del self._windows[number]

    def daemons(self, window: int) -> set[str]:
        """Return the daemons with counts in a window."""
        return {daemon for daemon, _ in self.runs(window)}

    def missing(self, window: int, daemons: Iterable[str]) -> set[str]:
        """Return the daemons of which some counts of a window may be missing.

        Parameters
        ----------
        window : int
            Number of the window.
        daemons : iterable of str
            Those that must have closed it, besides those with counts in it.
        """
        runs = self.runs(window)
        unfinished = {daemon for (daemon, _), run in runs.items() if not run.closed}
        return unfinished | (set(daemons) - self.daemons(window))

    def report(self, window: int, daemons: Iterable[str]) -> WindowReport:
        """Return the sums of a window, and which of some daemons are missing."""
        sums: dict[str, int] = {}
        for run in self.runs(window).values():
            for organisation, number in run.counts.items():
                if number:
                    sums[organisation] = sums.get(organisation, 0) + number
        missing = tuple(sorted(self.missing(window, daemons)))
        return WindowReport(dict(sorted(sums.items())), missing)


__all__ = ["MAX_RUNS", "Run", "RunCounts", "UsageCollection", "WindowReport"]
