"""A bounded ring of decision events, and the trace that it gives."""

from __future__ import annotations

import json
from collections import deque
from typing import TYPE_CHECKING, Any

import attrs
import cattrs
from cattrs.strategies import configure_tagged_union

from ..decisions import owner_events
from ..decisions.latency_reference import LatencyReference
from ..decisions.owner_dispatch import handle
from ..decisions.owner_messages import BackendOutcome
from ..decisions.server_owner import ServerOwner
from ..errors import DecodeError
from ..model.fleet import BackendServer
from ..model.profile import Profile

if TYPE_CHECKING:
    from ..decisions.owner_events import OwnerEvent
    from ..decisions.owner_messages import OwnerAction

RING_LENGTH = 2000
TRACE_VERSION = 1
MAX_LINE_CHARS = 1_000_000
converter = cattrs.Converter()
configure_tagged_union(BackendOutcome, converter)
EVENT_TYPES = {
    name: getattr(owner_events, name)
    for name in owner_events.__all__
    if name != "OwnerEvent"
}


@attrs.frozen
class TakenUp:
    """A server's owner was made."""

    server: BackendServer
    profile: Profile
    cold: bool
    first_connection: int


@attrs.frozen
class Entry:
    """One line of the trace."""

    number: int
    server: str
    now_ms: float
    event: TakenUp | OwnerEvent
    actions: tuple[OwnerAction, ...]


class Recorder:
    """Keeps the latest decision events of a daemon.

    Ticks without any action are left out; they change nothing.

    Parameters
    ----------
    length : int
        Events kept.
    """

    def __init__(self, length: int = RING_LENGTH) -> None:
        self._ring: deque[Entry] = deque(maxlen=length)
        self._number = 0

    def record(
        self,
        server: str,
        now_ms: float,
        event: TakenUp | OwnerEvent,
        actions: list[OwnerAction],
    ) -> None:
        """Keep one event with the actions that it led to."""
        self._number += 1
        self._ring.append(Entry(self._number, server, now_ms, event, tuple(actions)))

    def to_lines(self) -> str:
        """Return the trace as JSON lines, oldest first."""
        head = {"trace": TRACE_VERSION}
        lines = [json.dumps(head)]
        lines += [json.dumps(_entry_document(entry)) for entry in self._ring]
        return "\n".join(lines) + "\n"


@attrs.frozen
class ReplayResult:
    """What a replay showed.

    Parameters
    ----------
    events : int
        Events replayed.
    skipped : int
        Events of owners whose beginning is no longer in the trace.
    differences : tuple of str
        One line for each event whose actions differ from the recorded ones.
    """

    events: int
    skipped: int
    differences: tuple[str, ...]


def replay(text: str) -> ReplayResult:
    """Run the decisions in a trace again and compare their actions.

    Raises
    ------
    DecodeError
        When the text is not a trace.
    """
    lines = text.splitlines()
    _check_head(lines)
    owners: dict[str, ServerOwner] = {}
    references: dict[str, LatencyReference] = {}
    events = skipped = 0
    differences = []
    for line in lines[1:]:
        document = _load(line)
        try:
            found = _replay_one(document, owners, references)
        except (KeyError, TypeError, ValueError) as error:
            raise DecodeError(f"not a trace line: {error}") from error
        if found is None:
            skipped += 1
            continue
        events += 1
        if found != document["actions"]:
            differences.append(f"event {document['number']}: {found}")
    return ReplayResult(events, skipped, tuple(differences))


def _check_head(lines: list[str]) -> None:
    if not lines or _load(lines[0]).get("trace") != TRACE_VERSION:
        raise DecodeError("the first line does not name a trace of this version")


def _load(line: str) -> dict[str, Any]:
    if len(line) > MAX_LINE_CHARS:
        raise DecodeError("a line is too long")
    try:
        document = json.loads(line)
    except (ValueError, RecursionError) as error:
        raise DecodeError(f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise DecodeError("a line must be an object")
    return document


def _replay_one(
    document: dict[str, Any],
    owners: dict[str, ServerOwner],
    references: dict[str, LatencyReference],
) -> list[Any] | None:
    name, now_ms = document["server"], float(document["now_ms"])
    kind, fields = document["event"]
    if kind == "TakenUp":
        made = converter.structure(fields, TakenUp)
        reference = references.setdefault(made.profile.name, LatencyReference())
        ids = iter(range(made.first_connection, 2**62))
        owners[name] = ServerOwner(
            made.server, made.profile, reference, made.cold, now_ms, ids
        )
        return []
    if name not in owners:
        return None
    event = converter.structure(fields, EVENT_TYPES[kind])
    return _action_documents(handle(owners[name], event, now_ms))


def _entry_document(entry: Entry) -> dict[str, Any]:
    return {
        "number": entry.number,
        "server": entry.server,
        "now_ms": entry.now_ms,
        "event": _tagged(entry.event),
        "actions": _action_documents(list(entry.actions)),
    }


def _action_documents(actions: list[OwnerAction]) -> list[Any]:
    documents: list[Any] = json.loads(json.dumps([_tagged(a) for a in actions]))
    return documents


def _tagged(value: Any) -> list[Any]:
    return [type(value).__name__, converter.unstructure(value)]


__all__ = ["RING_LENGTH", "Recorder", "ReplayResult", "TakenUp", "replay"]
