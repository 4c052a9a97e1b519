"""Steps on the identity of callers in queries that daemons delegate."""

from __future__ import annotations

import attrs
import cbor2
from behave import given, then, when
from fleet_world import SHARDS, configuration
from serving_world import HOST

from snipemount.adapters.delegation_codec import decode_delegation, encode_delegation
from snipemount.errors import DecodeError
from snipemount.model.delegation import DelegatedQuery
from snipemount.model.forwarding import ForwardRequest
from snipemount.model.identity import (
    Anonymous,
    OfOrganisation,
    Organisation,
    Unchecked,
)
from snipemount.platform.leaf_connection import encode_request

KEY = "k-secret"
FIELDS = 14  # of a query as builds without organisations encode it


def make_query(caller):
    """Return a delegated query of a caller."""
    request = ForwardRequest(
        "q1", "GET", "/find/1", HOST, (), b"", 900.0, caller=caller
    )
    return DelegatedQuery(1, "other", request, 2, 100.0, 900.0, ())


@given("organisations whose key only the small VM knows")
def step_organisations(context):
    for daemon in context.fleet.daemons:
        keys = frozenset({KEY} if daemon is context.small else ())
        organisations = (Organisation("acme", keys),)
        in_force = attrs.evolve(configuration(2), organisations=organisations)
        daemon.gateway.put_in_force(in_force)


@when("a caller of the small VM sends a query with its key")
def step_ask(context):
    leafs = context.fleet.leafs
    send = leafs.send
    context.received = []

    def record(leaf, request, time_left_ms, done):
        context.received.append(encode_request(leaf, request, time_left_ms))
        return send(leaf, request, time_left_ms, done)

    leafs.send = record
    submit = context.small.gateway.submit

    def submit_with_key(request, done):
        identity = ((0, "Authorization", f"Token {KEY}"), (1, "X-Tenant", "other"))
        return submit(
            attrs.evolve(request, api_key=KEY, identity_headers=identity), done
        )

    context.small.gateway.submit = submit_with_key
    context.sample = context.fleet.ask(context.small)


@then("the leafs were told the organisation and no message has the key")
def step_told(context):
    assert len(context.received) >= len(SHARDS)
    for head in context.received:
        assert b"\r\nX-Tenant: acme\r\n" in head and b"other" not in head, head
        assert KEY.encode() not in head, head
    messages = context.fleet.delegation.messages
    assert any(isinstance(message, DelegatedQuery) for message in messages)
    for message in messages:
        assert KEY not in repr(message), message
        assert KEY.encode() not in encode_delegation(message), message


@then("a coordinator runs a delegated query of an organisation or a public route")
def step_runs(context):
    gateway = context.fleet.daemons[0].gateway
    assert gateway.may_run(make_query(OfOrganisation("unknown here")))
    assert gateway.may_run(make_query(Anonymous()))


@then("a coordinator declines one whose caller was not identified")
def step_declines(context):
    assert not context.fleet.daemons[0].gateway.may_run(make_query(Unchecked()))


@then("a query whose caller was not identified has no further field, another has one")
def step_fields(context):
    for caller in (Unchecked(), Anonymous(), OfOrganisation("acme", 0)):
        frame = encode_delegation(make_query(caller))
        further = 0 if isinstance(caller, Unchecked) else 1
        assert len(cbor2.loads(frame)) == FIELDS + further
        assert decode_delegation(frame).request.caller == caller


@then("a query with a malformed identity is refused")
def step_malformed(context):
    fields = cbor2.loads(encode_delegation(make_query(Unchecked())))
    for identity in (["a\r\nb", 1], ["a", "1"], ["a"], "a", [7, None], None):
        try:
            decode_delegation(cbor2.dumps([*fields, identity]))
        except DecodeError:
            continue
        raise AssertionError(f"{identity!r} was accepted")
