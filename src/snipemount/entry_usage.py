"""Usage of organisations in an entry daemon: its parts, connected."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .duties.lease import DutyLease
from .platform.usage_client import UsageClient
from .usage.request_usage import RequestUsage
from .usage.usage_collector import UsageCollector
from .usage.usage_counter import UsageCounter
from .usage.usage_duty import UsageDuty
from .usage.usage_forwarder import UsageForwarder
from .usage.wall_clock import WallClock
from .usage.window_times import WindowTimes

if TYPE_CHECKING:
    from random import Random

    from structlog.typing import FilteringBoundLogger

    from .adapters.prometheus_metrics import PrometheusMetrics
    from .platform.node_file import DutySettings, NodeSettings
    from .ports.platform import PlatformPort
    from .ports.relay import RelayPort
    from .serving.gateway import Gateway
    from .serving.store_feed import StoreFeed
    from .timers import LoopTimers

LEASE_NAME = "usage_report"
# Part of the time between the end of a stop and the kill.
LAST_WRITE_LIMIT_MS = 350.0
LAST_MESSAGE_MS = 50.0  # for the last counts to leave the process
POLL_PERIOD_MS = 10.0


class EntryUsage:
    """Counts, collects and reports usage in one daemon.

    Parameters
    ----------
    name : str
        Name of the daemon.
    duties : DutySettings
        Settings of the duty.
    client : UsageClient
        Sends reports.
    timers : LoopTimers
        Clocks and timers.
    store : PlatformPort
        The store.
    relay : RelayPort
        Sends counts to the daemon that is followed.
    feed : StoreFeed
        Knows which daemon that is, and passes on what followers send.
    random : Random
        Source of ids and jitter.
    logger : FilteringBoundLogger
        Receives what happens.

    Attributes
    ----------
    requests : RequestUsage
        Counts requests at the gateway.
    collector : UsageCollector
        Collects counts while the store is followed.
    duty : UsageDuty
        Reports while the lease is held.
    lease : DutyLease
        Lease of the duty.
    """

    def __init__(
        self,
        name: str,
        duties: DutySettings,
        client: UsageClient,
        timers: LoopTimers,
        store: PlatformPort,
        relay: RelayPort,
        feed: StoreFeed,
        random: Random,
        logger: FilteringBoundLogger,
    ) -> None:
        self._timers = timers
        self._feed = feed
        self._client = client
        self._stopping = False
        times = WindowTimes(duties.report_window_ms, duties.report_due_ms)
        clock = WallClock(timers)
        counter = UsageCounter(times, clock.now_ms())
        self.requests = RequestUsage(counter, timers, clock)
        self.collector = UsageCollector(times, clock, timers, store, name, logger)
        self._forwarder = UsageForwarder(
            name,
            f"{random.getrandbits(64):016x}",
            counter,
            self.collector,
            clock,
            relay,
            lambda: feed.followed_since_ms,
        )
        self.duty = UsageDuty(
            name,
            times,
            duties.lease_ms,
            duties.calls_per_s,
            clock,
            timers,
            store,
            client,
            lambda: feed.registered_names,
            random,
            logger,
        )
        self.lease = DutyLease(
            store,
            timers,
            LEASE_NAME,
            name,
            duties.lease_ms,
            self._may_stand,
            self.duty,
            random,
            logger,
        )
        self.duty.lease = self.lease
        feed.on_usage = self.collector.add
        store.subscribe_era(lambda era, before: self.collector.store_returned())

    def start(self) -> None:
        """Begin to forward counts, and become a candidate for the duty."""
        self._forwarder.start(self._timers)
        self.lease.start()

    def prepare_stop(self) -> None:
        """Be no candidate any more; a held duty is performed until `stop`."""
        self._stopping = True

    async def stop(self) -> None:
        """Leave the duty, and pass on the last counts."""
        self.finish()
        if self._feed.followed is not None:
            await self._timers.sleep(LAST_MESSAGE_MS)
        end_ms = self._timers.now_ms() + LAST_WRITE_LIMIT_MS
        for _ in range(2):  # a write that was pending may lack the last counts
            while self.collector.is_writing and self._timers.now_ms() < end_ms:
                await self._timers.sleep(POLL_PERIOD_MS)
            self._forwarder.forward()  # to the store, if the relay has stopped as well
            self._write_last()
        await self._client.close()

    def finish(self) -> None:
        """Leave the duty, and send or begin to write the last counts."""
        self.lease.stop()
        self._forwarder.finish()
        self._write_last()

    def _write_last(self) -> None:
        if self._feed.followed is None or self.collector.has_unwritten_of_others:
            self.collector.write()

    def connect(self, gateway: Gateway, metrics: PrometheusMetrics) -> None:
        """Count the requests of a gateway, and add the gauges of this part."""
        gateway.request_counter = self.requests
        gauge = metrics.add_gauge
        duty, collector = self.duty, self.collector
        gauge(
            "usage_duty_held",
            "Whether this daemon reports usage now.",
            lambda: float(self.lease.is_held),
        )
        gauge(
            "usage_reported", "Windows whose report was taken.", lambda: duty.reported
        )
        gauge(
            "usage_given_up",
            "Windows whose report was not taken in time.",
            lambda: duty.given_up,
        )
        gauge(
            "usage_incomplete",
            "Windows reported without all counts of all daemons.",
            lambda: duty.incomplete,
        )
        gauge(
            "usage_dropped",
            "Counts of other daemons that were malformed or of no known window.",
            lambda: collector.dropped,
        )

    def _may_stand(self) -> bool:
        return self._feed.follows_store and not self._stopping


def make_usage(
    settings: NodeSettings,
    timers: LoopTimers,
    store: PlatformPort,
    relay: RelayPort,
    feed: StoreFeed,
    random: Random,
    logger: FilteringBoundLogger,
) -> EntryUsage | None:
    """Return the parts of a daemon; None if its settings ask for no usage report."""
    duties = settings.duties
    if duties.unknown_names:
        logger.warning("duties_unknown", names=",".join(duties.unknown_names))
    if not duties.reports_usage or duties.address is None:
        return None
    client = UsageClient(duties.address, timers)
    return EntryUsage(
        settings.name, duties, client, timers, store, relay, feed, random, logger
    )


__all__ = ["EntryUsage", "make_usage"]
