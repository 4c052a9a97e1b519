"""Run the command line with ``python -m snipemount``."""

from __future__ import annotations

from .run import main

if __name__ == "__main__":
    main()

__all__: list[str] = []
