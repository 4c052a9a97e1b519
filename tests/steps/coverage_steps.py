"""Steps on coverage."""

from __future__ import annotations

import math

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import strategies as st
from small_world import finished_samples

from snipemount.decisions.query.merge import Merge, MergeResult
from snipemount.errors import ResultCode
from snipemount.model.exchange import Hit, Partial

PARTIALS = st.builds(
    Partial,
    shard=st.integers(-1, 5),
    snapshot=st.sampled_from(["s1", "s2"]),
    hits=st.lists(
        st.builds(Hit, st.text(max_size=3), st.floats(-1, 1) | st.just(math.nan)),
        max_size=4,
    ).map(tuple),
    complete=st.booleans(),
)


@then("for any partial answers the coverage counts each shard once and correctly")
def step_property(context):
    @given_any(st.lists(PARTIALS, max_size=30), st.integers(1, 5))
    def check(partials, shard_count):
        merge = Merge("s1", range(shard_count), top_k=3)
        merged: dict[int, Partial] = {}
        for partial in partials:
            result = merge.add(partial)
            good = (
                partial.snapshot == "s1"
                and 0 <= partial.shard < shard_count
                and len(partial.hits) <= 3
                and all(math.isfinite(h.score) for h in partial.hits)
            )
            known = merged.get(partial.shard)
            better = known is None or (partial.complete and not known.complete)
            assert (result is MergeResult.MERGED) == (good and better)
            if result is MergeResult.MERGED:
                merged[partial.shard] = partial
        coverage = merge.coverage()
        full = [s for s, p in merged.items() if p.complete]
        assert coverage.total == shard_count
        assert coverage.answered == len(full)
        missing = {m.shard: m.partial for m in coverage.missing}
        assert set(missing) == set(range(shard_count)) - set(full)
        assert all(missing[s] == (s in merged) for s in missing)
        scores = [h.score for p in merged.values() for h in p.hits]
        best = sorted(scores, reverse=True)[:3]
        assert [h.score for h in merge.hits()] == best

    check()


@given("1 in 2 answers of the leafs are incomplete")
def step_partial(context):
    for model in context.world.models.values():
        model.behaviour.partial_rate = 0.5


@when("every replica of shard 0 is lost")
def step_lose_shard(context):
    for model in context.world.servers_of("finder"):
        if 0 in model.server.shards:
            model.behaviour.restart_ms = math.inf
            model.crash()


@when("the servers of {zone} are lost")
def step_lose_zone(context, zone):
    for model in context.world.models.values():
        if model.server.zone == zone:
            model.behaviour.restart_ms = math.inf
            model.crash()


@then("each answer that names a partial shard has the code PARTIAL")
def step_says_partial(context):
    partial = [
        s.answer
        for s in finished_samples(context.world)
        if any(m.partial for m in s.answer.coverage.missing)
    ]
    assert partial, "no leaf gave an incomplete answer"
    assert all(answer.code is ResultCode.PARTIAL for answer in partial)


@then("no answer is complete, and each partial one names shard 0")
def step_names(context):
    for sample in finished_samples(context.world):
        assert not sample.complete
        assert sample.answer.code in (ResultCode.PARTIAL, ResultCode.OVERLOADED)
        if sample.answer.code is ResultCode.PARTIAL:
            assert 0 in {m.shard for m in sample.answer.coverage.missing}
