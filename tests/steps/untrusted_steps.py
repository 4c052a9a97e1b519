"""Steps on callers that never finish their requests to a daemon in its own process."""

from __future__ import annotations

import asyncio
import os
import socket

import aiohttp
from behave import given, then, when
from endless_steps import SOUND, EndlessBed
from untrusted_forms import FORMS

from snipemount.soak.deployment import FRONT_PORT, HOST
from snipemount.standins.platform_leaf import records_for

LARGE_ANSWERS = "a body with a length of 7 MB"
RECORDS_PER_LEAF = 4
SEND_S = 3.0
SAMPLE_PERIOD_S = 0.02
ANSWER_TIMEOUT_S = 10.0
RECEIVE_BUFFER_BYTES = 4096


class HostileCallers:
    """Connections that send a form, stay open and read nothing."""

    def __init__(self, address: tuple[str, int], form: str) -> None:
        self._address = address
        self._pieces = FORMS[form]
        self._sockets: list[socket.socket] = []

    async def send(self, count: int) -> None:
        """Send on all connections at once, for a limited time."""
        tasks = [asyncio.create_task(self._send()) for _ in range(count)]
        await asyncio.wait(tasks, timeout=SEND_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send(self) -> None:
        connection = socket.socket()
        self._sockets.append(connection)
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(connection, self._address)
            for piece in self._pieces:
                await loop.sock_sendall(connection, piece)
        except ConnectionError:
            return  # refused or cut off
        await asyncio.sleep(SEND_S)

    def close(self) -> None:
        """Close all connections."""
        for connection in self._sockets:
            connection.close()


async def sample_descriptors(pid: int, seen: list[int]) -> None:
    """Note again and again how many descriptors a process has open."""
    while True:
        seen.append(len(os.listdir(f"/proc/{pid}/fd")))
        await asyncio.sleep(SAMPLE_PERIOD_S)


async def ask(address: tuple[str, int], request_id: str) -> tuple[int, bytes]:
    """Send an ordinary request; return the status and the body of the answer."""
    url = f"http://{address[0]}:{address[1]}/look/1"
    headers = {"Host": HOST, "X-Request-Id": request_id}
    timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as client,
            client.get(url, headers=headers) as response,
        ):
            return response.status, await response.read()
    except (aiohttp.ClientError, TimeoutError) as error:
        return 0, repr(error).encode()


async def play(context, count: int, form: str) -> None:
    """Play one form; keep what the process used, and the answer to the next caller."""
    bed = EndlessBed(LARGE_ANSWERS, context.settings)
    try:
        await bed.start()
        process = bed.daemon.process
        assert process is not None
        address = (bed.daemon.ip, FRONT_PORT)
        context.descriptors = []
        sampler = asyncio.create_task(
            sample_descriptors(process.pid, context.descriptors)
        )
        callers = HostileCallers(address, form)
        try:
            await callers.send(count)
            context.answer = await ask(address, "next")
        finally:
            sampler.cancel()
            callers.close()
        context.lives = bed.daemon.is_alive
        context.peak_mb = bed.peak_resident_mb()
    finally:
        await bed.stop()


@given("a daemon with limits.memory_mb={memory_mb:d} and limits.max_fds={most:d}")
def step_limits(context, memory_mb, most):
    context.settings = f"limits.memory_mb={memory_mb}\nlimits.max_fds={most}\n"


@when("{count:d} callers send {form}, and stay")
def step_send(context, count, form):
    asyncio.run(play(context, count, form))


@then("the process lives, and never held more than {most_mb:g} MB")
def step_memory(context, most_mb):
    assert context.lives
    assert context.peak_mb <= most_mb, f"{context.peak_mb:.0f} MB"


@then("it never had more than {most:d} descriptors open")
def step_descriptors(context, most):
    assert max(context.descriptors) <= most, max(context.descriptors)


@then("the next caller gets the answer to its request")
def step_next(context):
    expected = (200, records_for("next", SOUND, RECORDS_PER_LEAF))
    assert context.answer == expected, context.answer
