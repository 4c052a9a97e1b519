"""JSON form of an exchange with a backend server."""

from __future__ import annotations

import json
from typing import Any

from ..decisions.owner_messages import Answered
from ..errors import DecodeError
from ..model.exchange import Exchange, Hit, Partial
from . import strict_json

MAX_DEPTH = 8


def encode_exchange(exchange: Exchange, budget_ms: float) -> bytes:
    """Return the body that a backend server is sent."""
    document = {
        "request_id": exchange.request_id,
        "exchange_id": exchange.exchange_id,
        "snapshot": exchange.snapshot,
        "shards": exchange.shards,
        "route": exchange.route,
        "query": exchange.query,
        "deadline_ms": budget_ms,
        "top_k": exchange.top_k,
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode_answer(body: bytes, exchange: Exchange) -> Answered:
    """Return the answer of a backend server to `exchange`.

    Raises
    ------
    DecodeError
        When the body is malformed or answers another exchange.
    """
    try:
        document = json.loads(body, parse_constant=_refuse)
        if document["exchange_id"] != exchange.exchange_id:
            raise DecodeError("the answer belongs to another exchange")
        if document["request_id"] != exchange.request_id:
            raise DecodeError("the answer belongs to another request")
        partials = tuple(_decode_partial(item) for item in document["partials"])
        start_id = str(document["start_id"])
        return Answered(partials, start_id, bool(document["draining"]))
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise DecodeError(f"malformed answer: {error}") from error


def encode_answer(exchange: Exchange, answered: Answered) -> bytes:
    """Return the body with which a backend server answers."""
    document = {
        "request_id": exchange.request_id,
        "exchange_id": exchange.exchange_id,
        "start_id": answered.start_id,
        "draining": answered.draining,
        "partials": [
            {
                "shard": partial.shard,
                "snapshot": partial.snapshot,
                "complete": partial.complete,
                "hits": [[hit.document, hit.score] for hit in partial.hits],
            }
            for partial in answered.partials
        ],
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode_exchange_document(body: bytes) -> dict[str, Any]:
    """Return the document in a body that a backend server was sent."""
    document = strict_json.loads(body, MAX_DEPTH)
    if not isinstance(document, dict):
        raise DecodeError("an exchange must be an object")
    return document


def _decode_partial(item: dict[str, Any]) -> Partial:
    hits = tuple(Hit(str(document), float(score)) for document, score in item["hits"])
    return Partial(
        int(item["shard"]), str(item["snapshot"]), hits, bool(item["complete"])
    )


def _refuse(name: str) -> float:
    raise ValueError(f"{name} is not a JSON number")


__all__ = [
    "decode_answer",
    "decode_exchange_document",
    "encode_answer",
    "encode_exchange",
]
