"""Routes of the administration interface and their OpenAPI description."""

from __future__ import annotations

import re
from typing import Any

import attrs

from .. import __version__

PREFIX = "/v1/admin"


@attrs.frozen
class AdminRoute:
    """A method and path of the administration interface.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path after `PREFIX`, with parameters in braces.
    operation : str
        Operation id in the OpenAPI description; with a leading underscore, the
        name of the method that handles it.
    role : str
        Role that the token must have: `read` or `operate`.
    summary : str
        One-line summary in the OpenAPI description.
    """

    method: str
    path: str
    operation: str
    role: str
    summary: str


ROUTES = (
    AdminRoute("GET", "/status", "status", "read", "Daemons, zones and moves"),
    AdminRoute("GET", "/profiles", "profile_list", "read", "All profiles"),
    AdminRoute("GET", "/profiles/{name}", "profile_show", "read", "One profile"),
    AdminRoute(
        "POST", "/profiles/{name}/check", "profile_check", "read", "Check a profile"
    ),
    AdminRoute("PUT", "/profiles/{name}", "profile_apply", "operate", "Set a profile"),
    AdminRoute(
        "GET",
        "/in-force/{kind}/{revision}",
        "in_force",
        "read",
        "Daemons that follow a revision",
    ),
    AdminRoute("GET", "/zones", "zone_status", "read", "All availability zones"),
    AdminRoute(
        "PUT", "/zones/{name}", "zone_set", "operate", "Take a zone out or back"
    ),
    AdminRoute("GET", "/moves", "move_status", "read", "All version moves"),
    AdminRoute("POST", "/moves/{service}", "move_start", "operate", "Start a move"),
    AdminRoute(
        "POST",
        "/moves/{service}/{action}",
        "move_change",
        "operate",
        "Hold, resume or take back a move",
    ),
    AdminRoute("GET", "/events", "event_list", "read", "Events told to operators"),
    AdminRoute("GET", "/histograms", "histograms", "read", "Latency by service"),
    AdminRoute("GET", "/record", "record", "read", "Decision events of this daemon"),
)


def openapi_document() -> dict[str, Any]:
    """Return the OpenAPI description of the administration interface."""
    paths: dict[str, Any] = {}
    for route in ROUTES:
        path_item = paths.setdefault(PREFIX + route.path, {})
        path_item[route.method.lower()] = _describe_operation(route)
    scheme = {"type": "http", "scheme": "bearer"}
    return {
        "openapi": "3.1.0",
        "info": {"title": "snipemount administration", "version": __version__},
        "components": {"securitySchemes": {"token": scheme}},
        "security": [{"token": []}],
        "paths": paths,
    }


def _describe_operation(route: AdminRoute) -> dict[str, Any]:
    parameters = [
        {"name": name, "in": "path", "required": True, "schema": {"type": "string"}}
        for name in re.findall(r"{(\w+)}", route.path)
    ]
    document: dict[str, Any] = {
        "operationId": route.operation,
        "summary": f"{route.summary} (role: {route.role})",
        "parameters": parameters,
        "responses": {
            "200": {"description": "Done; the body is a JSON document"},
            "4XX": {"description": "Refused; `code` is a result code"},
            "503": {"description": "The platform does not answer"},
        },
    }
    if route.method in ("PUT", "POST"):
        schema = {"application/json": {"schema": {"type": "object"}}}
        document["requestBody"] = {"required": True, "content": schema}
    return document


__all__ = ["PREFIX", "ROUTES", "AdminRoute", "openapi_document"]
