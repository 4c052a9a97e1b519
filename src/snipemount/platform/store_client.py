"""HTTP client for the platform's object store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

import aiohttp

from ..checked_connector import CheckedConnector
from ..decisions.fleet.state_age import MAX_WATCH_WAIT_MS
from ..decisions.fleet.store_era import checked_write
from ..errors import MALFORMED_INPUT_ERRORS
from ..ports.platform import (
    Confirmed,
    Conflicted,
    Expired,
    Failed,
    Found,
    Kind,
    Listed,
    Missing,
    PlatformPort,
    StoredObject,
    Watch,
    Written,
)
from .answer_eras import AnswerEras, EarlierAnswerError
from .store_body import read_body
from .store_documents import Changes, Page, read_changes, read_object, read_page

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from ..model.store_version import StoreVersion
    from ..ports.platform import ListResult, ReadResult, WatchEvent, WriteResult
    from ..ports.serving_metrics import ServingMetrics
    from ..ports.store_address import StoreAddress
    from ..timers import TimerService

OBJECTS_PATH = "/objects"
KIND_PATHS = {
    Kind.CONFIGURATION: "config",
    Kind.LEAF: "servers",
    Kind.VERSION_ORDER: "rollouts",
    Kind.ZONE_ORDER: "evacuations",
}
# On top of a watch's wait, until the call times out: an unresponsive connection shows
# by that alone.
WATCH_TIMEOUT_SLACK_MS = 600.0
MIN_WATCH_WAIT_MS = 200.0
NO_WAIT_MS = 1  # for a state that is too old already
# Changes of leafs come in bursts; a pause lets the next call return several of them.
LEAF_WATCH_PAUSE_MS = 250.0
MS_PER_S = 1000.0
CALL_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, EarlierAnswerError)
MAX_LISTING_STARTS = 3  # of one listing, whose pages may lie before and after a return
T = TypeVar("T")


def kind_path(kind: Kind) -> str:
    """Return the path segment of a kind in the store's URLs."""
    return KIND_PATHS.get(kind, kind.value)


