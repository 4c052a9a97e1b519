"""Stand-in for the platform's store: its published protocol over HTTP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs
from aiohttp import web

from ..model.store_version import StoreVersion
from ..platform.headers import STORE_ERA
from ..platform.store_client import OBJECTS_PATH, kind_path
from ..platform.store_documents import object_document, parse_object
from ..ports.platform import Changed, Conflicted, Found, Kind, Missing, StoredObject

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ports.platform import WriteResult
    from .object_store import LogEntry, ObjectStore

MAX_PAGE_ITEMS = 50
MAX_WAIT_MS = 30_000
MS_PER_S = 1000.0
KINDS_BY_PATH = {kind_path(kind): kind for kind in Kind}


@attrs.define
class ApiFaults:
    """Faults of the platform stand-in; may be changed while it runs.

    Parameters
    ----------
    down : bool
        Every call gets status 503, as do watches that end while it is set.
    busy : bool
        Every call gets status 429.
    lose_replies : int
        Number of further writes whose connection is closed without a response
        although they take effect.
    lost_write_delay_ms : float
        Delay after which writes without a response take effect, if their version
        condition still holds then.
    unresponsive : bool
        Calls get no response before `MAX_WAIT_MS`.
    omit_era : bool
        Responses don't state the era of the store.
    """

    down: bool = False
    busy: bool = False
    lose_replies: int = 0
    lost_write_delay_ms: float = 0.0
    unresponsive: bool = False
    omit_era: bool = False


class PlatformStandin:
    """Serves an object store in the platform's published protocol.

    Parameters
    ----------
    store : ObjectStore
        Holds the objects; may be changed directly too.
    """

    def __init__(self, store: ObjectStore) -> None:
        self.store = store
        self.faults = ApiFaults()
        self._delayed_writes: set[asyncio.Task[None]] = set()

    def make_app(self) -> web.Application:
        """Return a web application that serves the store."""
        app = web.Application(
            client_max_size=2_000_000, middlewares=[self._apply_faults]
        )
        app.router.add_get(OBJECTS_PATH + "/{kind}", self._list_or_watch)
        app.router.add_post(OBJECTS_PATH + "/{kind}", self._create)
        app.router.add_get(OBJECTS_PATH + "/{kind}/{name}", self._read)
        app.router.add_put(OBJECTS_PATH + "/{kind}/{name}", self._replace)
        app.router.add_put(OBJECTS_PATH + "/{kind}/{name}/status", self._status)
        app.router.add_delete(OBJECTS_PATH + "/{kind}/{name}", self._delete)
        return app

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Callable[[web.Request], Any]
    ) -> web.StreamResponse:
        if self.faults.unresponsive:
            await asyncio.sleep(MAX_WAIT_MS / MS_PER_S)
        response = await self._respond(request, handler)
        if not self.faults.omit_era:
            response.headers[STORE_ERA] = str(self.store.era)
        return response

    async def _respond(
        self, request: web.Request, handler: Callable[[web.Request], Any]
    ) -> web.StreamResponse:
        if self.faults.down:
            return web.Response(status=503)
        if self.faults.busy:
            return web.Response(status=429)
        try:
            response: web.StreamResponse = await handler(request)
        except web.HTTPException as error:
            return web.Response(status=error.status)
        return response

    @staticmethod
    def _kind(request: web.Request) -> Kind:
        try:
            return KINDS_BY_PATH[request.match_info["kind"]]
        except KeyError:
            raise web.HTTPNotFound from None

    async def _read(self, request: web.Request) -> web.Response:
        found = self.store.read(self._kind(request), request.match_info["name"])
        if isinstance(found, Missing):
            raise web.HTTPNotFound
        return web.json_response(object_document(found.stored))

    async def _list_or_watch(self, request: web.Request) -> web.StreamResponse:
        kind = self._kind(request)
        if "watch" in request.query:
            return await self._watch(request, kind)
        after = request.query.get("after", "")
        listed = self.store.list_all(kind)
        objects = sorted(listed.objects, key=lambda stored: stored.name)
        later = [stored for stored in objects if stored.name > after]
        page = later[:MAX_PAGE_ITEMS]
        document = {
            "items": [object_document(stored) for stored in page],
            "has_more": len(later) > len(page),
            "store_revision": listed.version.number,
        }
        return web.json_response(document)

    async def _create(self, request: web.Request) -> web.Response:
        kind = self._kind(request)
        desired = await self._parse_body(request, kind)
        return await self._respond_to_write(
            request, kind, desired.name, lambda: self._create_object(desired)
        )

    def _create_object(self, desired: StoredObject) -> WriteResult:
        return self.store.write(desired.kind, desired.name, desired.spec, None)

    async def _replace(self, request: web.Request) -> web.Response:
        kind = self._kind(request)
        name = request.match_info["name"]
        desired = await self._parse_body(request, kind)

        def write() -> WriteResult:
            current = self.store.read(kind, name)
            if not isinstance(current, Found):
                return Conflicted()
            version = _condition(desired) or current.stored.version
            return self.store.write(kind, name, desired.spec, version)

        return await self._respond_to_write(request, kind, name, write)

    async def _status(self, request: web.Request) -> web.Response:
        kind = self._kind(request)
        name = request.match_info["name"]
        desired = await self._parse_body(request, kind)

        def write() -> WriteResult:
            status, version = desired.status or {}, _condition(desired)
            return self.store.write_status(kind, name, status, version)

        return await self._respond_to_write(request, kind, name, write)

    @staticmethod
    async def _parse_body(request: web.Request, kind: Kind) -> StoredObject:
        document = await request.json()
        document["meta"].setdefault("revision", 0)
        document["meta"].setdefault("name", request.match_info.get("name", ""))
        desired = parse_object(kind, document)
        if desired is None:
            raise web.HTTPBadRequest
        return desired

    async def _respond_to_write(
        self,
        request: web.Request,
        kind: Kind,
        name: str,
        write: Callable[[], WriteResult],
    ) -> web.Response:
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            self._write_without_response(write)
            if request.transport is not None:
                request.transport.close()
            return web.Response()
        result = write()
        found = self.store.read(kind, name)
        if isinstance(found, Missing):
            raise web.HTTPNotFound
        status = 409 if isinstance(result, Conflicted) else 200
        return web.json_response(object_document(found.stored), status=status)

    def _write_without_response(self, write: Callable[[], WriteResult]) -> None:
        if self.faults.lost_write_delay_ms <= 0.0:
            write()
            return

        async def write_later(delay_ms: float) -> None:
            await asyncio.sleep(delay_ms / MS_PER_S)
            write()

        task = asyncio.ensure_future(write_later(self.faults.lost_write_delay_ms))
        self._delayed_writes.add(task)
        task.add_done_callback(self._delayed_writes.discard)

    async def _delete(self, request: web.Request) -> web.Response:
        if not self.store.delete(self._kind(request), request.match_info["name"]):
            raise web.HTTPNotFound
        return web.json_response({})

    async def _watch(self, request: web.Request, kind: Kind) -> web.StreamResponse:
        version = StoreVersion(self.store.era, int(request.query["watch"]))
        wait_ms = min(MAX_WAIT_MS, int(request.query.get("wait_ms", "0")))
        changes = self.store.changes_since(kind, version)
        if changes is None:
            raise web.HTTPGone
        if not changes:
            await self._wait_for_change(kind, wait_ms)
            changes = self.store.changes_since(kind, version)
        if changes is None:
            raise web.HTTPGone
        if self.faults.down:
            return web.Response(status=503)
        document = {
            "events": [self._event(entry) for entry in changes],
            "store_revision": self.store.version.number,
        }
        return web.json_response(document)

    async def _wait_for_change(self, kind: Kind, wait_ms: int) -> None:
        changed = asyncio.Event()
        watcher = self.store.subscribe(kind, lambda entry: changed.set())
        try:
            await asyncio.wait_for(changed.wait(), wait_ms / MS_PER_S)
        except TimeoutError:
            return
        finally:
            self.store.unsubscribe(watcher)

    @staticmethod
    def _event(entry: LogEntry) -> dict[str, Any]:
        if isinstance(entry, Changed):
            return {"removed": False, "object": object_document(entry.stored)}
        deleted = StoredObject(entry.kind, entry.name, entry.version, {})
        return {"removed": True, "object": object_document(deleted)}


def _condition(desired: StoredObject) -> StoreVersion | None:
    """Return the version that a writer expects; None if it states none."""
    return desired.version if desired.version.number else None


__all__ = ["ApiFaults", "PlatformStandin"]
