"""HTTP server of the administration interface."""

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
from ..node.catalogue import record_converter
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
MAX_JSON_DEPTH = 16
MOVE_STATE_BY_ACTION = {
    "hold": MoveState.HELD,
    "resume": MoveState.RUNNING,
    "take-back": MoveState.TAKEN_BACK,
}


@attrs.frozen
class AuthorizedRequest:
    """A request whose token has the role that the route requires.

    Parameters
    ----------
    identity : Identity
        Name and role of the token.
    http_request : web.Request
        The request as received, for the parameters of its path.
    body : dict
        Decoded JSON object; empty for a GET.
    """

    identity: Identity
    http_request: web.Request
    body: dict[str, Any]

    def path_parameter(self, name: str) -> str:
        """Return a parameter of the path."""
        return self.http_request.match_info[name]

    @property
    def operation(self) -> str:
        """Id of the operation: the one in the body, or a new one.

        Raises
        ------
        RequestError
            When the id in the body is not a string of 8 to 64 characters.
        """
        operation_id = self.body.get("operation")
        if operation_id is None:
            return uuid.uuid4().hex
        if not isinstance(operation_id, str) or not 8 <= len(operation_id) <= 64:
            raise RequestError(
                ResultCode.INVALID_FIELD, "operation: must be a text of 8 to 64"
            )
        return operation_id

    def body_field(self, name: str, expected_type: type, default: Any = None) -> Any:
        """Return a field of the body; an integer is accepted for a float.

        Raises
        ------
        RequestError
            When the field has another type, or is missing without a default.
        """
        value = self.body.get(name, default)
        if expected_type is float and type(value) is int:
            value = float(value)
        if type(value) is not expected_type:
            detail = f"{name}: must be {expected_type.__name__}"
            raise RequestError(ResultCode.INVALID_FIELD, detail)
        return value


