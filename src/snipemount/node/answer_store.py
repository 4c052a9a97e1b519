"""JSON form of answers, for responses to callers and for stored outcomes."""

from __future__ import annotations

import json
from typing import Any

from ..decisions.requests.claims import MAX_OUTCOME_CHARS
from ..errors import ResultCode
from ..model.answer import Answer, Coverage, MissingShard
from ..model.exchange import Hit, Reason


def answer_document(answer: Answer) -> dict[str, Any]:
    """Return the JSON document that callers receive as the answer."""
    document: dict[str, Any] = {
        "request_id": answer.request_id,
        "code": answer.code.value,
        "result": answer.code.name,
        "not_run": answer.not_run,
        "hits": [{"document": hit.document, "score": hit.score} for hit in answer.hits],
        "snapshot": answer.snapshot,
        "coverage": None,
        "timings": {"elapsed_ms": round(answer.elapsed_ms, 3)},
        "restarts": answer.restarts,
        "detail": answer.detail or answer.code.description,
    }
    if answer.coverage is not None:
        document["coverage"] = _coverage_document(answer.coverage)
    return document


def answer_to_text(answer: Answer) -> str:
    """Return the answer as JSON text without whitespace, for storage."""
    return json.dumps(answer_document(answer), separators=(",", ":"))


def outcome_text(answer: Answer) -> str:
    """Return the text to store as the outcome of a claim.

    It is empty for an answer that is not OK, or too large.
    """
    text = answer_to_text(answer) if answer.code is ResultCode.OK else ""
    return text if len(text) <= MAX_OUTCOME_CHARS else ""


def answer_from_text(text: str) -> Answer | None:
    """Decode text written by `answer_to_text`; return None if it is malformed.

    The elapsed time is not restored.
    """
    try:
        document = json.loads(text)
        return Answer(
            request_id=document["request_id"],
            code=ResultCode(document["code"]),
            not_run=bool(document["not_run"]),
            hits=tuple(Hit(h["document"], h["score"]) for h in document["hits"]),
            snapshot=document["snapshot"],
            coverage=_coverage_from_document(document["coverage"]),
            detail=document["detail"],
            restarts=document["restarts"],
        )
    except (ValueError, KeyError, TypeError):
        return None


def _coverage_document(coverage: Coverage) -> dict[str, Any]:
    return {
        "shards_total": coverage.total,
        "shards_answered": coverage.answered,
        "complete": coverage.complete,
        "missing": [
            {
                "shard": missing.shard,
                "reason": missing.reason.name.lower(),
                "partial": missing.partial,
            }
            for missing in coverage.missing
        ],
    }


def _coverage_from_document(document: dict[str, Any] | None) -> Coverage | None:
    if document is None:
        return None
    missing = tuple(
        MissingShard(m["shard"], Reason[m["reason"].upper()], m["partial"])
        for m in document["missing"]
    )
    return Coverage(document["shards_total"], document["shards_answered"], missing)


__all__ = ["answer_document", "answer_from_text", "answer_to_text", "outcome_text"]
