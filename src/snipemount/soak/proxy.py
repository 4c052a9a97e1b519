"""A loopback proxy that delays, resets, cuts one way or silences connections."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine

CHUNK_BYTES = 65_536
DELAY_S = 0.15


class Link(Enum):
    """What the proxy does with the bytes that reach it."""

    SOUND = "sound"
    DELAYED = "delayed"
    RESET = "reset"
    ONE_WAY = "one_way"
    SILENT = "silent"


class Proxy:
    """Passes connections on to one address.

    Parameters
    ----------
    host : str
        IP number to listen on, and of the address behind it.
    port : int
        Port to listen on.
    target_port : int
        Port behind it.
    """

    def __init__(self, host: str, port: int, target_port: int) -> None:
        self._host = host
        self.port = port
        self.target_port = target_port
        self._link = Link.SOUND
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self._host, self.port)

    def set_link(self, link: Link) -> None:
        """Treat bytes so from now on; a reset ends what is open."""
        self._link = link
        if link is Link.RESET:
            for writer in list(self._writers):
                writer.transport.abort()

    def close(self) -> None:
        """End everything."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._link is Link.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._host, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self._writers |= pair
        both = (
            self._spawn(self._pump(reader, far_writer, backwards=False)),
            self._spawn(self._pump(far_reader, writer, backwards=True)),
        )
        await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
        for end in pair:
            end.transport.abort()
        self._writers -= pair

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        backwards: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self._link is Link.DELAYED:
                    await asyncio.sleep(DELAY_S)
                lost = self._link is Link.SILENT or (
                    self._link is Link.ONE_WAY and backwards
                )
                if writer.transport.is_closing():
                    return
                if not lost:
                    writer.write(data)
                    await writer.drain()
        except (OSError, ConnectionError):
            return


__all__ = ["Link", "Proxy"]
