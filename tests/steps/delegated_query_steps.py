"""Steps on queries that daemons delegate to coordinators, and on their faults."""

from __future__ import annotations

from collections import Counter

from behave import given, then, when
from fleet_world import LARGE, LEAF_ZONES, MAX_ATTEMPTS, SHARDS, SMALL, FleetWorld
from serving_world import make_leaf

from snipemount.model.delegation import ConfigurationOffered, DelegatedQuery
from snipemount.model.forwarding import Merged, RequestFailed, RequestRefused

ZONES = (*LEAF_ZONES, "zone-d")


@given("{zones:d} zones with {large:d} large and {small:d} small VMs, before 90 shards")
def step_fleet(context, zones, large, small):
    world = FleetWorld()
    context.fleet = world
    for zone in ZONES[:zones]:
        world.add_daemons(zone, large, LARGE)
        world.add_daemons(zone, small, SMALL)
    world.start()
    world.run_for(600.0)
    context.small = world.daemons[-1]
    context.crashed = None


def coordinators_of(context):
    """Return the daemons that the small VM prefers, the nearest first."""
    by_name = {daemon.name: daemon for daemon in context.fleet.daemons}
    return [by_name[name] for name in context.small.coordinators.names]


@when('a caller of a small VM sends a "{route}" request')
@when('that small VM gets a "{route}" request')
def step_ask(context, route):
    context.nearest = next(iter(coordinators_of(context)), None)
    context.messages_before = len(context.fleet.delegation.messages)
    context.sample = context.fleet.ask(context.small, route)


@then("no message was sent between daemons")
def step_no_message(context):
    messages = context.fleet.delegation.messages
    assert not any(isinstance(message, DelegatedQuery) for message in messages)


@then("the answer is complete")
def step_complete(context):
    outcome = context.sample.outcome
    assert outcome is not None, "no answer"
    if isinstance(outcome, Merged):
        assert outcome.missing <= len(SHARDS) * 0.05, outcome.missing
    else:
        assert outcome.answer.succeeded, outcome


@then("it reached the caller within {limit_ms:g} ms")
def step_within(context, limit_ms):
    assert context.sample.elapsed_ms <= limit_ms, context.sample.elapsed_ms


@when("all large VMs crash")
def step_all_crash(context):
    for daemon in context.fleet.daemons:
        if daemon.vm.cores == LARGE[0]:
            crash(context, daemon)


def crash(context, daemon):
    """Crash a daemon: its connections end and its own work stops."""
    context.fleet.delegation.crash(daemon.name)
    daemon.vm.frozen_until_ms = float("inf")


def coordinator_of(context):
    """Return the daemon that runs the query."""
    (daemon,) = [d for d in context.fleet.daemons if d.queries.in_flight]
    return daemon


@when("the coordinator of the query crashes")
def step_crash(context):
    context.crashed = coordinator_of(context)
    crash(context, context.crashed)


@when("the small VM crashes")
def step_small_crash(context):
    crash(context, context.small)


@when("the coordinator of the query is cut off")
def step_cut(context):
    coordinator_of(context).peer.unreachable = True


@when("the nearest coordinator of a small VM is {fault}")
def step_fault(context, fault):
    nearest = coordinators_of(context)[0]
    context.stopped_name = nearest.name
    match fault:
        case "frozen":
            nearest.vm.frozen_until_ms = context.fleet.timers.now_ms() + 5000.0
        case "cut off":
            nearest.peer.unreachable = True
        case "full":
            nearest.queries.max_running_legs = -1


@when(
    '{after_ms:g} ms after the next "{route}" query of a small VM '
    "its coordinator {fault}"
)
def step_fault_in_query(context, after_ms, route, fault):
    nearest = coordinators_of(context)[0]
    step_ask(context, route)
    context.fleet.run_for(after_ms)
    match fault:
        case "crashes":
            crash(context, nearest)
        case "is cut off":
            nearest.peer.unreachable = True
        case "is mute":
            nearest.peer.mute = True
        case "stalls for 250 ms":
            nearest.vm.frozen_until_ms = context.fleet.timers.now_ms() + 250.0


@when("{zone} is cut off from the others")
def step_cut_off(context, zone):
    context.fleet.cut_off(zone)


@when("{zone} is not cut off any more")
def step_joined(context, zone):
    context.fleet.cut_off("")


