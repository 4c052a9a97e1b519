"""HTTP interface for operators."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING, Any

import attrs
from aiohttp import web

from ..errors import (
    CredentialsError,
    DecodeError,
    RequestError,
    ResultCode,
    SnipemountError,
)
from ..model.move import MoveState
from ..node.catalogue import converter
from ..ports.platform import Kind, Listed
from . import strict_json
from .admin_routes import PREFIX, ROUTES, AdminRoute, openapi_document
from .credentials import Credentials, Identity

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from ..node.admin_commands import AdminCommands
    from ..node.admin_queries import AdminQueries
    from ..node.node import Node
    from ..ports.platform import ListResult, PlatformPort

MAX_BODY_BYTES = 1_000_000
MAX_DEPTH = 16
MOVE_ACTIONS = {
    "hold": MoveState.HELD,
    "resume": MoveState.RUNNING,
    "take-back": MoveState.TAKEN_BACK,
}


@attrs.frozen
class Call:
    """One checked call.

    Parameters
    ----------
    who : Identity
        Who is asking.
    request : web.Request
        The HTTP request.
    body : dict
        Decoded body; empty for a GET.
    """

    who: Identity
    request: web.Request
    body: dict[str, Any]

    def part(self, name: str) -> str:
        """Return a parameter of the path."""
        return self.request.match_info[name]

    @property
    def operation(self) -> str:
        """Id of the operation: the caller's, or a new one."""
        given = self.body.get("operation")
        if given is None:
            return uuid.uuid4().hex
        if not isinstance(given, str) or not 8 <= len(given) <= 64:
            raise RequestError(
                ResultCode.INVALID_FIELD, "operation: must be a text of 8 to 64"
            )
        return given

    def field(self, name: str, wanted: type, default: Any = None) -> Any:
        """Return a field of the body, checked for its type."""
        value = self.body.get(name, default)
        if wanted is float and type(value) is int:
            value = float(value)
        if type(value) is not wanted:
            detail = f"{name}: must be {wanted.__name__}"
            raise RequestError(ResultCode.INVALID_FIELD, detail)
        return value


