"""Table of API keys, by keyed digest."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

from ..model.identity import OfOrganisation

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..model.identity import Organisation

DIGEST_BYTES = 16


class KeyTable:
    """Finds the organisation of an API key.

    The table holds digests, so the time of a lookup does not depend on how much of a
    key was guessed right. Callers cannot compute the digests without `digest_key`.

    Parameters
    ----------
    organisations : Iterable of Organisation
        All organisations of a configuration.
    digest_key : bytes
        Random key of the digests, at most 64 bytes.

    Raises
    ------
    ValueError
        When two organisations hold the same key; the message does not contain it.
    """

    def __init__(
        self, organisations: Iterable[Organisation], digest_key: bytes
    ) -> None:
        self._digest_key = digest_key
        self._callers: dict[bytes, OfOrganisation] = {}
        for organisation in organisations:
            caller = OfOrganisation(organisation.name, organisation.priority)
            for api_key in organisation.api_keys:
                holder = self._callers.setdefault(self._digest(api_key), caller)
                if holder is not caller:
                    raise ValueError(
                        f"organisations {holder.name!r} and {caller.name!r} "
                        "hold the same key"
                    )

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._callers)

    def find(self, api_key: str) -> OfOrganisation | None:
        """Return the identity of the callers that hold a key; None if nobody does."""
        if not api_key:
            return None
        return self._callers.get(self._digest(api_key))

    def _digest(self, api_key: str) -> bytes:
        # A caller's header need not be valid UTF-8 and may decode to surrogates.
        data = api_key.encode("utf-8", "surrogatepass")
        return blake2b(data, digest_size=DIGEST_BYTES, key=self._digest_key).digest()


__all__ = ["KeyTable"]
