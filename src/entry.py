"""Start an entry daemon on the operators' platform."""

from __future__ import annotations

import asyncio
import gc
import sys

import uvloop

from snipemount.entry_daemon import serve
from snipemount.errors import SnipemountError

GC_THRESHOLDS = (10_000, 20, 50)  # a query over 90 shards creates 2,000 objects


def main() -> int:
    """Run the daemon until a signal stops it; return the exit status."""
    # Objects from the imports live as long as the process: freezing them spares each
    # collection the work of traversing them.
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
