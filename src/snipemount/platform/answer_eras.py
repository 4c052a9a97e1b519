"""Eras that the answers of the platform's store state in their headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.fleet.store_era import EarlierAnswer, EraTracker, FirstOfEra
from ..model.store_version import MAX_ERA, UNKNOWN_ERA
from .headers import STORE_ERA

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


class EarlierAnswerError(Exception):
    """An answer that the store made before a return that is known already."""


class AnswerEras:
    """Reads the era of each answer, and announces an era that was not known.

    Announcements wait until the receiver of the answer has got it: a listing that is
    the first of an era needs no second one.
    """

    def __init__(self) -> None:
        self._tracker = EraTracker()
        self._observers: list[Callable[[int, int], None]] = []
        self._unannounced: list[FirstOfEra] = []

    @property
    def era(self) -> int:
        """Era known now; `UNKNOWN_ERA` while the store has stated none."""
        return self._tracker.era

    def subscribe(self, on_era: Callable[[int, int], None]) -> None:
        """Call back with each new era and the one known before."""
        self._observers.append(on_era)

    def read(
        self,
        headers: Mapping[str, str],
        era_at_call: int,
        may_be_stale: bool = False,
    ) -> int:
        """Return the era of an answer.

        Parameters
        ----------
        headers : mapping of str to str
            Headers of the answer.
        era_at_call : int
            Era known when the call began.
        may_be_stale : bool
            Whether the answer may describe a state of some seconds ago.

        Raises
        ------
        EarlierAnswerError
            When the store made the answer before a return that is known already.
        """
        stated = stated_era(headers.get(STORE_ERA, ""))
        match self._tracker.answered(stated, era_at_call, may_be_stale):
            case EarlierAnswer(era):
                raise EarlierAnswerError(f"era {era} of the store is over")
            case FirstOfEra() as first:
                self._unannounced.append(first)
        return self._tracker.era

    def announce(self) -> None:
        """Announce the eras that have been read since the last call."""
        unannounced, self._unannounced = self._unannounced, []
        for first in unannounced:
            for on_era in self._observers:
                on_era(first.era, first.before)


def stated_era(text: str) -> int | None:
    """Return the era in the text of a header; None if it is not one."""
    if not (text.isascii() and text.isdigit()):
        return None
    era = int(text) if len(text) <= len(str(MAX_ERA)) else MAX_ERA + 1
    return era if UNKNOWN_ERA < era <= MAX_ERA else None


__all__ = ["AnswerEras", "EarlierAnswerError", "stated_era"]
