"""JSON codec for exchanges with backend servers."""

from __future__ import annotations

import json
from typing import Any

from ..decisions.servers.owner_messages import Answered
from ..errors import DecodeError
from ..model.exchange import Exchange, Hit, Partial
from . import strict_json

MAX_JSON_DEPTH = 8


def encode_exchange(exchange: Exchange, budget_ms: float) -> bytes:
    """Encode an exchange as a request body for a backend server.

    `budget_ms`, the time left until the deadline, is sent as `deadline_ms`.
    """
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
    """Decode the response of a backend server to `exchange`.

    Raises
    ------
    DecodeError
        When the body is malformed or is the response to another exchange.
    """
    try:
        document = json.loads(body, parse_constant=_reject_constant)
        if document["exchange_id"] != exchange.exchange_id:
            raise DecodeError(f"response is not to exchange {exchange.exchange_id}")
        if document["request_id"] != exchange.request_id:
            raise DecodeError(f"response is not to request {exchange.request_id!r}")
        partials = tuple(_decode_partial(item) for item in document["partials"])
        start_id = str(document["start_id"])
        return Answered(partials, start_id, bool(document["draining"]))
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise DecodeError(f"malformed response: {error}") from error


def encode_answer(exchange: Exchange, answered: Answered) -> bytes:
    """Encode the response body with which a backend server answers `exchange`."""
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
    """Decode a request body that `encode_exchange` created, as a JSON object.

    Raises
    ------
    DecodeError
        When the body is not a JSON object or is nested too deeply.
    """
    document = strict_json.loads(body, MAX_JSON_DEPTH)
    if not isinstance(document, dict):
        raise DecodeError("an exchange must be a JSON object")
    return document


def _decode_partial(item: dict[str, Any]) -> Partial:
    hits = tuple(Hit(str(document), float(score)) for document, score in item["hits"])
    return Partial(
        int(item["shard"]), str(item["snapshot"]), hits, bool(item["complete"])
    )


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is not a JSON number")


__all__ = [
    "decode_answer",
    "decode_exchange_document",
    "encode_answer",
    "encode_exchange",
]
