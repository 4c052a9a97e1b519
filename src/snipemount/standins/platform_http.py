"""Stand-in for the platform's object API over HTTP."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from ..adapters.platform_http import BASE_PATH, object_document, parse_object
from ..ports.platform import Changed, Kind, Missing, Written

if TYPE_CHECKING:
    from .object_store import LogEntry, ObjectStore


@attrs.define
class ApiFaults:
    """Faults of the stand-in.

    Parameters
    ----------
    down : bool
        Every call is refused and every watch is cut.
    lose_replies : int
        So many writes take effect but their connection is dropped.
    """

    down: bool = False
    lose_replies: int = 0


class PlatformStandin:
    """Serves an object store in the manner of the Kubernetes API conventions.

    Parameters
    ----------
    store : ObjectStore
        State.
    """

    def __init__(self, store: ObjectStore) -> None:
        self.store = store
        self.faults = ApiFaults()

    def make_app(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application(client_max_size=2_000_000)
        app.router.add_get(BASE_PATH + "/{kind}", self._list_or_watch)
        app.router.add_post(BASE_PATH + "/{kind}", self._create)
        app.router.add_get(BASE_PATH + "/{kind}/{name}", self._read)
        app.router.add_put(BASE_PATH + "/{kind}/{name}", self._replace)
        app.router.add_delete(BASE_PATH + "/{kind}/{name}", self._delete)
        return app

    def _kind(self, request: web.Request) -> Kind:
        if self.faults.down:
            raise web.HTTPServiceUnavailable
        try:
            return Kind(request.match_info["kind"])
        except ValueError:
            raise web.HTTPNotFound from None

    async def _read(self, request: web.Request) -> web.Response:
        found = self.store.read(self._kind(request), request.match_info["name"])
        if isinstance(found, Missing):
            raise web.HTTPNotFound
        return web.json_response(object_document(found.stored))

    async def _list_or_watch(self, request: web.Request) -> web.StreamResponse:
        kind = self._kind(request)
        if request.query.get("watch"):
            return await self._watch(request, kind)
        listed = self.store.list_all(kind)
        items = [object_document(stored) for stored in listed.objects]
        metadata = {"resourceVersion": str(listed.version)}
        return web.json_response({"metadata": metadata, "items": items})

    async def _create(self, request: web.Request) -> web.Response:
        return await self._write(request, self._kind(request), None)

    async def _replace(self, request: web.Request) -> web.Response:
        return await self._write(
            request, self._kind(request), request.match_info["name"]
        )

    async def _write(
        self, request: web.Request, kind: Kind, name: str | None
    ) -> web.Response:
        document = await request.json()
        metadata = document["metadata"]
        version = None
        if name is not None:
            metadata["name"] = name
            version = int(metadata["resourceVersion"])
        metadata.setdefault("resourceVersion", "0")
        stored = parse_object(kind, document)
        result = self.store.write(kind, stored.name, stored.spec, version)
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            if request.transport is not None:
                request.transport.close()
        if not isinstance(result, Written):
            raise web.HTTPConflict
        return web.json_response(object_document(result.stored), status=201)

    async def _delete(self, request: web.Request) -> web.Response:
        if not self.store.delete(self._kind(request), request.match_info["name"]):
            raise web.HTTPNotFound
        return web.json_response({})

    async def _watch(self, request: web.Request, kind: Kind) -> web.StreamResponse:
        missed = self.store.changes_since(kind, int(request.query["resourceVersion"]))
        if missed is None:
            raise web.HTTPGone
        queue: asyncio.Queue[LogEntry] = asyncio.Queue()
        for entry in missed:
            queue.put_nowait(entry)
        watcher = self.store.subscribe(kind, queue.put_nowait)
        response = web.StreamResponse()
        try:
            await response.prepare(request)
            while not self.faults.down:
                entry = await queue.get()
                if not self.faults.down:
                    await response.write(self._line(entry))
        finally:
            self.store.unsubscribe(watcher)
        return response

    @staticmethod
    def _line(entry: LogEntry) -> bytes:
        if isinstance(entry, Changed):
            document = {"type": "MODIFIED", "object": object_document(entry.stored)}
        else:
            metadata = {"name": entry.name, "resourceVersion": str(entry.version)}
            document = {"type": "DELETED", "object": {"metadata": metadata, "spec": {}}}
        return json.dumps(document).encode() + b"\n"


__all__ = ["ApiFaults", "PlatformStandin"]