class AdminInterface:
    """Serves operators over HTTP.

    Every path except that of the OpenAPI description requires a token.

    Parameters
    ----------
    node : Node
        Node of this daemon, for its histograms and its recorded events.
    commands : AdminCommands
        Executes changes to profiles, zones and moves.
    queries : AdminQueries
        Reads the state of the daemon.
    platform : PlatformPort
        Store from which events are listed.
    credentials : Credentials
        Tokens that are accepted.
    logger : FilteringBoundLogger
        Logs refused credentials.
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
        """Create the aiohttp application of the interface."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._error_middleware]
        )
        for route in ROUTES:
            handler = self._make_handler(route)
            app.router.add_route(route.method, PREFIX + route.path, handler)
        app.router.add_get(f"{PREFIX}/openapi.json", self._handle_openapi)
        return app

    def _make_handler(self, route: AdminRoute) -> Any:
        operation = getattr(self, f"_{route.operation}")

        async def handle(request: web.Request) -> web.StreamResponse:
            header = request.headers.get("Authorization")
            identity = self._credentials.authorize(header, route.role)
            body = await self._decode_body(request)
            result = await operation(AuthorizedRequest(identity, request, body))
            if isinstance(result, web.StreamResponse):
                return result
            return web.json_response(result)

        return handle

    @web.middleware
    async def _error_middleware(
        self,
        request: web.Request,
        handler: web.Handler,  # type: ignore[name-defined]
    ) -> web.StreamResponse:
        """Convert errors to JSON responses with a result code."""
        try:
            response: web.StreamResponse = await handler(request)
        except SnipemountError as error:
            if isinstance(error, CredentialsError):
                self._logger.warning("admin_refused", reason=error.detail)
            return self._error_response(error.code, error.detail)
        except web.HTTPRequestEntityTooLarge:
            return self._error_response(
                ResultCode.BODY_TOO_LARGE, "the body is too large"
            )
        except web.HTTPMethodNotAllowed:
            return self._error_response(
                ResultCode.UNSUPPORTED_METHOD, "not this method"
            )
        except web.HTTPNotFound:
            return self._error_response(ResultCode.NOT_FOUND, "no such path")
        return response

    @staticmethod
    def _error_response(code: ResultCode, detail: str) -> web.Response:
        document = {"code": code.value, "result": code.name, "detail": detail}
        return web.json_response(document, status=code.http_status)

    @staticmethod
    async def _decode_body(request: web.Request) -> dict[str, Any]:
        if request.method == "GET":
            return {}
        try:
            document = strict_json.loads(await request.read(), MAX_JSON_DEPTH)
        except DecodeError as error:
            raise RequestError(ResultCode.MALFORMED_BODY, error.detail) from error
        if not isinstance(document, dict):
            raise RequestError(ResultCode.MALFORMED_BODY, "send a JSON object")
        return document

    async def _handle_openapi(self, request: web.Request) -> web.Response:
        return web.json_response(openapi_document())

    async def _status(self, request: AuthorizedRequest) -> Any:
        return attrs.asdict(self._queries.status())

    async def _profile_list(self, request: AuthorizedRequest) -> Any:
        return [record_converter.unstructure(p) for p in self._queries.profiles()]

    async def _profile_show(self, request: AuthorizedRequest) -> Any:
        return record_converter.unstructure(
            self._queries.profile(request.path_parameter("name"))
        )

    async def _profile_check(self, request: AuthorizedRequest) -> Any:
        name = request.path_parameter("name")
        changes = self._queries.check(name, request.body.get("profile"))
        return {"name": name, "changes": changes}

    async def _profile_apply(self, request: AuthorizedRequest) -> Any:
        revision = request.body.get("expected_revision")
        if revision is not None:
            revision = request.body_field("expected_revision", int)
        change = await self._commands.apply_profile(
            request.identity.name,
            request.operation,
            request.path_parameter("name"),
            request.body.get("profile"),
            revision,
        )
        return _change_document(change)

    async def _in_force(self, request: AuthorizedRequest) -> Any:
        try:
            kind, revision = (
                Kind(request.path_parameter("kind")),
                int(request.path_parameter("revision")),
            )
            in_force = self._queries.in_force(kind, revision)
        except ValueError as error:
            raise RequestError(
                ResultCode.INVALID_FIELD, "needs a kind and a revision"
            ) from error
        return attrs.asdict(in_force)

    async def _zone_status(self, request: AuthorizedRequest) -> Any:
        return [attrs.asdict(zone) for zone in self._queries.zones()]

    async def _zone_set(self, request: AuthorizedRequest) -> Any:
        change = await self._commands.set_zone(
            request.identity.name,
            request.operation,
            request.path_parameter("name"),
            request.body_field("out", bool),
            request.body_field("force", bool, False),
        )
        return _change_document(change)

    async def _move_status(self, request: AuthorizedRequest) -> Any:
        return [attrs.asdict(move) for move in self._queries.moves()]

    async def _move_start(self, request: AuthorizedRequest) -> Any:
        change = await self._commands.start_move(
            request.identity.name,
            request.operation,
            request.path_parameter("service"),
            request.body_field("to_version", str),
            request.body_field("finish_in_ms", float),
        )
        return _change_document(change)

    async def _move_change(self, request: AuthorizedRequest) -> Any:
        state = MOVE_STATE_BY_ACTION.get(request.path_parameter("action"))
        if state is None:
            actions = ", ".join(MOVE_STATE_BY_ACTION)
            raise RequestError(ResultCode.NOT_FOUND, f"the actions are {actions}")
        change = await self._commands.change_move(
            request.identity.name,
            request.operation,
            request.path_parameter("service"),
            state,
        )
        return _change_document(change)

    async def _event_list(self, request: AuthorizedRequest) -> Any:
        listing: asyncio.Future[ListResult] = asyncio.get_running_loop().create_future()
        self._platform.list_all(Kind.EVENT, listing.set_result)
        result = await listing
        if not isinstance(result, Listed):
            raise SnipemountError(ResultCode.PLATFORM_UNAVAILABLE, result.detail)
        return [stored.spec for stored in result.objects]

    async def _histograms(self, request: AuthorizedRequest) -> Any:
        rows = self._node.entry.histograms.summaries()
        return [attrs.asdict(row) for row in rows]

    async def _record(self, request: AuthorizedRequest) -> Any:
        return web.Response(text=self._node.recorder.to_lines())


def _change_document(change: Any) -> dict[str, Any]:
    return {
        "accepted": True,
        "kind": change.kind.value,
        "name": change.name,
        "revision": change.revision,
    }


__all__ = ["AdminInterface"]
