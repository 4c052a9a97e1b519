"""Conditional writes to the platform that survive lost replies."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from ..ports.platform import Conflicted, Found, Missing, Written

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ports.platform import (
        Kind,
        PlatformPort,
        ReadResult,
        StoredObject,
        WriteResult,
    )
    from ..timers import TimerService

RETRY_MS = 200.0
MOST_TRIES = 8


@attrs.frozen
class Accepted:
    """The write has taken effect."""

    stored: StoredObject


@attrs.frozen
class Rejected:
    """Another writer has changed the object; this write has no effect."""

    current: StoredObject | None


@attrs.frozen
class Unsettled:
    """The platform does not answer; whether the write took effect is open."""

    detail: str


WriteOutcome = Accepted | Rejected | Unsettled


@attrs.define(eq=False)
class Operation:
    """A write and how to know it again.

    Parameters
    ----------
    kind : Kind
        Kind of object.
    name : str
        Object's name.
    spec : dict
        Document to write; its `operation` field is unique.
    version : int or None
        Version that the writer has seen; None when there was no object.
    done : Callable
        Gets the outcome, once.
    tries : int
        Writes sent.
    """

    kind: Kind
    name: str
    spec: dict[str, Any]
    version: int | None
    done: Callable[[WriteOutcome], None]
    tries: int = 0


class ConditionalWriter:
    """Writes an object at a known version; settles lost replies by reading.

    Parameters
    ----------
    platform : PlatformPort
        The platform's object API.
    timers : TimerService
        Time.
    """

    def __init__(self, platform: PlatformPort, timers: TimerService) -> None:
        self._platform = platform
        self._timers = timers

    def write(self, operation: Operation) -> None:
        """Carry an operation out; `operation.done` gets the outcome."""
        operation.tries += 1
        self._platform.write(
            operation.kind,
            operation.name,
            operation.spec,
            operation.version,
            lambda result: self._written(operation, result),
        )

    def _written(self, operation: Operation, result: WriteResult) -> None:
        match result:
            case Written(stored):
                operation.done(Accepted(stored))
            case Conflicted():
                self._read_back(operation)
            case _:
                self._later(operation)

    def _later(self, operation: Operation) -> None:
        if operation.tries >= MOST_TRIES:
            operation.done(Unsettled("the platform does not answer"))
            return
        self._timers.call_later(RETRY_MS, lambda: self._read_back(operation))

    def _read_back(self, operation: Operation) -> None:
        self._platform.read(
            operation.kind,
            operation.name,
            lambda result: self._read(operation, result),
        )

    def _read(self, operation: Operation, result: ReadResult) -> None:
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
                self._later(operation)

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
    "Rejected",
    "Unsettled",
    "WriteOutcome",
]
