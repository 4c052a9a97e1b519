"""Callers of a soak and the load balancer between them and the daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from ..checked_connector import CheckedConnector
from ..platform import headers as header_names
from .deployment import FRONT_PORT, HOST, READINESS_PORT
from .records import CallerOutcome, CallerRequest

if TYPE_CHECKING:
    from random import Random

    from ..timers import LoopTimers
    from .deployment import DaemonProcess, SoakDeployment

PROBE_PERIOD_MS = 300.0
PROBE_TIMEOUT_S = 0.3
DEADLINE_MS = 2500
RESPONSE_TIMEOUT_S = 4.0
CONNECT_TIMEOUT_S = 1.0
REQUESTS_PER_ABANDONED = 25  # each 25th is abandoned after at most 20 ms
MS_PER_S = 1000.0
ROUTE_CHOICES = ("find", "find", "look", "log")


class Balancer:
    """Probes the readiness of daemons and picks one for each new connection."""

    def __init__(self, deployment: SoakDeployment, random: Random) -> None:
        self._deployment = deployment
        self._random = random
        self.ready: set[str] = set()

    async def run(self) -> None:
        """Probe all daemons periodically until cancelled."""
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        connector = CheckedConnector(force_close=True)
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as session:
            while True:
                daemons = self._deployment.daemons
                await asyncio.gather(*(self._probe(session, d) for d in daemons))
                await asyncio.sleep(PROBE_PERIOD_MS / MS_PER_S)

    async def _probe(
        self, session: aiohttp.ClientSession, daemon: DaemonProcess
    ) -> None:
        url = f"http://{daemon.ip}:{READINESS_PORT}/ready"
        try:
            async with session.get(url) as response:
                ready = response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            ready = False
        (self.ready.add if ready else self.ready.discard)(daemon.name)

    def pick(self) -> DaemonProcess:
        """Return a random ready daemon, or a random one when none is ready."""
        daemons = self._deployment.daemons
        ready = [daemon for daemon in daemons if daemon.name in self.ready]
        return self._random.choice(ready or daemons)


class Caller:
    """Sends requests one at a time, on one connection until it ends.

    Parameters
    ----------
    number : int
        Number of the caller; makes its request ids unique.
    deployment : SoakDeployment
        Deployment whose records get the requests.
    balancer : Balancer
        Picks the daemon of each new connection.
    timers : LoopTimers
        Clock of the recorded times.
    random : Random
        Seeded generator that decides routes and pauses.
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
        self._requests = deployment.records.requests
        self._balancer = balancer
        self._timers = timers
        self._random = random
        self._sent = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            daemon = self._balancer.pick()
            timeout = aiohttp.ClientTimeout(
                total=RESPONSE_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
            )
            connector = CheckedConnector(limit=1)
            async with aiohttp.ClientSession(
                timeout=timeout, connector=connector
            ) as session:
                while await self._send_request(session, daemon):
                    await asyncio.sleep(self._random.uniform(0.0, 0.06))

    async def _send_request(
        self, session: aiohttp.ClientSession, daemon: DaemonProcess
    ) -> bool:
        """Send and record a request; return whether the connection can be reused."""
        self._sent += 1
        request = CallerRequest(
            f"c{self._number}-{self._sent}",
            self._random.choice(ROUTE_CHOICES),
            daemon.name,
            self._timers.now_ms(),
        )
        self._requests.append(request)
        try:
            if self._sent % REQUESTS_PER_ABANDONED == 0:
                async with asyncio.timeout(self._random.uniform(0.002, 0.02)):
                    reusable = await self._get(session, daemon, request)
            else:
                reusable = await self._get(session, daemon, request)
        except aiohttp.ClientConnectorError:
            request.outcome = CallerOutcome.UNREACHABLE
            reusable = False
        except TimeoutError:
            request.outcome = CallerOutcome.ABANDONED
            reusable = False
        except aiohttp.ClientResponseError:
            request.outcome = CallerOutcome.MALFORMED
            reusable = False
        except (aiohttp.ClientError, OSError):
            request.outcome = CallerOutcome.CONNECTION_LOST
            reusable = False
        request.ended_ms = self._timers.now_ms()
        return reusable

    @staticmethod
    async def _get(
        session: aiohttp.ClientSession, daemon: DaemonProcess, request: CallerRequest
    ) -> bool:
        url = f"http://{daemon.ip}:{FRONT_PORT}/{request.route}/item"
        headers = {
            "Host": HOST,
            header_names.REQUEST_ID: request.request_id,
            header_names.DEADLINE_MS: str(DEADLINE_MS),
        }
        async with session.get(url, headers=headers) as response:
            body = await response.read()
            receipts = ",".join(response.headers.getall(header_names.RECEIPTS, []))
            only_receipt = response.headers.get(header_names.RECEIPT, "")
            receipt_list = [
                receipt.strip() for receipt in receipts.split(",") if receipt.strip()
            ]
            request.receipts = tuple(
                receipt_list or ([only_receipt] if only_receipt else [])
            )
            request.missing = int(
                response.headers.get(header_names.MISSING_SHARDS, "0")
            )
            request.status = response.status
            request.body = body
            request.outcome = CallerOutcome.ANSWERED
            return response.headers.get("Connection", "").lower() != "close"


__all__ = ["Balancer", "Caller"]
