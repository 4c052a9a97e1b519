"""Ring buffer of decision events; written as a trace that can be replayed."""

from __future__ import annotations

import json
from collections import deque
from typing import TYPE_CHECKING, Any, ClassVar

import attrs
import cattrs
from cattrs.strategies import configure_tagged_union

from ..decisions.servers import owner_events
from ..decisions.servers.latency_reference import LatencyReference
from ..decisions.servers.owner_dispatch import handle
from ..decisions.servers.owner_messages import BackendOutcome
from ..decisions.servers.server_owner import ServerOwner
from ..errors import DecodeError
from ..model.fleet import BackendServer
from ..model.profile import Profile

if TYPE_CHECKING:
    from ..decisions.servers.owner_events import OwnerEvent
    from ..decisions.servers.owner_messages import OwnerAction

RING_LENGTH = 2000
TRACE_VERSION = 1
MAX_LINE_CHARS = 1_000_000
trace_converter = cattrs.Converter()
configure_tagged_union(BackendOutcome, trace_converter)


def _trace_name(value_type: type) -> str:
    """Return the name of an event or action class in a trace."""
    name: str = getattr(value_type, "trace_name", value_type.__name__)
    return name


EVENT_TYPES = {
    _trace_name(getattr(owner_events, name)): getattr(owner_events, name)
    for name in owner_events.__all__
    if name != "OwnerEvent"
}


@attrs.frozen
class OwnershipStarted:
    """Event: this daemon started to use a server and created its owner.

    Parameters
    ----------
    server : BackendServer
        Server that is used from now on.
    profile : Profile
        Profile for the server.
    cold : bool
        Whether the server has to be warmed up.
    first_connection : int
        First connection id of the owner; the others follow it.

    Notes
    -----
    Traces contain `trace_name`, the former name of the class, so that traces of
    earlier releases can still be replayed.
    """

    trace_name: ClassVar[str] = "TakenUp"

    server: BackendServer
    profile: Profile
    cold: bool
    first_connection: int


@attrs.frozen
class Entry:
    """One line of the trace.

    Parameters
    ----------
    number : int
        Number of the event in this daemon, from 1.
    server : str
        Name of the server whose owner handled the event.
    now_ms : float
        Monotonic time of the event.
    event : OwnershipStarted or OwnerEvent
        Event that was handled.
    actions : tuple of OwnerAction
        Actions that the owner decided on.
    """

    number: int
    server: str
    now_ms: float
    event: OwnershipStarted | OwnerEvent
    actions: tuple[OwnerAction, ...]


class Recorder:
    """Keeps the latest decision events of a daemon.

    Periodic events without any action are left out, since they change nothing.

    Parameters
    ----------
    length : int
        Number of events kept.
    """

    def __init__(self, length: int = RING_LENGTH) -> None:
        self._ring: deque[Entry] = deque(maxlen=length)
        self._number = 0

    def record(
        self,
        server: str,
        now_ms: float,
        event: OwnershipStarted | OwnerEvent,
        actions: list[OwnerAction],
    ) -> None:
        """Append an event and the actions that it led to."""
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
    """Result of a replay.

    Parameters
    ----------
    events : int
        Number of events replayed.
    skipped : int
        Number of events not replayed, since the creation of their owner is no
        longer in the trace.
    differences : tuple of str
        One line for each event whose actions differ from the recorded ones.
    """

    events: int
    skipped: int
    differences: tuple[str, ...]


def replay(text: str) -> ReplayResult:
    """Repeat the decisions in a trace and compare the actions with the recorded ones.

    Raises
    ------
    DecodeError
        When the text is not a trace of this version.
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
            actions = _replay_event(document, owners, references)
        except (KeyError, TypeError, ValueError) as error:
            raise DecodeError(f"not a trace line: {error}") from error
        if actions is None:
            skipped += 1
            continue
        events += 1
        if actions != document["actions"]:
            differences.append(f"event {document['number']}: {actions}")
    return ReplayResult(events, skipped, tuple(differences))


def _check_head(lines: list[str]) -> None:
    if not lines or _load(lines[0]).get("trace") != TRACE_VERSION:
        raise DecodeError(
            f"the first line is not the head of a version {TRACE_VERSION} trace"
        )


def _load(line: str) -> dict[str, Any]:
    if len(line) > MAX_LINE_CHARS:
        raise DecodeError(f"a line is longer than {MAX_LINE_CHARS} characters")
    try:
        document = json.loads(line)
    except (ValueError, RecursionError) as error:
        raise DecodeError(f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise DecodeError("a line is not a JSON object")
    return document


def _replay_event(
    document: dict[str, Any],
    owners: dict[str, ServerOwner],
    references: dict[str, LatencyReference],
) -> list[Any] | None:
    name, now_ms = document["server"], float(document["now_ms"])
    kind, fields = document["event"]
    if kind == OwnershipStarted.trace_name:
        start = trace_converter.structure(fields, OwnershipStarted)
        reference = references.setdefault(start.profile.name, LatencyReference())
        connection_ids = iter(range(start.first_connection, 2**62))
        owners[name] = ServerOwner(
            start.server, start.profile, reference, start.cold, now_ms, connection_ids
        )
        return []
    if name not in owners:
        return None
    event = trace_converter.structure(fields, EVENT_TYPES[kind])
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
    return [_trace_name(type(value)), trace_converter.unstructure(value)]


__all__ = ["RING_LENGTH", "OwnershipStarted", "Recorder", "ReplayResult", "replay"]
