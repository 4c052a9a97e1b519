"""Steps on requests that are not idempotent."""

from __future__ import annotations

from collections import Counter

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import strategies as st
from small_world import finished_samples

from snipemount.decisions.requests.claims import ClaimRecord, Granted
from snipemount.errors import ResultCode
from snipemount.experiments.fake_platform import FakePlatform, PlatformFaults
from snipemount.node.claimer import Claimer
from snipemount.standins.object_store import ObjectStore
from snipemount.timers import VirtualTimers


def submit(world, key, daemon=None, query="return"):
    """Send a request that is not idempotent, with a key."""
    request = world.new_request(
        "ledger",
        query={"do": f"{query} {key}"},
        caller="hotel",
        repeatable=False,
        idempotency_key=key,
    )
    return world.send(request, daemon)


def runs_of(world, key):
    """Return how often the servers started requests with `key`."""
    ids = {
        s.request.request_id for s in world.samples if s.request.idempotency_key == key
    }
    return sum(
        count
        for model in world.models.values()
        for entry, count in model.starts_by_leg.items()
        if entry.split("/")[0] in ids
    )


def samples_of(world, key):
    """Return the samples of requests with `key`."""
    return [s for s in finished_samples(world) if s.request.idempotency_key == key]


@given("stragglers are {percent:g} in 100")
def step_stragglers(context, percent):
    for model in context.world.models.values():
        model.behaviour.straggler_rate = percent / 100.0


@given("a server of {zone} loses {percent:g} in 100 exchanges")
def step_failing(context, zone, percent):
    for model in context.world.models.values():
        if model.server.zone == zone:
            model.behaviour.failure_rate = percent / 100.0


@when("{count:d} requests without a key arrive in {seconds:g} s")
def step_submits(context, count, seconds):
    world = context.world
    world.start_load(
        "ledger",
        count / seconds,
        seconds * 1000.0,
        lambda: world.new_request("ledger", repeatable=False),
    )


@when("a request with key {key} is sent")
def step_submit(context, key):
    submit(context.world, key)


@when("another request with key {key} is sent")
def step_other(context, key):
    submit(context.world, key, query="charge")


@when("{count:d} keys are each sent to two daemons at once")
def step_pairs(context, count):
    names = sorted(context.world.daemons)
    for number in range(count):
        for offset in (0, 1):
            name = names[(number + offset) % len(names)]
            submit(context.world, f"pair-{number}", name)


@when("the platform loses the next {count:d} replies to writes")
def step_lose(context, count):
    context.world.faults.lose_replies = count


@when("the platform takes {added_latency_ms:g} ms more")
def step_slow(context, added_latency_ms):
    context.world.faults.added_latency_ms = added_latency_ms


@when("a request with key {key} is sent to a daemon that is killed after its claim")
def step_kill_at_claim(context, key):
    world = context.world
    name = sorted(world.daemons)[0]
    submit(world, key, name)
    writes = world.store.calls["write"]
    for _ in range(4000):
        if world.store.calls["write"] > writes:
            break
        world.run_for(0.25)
    assert world.store.calls["write"] > writes, "the key was never claimed"
    world.kill_daemon(name)
    world.samples.clear()


@when("the request with key {key} is sent again to another daemon")
def step_again(context, key):
    submit(context.world, key)


@then("no shard ran any request twice")
def step_once_each(context):
    for model in context.world.models.values():
        for request in (s.request for s in context.world.samples):
            for shard in model.server.shards:
                context.ran = model.starts_by_leg[f"{request.request_id}/{shard}"]
                assert context.ran <= 1
    totals: Counter[str] = Counter()
    for model in context.world.servers_of("ledger"):
        totals.update(model.starts_by_leg)
    assert totals and max(totals.values()) == 1, totals.most_common(1)


@then("no server ran a request that was answered as not run")
def step_true_not_run(context):
    ran = {
        k.split("/")[0] for m in context.world.models.values() for k in m.starts_by_leg
    }
    for sample in finished_samples(context.world):
        if sample.answer.not_run:
            assert sample.request.request_id not in ran, sample.answer


@then("both requests have the same hits")
def step_same(context):
    first, second = finished_samples(context.world)
    assert first.complete and second.complete
    assert first.answer.hits == second.answer.hits != ()


@then("key {key} ran once")
def step_ran_once(context, key):
    assert runs_of(context.world, key) == 1, runs_of(context.world, key)


@then("key {key} ran 0 times")
def step_ran_never(context, key):
    assert runs_of(context.world, key) == 0


@then("each key ran once")
def step_each_once(context):
    keys = {s.request.idempotency_key for s in finished_samples(context.world)}
    counts = Counter(runs_of(context.world, key) for key in keys)
    assert counts == {1: len(keys)}, counts


@then("of each pair at least one request was answered with hits")
def step_pairs_answered(context):
    keys = {s.request.idempotency_key for s in finished_samples(context.world)}
    for key in keys:
        codes = [s.answer.code.name for s in samples_of(context.world, key)]
        assert "OK" in codes, (key, codes)


@then("the request with key {key} was refused as not run with {code}")
def step_refused(context, key, code):
    answer = samples_of(context.world, key)[0].answer
    assert answer.code is ResultCode[code] and answer.not_run, answer


@then("the last request with key {key} got {code}")
def step_got(context, key, code):
    answer = samples_of(context.world, key)[-1].answer
    assert answer.code is ResultCode[code], answer


FAULT_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["claim", "lose", "down", "up", "slow", "fast"]),
        st.integers(0, 2),
        st.floats(0.0, 300.0),
    ),
    max_size=25,
)


@then("for any faults of the platform a key is granted at most once")
def step_property(context):
    @given_any(FAULT_EVENTS)
    def check(events):
        timers, store, faults = VirtualTimers(), ObjectStore(), PlatformFaults()
        claimers = [Claimer(FakePlatform(store, timers, faults), timers)]
        claimers += [Claimer(FakePlatform(store, timers, faults), timers)]
        granted: list[ClaimRecord] = []
        answered: Counter[str] = Counter()

        def make_done(record):
            def done(result):
                answered[record.claim_id] += 1
                if isinstance(result, Granted):
                    granted.append(record)

            return done

        claims = 0
        for kind, number, wait_ms in events:
            match kind:
                case "claim":
                    claims += 1
                    record = ClaimRecord("caller/k", "f", f"c{claims}", 0.0)
                    claimers[number % 2].claim("s", 1e9, record, make_done(record))
                case "lose":
                    faults.lose_replies += number
                case "down" | "up":
                    faults.down = kind == "down"
                case "slow" | "fast":
                    faults.added_latency_ms = wait_ms if kind == "slow" else 0.0
            timers.run_until(timers.now_ms() + wait_ms)
        timers.run_until(timers.now_ms() + 5000.0)
        assert len(granted) <= 1, granted
        assert all(count == 1 for count in answered.values())
        assert len(answered) == claims

    check()
