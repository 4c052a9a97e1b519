"""Codec of reports on requests that leafs crash on.

On the relay a crash is a list of six fields and an answer one of four. In the store
times of day stand in place of ages, and the zone is the name of the object.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

from ..errors import MALFORMED_INPUT_ERRORS
from ..finite import finite_number
from ..model.crash import CrashReport, ReportedAnswer, ReportedStrike, StrikeNotice

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_TEXT = 200  # characters of a name
FINGERPRINT_DIGITS = 32
MAX_AGE_MS = 86_400_000.0
MAX_ENTRIES = 64  # of one kind that are read of a document
ANSWERED = "answered"
T = TypeVar("T")


def encode_strike(strike: ReportedStrike) -> list[Any]:
    """Return the fields of a crash on the relay."""
    notice = strike.notice
    return [
        notice.fingerprint,
        notice.notice_id,
        notice.server,
        notice.software,
        notice.zone,
        round(strike.age_ms),
    ]


def encode_answer(answer: ReportedAnswer) -> list[Any]:
    """Return the fields of an answer on the relay."""
    return [answer.fingerprint, answer.software, round(answer.age_ms), ANSWERED]


def decode_strike(fields: list[Any]) -> ReportedStrike:
    """Return the crash of these fields.

    Raises
    ------
    TypeError, ValueError
        When a field is missing or malformed.
    """
    fingerprint, notice_id, server, software, zone, age_ms = fields
    notice = StrikeNotice(
        _text(notice_id),
        _fingerprint(fingerprint),
        _text(server),
        _text(software),
        _text(zone),
    )
    return ReportedStrike(notice, _age_ms(age_ms))


def decode_answer(fields: list[Any]) -> ReportedAnswer:
    """Return the answer of these fields.

    Raises
    ------
    TypeError, ValueError
        When a field is missing or malformed.
    """
    fingerprint, software, age_ms, _ = fields
    return ReportedAnswer(_fingerprint(fingerprint), _text(software), _age_ms(age_ms))


def readable(decode: Callable[[list[Any]], T], fields: list[Any]) -> list[T]:
    """Return what `decode` reads of an entry; nothing if that is malformed.

    A name may be too long for this build: the other entries count.
    """
    try:
        return [decode(fields)]
    except MALFORMED_INPUT_ERRORS:
        return []


def encode_document(report: CrashReport, wall_ms: float) -> dict[str, Any]:
    """Return the document that is stored of a report made now."""
    strikes = [
        [
            strike.notice.fingerprint,
            strike.notice.notice_id,
            strike.notice.server,
            strike.notice.software,
            round(wall_ms - strike.age_ms),
        ]
        for strike in report.strikes
    ]
    answers = [
        [answer.fingerprint, answer.software, round(wall_ms - answer.age_ms)]
        for answer in report.answers
    ]
    return {"crashes": strikes, "answers": answers}


def decode_document(
    document: dict[str, Any], zone: str, wall_ms: float
) -> tuple[CrashReport, int]:
    """Return the report of a stored document, and how many entries were malformed.

    Parameters
    ----------
    document : dict
        The stored document; any process may have written it.
    zone : str
        Zone of the daemon that wrote it.
    wall_ms : float
        Present time of day.
    """
    strikes: list[ReportedStrike] = []
    answers: list[ReportedAnswer] = []
    crash_entries = _entries(document, "crashes")
    answer_entries = _entries(document, "answers")

    def stored_strike(entry: list[Any]) -> ReportedStrike:
        *fields, at_ms = entry
        return decode_strike([*fields, zone, _since(at_ms, wall_ms)])

    def stored_answer(entry: list[Any]) -> ReportedAnswer:
        fingerprint, software, at_ms = entry
        return decode_answer([fingerprint, software, _since(at_ms, wall_ms), ANSWERED])

    for entry in crash_entries:
        strikes += readable(stored_strike, entry)
    for entry in answer_entries:
        answers += readable(stored_answer, entry)
    entries = len(crash_entries) + len(answer_entries)
    faults = entries - len(strikes) - len(answers)
    return CrashReport(tuple(strikes), tuple(answers)), faults


def _entries(document: dict[str, Any], field: str) -> list[Any]:
    entries = document.get(field)
    return entries[:MAX_ENTRIES] if isinstance(entries, list) else []


def _since(at_ms: Any, wall_ms: float) -> float:
    """Return the time since then; 0 if it is later by another VM's clock."""
    return min(MAX_AGE_MS, max(0.0, wall_ms - finite_number(at_ms)))


def _age_ms(value: Any) -> float:
    age_ms = finite_number(value)
    if not 0.0 <= age_ms <= MAX_AGE_MS:
        raise ValueError(f"age of {age_ms} ms is not between 0 and {MAX_AGE_MS}")
    return age_ms


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"a value of type {type(value).__name__} is not a string")
    if len(value) > MAX_TEXT:
        raise ValueError(f"a name of {len(value)} characters is longer than {MAX_TEXT}")
    return value


def _fingerprint(value: Any) -> str:
    text = _text(value)
    if len(text) != FINGERPRINT_DIGITS or not text.isalnum():
        raise ValueError(f"{text!r} is not a fingerprint")
    return text


__all__ = [
    "decode_answer",
    "decode_document",
    "decode_strike",
    "encode_answer",
    "encode_document",
    "encode_strike",
    "readable",
]
