"""The first message between two instances."""

from bitternturn.peers.const import OLDEST_PROTOCOL, PROTOCOL
from bitternturn.schema.peers_pb2 import Hello


def find_refusal(*, own: Hello, other: Hello) -> str:
    """Return why two instances can't work together; empty when they can."""
    if other.cluster != own.cluster:
        return f'cluster {other.cluster!r} is not {own.cluster!r}'
    if not other.instance_id:
        return 'hello names no instance'
    newest = min(own.protocol, other.protocol)
    oldest = max(own.oldest_protocol, other.oldest_protocol)
    if newest < oldest or not newest:
        return f'no protocol in common: {newest} < {oldest}'
    return ''


def set_protocol(hello: Hello) -> Hello:
    """Fill in the protocol range of this release."""
    hello.protocol = PROTOCOL
    hello.oldest_protocol = OLDEST_PROTOCOL
    return hello
