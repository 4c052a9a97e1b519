"""`snipemount codes`: show the result codes."""

from __future__ import annotations

import json
from typing import Annotated

import attrs
import cappa

from ..adapters.admin_routes import openapi_document
from ..errors import ResultCode


@cappa.command(name="codes", help="Show every result code as a table.")
@attrs.define
class Codes:
    """Arguments of the subcommand.

    Parameters
    ----------
    openapi : bool
        Print the OpenAPI description of the administration interface instead.
    """

    openapi: Annotated[bool, cappa.Arg(long=True, help="OpenAPI instead.")] = False

    def __call__(self) -> None:
        """Print the table or the description."""
        if self.openapi:
            print(json.dumps(openapi_document(), indent=2))
        else:
            print("\n".join(code_table()))


def code_table() -> list[str]:
    """Return the lines of the table of result codes, in Markdown."""
    lines = ["| code | name | HTTP | cause |", "| --- | --- | --- | --- |"]
    for code in sorted(ResultCode):
        row = f"| {code.value} | {code.name} | {code.http_status} "
        lines.append(f"{row}| {code.description} |")
    return lines


__all__ = ["Codes", "code_table"]
