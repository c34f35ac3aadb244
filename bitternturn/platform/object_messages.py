"""Messages of the store, in which each object is decoded by itself.

The store does not validate what targets and operators write: one object that
can't be decoded must not hide the others.
"""

import asyncio
import contextlib
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from bitternturn.core.decoding import DECODE_ERRORS, decode_tolerantly
from bitternturn.core.json_scan import (
    Paused,
    Result,
    ScanError,
    split_elements,
    split_members,
)
from bitternturn.platform import wire_names

# Objects above this size are only decoded if `_may_be_large` says so. An entry
# of a target has below 1 KiB and a suspect below 4 KiB, while decoding blocks
# the event loop for up to 0.3 s for 1 MB.
MAX_OBJECT_BYTES: Final = 16_384
# Numbers with an exponent or at least 17 digits in an object above that size;
# each takes up to 7 us to decode, others 10 ns. Weights of a split may be such
# numbers.
MAX_SLOW_NUMBERS: Final = 10_000
# Lists and objects within such an object: 65,536 take some 20 ms to decode. A
# route has up to 4 in 300 bytes, so a configuration of 1 MB has 14,000.
MAX_CONTAINERS: Final = 65_536
# Up to this size, odd values in a configuration are left out instead of the whole
# version, which other builds may apply. It takes 1.4 s for 1 MB, so 0.1 s here.
MAX_TOLERANT_BYTES: Final = 65_536
# Bytes decoded between two pauses: 1 to 2 ms for entries of targets.
BYTES_PER_PAUSE: Final = 262_144
# Objects with unbalanced brackets after which the next one is searched for in
# one message, since each may take a pass over the rest of it.
MAX_RESUMES: Final = 16
MAX_CAUSE_LENGTH: Final = 80

# Raised for a message that can't be split into its objects.
MESSAGE_ERRORS: Final = (*DECODE_ERRORS, ScanError)

_SLOW_NUMBER: Final = re.compile(
    rb'[\[:,\s]-?(?:[\d.]{17}|\d[\d.]*+[eE])', re.ASCII
)
# The longest match of it: what precedes the number, a sign, 17 characters, and an
# exponent.
MAX_SLOW_MATCH_BYTES: Final = 20
# Begin of the next object, or end of the array.
_NEXT_OBJECT: Final = re.compile(
    rb',\s*+\{\s*+"(?:meta|object|deleted)"\s*+:'
    rb'|\](?=\s*+(?:,[^\[\]{}]*+)?\}\s*+\Z)'
)
_META: Final = 'meta'
_OBJECT: Final = 'object'
_DELETED: Final = 'deleted'


class ObjectMeta(msgspec.Struct, rename='kebab'):
    """Metadata of an object in the store."""

    name: str
    # Position of the last change; the store itself states only the revision.
    revision: int = 0


class PlatformObject(msgspec.Struct, rename='kebab'):
    """One object; the store does not validate `spec`.

    It is `msgspec.UNSET` if it can't be decoded.
    """

    meta: ObjectMeta
    spec: Any = None
    status: Any = None

    @property
    def readable(self) -> bool:
        """Whether the content could be decoded."""
        return (
            self.spec is not msgspec.UNSET and self.status is not msgspec.UNSET
        )


class ObjectEvent(msgspec.Struct, rename='kebab'):
    """Creation, update or deletion of one object."""

    object: PlatformObject
    deleted: bool = False


class ListPage(msgspec.Struct, rename='kebab'):
    """One page of a list."""

    items: list[PlatformObject] = []
    more: bool = False
    # Store revision from which to watch.
    at_rev: int = 0


class WatchReply(msgspec.Struct, rename='kebab'):
    """Response to a watch; `async_watch` turns the revision into a position."""

    events: list[ObjectEvent] = []
    at_rev: int = 0


class RawListPage(msgspec.Struct, rename='kebab'):
    """A page whose objects are not decoded yet."""

    items: list[msgspec.Raw] = []
    more: bool = False
    at_rev: int = 0


class RawWatchReply(msgspec.Struct, rename='kebab'):
    """A response to a watch whose events are not decoded yet."""

    events: list[msgspec.Raw] = []
    at_rev: int = 0


@dataclass(kw_only=True, frozen=True, slots=True)
class UnreadableObject:
    """An object or event that can't be decoded."""

    kind: str
    # Empty if it can't be decoded either.
    name: str
    cause: str


