"""Documents of the platform's store; an odd entry in one does no harm to the others."""

from __future__ import annotations

import json
import math
import re
from typing import TYPE_CHECKING, Any

import attrs

from ..model.store_version import NO_VERSION, StoreVersion
from ..ports.platform import Changed, Deleted, StoredObject

if TYPE_CHECKING:
    from ..ports.platform import Kind

# Depth of the spec and the other parts of an entry in a document. A part of an entry is
# read as a whole or not at all.
OBJECT_DEPTH = 1
PAGE_DEPTH = 3
CHANGES_DEPTH = 4
MAX_VALUE_DEPTH = 32
MAX_INTEGER = 2**63 - 1
TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{},:]', re.DOTALL)


@attrs.frozen
class Page:
    """Part of a listing.

    Parameters
    ----------
    objects : tuple of StoredObject
        Entries; an odd one whose name can be read has an empty spec.
    last_name : str
        Name after which the next page begins; empty if there is no further page.
    version : StoreVersion
        Version of the store.
    unreadable : int
        Number of entries without a name that can be read.
    """

    objects: tuple[StoredObject, ...]
    last_name: str
    version: StoreVersion
    unreadable: int


@attrs.frozen
class Changes:
    """Response to a watch.

    Parameters
    ----------
    events : tuple of Changed or Deleted
        Changes since the version that was watched from.
    version : StoreVersion
        Version of the store.
    unreadable : int
        Number of events without a name that can be read.
    """

    events: tuple[Changed | Deleted, ...]
    version: StoreVersion
    unreadable: int


def object_document(stored: StoredObject) -> dict[str, Any]:
    """Encode an object as a JSON document of the store."""
    meta = {
        "name": stored.name,
        "revision": stored.version.number,
        "create_revision": stored.created_version,
        "finalizers": [],
        "deleting": False,
    }
    return {"meta": meta, "spec": stored.spec, "status": stored.status}


def parse_object(
    kind: Kind, document: Any, newest: StoreVersion = NO_VERSION
) -> StoredObject | None:
    """Decode the object in a JSON document of the store.

    Any process may write an entry. A spec that is not a JSON object, or that holds
    values no reader can use, is read as empty, so that its decoder refuses it.

    Parameters
    ----------
    kind : Kind
        Kind of the object.
    document : object
        Decoded document.
    newest : StoreVersion
        Version of the store, whose era is the object's; taken for an object whose own
        number cannot be read.

    Returns
    -------
    StoredObject or None
        None if the name cannot be read.
    """
    meta = document.get("meta") if isinstance(document, dict) else None
    name = meta.get("name") if isinstance(meta, dict) else None
    if meta is None or not isinstance(name, str) or not _is_usable(name):
        return None
    number = _number(meta.get("revision"))
    if number is None:
        return StoredObject(kind, name, newest, {})
    spec, status = document.get("spec"), document.get("status")
    return StoredObject(
        kind,
        name,
        StoreVersion(newest.era, number),
        spec if isinstance(spec, dict) and _is_usable(spec) else {},
        status if isinstance(status, dict) and _is_usable(status) else None,
        _number(meta.get("create_revision")) or 0,
    )


def read_object(kind: Kind, body: bytes, era: int) -> StoredObject:
    """Decode a response with one object.

    Parameters
    ----------
    kind : Kind
        Kind of the object.
    body : bytes
        Body of the response.
    era : int
        Era of the store that the response is of.

    Raises
    ------
    ValueError
        When its name cannot be read.
    """
    document = load_document(body, OBJECT_DEPTH)
    stored = parse_object(kind, document, StoreVersion(era, 0))
    if stored is None:
        raise ValueError("the object has no readable name")
    return stored


def read_page(kind: Kind, body: bytes, era: int) -> Page:
    """Decode a page of a listing; the parameters are those of `read_object`.

    Raises
    ------
    ValueError, KeyError, TypeError
        When the page itself is malformed.
    """
    document = load_document(body, PAGE_DEPTH)
    version = _store_version(document, era)
    items = [parse_object(kind, item, version) for item in document["items"]]
    objects = tuple(stored for stored in items if stored is not None)
    last_name = ""
    if document.get("has_more"):
        if not objects:
            raise ValueError("no entry of a page has a readable name")
        last_name = objects[-1].name
    return Page(objects, last_name, version, len(items) - len(objects))


