"""Conversion of objects between the store, the copy of a kind and peers."""

from typing import Any

import msgspec

from bitternturn.platform.object_messages import (
    ObjectEvent,
    ObjectMeta,
    OnUnreadable,
    PlatformObject,
    UnreadableError,
    UnreadableObject,
    decode_spec,
)
from bitternturn.relay.copies import CopiedObject
from bitternturn.schema.relay_pb2 import StoredObject


def decode_change(
    kind: str, stored: StoredObject, on_unreadable: OnUnreadable
) -> ObjectEvent:
    """Decode a change that a peer has sent."""
    if stored.deleted:
        meta = ObjectMeta(name=stored.name, revision=stored.revision)
        return ObjectEvent(object=PlatformObject(meta=meta), deleted=True)
    copied = CopiedObject(
        name=stored.name,
        revision=stored.revision,
        spec=stored.spec,
        status=stored.status or None,
    )
    return ObjectEvent(object=decode_known(kind, copied, on_unreadable))


def decode_known(
    kind: str, copied: CopiedObject, on_unreadable: OnUnreadable
) -> PlatformObject:
    """Decode an object of the copy."""

    def decode(content: bytes) -> Any:
        """Decode a part of the object, UNSET if it can't be decoded."""
        try:
            return decode_spec(kind, copied.name, content)
        except UnreadableError as error:
            on_unreadable(
                UnreadableObject(kind=kind, name=copied.name, cause=str(error))
            )
            return msgspec.UNSET

    return PlatformObject(
        meta=ObjectMeta(name=copied.name, revision=copied.revision),
        spec=decode(copied.spec or b'null'),
        status=decode(copied.status) if copied.status else None,
    )


def make_copied_object(
    stored: PlatformObject, *, deleted: bool
) -> CopiedObject:
    """Convert an object for the copy that is shared with peers."""
    return CopiedObject(
        name=stored.meta.name,
        revision=stored.meta.revision,
        spec=None if deleted else _encode_spec(stored.spec),
        status=_encode_status(stored.status),
    )


def _encode_spec(spec: Any) -> bytes:
    """Return the content of an object as JSON, null if it is nested too deeply."""
    try:
        return msgspec.json.encode(spec)
    except RecursionError:
        return b'null'


def _encode_status(status: Any) -> bytes | None:
    """Return the status of an object as JSON, None without one."""
    return None if status is None else _encode_spec(status)
