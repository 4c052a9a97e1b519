"""Starts an entry daemon on the operators' platform."""

from __future__ import annotations

import asyncio
import sys

import uvloop

from snipemount.entry_daemon import serve
from snipemount.errors import SnipemountError


def main() -> int:
    """Run until told to stop; return the exit status."""
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve())
    except SnipemountError as error:
        print(f"snipemount: {error}", file=sys.stderr)
        return error.exit_status
    return 0


if __name__ == "__main__":
    sys.exit(main())