def large_vm(context, zone):
    """Return the daemon of a zone's large VM."""
    (daemon,) = [
        d for d in context.fleet.daemons if d.zone == zone and d.vm.cores == LARGE[0]
    ]
    return daemon


@when("{count:d} queries of a large VM of {zone} arrive, {period_ms:g} ms apart")
def step_large_queries(context, count, zone, period_ms):
    for _ in range(count):
        context.fleet.ask(large_vm(context, zone))
        context.fleet.run_for(period_ms)


@when("the large VM of {zone} takes all other zones for cut off")
def step_takes_for_cut_off(context, zone):
    daemon = large_vm(context, zone)
    context.fleet.run_for(300.0)  # the last responses are old enough
    for leaf_zone in LEAF_ZONES:
        for shard in SHARDS[:4]:
            leaf = make_leaf(f"{shard}-{leaf_zone}", shard, leaf_zone)
            daemon.context.note_unresponsive(leaf)
    assert daemon.gateway.is_isolated


@when("the large VMs of {zone} know no leafs")
def step_no_leafs(context, zone):
    for daemon in context.fleet.daemons:
        if daemon.zone == zone and daemon.vm.cores == LARGE[0]:
            daemon.context.directory.set_zones_out(frozenset(LEAF_ZONES))


@when('a small VM of {zone} gets a "{route}" request')
def step_ask_in_zone(context, zone, route):
    context.small = next(
        d for d in context.fleet.daemons if d.zone == zone and d.vm.cores == SMALL[0]
    )
    step_ask(context, route)


@then("a coordinator of another zone than {zone} has answered")
def step_answered_elsewhere(context, zone):
    last = context.sample.run.delegations().split(",")[-1]
    assert ":answered:" in last and not last.startswith(zone), last


@then("all daemons of {zone} are isolated, and no others")
def step_zone_isolated(context, zone):
    isolated = {d.name for d in context.fleet.daemons if d.gateway.is_isolated}
    assert isolated == {d.name for d in context.fleet.daemons if d.zone == zone}


@then("no daemon is isolated")
def step_none_isolated(context):
    assert not [d.name for d in context.fleet.daemons if d.gateway.is_isolated]


@then("no small VM is isolated")
def step_no_small_isolated(context):
    isolated = [d for d in context.fleet.daemons if d.gateway.is_isolated]
    assert not [d.name for d in isolated if d.vm.cores == SMALL[0]]


@then("the query was refused")
def step_was_refused(context):
    assert isinstance(context.sample.outcome, RequestRefused), context.sample.outcome


@then("the query has failed")
def step_failed(context):
    assert isinstance(context.sample.outcome, RequestFailed), context.sample.outcome


@then("the query was given to {count:d} coordinator")
@then("the query was given to {count:d} coordinators")
def step_given_to(context, count):
    delegations = context.sample.run.delegations()
    coordinators = [named for named in delegations.split(",") if named]
    assert len(coordinators) == count, delegations


@then("no shard of the query was asked more often than its route allows")
def step_attempts(context):
    leafs_by_shard = {shard: set() for shard in SHARDS}
    for _, leaf, request in context.fleet.leafs.arrivals:
        if request == context.sample.request_id:
            leafs_by_shard[leaf.partition("-")[0]].add(leaf)
    most = max(len(leafs) for leafs in leafs_by_shard.values())
    assert most <= MAX_ATTEMPTS, leafs_by_shard


@then("the nearest coordinator was not asked")
def step_not_asked(context):
    assert context.nearest is not None
    asked = context.sample.run.delegations()
    assert context.stopped_name not in asked, asked


@when("the coordinator of the query stops")
def step_stop(context):
    context.stopping = coordinator_of(context)
    context.stopping.queries.stop()
    context.stopped_name = context.stopping.name


@then("it has {count:d} query in flight")
@then("it has {count:d} queries in flight")
def step_in_flight(context, count):
    assert context.stopping.queries.in_flight == count


def small_lines(context):
    """Return the lines of the small VM on its last request."""
    return [
        line
        for line in context.small.lines
        if line.get("request") == context.sample.request_id
    ]


@then('a log line of the small VM names "{text}"')
def step_named(context, text):
    assert text in context.sample.run.delegations(), context.sample.run.delegations()


@when("the caller of the small VM leaves")
def step_leave(context):
    context.sample.run.cancel()


