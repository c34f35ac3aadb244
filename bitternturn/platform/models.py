"""Models of the object API and the instance list."""

from dataclasses import dataclass

import msgspec

from bitternturn.core.ids import FailureDomain, InstanceId, Version


@dataclass(kw_only=True, frozen=True, slots=True)
class StoredObject:
    """One object at a version."""

    kind: str
    name: str
    version: Version
    token: str = ''
    value: bytes = b''
    deleted: bool = False


@dataclass(kw_only=True, frozen=True, slots=True)
class ObjectList:
    """All objects of one kind, and the version from which to watch."""

    version: Version
    items: tuple[StoredObject, ...]


@dataclass(kw_only=True, frozen=True, slots=True)
class TimedObject:
    """An object, or None, and the start of the read that returned it."""

    stored: StoredObject | None
    started_at: float


@dataclass(kw_only=True, frozen=True, slots=True)
class ApiResponse:
    """Response of the store; the call began at `started_at` (client clock)."""

    status: int
    body: bytes
    started_at: float
    # Era of the store, 0 if it states none.
    era: int = 0


@dataclass(kw_only=True, frozen=True, slots=True)
class WriteBody:
    """Body of a conditional write; `value` is base64 on the wire."""

    value: bytes
    token: str


@dataclass(kw_only=True, frozen=True, slots=True)
class WriteReply:
    """Response to a write that took effect."""

    version: Version


@dataclass(kw_only=True, frozen=True, slots=True)
class ListedInstance:
    """One entry of the instance list, possibly out of date."""

    id: InstanceId
    failure_domain: FailureDomain
    state: str
    peer: str
    operators: str


@dataclass(kw_only=True, frozen=True, slots=True)
class InstanceList:
    """Instance list of the platform."""

    instances: tuple[ListedInstance, ...]


def decode_object(line: bytes) -> StoredObject:
    """Decode an object from JSON; raises msgspec.DecodeError."""
    return msgspec.json.decode(line, type=StoredObject)
