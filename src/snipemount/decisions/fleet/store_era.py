"""Era of the platform's store, as the answers to a daemon's calls state it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ...model.store_version import UNKNOWN_ERA
from ...ports.platform import Failed, Written

if TYPE_CHECKING:
    from ...model.store_version import StoreVersion
    from ...ports.platform import WriteResult


@attrs.frozen
class PresentAnswer:
    """An answer of the present era.

    Parameters
    ----------
    era : int
        The era; `UNKNOWN_ERA` while the store has stated none.
    """

    era: int


@attrs.frozen
class FirstOfEra:
    """The first answer of an era that was not known.

    Parameters
    ----------
    era : int
        The era.
    before : int
        Era known before; `UNKNOWN_ERA` if none was.
    """

    era: int
    before: int


@attrs.frozen
class EarlierAnswer:
    """An answer that the store made before a return that is known already."""

    era: int


AnswerEra = PresentAnswer | FirstOfEra | EarlierAnswer


class EraTracker:
    """Tells which answers are of the store's present era.

    Calls overlap, so an answer from before a return may arrive after one from
    afterwards. A store's era only rises, so the answer to a call that began when the
    known era was higher shows that this one was never the store's.

    Attributes
    ----------
    era : int
        Era known now; `UNKNOWN_ERA` while the store has stated none.
    """

    def __init__(self) -> None:
        self.era = UNKNOWN_ERA

    def answered(
        self, stated: int | None, era_at_call: int, may_be_stale: bool = False
    ) -> AnswerEra:
        """Apply an answer and return how it relates to the present era.

        Parameters
        ----------
        stated : int or None
            Era that the answer states; None if it states none that can be read. It is
            then taken for one of the present era.
        era_at_call : int
            Era known when the call began.
        may_be_stale : bool
            Whether the answer may describe a state of some seconds ago, also in a call
            that has just begun.
        """
        before = self.era
        if stated is None or stated == before:
            return PresentAnswer(before)
        if stated > before or (stated < era_at_call and not may_be_stale):
            self.era = stated
            return FirstOfEra(stated, before)
        return EarlierAnswer(stated)


def checked_write(result: WriteResult, condition: StoreVersion) -> WriteResult:
    """Return the result of a conditional write, unless it met another history.

    The store compares numbers only, and after a return another state of the object may
    have this number: what such a write has replaced is not known.

    Parameters
    ----------
    result : WriteResult
        Result as the store states it.
    condition : StoreVersion
        Version that the object was to have.
    """
    if not isinstance(result, Written):
        return result
    era = result.stored.version.era
    if era == condition.era:
        return result
    return Failed(f"written in era {era} of the store, not in {condition.era}")


__all__ = [
    "AnswerEra",
    "EarlierAnswer",
    "EraTracker",
    "FirstOfEra",
    "PresentAnswer",
    "checked_write",
]