class StoreClient(PlatformPort):
    """HTTP client for the platform's object store.

    Each call opens its own connection, so that an unresponsive connection or a lost
    response never delays the next call.

    Parameters
    ----------
    address : StoreAddress
        Base URL of the store and timeout of a call.
    metrics : ServingMetrics
        Counts the calls by kind of call and result.
    timers : TimerService
        Clock, for the age of what a watch confirms.
    watch_wait_ms : dict of Kind to float
        Longest time that a watch of a kind waits for a change before it confirms the
        state; `MAX_WATCH_WAIT_MS` for others.
    """

    def __init__(
        self,
        address: StoreAddress,
        metrics: ServingMetrics,
        timers: TimerService,
        watch_wait_ms: dict[Kind, float],
    ) -> None:
        self._metrics = metrics
        self._timers = timers
        self._watch_wait_ms = watch_wait_ms
        self._base = address.url.rstrip("/") + OBJECTS_PATH
        self._call_timeout_s = address.call_timeout_ms / MS_PER_S
        self._timeout = aiohttp.ClientTimeout(total=self._call_timeout_s)
        self._session: aiohttp.ClientSession | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._eras = AnswerEras()

    def subscribe_era(self, on_era: Callable[[int, int], None]) -> None:
        """Call back when an answer is the first of an era of the store."""
        self._eras.subscribe(on_era)

    def read(self, kind: Kind, name: str, done: Callable[[ReadResult], None]) -> None:
        """Read one object; `done` gets it, `Missing` or `Failed`."""
        self._spawn(self._run_call(self._read(kind, name), done))

    def list_all(
        self,
        kind: Kind,
        done: Callable[[ListResult], None],
        may_be_stale: bool = False,
    ) -> None:
        """Read all objects of a kind, page by page; `done` gets the result."""
        self._spawn(self._run_call(self._list(kind, may_be_stale), done))

    def write(
        self,
        kind: Kind,
        name: str,
        spec: dict[str, Any],
        version: StoreVersion | None,
        done: Callable[[WriteResult], None],
    ) -> None:
        """Create (`version` None) or replace an object at this version."""
        self._spawn(self._run_call(self._write(kind, name, spec, version), done))

    def write_status(
        self,
        kind: Kind,
        name: str,
        status: dict[str, Any],
        version: StoreVersion,
        done: Callable[[WriteResult], None],
    ) -> None:
        """Replace the status of an object at this version."""
        url = f"{self._url(kind, name)}/status"
        body = {"meta": {"name": name}, "status": status}
        self._spawn(self._run_call(self._replace(kind, url, body, version), done))

    def watch(
        self,
        kind: Kind,
        version: StoreVersion,
        on_event: Callable[[WatchEvent], None],
        state_age_ms: float = 0.0,
    ) -> Watch:
        """Report each change after `version`; `Expired` or `Failed` ends the watch."""
        wait_ms = self._wait_for_age_ms(kind, state_age_ms)
        if state_age_ms > self._max_wait_ms(kind):
            wait_ms = NO_WAIT_MS
        task = self._spawn(self._watch(kind, version, on_event, wait_ms))
        return Watch(lambda: self._stop(task))

    async def close(self) -> None:
        """Cancel all calls and close the connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    def _spawn(self, call: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.ensure_future(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    @staticmethod
    def _stop(task: asyncio.Task[None]) -> None:
        task.cancel()

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = CheckedConnector(force_close=True)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session

    def _url(self, kind: Kind, name: str) -> str:
        return f"{self._base}/{kind_path(kind)}/{name}"

    async def _run_call(
        self, call: Coroutine[None, None, T], done: Callable[[T | Failed], None]
    ) -> None:
        try:
            result: T | Failed = await call
        except CALL_ERRORS as error:
            result = Failed(type(error).__name__)
        except MALFORMED_INPUT_ERRORS as error:
            result = Failed(f"malformed response: {error}")
        done(result)
        self._eras.announce()

    def _count(self, call: str, response: aiohttp.ClientResponse) -> None:
        self._metrics.store_call(call, str(response.status))

    async def _read(self, kind: Kind, name: str) -> ReadResult:
        era_at_call = self._eras.era
        async with self._client().get(
            self._url(kind, name), timeout=self._timeout
        ) as response:
            self._count("read", response)
            era = self._eras.read(response.headers, era_at_call)
            if response.status == 404:
                return Missing()
            if response.status != 200:
                return Failed(f"status {response.status}")
            return Found(read_object(kind, await read_body(response), era))

    async def _list(self, kind: Kind, may_be_stale: bool) -> ListResult:
        """Read all pages; begin anew if the store returns between two of them."""
        for _ in range(MAX_LISTING_STARTS):
            result = await self._list_once(kind, may_be_stale)
            if result is not None:
                return result
        return Failed("the store has returned from a copy in each listing")

    async def _list_once(self, kind: Kind, may_be_stale: bool) -> ListResult | None:
        """Read all pages; None if they are not of one era."""
        query = {"allow_stale": "1"} if may_be_stale else {}
        objects: list[StoredObject] = []
        version: StoreVersion | None = None
        while True:
            page = await self._read_page(kind, query, may_be_stale)
            if isinstance(page, Failed):
                return page
            # The version of the first page: a watch from it also reports the changes
            # made while later pages were read.
            version = version or page.version
            if not page.version.is_same_history(version):
                return None
            objects += page.objects
            if not page.last_name:
                return Listed(tuple(objects), version)
            if page.last_name == query.get("after"):
                return Failed(f"the page after {page.last_name!r} ends with it again")
            query["after"] = page.last_name

    async def _read_page(
        self, kind: Kind, query: dict[str, str], may_be_stale: bool
    ) -> Page | Failed:
        url = f"{self._base}/{kind_path(kind)}"
        era_at_call = self._eras.era
        async with self._client().get(
            url, params=query, timeout=self._timeout
        ) as response:
            self._count("list", response)
            era = self._eras.read(response.headers, era_at_call, may_be_stale)
            if response.status != 200:
                return Failed(f"status {response.status}")
            page = read_page(kind, await read_body(response), era)
        self._metrics.unreadable_entries(kind.value, page.unreadable)
        return page

    async def _write(
        self, kind: Kind, name: str, spec: dict[str, Any], version: StoreVersion | None
    ) -> WriteResult:
        body: dict[str, Any] = {"meta": {"name": name, "finalizers": []}, "spec": spec}
        if version is None:
            url = f"{self._base}/{kind_path(kind)}"
            return await self._put(kind, "POST", url, body)
        return await self._replace(kind, self._url(kind, name), body, version)

    async def _replace(
        self, kind: Kind, url: str, body: dict[str, Any], version: StoreVersion
    ) -> WriteResult:
        """Write under the condition that the object has this version."""
        if version.era < self._eras.era:
            return Conflicted()
        body["meta"]["revision"] = version.number
        return checked_write(await self._put(kind, "PUT", url, body), version)

    async def _put(
        self, kind: Kind, method: str, url: str, body: dict[str, Any]
    ) -> WriteResult:
        era_at_call = self._eras.era
        async with self._client().request(
            method, url, json=body, timeout=self._timeout
        ) as response:
            self._count("write", response)
            era = self._eras.read(response.headers, era_at_call)
            if response.status in (404, 409):
                return Conflicted()
            if response.status not in (200, 201):
                return Failed(f"status {response.status}")
            return Written(read_object(kind, await read_body(response), era))

    async def _watch(
        self,
        kind: Kind,
        version: StoreVersion,
        on_event: Callable[[WatchEvent], None],
        wait_ms: int,
    ) -> None:
        url = f"{self._base}/{kind_path(kind)}"
        end: WatchEvent | None = None
        while end is None:
            called_ms = self._timers.now_ms()
            try:
                polled = await self._poll(kind, url, version, wait_ms)
            except CALL_ERRORS as error:
                self._metrics.store_call("watch", type(error).__name__)
                end = Failed(type(error).__name__)
            except MALFORMED_INPUT_ERRORS as error:
                end = Failed(f"malformed event: {error}")
            else:
                age_ms = self._state_age_ms(kind, polled, called_ms, wait_ms)
                end, version = self._notify(polled, version, age_ms, on_event)
                if end is None:
                    self._eras.announce()
                if kind is Kind.LEAF and isinstance(polled, Changes) and polled.events:
                    await asyncio.sleep(LEAF_WATCH_PAUSE_MS / MS_PER_S)
                    age_ms += LEAF_WATCH_PAUSE_MS
                wait_ms = self._wait_for_age_ms(kind, age_ms)
        on_event(end)
        self._eras.announce()

    def _max_wait_ms(self, kind: Kind) -> float:
        return self._watch_wait_ms.get(kind, MAX_WATCH_WAIT_MS)

    def _wait_for_age_ms(self, kind: Kind, state_age_ms: float) -> int:
        """Return how long a watch waits that begins with a state of this age.

        Without a change its response is due when the state is as old as a watch without
        changes lets it become.
        """
        longest_ms = self._max_wait_ms(kind)
        left_ms = longest_ms - min(state_age_ms, longest_ms)
        return int(max(min(MIN_WATCH_WAIT_MS, longest_ms), left_ms))

    def _state_age_ms(
        self,
        kind: Kind,
        polled: Changes | Expired | Failed,
        called_ms: float,
        wait_ms: int,
    ) -> float:
        """Return how long ago the store may have made this response.

        Without a change it makes one only after the wait. One with changes may have
        been delayed since the call. For leafs that isn't counted: they change
        so often that the next response comes soon anyway.
        """
        took_ms = self._timers.now_ms() - called_ms
        if not isinstance(polled, Changes) or not polled.events:
            return max(0.0, took_ms - wait_ms)
        return 0.0 if kind is Kind.LEAF else took_ms

    async def _poll(
        self, kind: Kind, url: str, version: StoreVersion, wait_ms: int
    ) -> Changes | Expired | Failed:
        query = {"watch": str(version.number), "wait_ms": str(wait_ms)}
        era_at_call = self._eras.era
        timeout = aiohttp.ClientTimeout(
            total=(wait_ms + WATCH_TIMEOUT_SLACK_MS) / MS_PER_S,
            sock_connect=self._call_timeout_s,
        )
        async with self._client().get(url, params=query, timeout=timeout) as response:
            self._count("watch", response)
            era = self._eras.read(response.headers, era_at_call)
            if response.status == 410:
                return Expired()
            if response.status != 200:
                return Failed(f"status {response.status}")
            if era != version.era:
                # The changes since this number are those of another history.
                return Expired()
            changes = read_changes(kind, await read_body(response), era)
        self._metrics.unreadable_entries(kind.value, changes.unreadable)
        return changes

    @staticmethod
    def _notify(
        polled: Changes | Expired | Failed,
        version: StoreVersion,
        age_ms: float,
        on_event: Callable[[WatchEvent], None],
    ) -> tuple[Expired | Failed | None, StoreVersion]:
        if isinstance(polled, Expired | Failed):
            return polled, version
        for event in polled.events:
            on_event(event)
        on_event(Confirmed(polled.version, age_ms))
        return None, polled.version


__all__ = ["OBJECTS_PATH", "StoreClient", "kind_path"]
