"""Start an entry daemon on the operators' platform."""

from __future__ import annotations

import asyncio
import gc
import os
import sys

GC_THRESHOLDS = (10_000, 20, 50)  # a query over 90 shards creates 2,000 objects


def prepare_imports() -> None:
    """Make the imports faster, so that the daemon serves soon after a loss of power.

    Nothing is collected meanwhile, as what they create lives as long as the process. No
    certificates are loaded, as no connection of the daemon uses TLS.
    """
    gc.disable()
    os.environ["SSL_CERT_FILE"] = os.devnull


def main() -> int:
    """Run the daemon until a signal stops it; return the exit status."""
    prepare_imports()
    import uvloop

    from snipemount.entry_daemon import serve
    from snipemount.errors import SnipemountError

    # Freezing the objects from the imports spares each collection traversing them.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve())
    except SnipemountError as error:
        print(f"snipemount: {error}", file=sys.stderr)
        return error.exit_status
    return 0


if __name__ == "__main__":
    sys.exit(main())