# Called with each object that can't be decoded.
OnUnreadable = Callable[[UnreadableObject], None]


class UnreadableError(Exception):
    """An object is not decoded, for the cause in the message."""


def ignore_unreadable(unreadable: UnreadableObject) -> None:
    """Ignore an object that can't be decoded."""


async def async_complete(decoding: Paused[Result]) -> Result:
    """Return the result of a decoder; lets other tasks run at its pauses."""
    while True:
        try:
            next(decoding)
        except StopIteration as end:
            result: Result = end.value
            return result
        await asyncio.sleep(0)


def decode_list(
    kind: str, body: bytes, on_unreadable: OnUnreadable
) -> Paused[ListPage]:
    """Decode a page; raises one of MESSAGE_ERRORS.

    Objects of which not even the name can be decoded are left out.
    """
    page = yield from _decode_envelope(body, RawListPage, 'items')
    reader = _ObjectReader(kind, on_unreadable)
    items = []
    for raw in page.items:
        item = yield from reader.read_object(bytes(raw))
        if item is not None:
            items.append(item)
    return ListPage(items=items, more=page.more, at_rev=page.at_rev)


def decode_watch(
    kind: str, body: bytes, on_unreadable: OnUnreadable
) -> Paused[WatchReply]:
    """Decode a response to a watch; raises one of MESSAGE_ERRORS.

    Events of which not even the name can be decoded are left out.
    """
    reply = yield from _decode_envelope(body, RawWatchReply, 'events')
    reader = _ObjectReader(kind, on_unreadable)
    events = []
    for raw in reply.events:
        event = yield from reader.read_event(bytes(raw), reply.at_rev)
        if event is not None:
            events.append(event)
    return WatchReply(events=events, at_rev=reply.at_rev)


def decode_object(
    kind: str, body: bytes, on_unreadable: OnUnreadable
) -> Paused[PlatformObject | None]:
    """Decode one object; return None if not even its name can be decoded."""
    return _ObjectReader(kind, on_unreadable).read_object(body)


def decode_spec(kind: str, name: str, spec: bytes) -> Any:
    """Decode what a peer has sent of an object; raises UnreadableError."""
    return _decode_bounded(spec, Any, _may_be_large(kind, name))


class _ObjectReader:
    """Decodes the objects of one message."""

    def __init__(self, kind: str, on_unreadable: OnUnreadable) -> None:
        """Initialise for a message with objects of a kind."""
        self.kind = kind
        self.on_unreadable = on_unreadable
        # Bytes decoded since the last pause.
        self.decoded_bytes = 0

    def read_object(self, raw: bytes) -> Paused[PlatformObject | None]:
        """Decode an object, or at least its name."""
        yield from self._pause(raw)
        try:
            stored: PlatformObject = _decode_bounded(raw, PlatformObject)
        except UnreadableError as error:
            cause = str(error)
        else:
            return stored
        meta = yield from _read_meta(raw)
        if meta is not None and _may_be_large(self.kind, meta.name):
            try:
                large: PlatformObject = yield from _decode_large(raw)
            except UnreadableError as error:
                cause = str(error)
            else:
                return large
        self._report(meta, cause)
        if meta is None:
            return None
        return PlatformObject(meta=meta, spec=msgspec.UNSET)

    def read_event(self, raw: bytes, at_rev: int) -> Paused[ObjectEvent | None]:
        """Decode an event, or at least the name of its object.

        An object whose revision can't be decoded gets that of the message.
        """
        yield from self._pause(raw)
        try:
            event: ObjectEvent = _decode_bounded(raw, ObjectEvent)
        except UnreadableError as error:
            cause = str(error)
        else:
            return event
        try:
            members = yield from split_members(
                raw, frozenset((_OBJECT, _DELETED))
            )
        except ScanError:
            members = {}
        if _OBJECT not in members:
            self._report(None, cause)
            return None
        stored = yield from self.read_object(members[_OBJECT])
        if stored is None:
            return None
        stored.meta.revision = stored.meta.revision or at_rev
        try:
            deleted: bool = msgspec.json.decode(
                members.get(_DELETED, b'false'), type=bool
            )
        except DECODE_ERRORS:
            deleted = False
            stored.spec = msgspec.UNSET
        return ObjectEvent(object=stored, deleted=deleted)

    def _pause(self, raw: bytes) -> Paused[None]:
        """Pause if much has been decoded since the last pause."""
        self.decoded_bytes += len(raw)
        if self.decoded_bytes >= BYTES_PER_PAUSE:
            self.decoded_bytes = 0
            yield

    def _report(self, meta: ObjectMeta | None, cause: str) -> None:
        """Report an object that can't be decoded."""
        self.on_unreadable(
            UnreadableObject(
                kind=self.kind, name=meta.name if meta else '', cause=cause
            )
        )