def read_changes(kind: Kind, body: bytes, era: int) -> Changes:
    """Decode the response to a watch; the parameters are those of `read_object`.

    Raises
    ------
    ValueError, KeyError, TypeError
        When the response itself is malformed.
    """
    document = load_document(body, CHANGES_DEPTH)
    version = _store_version(document, era)
    parsed = [_parse_event(kind, event, version) for event in document["events"]]
    events = tuple(event for event in parsed if event is not None)
    return Changes(events, version, len(parsed) - len(events))


def load_document(body: bytes, depth: int) -> Any:
    """Decode a JSON document; parts that cannot be read become None.

    Parameters
    ----------
    body : bytes
        Text of the document.
    depth : int
        Depth down to which parts are read one by one if the whole cannot be read.

    Raises
    ------
    ValueError
        When the document itself is no JSON.
    """
    return _load(body.decode("utf-8", "surrogateescape"), depth)


def _parse_event(
    kind: Kind, event: Any, newest: StoreVersion
) -> Changed | Deleted | None:
    if not isinstance(event, dict):
        return None
    stored = parse_object(kind, event.get("object"), newest)
    if stored is None:
        return None
    if event.get("removed"):
        return Deleted(kind, stored.name, stored.version)
    return Changed(stored)


def _load(text: str, depth: int) -> Any:
    """Decode a text; if it cannot be read as a whole, part by part down to a depth."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        text = text.strip()
        if depth == 0 or text[:1] not in ("{", "["):
            raise
    parts = _split(text)
    if text[0] == "[":
        return [_load_part(part, depth - 1) for part in parts]
    members = (part.partition(":") for part in _with_names_apart(parts))
    return {json.loads(name): _load_part(part, depth - 1) for name, _, part in members}


def _load_part(text: str, depth: int) -> Any:
    try:
        return _load(text, depth)
    except (ValueError, RecursionError):
        return None


def _with_names_apart(parts: list[str]) -> list[str]:
    """Return the members of an object whose name is a plain string without colons."""
    for part in parts:
        name = TOKEN.match(part.lstrip())
        if name is None or ":" in name.group() or not name.group().startswith('"'):
            raise ValueError("a member of an object has no plain name")
    return parts


def _split(text: str) -> list[str]:
    """Return the texts of the parts of a JSON object or array.

    Raises
    ------
    ValueError
        When the text does not end with the object or array.
    """
    parts = []
    depth = 0
    start = 1
    for match in TOKEN.finditer(text):
        token = match.group()
        if token in "[{":
            depth += 1
        elif token in "]}":
            depth -= 1
        if (token == "," and depth == 1) or depth == 0:
            parts.append(text[start : match.start()])
            start = match.end()
        if depth == 0:
            break
    if depth or text[start:].strip():
        raise ValueError("a JSON object or array does not end")
    return parts if len(parts) > 1 or parts[0].strip() else []


def _store_version(document: Any, era: int) -> StoreVersion:
    number = _number(document["store_revision"])
    if number is None:
        raise ValueError("the version of the store is not an integer")
    return StoreVersion(era, number)


def _number(value: Any) -> int | None:
    try:
        number = int(value)
    except (ValueError, TypeError, OverflowError):
        return None
    return number if 0 <= number <= MAX_INTEGER else None


def _is_usable(value: Any, depth: int = MAX_VALUE_DEPTH) -> bool:
    """Return whether a value is flat enough, finite, and plain text throughout."""
    match value:
        case None | bool():
            return True
        case str():
            return value.isascii() or _is_unicode(value)
        case int():
            return abs(value) <= MAX_INTEGER
        case float():
            return math.isfinite(value)
        case dict():
            parts: list[Any] = [*value.keys(), *value.values()]
        case list():
            parts = value
        case _:
            return False
    return depth > 0 and all(_is_usable(part, depth - 1) for part in parts)


def _is_unicode(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


__all__ = [
    "Changes",
    "Page",
    "load_document",
    "object_document",
    "parse_object",
    "read_changes",
    "read_object",
    "read_page",
]
