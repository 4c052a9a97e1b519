"""Where the platform's object API is, and how long a call of it may take."""

from __future__ import annotations

import attrs

DEFAULT_CALL_TIMEOUT_MS = 1000.0


@attrs.frozen
class StoreAddress:
    """Address of the platform's object API.

    Parameters
    ----------
    url : str
        Base URL of the object API.
    call_timeout_ms : float
        Timeout of one call.
    """

    url: str
    call_timeout_ms: float = DEFAULT_CALL_TIMEOUT_MS


__all__ = ["DEFAULT_CALL_TIMEOUT_MS", "StoreAddress"]
