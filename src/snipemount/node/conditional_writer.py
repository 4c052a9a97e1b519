"""Conditional writes to the platform with retries after lost replies."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from ..ports.platform import Conflicted, Found, Missing, Written

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.store_version import StoreVersion
    from ..ports.platform import (
        Kind,
        PlatformPort,
        ReadResult,
        StoredObject,
        WriteResult,
    )
    from ..timers import TimerService

RETRY_DELAY_MS = 200.0
MAX_TRIES = 8


@attrs.frozen
class Accepted:
    """The write took effect."""

    stored: StoredObject


@attrs.frozen
class Rejected:
    """The write had no effect, since another writer has changed the object.

    Parameters
    ----------
    current : StoredObject or None
        Object as it is stored now; None if it does not exist.
    """

    current: StoredObject | None


@attrs.frozen
class OutcomeUnknown:
    """The platform does not respond; the write may have taken effect."""

    detail: str


WriteOutcome = Accepted | Rejected | OutcomeUnknown


@attrs.define(eq=False)
class Operation:
    """A conditional write, identified by a unique id.

    Parameters
    ----------
    kind : Kind
        Kind of the object to write.
    name : str
        Name of the object to write.
    spec : dict
        Document to write; its `operation` field holds the unique id.
    version : int or None
        Version that the stored object must have; None if it must not exist.
    done : Callable
        Receives the outcome, once.
    tries : int
        Writes sent and failed reads, up to `MAX_TRIES`.
    """

    kind: Kind
    name: str
    spec: dict[str, Any]
    version: StoreVersion | None
    done: Callable[[WriteOutcome], None]
    tries: int = 0


class ConditionalWriter:
    """Writes objects on condition of their version, and retries without duplicates.

    After a conflict or a lost reply the object is read: if it carries the id of
    the write, the write took effect; if its version is unchanged, the write is
    sent again.

    Parameters
    ----------
    platform : PlatformPort
        Store that is written and read.
    timers : TimerService
        Timer for the retries.
    """

    def __init__(self, platform: PlatformPort, timers: TimerService) -> None:
        self._platform = platform
        self._timers = timers

    def write(self, operation: Operation) -> None:
        """Send the write and pass its outcome to `operation.done`."""
        operation.tries += 1
        self._platform.write(
            operation.kind,
            operation.name,
            operation.spec,
            operation.version,
            lambda result: self._on_written(operation, result),
        )

    def _on_written(self, operation: Operation, result: WriteResult) -> None:
        match result:
            case Written(stored):
                operation.done(Accepted(stored))
            case Conflicted():
                self._read_back(operation)
            case _:
                self._retry_later(operation)

    def _retry_later(self, operation: Operation) -> None:
        if operation.tries >= MAX_TRIES:
            operation.done(OutcomeUnknown("the platform does not respond"))
            return
        self._timers.call_later(RETRY_DELAY_MS, lambda: self._read_back(operation))

    def _read_back(self, operation: Operation) -> None:
        self._platform.read(
            operation.kind,
            operation.name,
            lambda result: self._on_read(operation, result),
        )

    def _on_read(self, operation: Operation, result: ReadResult) -> None:
        match result:
            case Found(stored):
                self._compare(operation, stored)
            case Missing():
                if operation.version is None:
                    self.write(operation)
                else:
                    operation.done(Rejected(None))
            case _:
                operation.tries += 1
                self._retry_later(operation)

    def _compare(self, operation: Operation, stored: StoredObject) -> None:
        if stored.spec.get("operation") == operation.spec["operation"]:
            operation.done(Accepted(stored))
        elif stored.version == operation.version:
            self.write(operation)
        else:
            operation.done(Rejected(stored))


__all__ = [
    "Accepted",
    "ConditionalWriter",
    "Operation",
    "OutcomeUnknown",
    "Rejected",
    "WriteOutcome",
]
