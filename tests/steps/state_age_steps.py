"""Steps on the age of the state known from the store."""

from __future__ import annotations

import cbor2
from behave import then

from snipemount.adapters.relay_codec import (
    CONFIRMATION,
    decode_relay,
    encode_relay,
)
from snipemount.decisions.state_age import StateAgeLimits
from snipemount.errors import DecodeError
from snipemount.model.relay import RelayConfirmation
from snipemount.ports.platform import Kind


@then(
    "for a bound of {bound_ms:g} ms a watch waits {wait_ms:g} ms and a state may be "
    "{age_ms:g} ms old"
)
def step_limits(context, bound_ms, wait_ms, age_ms):
    limits = StateAgeLimits.for_bound(bound_ms)
    assert (limits.watch_wait_ms, limits.max_age_ms) == (wait_ms, age_ms), limits


@then("a confirmation of a state {age_ms:g} ms old is read as {read_ms:g} ms old")
def step_relayed_age(context, age_ms, read_ms):
    frame = encode_relay(RelayConfirmation(Kind.LEAF, 5, age_ms))
    assert decode_relay(frame) == RelayConfirmation(Kind.LEAF, 5, read_ms)


@then("a confirmation of a build that states no age is read as current")
def step_no_age(context):
    frame = cbor2.dumps([CONFIRMATION, "leafs", 5])
    assert decode_relay(frame) == RelayConfirmation(Kind.LEAF, 5, 0.0)


@then("a confirmation with an age of -1, nan or inf ms is refused")
def step_odd_age(context):
    for age_ms in (-1.0, float("nan"), float("inf")):
        frame = cbor2.dumps([CONFIRMATION, "leafs", 5, age_ms])
        try:
            decoded = decode_relay(frame)
        except DecodeError:
            continue
        raise AssertionError(f"{decoded} was accepted")
