"""Types that the peers' server and links share."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bitternturn.peers import const
from bitternturn.schema import peers_pb2

Observe = Callable[[peers_pb2.Hello, peers_pb2.Versions], None]
RunSubQuery = Callable[
    [peers_pb2.QueryGroup, peers_pb2.SubQuery], Awaitable[peers_pb2.SubResult]
]


def _no_clock() -> int:
    """Return the stamp of a process without a hybrid clock."""
    return 0


def _ignore_clock(stamp: int) -> None:
    """Drop a stamp."""


@dataclass(kw_only=True, slots=True)
class PeerHandlers:
    """What an instance does for its peers.

    `run` may return a future, which costs no task; `observe` is called for
    every message received, with its sender.
    """

    run: RunSubQuery
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
    """Times of a link in seconds, and its bound on outstanding work."""

    keep_alive_s: float = const.DEFAULT_KEEP_ALIVE_S
    idle_keep_alive_s: float = const.DEFAULT_IDLE_KEEP_ALIVE_S
    silent_s: float = const.DEFAULT_SILENT_S
    connect_timeout_s: float = const.DEFAULT_CONNECT_TIMEOUT_S
    back_off_s: float = const.DEFAULT_BACK_OFF_S
    max_back_off_s: float = const.DEFAULT_MAX_BACK_OFF_S
    outstanding: int = const.DEFAULT_OUTSTANDING
    unused_s: float = const.DEFAULT_UNUSED_S


DEFAULT_LINK_SETTINGS = LinkSettings()