@then("no leaf works on the query")
def step_no_work(context):
    running = sum(context.fleet.leafs.in_progress.values())
    assert context.fleet.leafs.arrivals and running == 0, running


@then("each shard that was asked twice has spent budget")
def step_budget(context):
    arrivals = context.fleet.leafs.arrivals
    asked = [
        leaf for _, leaf, request in arrivals if request == context.sample.request_id
    ]
    shards = {leaf.partition("-")[0] for leaf in asked}
    extra = len(asked) - len(shards)
    assert extra >= len(SHARDS) // 2, "the second run sent nothing"
    runs = [d for d in context.fleet.daemons if d is not context.crashed]
    granted = sum(d.context.metrics.granted["repeated"] for d in runs)
    assert granted >= extra / 2, (granted, extra)


@when("the large VMs have a newer configuration for {span_ms:g} ms")
def step_newer(context, span_ms):
    for daemon in context.fleet.daemons:
        if daemon.vm.cores == LARGE[0]:
            daemon.put_in_force(2)
    context.fleet.run_for(span_ms)


@when("the VMs of {zone} have a newer configuration for {span_ms:g} ms")
def step_zone_newer(context, zone, span_ms):
    for daemon in context.fleet.daemons:
        if daemon.zone == zone:
            daemon.put_in_force(2)
    context.fleet.run_for(span_ms)


@then("only coordinators were sent the configuration from other zones")
def step_few_crossings(context):
    crossings = [
        (sender, receiver)
        for sender, receiver, message in context.fleet.delegation.deliveries
        if isinstance(message, ConfigurationOffered)
        and zone_of(context, sender) != zone_of(context, receiver)
    ]
    small = {d.name for d in context.fleet.daemons if d.vm.cores == SMALL[0]}
    assert crossings and not [c for c in crossings if c[1] in small], crossings


def zone_of(context, name):
    """Return the zone of a daemon."""
    (daemon,) = [d for d in context.fleet.daemons if d.name == name]
    return daemon.zone


@then("each daemon has the newer configuration")
def step_all_newer(context):
    versions = {daemon.gateway.version for daemon in context.fleet.daemons}
    assert versions == {2}, versions


@when("one small VM has a newer configuration for {span_ms:g} ms")
def step_one_newer(context, span_ms):
    context.small.put_in_force(2)
    context.fleet.run_for(span_ms)


@then("no daemon was sent the configuration more than twice")
def step_few_offers(context):
    messages = context.fleet.delegation.messages
    offers = sum(isinstance(message, ConfigurationOffered) for message in messages)
    assert 0 < offers <= 2 * len(context.fleet.daemons), offers


@when("no daemon hands configurations on")
def step_no_exchange(context):
    for daemon in context.fleet.daemons:
        daemon.exchange.announce = lambda: None


@then("the query was delegated once")
def step_once(context):
    assert context.sample.run.delegations().count("answered") == 1


@when("all leafs of {count:d} shard hang")
@when("all leafs of {count:d} shards hang")
def step_hang(context, count):
    for shard in SHARDS[:count]:
        for zone in LEAF_ZONES:
            context.fleet.leafs.scripts[f"{shard}-{zone}"].unresponsive = True


@when(
    "the leafs that are asked first of {count:d} shards lose their connections, "
    "the second refuse"
)
def step_lose_then_refuse(context, count):
    leafs = context.fleet.leafs
    send = leafs.send
    asked = Counter()

    def scripted_send(leaf, request, time_left_ms, done):
        if leaf.service in SHARDS[:count]:
            script = leafs.scripts[leaf.leaf_id]
            script.closes_connection = asked[leaf.service] == 0
            script.refuses = asked[leaf.service] == 1
            asked[leaf.service] += 1
        return send(leaf, request, time_left_ms, done)

    leafs.send = scripted_send


@then("the line of the small VM names the coordinator")
def step_names_coordinator(context):
    (line,) = small_lines(context)
    context.coordinator_name = line["delegated"].partition(":")[0]
    assert context.coordinator_name in {d.name for d in context.fleet.daemons}


@then("the line of the coordinator names the small VM and the missing shard")
def step_names_shard(context):
    (coordinator,) = [
        d for d in context.fleet.daemons if d.name == context.coordinator_name
    ]
    (line,) = [
        line
        for line in coordinator.lines
        if line.get("request") == context.sample.request_id
    ]
    assert line["received_by"] == context.small.name
    assert SHARDS[0] in line["unanswered"]
