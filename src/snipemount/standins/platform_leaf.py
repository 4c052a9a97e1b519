"""Stand-ins for leafs that serve the platform's published protocol over HTTP."""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from ..platform import headers as header_names

if TYPE_CHECKING:
    from collections.abc import Callable

STATUS_MISDIRECTED = 421
RECORD_BYTES = 16
MS_PER_S = 1000.0


def records_for(request_id: str, service: str, count: int) -> bytes:
    """Return the response body to a request; all leafs of a service have the same."""
    digests = (
        hashlib.blake2b(f"{request_id}/{service}/{number}".encode(), digest_size=16)
        for number in range(count)
    )
    return b"".join(digest.digest() for digest in digests)


@attrs.define(eq=False)
class LeafStandin:
    """One instance of a leaf, from its start to its end.

    Parameters
    ----------
    leaf_id : str
        Id of the instance, unique in the deployment.
    service : str
        Service that the leaf belongs to.
    host : str
        IP address to listen on.
    port : int
        Port to listen on.
    advertised_port : int
        Port in the leaf's directory entry: that of the proxy in front of the
        leaf.
    zone : str
        Availability zone in the leaf's directory entry.
    records : int
        Number of records in a response.
    on_arrival : Callable
        Called on each request with its id, the leaf and whether it is executed.
    work_ms : float
        Duration of a request.
    """

    leaf_id: str
    service: str
    host: str
    port: int
    advertised_port: int
    zone: str
    records: int
    on_arrival: Callable[[str, LeafStandin, bool], None]
    work_ms: float = 8.0
    draining: bool = False
    _server: web.Server | None = None
    _listener: asyncio.AbstractServer | None = None

    async def start(self) -> None:
        """Start to accept connections."""
        self._server = web.Server(
            self._handle, access_log=None, handler_cancellation=True
        )
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._server, self.host, self.port)

    async def crash(self) -> None:
        """Stop listening and abort all connections, without a drain."""
        if self._listener is not None:
            self._listener.close()
        if self._server is not None:
            for handler in self._server.connections:
                if handler.transport is not None:
                    handler.transport.abort()
            await self._server.shutdown(0.0)

    def entry(self) -> dict[str, object]:
        """Return the leaf's entry in the platform's directory."""
        return {
            "backend": self.service,
            "address": f"{self.host}:{self.advertised_port}",
            "zone": self.zone,
            "version": "v1",
            "max_concurrency": 4,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
            "born": 1,
        }

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers.get(header_names.REQUEST_ID, "")
        expected = request.headers.get(header_names.EXPECTED_LEAF, self.leaf_id)
        executed = expected == self.leaf_id
        self.on_arrival(request_id, self, executed)
        headers = {header_names.REQUEST_ID: request_id}
        if not executed:
            headers[header_names.NOT_RUN] = "1"
            return web.Response(status=STATUS_MISDIRECTED, headers=headers)
        await asyncio.sleep(self.work_ms / MS_PER_S)
        headers[header_names.RECEIPT] = f"{self.leaf_id}.{request_id}"
        headers["Keep-Alive"] = "timeout=10"
        body = records_for(request_id, self.service, self.records)
        return web.Response(headers=headers, body=body)


@attrs.frozen
class SoakRoute:
    """A route in the configuration of a soak.

    Parameters
    ----------
    name : str
        Name of the route; its path prefix is `/<name>/`.
    shards : tuple of str
        Services that hold the shards of a query, or the only service.
    idempotent : bool
        Whether a request may be executed twice.
    top_k : int
        Number of records in the merged response; 0 for a route to one service.
    """

    name: str
    shards: tuple[str, ...]
    idempotent: bool
    top_k: int = 0


def configuration_spec(
    version: int, routes: tuple[SoakRoute, ...], host: str
) -> dict[str, object]:
    """Return a configuration document in the form that operators write."""
    services = sorted({shard for route in routes for shard in route.shards})
    backends = [
        {"name": n, "health_path": "/healthz", "max_conns": 40, "cold_start_s": 0.0}
        for n in services
    ]
    return {
        "version": version,
        "routes": [_route_spec(route, host) for route in routes],
        "backends": backends,
        "limits": {},
    }


def _route_spec(route: SoakRoute, host: str) -> dict[str, object]:
    spec: dict[str, object] = {
        "name": route.name,
        "host": host,
        "path_prefix": f"/{route.name}/",
        "type": "idempotent" if route.idempotent else "non_idempotent",
        "timeout_ms": 2000,
        "target_latency_ms": 400,
        "priority": 1,
        "max_attempts": 2,
    }
    if route.top_k:
        return spec | {
            "gather": list(route.shards),
            "top_k": route.top_k,
            "min_coverage": 0.5,
        }
    return spec | {"backend": route.shards[0]}


@attrs.frozen
class VmSize:
    """Size of a VM as its settings file states it.

    Parameters
    ----------
    cores : float
        Processor time per second, in cores.
    link_mbps : float
        Bandwidth of its link in Mbit/s.
    """

    cores: float
    link_mbps: float


def node_file(
    name: str, zone: str, ip: str, store: str, seeds: list[str], size: VmSize
) -> str:
    """Return the text of a daemon's settings file as the platform writes it."""
    fields = {
        "node_name": name,
        "zone": zone,
        "ip": ip,
        "listen_addrs.front": f"{ip}:8104",
        "listen_addrs.readiness": f"{ip}:8108",
        "port_range": "7380,7395",
        "seeds": ",".join(seeds),
        "bootstrap": "false",
        "limits.cpu_share": str(size.cores),
        "limits.link_mbps": str(size.link_mbps),
        "platform.address": store,
        "bounds.drain_ms": "3000",
        "bounds.grace_s": "6",
        "bounds.retry_budget_ratio": "0.2",
        "bounds.retry_window_s": "10",
        "bounds.retry_budget_slack": "56",
    }
    return "".join(f"{key}={value}\n" for key, value in fields.items())


__all__ = [
    "LeafStandin",
    "SoakRoute",
    "VmSize",
    "configuration_spec",
    "node_file",
    "records_for",
]
