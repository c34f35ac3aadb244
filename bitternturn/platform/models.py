"""Objects of the platform and entries of its instance list."""

from dataclasses import dataclass

import msgspec

from bitternturn.core.ids import FailureDomain, InstanceId, Version


@dataclass(kw_only=True, frozen=True, slots=True)
class StoredObject:
    """One object as it stood at a version."""

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
class WriteBody:
    """Body of a conditional write; `value` is base64 on the wire."""

    value: bytes
    token: str


@dataclass(kw_only=True, frozen=True, slots=True)
class WriteReply:
    """Answer to a write that took effect."""

    version: Version


@dataclass(kw_only=True, frozen=True, slots=True)
class ListedInstance:
    """One entry of the instance list; the list lags."""

    id: InstanceId
    failure_domain: FailureDomain
    state: str
    peer: str
    operators: str


@dataclass(kw_only=True, frozen=True, slots=True)
class InstanceList:
    """The instance list as the platform tells it."""

    instances: tuple[ListedInstance, ...]


def decode_object(line: bytes) -> StoredObject:
    """Return an object from its JSON text; raises msgspec.DecodeError."""
    return msgspec.json.decode(line, type=StoredObject)
