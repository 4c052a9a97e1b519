"""A loopback TCP proxy that can delay, reset or drop what it forwards."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine

CHUNK_BYTES = 65_536
DELAY_S = 0.15


class LinkMode(Enum):
    """How the proxy treats connections and their data.

    `NORMAL` forwards, `DELAYED` forwards with a delay, `RESET` aborts connections,
    `RESPONSES_DROPPED` discards the data from the target, and `ALL_DROPPED` the data
    of both directions, while connections stay open.
    """

    NORMAL = "sound"
    DELAYED = "delayed"
    RESET = "reset"
    RESPONSES_DROPPED = "one_way"
    ALL_DROPPED = "silent"


class Proxy:
    """Forwards TCP connections to one address.

    Parameters
    ----------
    host : str
        IP address to listen on; also the address of the target.
    port : int
        Port to listen on.
    target_port : int
        Port of the target.
    """

    def __init__(self, host: str, port: int, target_port: int) -> None:
        self._host = host
        self.port = port
        self.target_port = target_port
        self._mode = LinkMode.NORMAL
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(self._serve, self._host, self.port)

    def set_mode(self, mode: LinkMode) -> None:
        """Set the mode of all connections; `RESET` aborts the open ones."""
        self._mode = mode
        if mode is LinkMode.RESET:
            for writer in list(self._writers):
                writer.transport.abort()

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._mode is LinkMode.RESET:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self._host, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._writers |= writers
        pumps = (
            self._spawn(self._forward(reader, target_writer, from_target=False)),
            self._spawn(self._forward(target_reader, writer, from_target=True)),
        )
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for open_writer in writers:
            open_writer.transport.abort()
        self._writers -= writers

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        from_target: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self._mode is LinkMode.DELAYED:
                    await asyncio.sleep(DELAY_S)
                dropped = self._mode is LinkMode.ALL_DROPPED or (
                    self._mode is LinkMode.RESPONSES_DROPPED and from_target
                )
                if writer.transport.is_closing():
                    return
                if not dropped:
                    writer.write(data)
                    await writer.drain()
        except (OSError, ConnectionError):
            return


__all__ = ["LinkMode", "Proxy"]
