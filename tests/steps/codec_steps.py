"""Steps for the encoders and decoders of messages."""

from __future__ import annotations

import json

import attrs
import cbor2
from behave import then
from hypothesis import example
from hypothesis import given as given_hypothesis
from hypothesis import strategies as st

from snipemount.adapters.caller_codec import decode_request
from snipemount.adapters.leg_codec import decode_answer, encode_answer, encode_exchange
from snipemount.adapters.mesh_codec import FrameEncoder, decode_frame
from snipemount.decisions.fleet.membership import Member
from snipemount.decisions.servers.owner_messages import Answered
from snipemount.errors import DecodeError, RequestError
from snipemount.model.catalogue import ServiceRecord
from snipemount.model.crash import StrikeNotice
from snipemount.model.exchange import (
    Attempt,
    Exchange,
    ExchangeReply,
    Fate,
    Hit,
    Partial,
    Reason,
    ServerLoad,
)
from snipemount.model.profile import Profile
from snipemount.model.request import Priority, Request
from snipemount.ports import peer
from snipemount.settings import CallerSettings

TEXT = st.text(max_size=8)
COUNT = st.integers(0, 2**40)
FLOAT = st.floats(0, 1e6)
HITS = st.lists(st.builds(Hit, TEXT, FLOAT), max_size=3).map(tuple)
PARTIAL = st.builds(Partial, COUNT, TEXT, HITS, st.booleans())
LOAD = st.builds(
    ServerLoad, COUNT, COUNT, FLOAT, FLOAT, st.booleans(), st.booleans(), FLOAT
)
EXCHANGE = st.builds(
    Exchange,
    exchange_id=COUNT,
    request_id=TEXT,
    service=TEXT,
    server=TEXT,
    snapshot=TEXT,
    shards=st.lists(COUNT, max_size=4).map(tuple),
    route=TEXT,
    query=TEXT,
    caller=TEXT,
    priority=st.sampled_from(Priority),
    budget_ms=FLOAT,
    top_k=COUNT,
    repeatable=st.booleans(),
    fingerprint=TEXT,
    attempt=st.sampled_from(Attempt),
    proven=st.booleans(),
    last_resort=st.booleans(),
)
REPLY = st.builds(
    ExchangeReply,
    COUNT,
    TEXT,
    TEXT,
    st.sampled_from(Fate),
    st.sampled_from(Reason),
    st.lists(PARTIAL, max_size=3).map(tuple),
    st.none() | LOAD,
    FLOAT,
)
MEMBER = st.builds(Member, TEXT, TEXT, TEXT, st.integers(0, 65535), st.booleans())
MESSAGES = st.lists(
    st.one_of(
        st.builds(peer.Heartbeat, MEMBER),
        st.builds(peer.DaemonStopped, TEXT),
        st.builds(peer.ReportUnresponsive, TEXT),
        st.builds(peer.SubmitExchange, EXCHANGE),
        st.builds(peer.WithdrawExchange, COUNT, TEXT),
        st.builds(peer.ReportExchange, REPLY),
        st.builds(peer.ReportStrike, st.builds(StrikeNotice, TEXT, TEXT, TEXT)),
        st.builds(peer.ReportWarm, st.lists(TEXT, max_size=3).map(tuple)),
    ),
    max_size=5,
)
ANY_VALUE = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | TEXT | st.binary(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(TEXT, inner),
    max_leaves=12,
)


class SingleServiceCatalogue:
    """Catalogue with one service, named s."""

    def service(self, name):
        """Return the record of service s, or None."""
        return ServiceRecord("s", "p", "v", ()) if name == "s" else None

    def profile(self, name):
        """Return a default profile with this name."""
        return Profile(name)


@then("any list of messages is equal after encoding and decoding")
def step_round_trip(context):
    @given_hypothesis(MESSAGES)
    def check(messages):
        encoder = FrameEncoder()
        for message in messages:
            encoder.add(message)
        decoded = decode_frame(encoder.take())
        assert [attrs.asdict(m) for m in decoded] == [attrs.asdict(m) for m in messages]
        assert [type(m) for m in decoded] == [type(m) for m in messages]

    check()


@then("any bytes are decoded as a frame or refused")
def step_mesh_decoder(context):
    frames = st.tuples(st.just(1), st.lists(TEXT, max_size=3), st.lists(ANY_VALUE))

    @given_hypothesis(st.binary(max_size=80) | frames.map(cbor2.dumps))
    @example(b"\x9f" * 5000)
    @example(cbor2.dumps([1, ["t"], [[3, -5, 0]]]))
    def check(frame):
        try:
            decode_frame(frame)
        except DecodeError as error:
            assert error.detail

    check()


@then("any body is decoded as a caller's request or refused")
def step_caller_decoder(context):
    fields = ["service", "query", "top_k", "deadline_ms", "caller", "priority", "x"]
    documents = st.dictionaries(
        st.sampled_from(fields), ANY_VALUE.filter(_is_json_serializable)
    )
    bodies = documents.map(lambda d: json.dumps({"service": "s", **d}).encode())

    @given_hypothesis(st.binary(max_size=60) | bodies)
    @example(b'{"service": "s", "query": ' + b"[" * 5000)
    @example(b'{"service": "s", "query": 1, "deadline_ms": 1e400}')
    def check(body):
        try:
            request = decode_request(
                body, "r", CallerSettings(), SingleServiceCatalogue()
            )
        except RequestError as error:
            assert error.detail and 100 <= error.code < 300
        else:
            assert isinstance(request, Request) and request.deadline_ms > 0

    check()


def _is_json_serializable(value):
    try:
        json.dumps(value)
    except (TypeError, ValueError):
        return False
    return True


@then(
    "any backend answer is decoded, and refused when truncated or to another exchange"
)
def step_backend_decoder(context):
    @given_hypothesis(EXCHANGE, st.lists(PARTIAL, max_size=3).map(tuple), st.data())
    def check(exchange, partials, data):
        body = encode_answer(exchange, Answered(partials, "s#1"))
        decoded = decode_answer(body, exchange)
        assert decoded.partials is not None and len(decoded.partials) == len(partials)
        assert json.loads(encode_exchange(exchange, 1.0))["query"] == exchange.query
        other_exchange = attrs.evolve(exchange, exchange_id=exchange.exchange_id + 1)
        cut_at = data.draw(st.integers(0, len(body) - 1))
        for wrong_body, expected in ((body, other_exchange), (body[:cut_at], exchange)):
            try:
                decode_answer(wrong_body, expected)
            except DecodeError:
                continue
            raise AssertionError(
                "a truncated answer or one to another exchange was decoded"
            )

    check()
