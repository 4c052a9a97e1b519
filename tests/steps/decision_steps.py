"""Steps on ownership of servers, hedges and replies to exchanges."""

from __future__ import annotations

from itertools import count
from random import Random

import attrs
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import strategies as st

from snipemount.decisions.fleet.membership import (
    HEARTBEAT_PERIOD_MS,
    Member,
    Membership,
)
from snipemount.decisions.fleet.ownership import Ownership
from snipemount.decisions.query.query_run import QueryRun
from snipemount.decisions.query.run_actions import CancelExchange, Finish, SendExchange
from snipemount.decisions.query.service_state import ServiceState
from snipemount.errors import ResultCode
from snipemount.model.exchange import Attempt, ExchangeReply, Fate, Hit, Partial
from snipemount.model.fleet import BackendServer, ServerLeaf, ShardMap, Snapshot
from snipemount.model.profile import Profile
from snipemount.model.request import Request
from snipemount.ports.peer import ReportExchange, SubmitExchange

SERVER = BackendServer("s", "z", "127.0.0.1", 1, (ServerLeaf(0, 3),), 25)
NAMES = ("a", "b", "c")
TICK_MS = 50.0
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["cut", "heal", "pause", "resume", "restart", "wait"]),
        st.integers(0, 2),
        st.integers(0, 2),
        st.integers(1, 40),
    ),
    max_size=15,
)


class Zone:
    """Three daemons that exchange heartbeats under cuts and pauses."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.members = {n: Member(n, "z", "127.0.0.1", 1) for n in NAMES}
        self.views = {}
        self.cut = set()
        self.paused = set()
        self.share = dict.fromkeys(NAMES, 0)
        for name in NAMES:
            self.start(name)

    def start(self, name):
        """Start or restart a daemon."""
        view = Membership(self.members[name], self.now_ms)
        view.apply_listing(self.members.values(), self.now_ms)
        view.set_neighbours(frozenset(NAMES) - {name}, self.now_ms)
        self.views[name] = (view, Ownership(view))
        self.share[name] = 0

    def tick(self):
        """Advance the time by one tick; check the sum of the shares.

        A paused daemon keeps its previous share, but cannot use it.
        """
        self.now_ms += TICK_MS
        heartbeat_due = self.now_ms % HEARTBEAT_PERIOD_MS < TICK_MS
        for name in NAMES:
            if name in self.paused:
                continue
            view, ownership = self.views[name]
            view.tick(self.now_ms)
            self.share[name] = ownership.share(SERVER, self.now_ms).slots
            for other in NAMES if heartbeat_due else ():
                reached = frozenset((name, other)) not in self.cut
                if other != name and reached and other not in self.paused:
                    self.views[other][0].record_heartbeat(
                        self.members[name], self.now_ms
                    )
        active = {n: s for n, s in self.share.items() if n not in self.paused}
        assert sum(active.values()) <= SERVER.slots, (self.now_ms, self.share)


@then("for any faults among 3 daemons their shares of a server stay within its slots")
def step_shares(context):
    seen = []

    @given_any(STEPS)
    def check(steps):
        zone = Zone()
        for kind, one, other, ticks in steps:
            match kind:
                case "cut":
                    zone.cut.add(frozenset((NAMES[one], NAMES[other])))
                case "heal":
                    zone.cut.clear()
                case "pause":
                    zone.paused.add(NAMES[one])
                case "resume":
                    zone.paused.discard(NAMES[one])
                case "restart":
                    zone.paused.discard(NAMES[one])
                    zone.start(NAMES[one])
            for _ in range(ticks):
                zone.tick()
        seen.append(max(zone.share.values()))

    check()
    assert max(seen) == SERVER.slots, "no daemon ever had all slots of the server"


@given("a query on two servers of which the first is slow")
def step_query(context):
    servers = tuple(attrs.evolve(SERVER, name=name) for name in ("one", "two"))
    shard_map = ShardMap(Snapshot("s", "v1", "i1", 1), 1, servers)
    context.state = ServiceState(Profile("p"), "z", count(1), Random(1))
    request = Request("r1", "s", "search", "1")
    context.run = QueryRun(request, shard_map, (0,), context.state, 0, 0.0)
    sent = [a for a in context.run.start(0.0) if isinstance(a, SendExchange)]
    (context.first,) = (action.exchange for action in sent)


@when("the hedge delay has passed")
def step_wake(context):
    now_ms = context.state.hedge_delay_ms
    assert context.run.wake(now_ms - 10.0) == [] or context.run.outstanding
    actions = context.run.wake(now_ms)
    context.hedges = [a.exchange for a in actions if isinstance(a, SendExchange)]


@then("a hedge is sent to the second server alone")
def step_hedge(context):
    (hedge,) = context.hedges
    assert hedge.attempt is Attempt.HEDGE
    assert {hedge.server, context.first.server} == {"one", "two"}


@then("the first answer ends the query and cancels the other exchange")
def step_cancel(context):
    (hedge,) = context.hedges
    partial = Partial(0, hedge.snapshot, (Hit("d", 1.0),))
    reply = ExchangeReply(
        hedge.exchange_id, "r1", hedge.server, Fate.ANSWERED, partials=(partial,)
    )
    actions = context.run.on_reply(reply, 80.0)
    cancelled = [a.exchange_id for a in actions if isinstance(a, CancelExchange)]
    answers = [a.answer for a in actions if isinstance(a, Finish)]
    assert set(cancelled) == {context.first.exchange_id}
    assert [a.code for a in answers] == [ResultCode.OK]


@given("a daemon forges replies to the exchanges of the others")
def step_forge(context):
    world = context.world
    names = sorted(world.daemons)
    forger = world.daemons[names[-1]].node.own
    deliver = world.mesh.deliver
    context.forged = 0

    def deliver_with_forgeries(sender, receiver, message):
        if isinstance(message, SubmitExchange) and sender.name != forger.name:
            context.forged += 1
            exchange = message.exchange
            partials = tuple(
                Partial(shard, exchange.snapshot, (Hit("forged", 9.0),))
                for shard in exchange.shards
            )
            other_request = context.forged % 2 == 0
            reply = ExchangeReply(
                exchange.exchange_id,
                "another" if other_request else exchange.request_id,
                exchange.server,
                Fate.ANSWERED,
                partials=partials,
            )
            source = receiver if other_request else forger
            if source.name != receiver.name or other_request:
                deliver(source, sender, ReportExchange(reply))
        return deliver(sender, receiver, message)

    world.mesh.deliver = deliver_with_forgeries


@then("forged replies came")
def step_forged(context):
    assert context.forged > 20
