"""Steps on leafs that state a limit, asked by several daemons in virtual time."""

from __future__ import annotations

from bisect import bisect_left
from random import Random

import attrs
from behave import given, then, when
from serving_world import SHARDS, ServingWorld

from snipemount.decisions.fleet.limit_shares import LimitShares
from snipemount.model.forwarding import Merged, RequestRefused
from snipemount.model.leaf_notice import SILENT_NOTICE, LeafNotice, RequestLimit
from snipemount.standins.scripted_leafs import ScriptedLeafs
from snipemount.timers import VirtualTimers

WINDOW_MS = 4000.0
SETTLING_MS = 4000.0  # after which a stated limit has to be kept


def make_daemons(context, count, coordinators=()):
    """Make daemons that ask the same leafs and share the limits on them."""
    names = [f"daemon-{number}" for number in range(count)]
    context.timers = VirtualTimers()
    context.leafs = ScriptedLeafs(context.timers)
    context.daemons = []
    for name in names:
        world = ServingWorld(timers=context.timers, leafs=context.leafs, own=name)
        world.serving_context.limit_shares = LimitShares(
            name, frozenset(names), frozenset(coordinators)
        )
        world.start()
        context.daemons.append(world)
    context.serving = context.daemons[0]
    context.random = Random(5)
    context.limited = {}


@given("{count:d} daemons that ask the same shards of two leafs each")
def step_daemons(context, count):
    make_daemons(context, count)


@given(
    "{count:d} daemons, of which {coordinators:d} coordinate queries over all shards"
)
def step_coordinators(context, count, coordinators):
    names = [f"daemon-{number}" for number in range(coordinators)]
    make_daemons(context, count, names)
    del context.daemons[coordinators:]


def set_limit(context, share, limit):
    """Let a share of the shards' leafs state a limit, or none."""
    leaf_ids = sorted(context.daemons[0].leafs.scripts)
    shard_leafs = [leaf_id for leaf_id in leaf_ids if leaf_id.startswith("shard")]
    chosen = Random(11).sample(shard_leafs, int(share * len(shard_leafs)))
    for leaf_id in chosen:
        context.leafs.scripts[leaf_id].notice = limit
    context.limited = dict.fromkeys(chosen, context.timers.now_ms())


@when("{percent:d} of 100 leafs take {per_s:g} requests/s from now on")
def step_limit(context, percent, per_s):
    set_limit(context, percent / 100.0, LeafNotice(RequestLimit(per_s)))


@when("the leafs of {zone} take {per_s:g} requests/s from now on")
def step_limit_zone(context, zone, per_s):
    for leaf_id, script in context.leafs.scripts.items():
        if leaf_id.endswith(zone):
            script.notice = LeafNotice(RequestLimit(per_s))


@when("all leafs start again without a limit")
def step_restart(context):
    step_no_limit(context)
    now_ms = context.timers.now_ms()
    for world in context.daemons:
        for state in world.directory.all_states():
            restarted = attrs.evolve(state.leaf, started_wall_ms=2.0)
            world.directory.put(restarted, now_ms)


@when("leafs of {zone} respond to nobody")
def step_cut_off(context, zone):
    context.timers.run_until(context.timers.now_ms() + 2000.0)
    for world in context.daemons:
        for number in range(20):
            leaf = world.directory.find(f"shard{number}-{zone}").leaf
            world.serving_context.note_unresponsive(leaf)
        assert world.serving_context.reachability.is_cut_off(zone)


@then("no leaf gets a further attempt at a request once it has stated its limit")
def step_no_further(context):
    stated = set()
    asked = set()
    for time_ms, leaf_id, request_id in context.leafs.arrivals:
        shard = leaf_id.partition("-")[0]
        is_further = (request_id, shard) in asked
        asked.add((request_id, shard))
        known = leaf_id in stated and time_ms > context.limits_known_ms
        assert not (is_further and known), (time_ms, leaf_id, request_id)
        stated.add(leaf_id)
    assert len(stated) == 2 * len(SHARDS)


@when("they are all known")
def step_known(context):
    for world in context.daemons:
        states = world.directory.all_states()
        assert all(s.limit for s in states if s.leaf.service in SHARDS)
    context.limits_known_ms = context.timers.now_ms()


@when("no leaf states a limit any more")
def step_no_limit(context):
    for script in context.leafs.scripts.values():
        script.notice = SILENT_NOTICE


@when("{per_s:g} queries/s are asked unevenly for {span_s:g} s")
def step_ask(context, per_s, span_s):
    weights = [1.0 + number % 3 for number in range(len(context.daemons))]
    end_ms = context.timers.now_ms() + span_s * 1000.0
    while context.timers.now_ms() < end_ms:
        (world,) = context.random.choices(context.daemons, weights)
        world.ask("find")
        wait_ms = context.random.expovariate(per_s / 1000.0)
        context.timers.run_until(context.timers.now_ms() + wait_ms)


@then("each of them gets at most 1.5 times {per_s:g} requests/s and 5 more in any 4 s")
def step_bound(context, per_s):
    most = 1.5 * per_s * WINDOW_MS / 1000.0 + 5.0
    for leaf_id, since_ms in context.limited.items():
        times_ms = [t for t, name, _ in context.leafs.arrivals if name == leaf_id]
        first = bisect_left(times_ms, since_ms + SETTLING_MS)
        for index in range(first, len(times_ms)):
            end = bisect_left(times_ms, times_ms[index] + WINDOW_MS)
            assert end - index <= most, (leaf_id, times_ms[index], end - index, most)


def samples_since(context, since_ms):
    """Return the queries that were asked after a time."""
    samples = [s for world in context.daemons for s in world.samples]
    return [s for s in samples if s.started_ms >= since_ms]


@then("at least {percent:d} of 100 queries of the last {span_s:g} s are answered")
def step_answered(context, percent, span_s):
    since_ms = context.timers.now_ms() - span_s * 1000.0
    samples = samples_since(context, since_ms)
    answered = sum(isinstance(s.outcome, Merged) for s in samples)
    assert 100 * answered >= percent * len(samples), (answered, len(samples))


@then("each other query was refused within {most_ms:g} ms and told when to come back")
def step_refused(context, most_ms):
    samples = samples_since(context, 0.0)
    others = [s for s in samples if not isinstance(s.outcome, Merged)]
    assert others
    for sample in others:
        assert isinstance(sample.outcome, RequestRefused), sample
        assert sample.elapsed_ms <= most_ms, sample
        assert 0.0 < sample.outcome.retry_after_ms < 60_000.0, sample


__all__ = ["SHARDS", "make_daemons", "set_limit"]
