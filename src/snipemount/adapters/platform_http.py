"""The platform's object API over HTTP, in the manner of its conventions."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any, TypeVar

import aiohttp

from ..ports.platform import (
    Changed,
    Conflicted,
    Deleted,
    Expired,
    Failed,
    Found,
    Kind,
    Listed,
    Missing,
    PlatformPort,
    StoredObject,
    Written,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from ..ports.platform import ListResult, ReadResult, WatchEvent, WriteResult
    from ..settings import PlatformSettings

BASE_PATH = "/apis/snipemount.dev/v1"
MAX_WATCH_LINE_BYTES = 2_000_000
T = TypeVar("T")


def object_document(stored: StoredObject) -> dict[str, Any]:
    """Return an object as the API spells it."""
    metadata = {"name": stored.name, "resourceVersion": str(stored.version)}
    return {"metadata": metadata, "spec": stored.spec}


def parse_object(kind: Kind, document: dict[str, Any]) -> StoredObject:
    """Return the object in an API document."""
    metadata = document["metadata"]
    version = int(metadata["resourceVersion"])
    return StoredObject(kind, str(metadata["name"]), version, dict(document["spec"]))


class HttpPlatform(PlatformPort):
    """Port to the platform's object API.

    Parameters
    ----------
    settings : PlatformSettings
        Base URL and time limit of a call.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self._base = settings.url.rstrip("/") + BASE_PATH
        seconds = settings.call_timeout_ms / 1000.0
        self._timeout = aiohttp.ClientTimeout(total=seconds)
        self._watch_timeout = aiohttp.ClientTimeout(total=None, sock_connect=seconds)
        self._session: aiohttp.ClientSession | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def read(self, kind: Kind, name: str, done: Callable[[ReadResult], None]) -> None:
        """Read one object."""
        self._spawn(self._finish(self._read(kind, name), done))

    def list_all(self, kind: Kind, done: Callable[[ListResult], None]) -> None:
        """Read all objects of a kind."""
        self._spawn(self._finish(self._list(kind), done))

    def write(
        self,
        kind: Kind,
        name: str,
        spec: dict[str, Any],
        version: int | None,
        done: Callable[[WriteResult], None],
    ) -> None:
        """Create or replace an object."""
        self._spawn(self._finish(self._write(kind, name, spec, version), done))

    def watch(
        self, kind: Kind, version: int, on_event: Callable[[WatchEvent], None]
    ) -> None:
        """Report each later change."""
        self._spawn(self._watch(kind, version, on_event))

    async def close(self) -> None:
        """End all calls and close the connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task: asyncio.Task[None] = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session

    @staticmethod
    async def _finish(
        work: Coroutine[None, None, T], done: Callable[[T | Failed], None]
    ) -> None:
        try:
            result: T | Failed = await work
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            result = Failed(type(error).__name__)
        except (ValueError, KeyError, TypeError) as error:
            result = Failed(f"malformed reply: {error}")
        done(result)

    async def _read(self, kind: Kind, name: str) -> ReadResult:
        url = f"{self._base}/{kind.value}/{name}"
        async with self._client().get(url, timeout=self._timeout) as response:
            if response.status == 404:
                return Missing()
            if response.status != 200:
                return Failed(f"status {response.status}")
            return Found(parse_object(kind, await response.json()))

    async def _list(self, kind: Kind) -> ListResult:
        url = f"{self._base}/{kind.value}"
        async with self._client().get(url, timeout=self._timeout) as response:
            if response.status != 200:
                return Failed(f"status {response.status}")
            document = await response.json()
        objects = tuple(parse_object(kind, item) for item in document["items"])
        return Listed(objects, int(document["metadata"]["resourceVersion"]))

    async def _write(
        self, kind: Kind, name: str, spec: dict[str, Any], version: int | None
    ) -> WriteResult:
        url = f"{self._base}/{kind.value}"
        body: dict[str, Any] = {"metadata": {"name": name}, "spec": spec}
        method = "POST"
        if version is not None:
            url, method = f"{url}/{name}", "PUT"
            body["metadata"]["resourceVersion"] = str(version)
        async with self._client().request(
            method, url, json=body, timeout=self._timeout
        ) as response:
            if response.status in (404, 409):
                return Conflicted()
            if response.status not in (200, 201):
                return Failed(f"status {response.status}")
            return Written(parse_object(kind, await response.json()))

    async def _watch(
        self, kind: Kind, version: int, on_event: Callable[[WatchEvent], None]
    ) -> None:
        url = f"{self._base}/{kind.value}?watch=1&resourceVersion={version}"
        event: WatchEvent = Failed("the watch ended")
        try:
            async with self._client().get(
                url, timeout=self._watch_timeout, read_bufsize=MAX_WATCH_LINE_BYTES
            ) as response:
                if response.status == 410:
                    event = Expired()
                elif response.status == 200:
                    async for line in response.content:
                        on_event(self._parse_event(kind, line))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            event = Failed(type(error).__name__)
        except (ValueError, KeyError, TypeError) as error:
            event = Failed(f"malformed event: {error}")
        on_event(event)

    @staticmethod
    def _parse_event(kind: Kind, line: bytes) -> WatchEvent:
        document = json.loads(line)
        stored = parse_object(kind, document["object"])
        if document["type"] == "DELETED":
            return Deleted(kind, stored.name, stored.version)
        return Changed(stored)


__all__ = ["BASE_PATH", "HttpPlatform", "object_document", "parse_object"]
