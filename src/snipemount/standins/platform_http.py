"""Stand-in for the platform's store over HTTP, in its published protocol."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs
from aiohttp import web

from ..platform.store_client import (
    OBJECTS_PATH,
    kind_path,
    object_document,
    parse_object,
)
from ..ports.platform import Changed, Conflicted, Found, Kind, Missing, StoredObject

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ports.platform import WriteResult
    from .object_store import LogEntry, ObjectStore

PAGE_ITEMS = 50
LONGEST_WAIT_MS = 30_000
MS_PER_S = 1000.0
KINDS = {kind_path(kind): kind for kind in Kind}


@attrs.define
class ApiFaults:
    """Faults of the stand-in.

    Parameters
    ----------
    down : bool
        Every call is refused and every watch is cut.
    busy : bool
        Every call is refused for its rate.
    lose_replies : int
        So many writes take effect but their connection is dropped.
    late_ms : float
        Lost writes take effect so much later, if their condition still holds.
    silent : bool
        Calls get no answer at all.
    """

    down: bool = False
    busy: bool = False
    lose_replies: int = 0
    late_ms: float = 0.0
    silent: bool = False


class PlatformStandin:
    """Serves an object store in the platform's published protocol.

    Parameters
    ----------
    store : ObjectStore
        State.
    """

    def __init__(self, store: ObjectStore) -> None:
        self.store = store
        self.faults = ApiFaults()
        self._late: set[asyncio.Task[None]] = set()

    def make_app(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application(client_max_size=2_000_000, middlewares=[self._gate])
        app.router.add_get(OBJECTS_PATH + "/{kind}", self._list_or_watch)
        app.router.add_post(OBJECTS_PATH + "/{kind}", self._create)
        app.router.add_get(OBJECTS_PATH + "/{kind}/{name}", self._read)
        app.router.add_put(OBJECTS_PATH + "/{kind}/{name}", self._replace)
        app.router.add_put(OBJECTS_PATH + "/{kind}/{name}/status", self._status)
        app.router.add_delete(OBJECTS_PATH + "/{kind}/{name}", self._delete)
        return app

    @web.middleware
    async def _gate(
        self, request: web.Request, handler: Callable[[web.Request], Any]
    ) -> web.StreamResponse:
        if self.faults.silent:
            await asyncio.sleep(LONGEST_WAIT_MS / MS_PER_S)
        if self.faults.down:
            return web.Response(status=503)
        if self.faults.busy:
            return web.Response(status=429)
        response: web.StreamResponse = await handler(request)
        return response

    @staticmethod
    def _kind(request: web.Request) -> Kind:
        try:
            return KINDS[request.match_info["kind"]]
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
        page = later[:PAGE_ITEMS]
        document = {
            "items": [object_document(stored) for stored in page],
            "has_more": len(later) > len(page),
            "store_revision": listed.version,
        }
        return web.json_response(document)

    async def _create(self, request: web.Request) -> web.Response:
        kind = self._kind(request)
        sent = await self._sent(request, kind)
        return await self._apply(
            request, kind, sent.name, lambda: self._create_object(sent)
        )

    def _create_object(self, sent: StoredObject) -> WriteResult:
        return self.store.write(sent.kind, sent.name, sent.spec, None)

    async def _replace(self, request: web.Request) -> web.Response:
        kind = self._kind(request)
        name = request.match_info["name"]
        sent = await self._sent(request, kind)

        def act() -> WriteResult:
            known = self.store.read(kind, name)
            if not isinstance(known, Found):
                return Conflicted()
            version = sent.version or known.stored.version
            return self.store.write(kind, name, sent.spec, version)

        return await self._apply(request, kind, name, act)

    async def _status(self, request: web.Request) -> web.Response:
        kind = self._kind(request)
        name = request.match_info["name"]
        sent = await self._sent(request, kind)

        def act() -> WriteResult:
            version = sent.version or None
            return self.store.write_status(kind, name, sent.status or {}, version)

        return await self._apply(request, kind, name, act)

    @staticmethod
    async def _sent(request: web.Request, kind: Kind) -> StoredObject:
        document = await request.json()
        document["meta"].setdefault("revision", 0)
        document["meta"].setdefault("name", request.match_info.get("name", ""))
        return parse_object(kind, document)

    async def _apply(
        self,
        request: web.Request,
        kind: Kind,
        name: str,
        act: Callable[[], WriteResult],
    ) -> web.Response:
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            self._apply_late(act)
            if request.transport is not None:
                request.transport.close()
            return web.Response()
        result = act()
        found = self.store.read(kind, name)
        if isinstance(found, Missing):
            raise web.HTTPNotFound
        status = 409 if isinstance(result, Conflicted) else 200
        return web.json_response(object_document(found.stored), status=status)

    def _apply_late(self, act: Callable[[], WriteResult]) -> None:
        if self.faults.late_ms <= 0.0:
            act()
            return

        async def later(delay_ms: float) -> None:
            await asyncio.sleep(delay_ms / MS_PER_S)
            act()

        task = asyncio.ensure_future(later(self.faults.late_ms))
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _delete(self, request: web.Request) -> web.Response:
        if not self.store.delete(self._kind(request), request.match_info["name"]):
            raise web.HTTPNotFound
        return web.json_response({})

    async def _watch(self, request: web.Request, kind: Kind) -> web.StreamResponse:
        version = int(request.query["watch"])
        wait_ms = min(LONGEST_WAIT_MS, int(request.query.get("wait_ms", "0")))
        missed = self.store.changes_since(kind, version)
        if missed is None:
            raise web.HTTPGone
        if not missed:
            await self._wait_for_change(kind, wait_ms)
            missed = self.store.changes_since(kind, version)
        if missed is None:
            raise web.HTTPGone
        if self.faults.down:
            return web.Response(status=503)
        document = {
            "events": [self._event(entry) for entry in missed],
            "store_revision": self.store.version,
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
        gone = StoredObject(entry.kind, entry.name, entry.version, {})
        return {"removed": True, "object": object_document(gone)}


__all__ = ["ApiFaults", "PlatformStandin"]
