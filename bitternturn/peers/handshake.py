"""Compatibility check of the first message between two instances."""

from bitternturn.peers.const import OLDEST_PROTOCOL, PROTOCOL
from bitternturn.schema.peers_pb2 import Hello


def find_incompatibility(*, own: Hello, other: Hello) -> str:
    """Return why two instances are incompatible; empty if they are not."""
    if other.cluster != own.cluster:
        return f'cluster {other.cluster!r} is not {own.cluster!r}'
    if not other.instance_id:
        return 'hello has no instance id'
    newest = min(own.protocol, other.protocol)
    oldest = max(own.oldest_protocol, other.oldest_protocol)
    if newest < oldest or not newest:
        return f'no common protocol version: {newest} < {oldest}'
    return ''


def set_protocol_range(hello: Hello) -> Hello:
    """Set the range of protocol versions that this release supports."""
    hello.protocol = PROTOCOL
    hello.oldest_protocol = OLDEST_PROTOCOL
    return hello