class AdminInterface:
    """Answers operators over HTTP; every path but the description needs a token.

    Parameters
    ----------
    node : Node
        Engine of the daemon.
    commands : AdminCommands
        Changes.
    queries : AdminQueries
        What can be seen.
    platform : PlatformPort
        Where events are stored.
    credentials : Credentials
        Tokens.
    logger : FilteringBoundLogger
        Log.
    """

    def __init__(
        self,
        node: Node,
        commands: AdminCommands,
        queries: AdminQueries,
        platform: PlatformPort,
        credentials: Credentials,
        logger: FilteringBoundLogger,
    ) -> None:
        self._node = node
        self._commands = commands
        self._queries = queries
        self._platform = platform
        self._credentials = credentials
        self._logger = logger

    def make_app(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._coded_errors]
        )
        for route in ROUTES:
            handler = self._handler(route)
            app.router.add_route(route.method, PREFIX + route.path, handler)
        app.router.add_get(f"{PREFIX}/openapi.json", self._openapi)
        return app

    def _handler(self, route: AdminRoute) -> Any:
        operation = getattr(self, f"_{route.operation}")

        async def handle(request: web.Request) -> web.StreamResponse:
            header = request.headers.get("Authorization")
            who = self._credentials.authorize(header, route.role)
            body = await self._body(request)
            result = await operation(Call(who, request, body))
            if isinstance(result, web.StreamResponse):
                return result
            return web.json_response(result)

        return handle

    @web.middleware
    async def _coded_errors(
        self,
        request: web.Request,
        handler: web.Handler,  # type: ignore[name-defined]
    ) -> web.StreamResponse:
        """Turn every error into a document with a numbered code."""
        try:
            response: web.StreamResponse = await handler(request)
        except SnipemountError as error:
            if isinstance(error, CredentialsError):
                self._logger.warning("admin_refused", reason=error.detail)
            return self._refusal(error.code, error.detail)
        except web.HTTPRequestEntityTooLarge:
            return self._refusal(ResultCode.BODY_TOO_LARGE, "the body is too large")
        except web.HTTPMethodNotAllowed:
            return self._refusal(ResultCode.UNSUPPORTED_METHOD, "not this method")
        except web.HTTPNotFound:
            return self._refusal(ResultCode.NOT_FOUND, "no such path")
        return response

    @staticmethod
    def _refusal(code: ResultCode, detail: str) -> web.Response:
        document = {"code": code.value, "result": code.name, "detail": detail}
        return web.json_response(document, status=code.http_status)

    @staticmethod
    async def _body(request: web.Request) -> dict[str, Any]:
        if request.method == "GET":
            return {}
        try:
            document = strict_json.loads(await request.read(), MAX_DEPTH)
        except DecodeError as error:
            raise RequestError(ResultCode.MALFORMED_BODY, error.detail) from error
        if not isinstance(document, dict):
            raise RequestError(ResultCode.MALFORMED_BODY, "send a JSON object")
        return document

    async def _openapi(self, request: web.Request) -> web.Response:
        return web.json_response(openapi_document())

    async def _status(self, call: Call) -> Any:
        return attrs.asdict(self._queries.status())

    async def _profile_list(self, call: Call) -> Any:
        return [converter.unstructure(p) for p in self._queries.profiles()]

    async def _profile_show(self, call: Call) -> Any:
        return converter.unstructure(self._queries.profile(call.part("name")))

    async def _profile_check(self, call: Call) -> Any:
        name = call.part("name")
        changes = self._queries.check(name, call.body.get("profile"))
        return {"name": name, "changes": changes}

    async def _profile_apply(self, call: Call) -> Any:
        revision = call.body.get("expected_revision")
        if revision is not None:
            revision = call.field("expected_revision", int)
        change = await self._commands.apply_profile(
            call.who.name,
            call.operation,
            call.part("name"),
            call.body.get("profile"),
            revision,
        )
        return _change_document(change)

    async def _in_force(self, call: Call) -> Any:
        try:
            kind, revision = Kind(call.part("kind")), int(call.part("revision"))
            found = self._queries.in_force(kind, revision)
        except ValueError as error:
            raise RequestError(
                ResultCode.INVALID_FIELD, "needs a kind and a revision"
            ) from error
        return attrs.asdict(found)

    async def _zone_status(self, call: Call) -> Any:
        return [attrs.asdict(zone) for zone in self._queries.zones()]

    async def _zone_set(self, call: Call) -> Any:
        change = await self._commands.set_zone(
            call.who.name,
            call.operation,
            call.part("name"),
            call.field("out", bool),
            call.field("force", bool, False),
        )
        return _change_document(change)

    async def _move_status(self, call: Call) -> Any:
        return [attrs.asdict(move) for move in self._queries.moves()]

    async def _move_start(self, call: Call) -> Any:
        change = await self._commands.start_move(
            call.who.name,
            call.operation,
            call.part("service"),
            call.field("to_version", str),
            call.field("finish_in_ms", float),
        )
        return _change_document(change)

    async def _move_change(self, call: Call) -> Any:
        state = MOVE_ACTIONS.get(call.part("action"))
        if state is None:
            actions = ", ".join(MOVE_ACTIONS)
            raise RequestError(ResultCode.NOT_FOUND, f"the actions are {actions}")
        change = await self._commands.change_move(
            call.who.name, call.operation, call.part("service"), state
        )
        return _change_document(change)

    async def _event_list(self, call: Call) -> Any:
        done: asyncio.Future[ListResult] = asyncio.get_running_loop().create_future()
        self._platform.list_all(Kind.EVENT, done.set_result)
        listed = await done
        if not isinstance(listed, Listed):
            raise SnipemountError(ResultCode.PLATFORM_UNAVAILABLE, listed.detail)
        return [stored.spec for stored in listed.objects]

    async def _histograms(self, call: Call) -> Any:
        rows = self._node.entry.histograms.summaries()
        return [attrs.asdict(row) for row in rows]

    async def _record(self, call: Call) -> Any:
        return web.Response(text=self._node.recorder.to_lines())


def _change_document(change: Any) -> dict[str, Any]:
    return {
        "accepted": True,
        "kind": change.kind.value,
        "name": change.name,
        "revision": change.revision,
    }


__all__ = ["AdminInterface"]