def _may_be_large(kind: str, name: str) -> bool:
    """Return whether an object may be large: only the configuration."""
    return (
        kind == wire_names.KIND_CONFIGURATION
        and name == wire_names.NAME_CONFIGURATION
    )


def _decode_large(raw: bytes) -> Paused[PlatformObject]:
    """Decode an object that may be large, with pauses between the steps."""
    yield from _check_large(raw)
    yield
    stored: PlatformObject = _decode(raw, PlatformObject, may_be_large=True)
    return stored


def _decode_bounded(raw: bytes, model: Any, may_be_large: bool = False) -> Any:
    """Decode JSON unless it takes too long; raises UnreadableError."""
    if may_be_large:
        deque(_check_large(raw), maxlen=0)
    elif len(raw) > MAX_OBJECT_BYTES:
        raise UnreadableError('too large')
    return _decode(raw, model, may_be_large=may_be_large)


def _check_large(raw: bytes) -> Paused[None]:
    """Raise UnreadableError if an object that may be large takes too long."""
    if len(raw) <= MAX_OBJECT_BYTES:
        return
    if raw.count(b'[') + raw.count(b'{') > MAX_CONTAINERS:
        raise UnreadableError('too many values')
    slow_numbers = 0
    for start in range(0, len(raw), BYTES_PER_PAUSE):
        yield
        slow_numbers += _count_slow_numbers(raw, start, start + BYTES_PER_PAUSE)
        if slow_numbers > MAX_SLOW_NUMBERS:
            raise UnreadableError('too many long numbers')


def _count_slow_numbers(raw: bytes, start: int, end: int) -> int:
    """Return how many slow numbers begin between two positions."""
    found = _SLOW_NUMBER.finditer(raw, start, end + MAX_SLOW_MATCH_BYTES)
    return sum(number.start() < end for number in found)


def _decode(raw: bytes, model: Any, *, may_be_large: bool) -> Any:
    """Decode JSON; raises UnreadableError."""
    try:
        if may_be_large and len(raw) <= MAX_TOLERANT_BYTES:
            return decode_tolerantly(raw, model)
        return msgspec.json.decode(raw, type=model)
    except DECODE_ERRORS as error:
        raise UnreadableError(str(error)[:MAX_CAUSE_LENGTH]) from error


def _read_meta(raw: bytes) -> Paused[ObjectMeta | None]:
    """Return the metadata of an object, None if they can't be decoded."""
    try:
        members = yield from split_members(raw, frozenset((_META,)))
        meta: ObjectMeta = _decode_bounded(members.get(_META, b''), ObjectMeta)
    except (ScanError, UnreadableError):
        return None
    return meta


def _decode_envelope(body: bytes, model: type[Any], array: str) -> Paused[Any]:
    """Decode a message without the objects in its array.

    Raises one of MESSAGE_ERRORS.
    """
    with contextlib.suppress(*DECODE_ERRORS):
        return msgspec.json.decode(body, type=model)
    start = _find_array(body, array)
    elements, end = yield from split_elements(
        body, start, _NEXT_OBJECT, MAX_RESUMES
    )
    message = msgspec.json.decode(
        b'%b[]%b' % (body[:start], body[end:]), type=model
    )
    raws = [msgspec.Raw(element) for element in elements]
    return msgspec.structs.replace(message, **{array: raws})


def _find_array(body: bytes, name: str) -> int:
    """Return the position of the array of a message; raises ScanError.

    The members before it are numbers and booleans.
    """
    found = re.match(
        rb'\s*+\{[^"\[{]*+(?:"[^"\[{]*+)*?"%b"\s*+:\s*+(?=\[)' % name.encode(),
        body,
    )
    if found is None:
        raise ScanError(0)
    return found.end()
