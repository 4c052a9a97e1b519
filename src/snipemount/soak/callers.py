"""Callers of a soak, and the balancer in front of the daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from ..platform import headers as names
from .deployment import FRONT_PORT, HOST, READINESS_PORT
from .records import Attempt, Ending

if TYPE_CHECKING:
    from random import Random

    from ..timers import LoopTimers
    from .deployment import DaemonProcess, SoakDeployment

PROBE_PERIOD_MS = 300.0
PROBE_TIMEOUT_S = 0.3
DEADLINE_MS = 2500
PATIENCE_S = 4.0
CONNECT_S = 1.0
LEAVES_EACH = 25
MS_PER_S = 1000.0
ROUTES = ("find", "find", "look", "log")


class Balancer:
    """Asks daemons whether they are ready, and picks one for a new connection."""

    def __init__(self, deployment: SoakDeployment, random: Random) -> None:
        self._deployment = deployment
        self._random = random
        self.ready: set[str] = set()

    async def run(self) -> None:
        """Ask all daemons again and again."""
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as session:
            while True:
                daemons = self._deployment.daemons
                await asyncio.gather(*(self._ask(session, d) for d in daemons))
                await asyncio.sleep(PROBE_PERIOD_MS / MS_PER_S)

    async def _ask(self, session: aiohttp.ClientSession, daemon: DaemonProcess) -> None:
        url = f"http://{daemon.ip}:{READINESS_PORT}/ready"
        try:
            async with session.get(url) as response:
                ready = response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            ready = False
        (self.ready.add if ready else self.ready.discard)(daemon.name)

    def pick(self) -> DaemonProcess:
        """Return a daemon that is ready, or any while none is."""
        daemons = self._deployment.daemons
        ready = [daemon for daemon in daemons if daemon.name in self.ready]
        return self._random.choice(ready or daemons)


class Caller:
    """Sends one request after the other on one connection as long as it lasts.

    Parameters
    ----------
    number : int
        Unique among the callers.
    deployment : SoakDeployment
        Takes what is seen.
    balancer : Balancer
        Gives a daemon for each new connection.
    timers : LoopTimers
        Time.
    random : Random
        Seeded.
    """

    def __init__(
        self,
        number: int,
        deployment: SoakDeployment,
        balancer: Balancer,
        timers: LoopTimers,
        random: Random,
    ) -> None:
        self._number = number
        self._attempts = deployment.records.attempts
        self._balancer = balancer
        self._timers = timers
        self._random = random
        self._sent = 0

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            daemon = self._balancer.pick()
            timeout = aiohttp.ClientTimeout(total=PATIENCE_S, sock_connect=CONNECT_S)
            connector = aiohttp.TCPConnector(limit=1)
            async with aiohttp.ClientSession(
                timeout=timeout, connector=connector
            ) as session:
                while await self._ask(session, daemon):
                    await asyncio.sleep(self._random.uniform(0.0, 0.06))

    async def _ask(self, session: aiohttp.ClientSession, daemon: DaemonProcess) -> bool:
        """Send one request; return whether the connection goes on."""
        self._sent += 1
        attempt = Attempt(
            f"c{self._number}-{self._sent}",
            self._random.choice(ROUTES),
            daemon.name,
            self._timers.now_ms(),
        )
        self._attempts.append(attempt)
        try:
            if self._sent % LEAVES_EACH == 0:
                async with asyncio.timeout(self._random.uniform(0.002, 0.02)):
                    goes_on = await self._exchange(session, daemon, attempt)
            else:
                goes_on = await self._exchange(session, daemon, attempt)
        except aiohttp.ClientConnectorError:
            attempt.ending = Ending.UNREACHABLE
            goes_on = False
        except TimeoutError:
            attempt.ending = Ending.LEFT
            goes_on = False
        except (aiohttp.ClientError, OSError):
            attempt.ending = Ending.CUT
            goes_on = False
        attempt.ended_ms = self._timers.now_ms()
        return goes_on

    @staticmethod
    async def _exchange(
        session: aiohttp.ClientSession, daemon: DaemonProcess, attempt: Attempt
    ) -> bool:
        url = f"http://{daemon.ip}:{FRONT_PORT}/{attempt.route}/item"
        headers = {
            "Host": HOST,
            names.REQUEST_ID: attempt.request_id,
            names.DEADLINE_MS: str(DEADLINE_MS),
        }
        async with session.get(url, headers=headers) as response:
            body = await response.read()
            receipts = ",".join(response.headers.getall(names.RECEIPTS, []))
            alone = response.headers.get(names.RECEIPT, "")
            listed = [part.strip() for part in receipts.split(",") if part.strip()]
            attempt.receipts = tuple(listed or ([alone] if alone else []))
            attempt.missing = int(response.headers.get(names.MISSING_SHARDS, "0"))
            attempt.status = response.status
            attempt.body = body
            attempt.ending = Ending.ANSWERED
            return response.headers.get("Connection", "").lower() != "close"


__all__ = ["Balancer", "Caller"]
