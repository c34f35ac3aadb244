"""Types shared by the peer server and the links."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bitternturn.peers import const
from bitternturn.schema import peers_pb2

Observe = Callable[[peers_pb2.Hello, peers_pb2.Versions], None]
RunSubQuery = Callable[
    [peers_pb2.QueryGroup, peers_pb2.SubQuery], Awaitable[peers_pb2.SubResult]
]


def _no_clock() -> int:
    """Return the timestamp of a process without a hybrid clock."""
    return 0


def _ignore_clock(timestamp: int) -> None:
    """Ignore the timestamp of a peer."""


@dataclass(kw_only=True, slots=True)
class PeerHandlers:
    """Handlers of an instance for messages of its peers.

    `run_sub_request` may return a future, for which no task is created.
    `observe` is called with the sender and the versions of every message
    received. `clock` returns the timestamp to send with a message, and
    `observe_clock` is called with the timestamp of a received one.
    """

    run_sub_request: RunSubQuery
    probe: Callable[[peers_pb2.ProbeRequest], Awaitable[peers_pb2.ProbeReply]]
    fetch: Callable[[peers_pb2.FetchRequest], Awaitable[peers_pb2.FetchReply]]
    handover: Callable[
        [peers_pb2.HandoverRequest], Awaitable[peers_pb2.HandoverReply]
    ]
    claim: Callable[[peers_pb2.ClaimRequest], Awaitable[peers_pb2.ClaimReply]]
    timeline: Callable[
        [peers_pb2.TimelineRequest], Awaitable[peers_pb2.TimelineReply]
    ]
    hello: Callable[[], peers_pb2.Hello]
    versions: Callable[[], peers_pb2.Versions]
    observe: Observe
    clock: Callable[[], int] = _no_clock
    observe_clock: Callable[[int], None] = _ignore_clock


@dataclass(kw_only=True, frozen=True, slots=True)
class LinkSettings:
    """Timeouts of a link, and its limit on outstanding sub-requests."""

    keep_alive_interval_s: float = const.DEFAULT_KEEP_ALIVE_INTERVAL_S
    idle_keep_alive_interval_s: float = const.DEFAULT_IDLE_KEEP_ALIVE_INTERVAL_S
    silence_timeout_s: float = const.DEFAULT_SILENCE_TIMEOUT_S
    connect_timeout_s: float = const.DEFAULT_CONNECT_TIMEOUT_S
    min_backoff_s: float = const.DEFAULT_MIN_BACKOFF_S
    max_backoff_s: float = const.DEFAULT_MAX_BACKOFF_S
    max_outstanding: int = const.DEFAULT_MAX_OUTSTANDING
    idle_timeout_s: float = const.DEFAULT_IDLE_TIMEOUT_S


DEFAULT_LINK_SETTINGS = LinkSettings()
