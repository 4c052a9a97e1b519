"""Steps on snapshots."""

from __future__ import annotations

import attrs
from behave import given, then, when
from small_world import finished_samples

from snipemount.model.fleet import ServerLeaf


def _tokens(record):
    return {record.shard_map(v.version).snapshot.token for v in record.versions}


def _change_record(world, remove_old_after_ms, change):
    record = world.services["finder"]
    old_tokens = _tokens(record)
    version = change(record.versions[0])
    changed = attrs.evolve(record, versions=(version,))
    for model in world.servers_of("finder"):
        model.snapshots |= _tokens(changed)
    world.put_service(changed)

    def remove_old():
        for model in world.servers_of("finder"):
            model.snapshots -= old_tokens

    world.timers.call_later(remove_old_after_ms, remove_old)


@given("the servers of {zone} answer from another snapshot")
def step_wrong(context, zone):
    for model in context.world.models.values():
        model.behaviour.wrong_snapshot = model.server.zone == zone


@when("the index moves to {index} and the old one is removed {delay:g} ms later")
def step_index(context, index, delay):
    _change_record(context.world, delay, lambda v: attrs.evolve(v, index=index))


@when("the service is repartitioned to 2 shards")
def step_repartition(context):
    def change(version):
        servers = tuple(
            attrs.evolve(s, leafs=tuple(ServerLeaf(n, 2) for n in (0, 1)))
            for s in version.servers
        )
        return attrs.evolve(version, partitioning=2, shard_count=2, servers=servers)

    _change_record(context.world, 100.0, change)
    for model in context.world.servers_of("finder"):
        model.add_shards((0, 1), 2)


@when("the servers remove the old index")
def step_drop(context):
    for model in context.world.servers_of("finder"):
        model.snapshots = {"finder/v1/i9/1"}


@then("answers came from both indexes, each answer from one")
def step_both(context):
    tokens = {
        s.answer.snapshot for s in finished_samples(context.world) if s.answer.snapshot
    }
    assert tokens == {"finder/v1/i1/1", "finder/v1/i2/1"}, tokens


@then("answers cover 4 shards at first and 2 shards at the end")
def step_totals(context):
    totals = [
        s.answer.coverage.total for s in finished_samples(context.world) if s.complete
    ]
    assert totals[0] == 4 and totals[-1] == 2, totals
    assert totals == sorted(totals, reverse=True)


@then("each answer states correctly that nothing ran")
def step_not_run(context):
    for sample in finished_samples(context.world):
        assert sample.answer.not_run, sample.answer
        prefix = sample.request.request_id + "/"
        for model in context.world.models.values():
            assert not any(key.startswith(prefix) for key in model.starts_by_leg)
