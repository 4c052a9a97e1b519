"""The C library's allocator, so that freed memory leaves the process."""

from __future__ import annotations

import ctypes


def return_freed_memory() -> None:
    """Return the free pages of the heap to the system, where the library can do it.

    By itself it returns only what is above the last block in use.
    """
    library = ctypes.CDLL(None)
    if hasattr(library, "malloc_trim"):
        library.malloc_trim(0)


__all__ = ["return_freed_memory"]
