"""Starts an entry daemon on the operators' platform."""

from __future__ import annotations

import asyncio
import gc
import sys

import uvloop

from snipemount.entry_daemon import serve
from snipemount.errors import SnipemountError

GC_THRESHOLDS = (10_000, 20, 50)  # a query over 90 shards makes 2,000 objects


def main() -> int:
    """Run until told to stop; return the exit status."""
    # What the imports made stays; a collection need not walk through it each time.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve())
    except SnipemountError as error:
        print(f"snipemount: {error}", file=sys.stderr)
        return error.exit_status
    return 0


if __name__ == "__main__":
    sys.exit(main())
