"""Steps on the usage report of one daemon, with its parts connected."""

from __future__ import annotations

import asyncio
from random import Random

import attrs
import structlog
from behave import given, then, when
from serving_world import ServingWorld
from usage_world import DUE_MS, WINDOW_MS, ReportService
from virtual_loop import VirtualLoopTimers, VirtualTimeLoop

from snipemount.entry_usage import EntryUsage
from snipemount.experiments.fake_platform import FakePlatform, PlatformFaults
from snipemount.model.identity import OfOrganisation
from snipemount.platform.node_file import DutySettings
from snipemount.ports.platform import Kind
from snipemount.standins.object_store import ObjectStore
from snipemount.usage.stored_counts import decode_counts
from snipemount.usage.usage_collection import UsageCollection


class DaemonLoopTimers(VirtualLoopTimers):
    """Timers whose clocks all show the loop's time since the scenario's start."""

    def __init__(self, loop) -> None:
        super().__init__(loop)
        self._start_ms = super().now_ms()

    def now_ms(self):
        """Return the time since the start."""
        return super().now_ms() - self._start_ms

    wall_ms = boot_ms = now_ms


@attrs.define
class StoreFollowed:
    """The state of a feed that follows the store itself."""

    followed: object = None
    followed_since_ms: object = None
    follows_store: bool = True
    registered_names: frozenset = frozenset(("own",))
    on_usage: object = None


class LocalClient(ReportService):
    """Report service that is closed as a client."""

    async def close(self):
        """Do nothing."""


@given("a daemon with the usage report, alone before the store")
def step_daemon(context):
    context.loop = VirtualTimeLoop()
    context.closers = [*getattr(context, "closers", []), context.loop.close]
    timers = DaemonLoopTimers(context.loop)
    context.serving = ServingWorld(timers=timers)
    context.serving.start()
    context.store = ObjectStore()
    context.service = LocalClient(context.serving)
    context.entry_usage = EntryUsage(
        "own",
        DutySettings(frozenset(("usage_report",)), None, 10.0),
        context.service,
        timers,
        FakePlatform(context.store, timers, PlatformFaults()),
        None,
        StoreFollowed(),
        Random(1),
        structlog.wrap_logger(None, processors=[drop_event]),
    )
    context.entry_usage.connect(context.serving.gateway, context.serving.metrics)
    submit = context.serving.gateway.submit
    caller = OfOrganisation("ralo620")
    context.serving.gateway.submit = lambda request, done: submit(
        attrs.evolve(request, caller=caller), done
    )


def drop_event(logger, method, event):
    """Drop the log event."""
    raise structlog.DropEvent


@when("a caller sends a request each {period_ms:g} ms for {span_s:g} s")
def step_requests(context, period_ms, span_s):
    async def send():
        context.entry_usage.start()
        for _ in range(int(span_s * 1000.0 / period_ms)):
            context.serving.ask("look")
            await asyncio.sleep(period_ms / 1000.0)

    context.loop.run_until_complete(send())


@then("the windows before {before_s:g} s were reported with {count:d} requests each")
def step_reported(context, before_s, count):
    windows = int(before_s * 1000.0 / WINDOW_MS)
    expected = {window: [{"ralo620": count}] for window in range(windows)}
    assert context.service.taken == expected, context.service.taken


@when("the daemon stops")
def step_stop(context):
    context.entry_usage.prepare_stop()
    context.loop.run_until_complete(context.entry_usage.stop())


@then("the store has the counts of all {count:d} requests that can still be reported")
def step_stored(context, count):
    stored = context.store.read(Kind.USAGE_COUNTS, "own").stored
    collection = UsageCollection()
    assert not decode_counts(stored.spec, collection, 0, 99)
    first = int((context.serving.timers.now_ms() - DUE_MS) // WINDOW_MS)
    expected = count - first * WINDOW_MS / 100.0
    assert not any(collection.missing(w, ["own"]) for w in collection.windows)
    reports = [collection.report(w, ["own"]) for w in collection.windows]
    assert sum(report.counts.get("ralo620", 0) for report in reports) == expected
