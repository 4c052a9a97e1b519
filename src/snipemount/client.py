"""HTTP client of the administration interface, used by the command line."""

from __future__ import annotations

import json
import os
import ssl
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import aiohttp
import attrs
import cappa

from .adapters.admin_routes import PREFIX
from .checked_connector import CheckedConnector
from .errors import RemoteError, ResultCode

if TYPE_CHECKING:
    from collections.abc import Sequence

DEFAULT_URL = "http://127.0.0.1:8402"
REQUEST_TIMEOUT_S = 15.0
TOKEN_VARIABLE = "SNIPEMOUNT_TOKEN"
URL_VARIABLE = "SNIPEMOUNT_URL"


@attrs.define(kw_only=True)
class AdminArguments:
    """Arguments of every subcommand that calls the administration interface.

    Parameters
    ----------
    url : str
        Base URL of a daemon's administration interface.
    token_file : Path or None
        File with the bearer token. Without it the token is read from the
        environment variable SNIPEMOUNT_TOKEN.
    authority : Path or None
        PEM file with the certificate authority that signed the daemon's
        certificate. Without it the system's authorities are used.
    json : bool
        Print the JSON document instead of text.
    """

    url: Annotated[
        str, cappa.Arg(long=True, help="Base URL of the daemon to call.")
    ] = attrs.field(factory=lambda: os.environ.get(URL_VARIABLE, DEFAULT_URL))
    token_file: Annotated[
        Path | None, cappa.Arg(long="--token-file", help="File with the bearer token.")
    ] = None
    authority: Annotated[
        Path | None,
        cappa.Arg(long=True, help="PEM file with the certificate authority."),
    ] = None
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    async def call_daemon(self, method: str, path: str, body: Any = None) -> Any:
        """Send a request and return the decoded JSON response.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path below the prefix of the administration interface.
        body : Any
            Value that is sent as JSON; None sends no body.

        Returns
        -------
        Any
            Decoded document, or the text of a response that is not JSON.

        Raises
        ------
        RemoteError
            When the daemon refuses the request, cannot be reached or gives no
            response in time, or when the token file cannot be read.
        """
        headers = {"Authorization": f"Bearer {self._token()}"}
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        url = self.url.rstrip("/") + PREFIX + path
        try:
            async with (
                aiohttp.ClientSession(
                    connector=CheckedConnector(), timeout=timeout
                ) as session,
                session.request(
                    method, url, json=body, headers=headers, ssl=self._ssl()
                ) as response,
            ):
                text = await response.text()
                status = response.status
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise RemoteError(
                ResultCode.INTERNAL, f"{self.url}: request failed: {error}"
            ) from error
        if response.content_type != "application/json":
            return text
        document = json.loads(text)
        if status != 200:
            code = ResultCode(document["code"])
            raise RemoteError(code, document["detail"])
        return document

    def print_result(self, document: Any, lines: Sequence[str]) -> None:
        """Print `document` as JSON when that was asked for, else print `lines`."""
        if self.json:
            print(json.dumps(document, indent=2))
        else:
            print("\n".join(lines))

    def _token(self) -> str:
        if self.token_file is None:
            return os.environ.get(TOKEN_VARIABLE, "")
        try:
            return self.token_file.read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            detail = f"{self.token_file}: token file cannot be read: {error}"
            raise RemoteError(ResultCode.UNAUTHENTICATED, detail) from error

    def _ssl(self) -> ssl.SSLContext | bool:
        if self.authority is None:
            return True
        context = ssl.create_default_context(cafile=str(self.authority))
        context.check_hostname = False
        return context


def format_table(rows: Sequence[Sequence[object]], head: Sequence[str]) -> list[str]:
    """Return the lines of a text table with aligned columns, the header first."""
    body = [[str(cell) for cell in row] for row in rows]
    columns = (
        list(zip(head, *body, strict=False)) if body else [(title,) for title in head]
    )
    widths = [max(len(cell) for cell in column) for column in columns]
    lines = []
    for row in [list(head), *body]:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(cells).rstrip())
    return lines


__all__ = ["AdminArguments", "format_table"]
