"""Budget of the memory that callers make the listeners of a process hold."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, Protocol

from bitternturn.core.clock import Clock, monotonic
from bitternturn.http import const

# Part of the budget down to which connections are evicted once it is exceeded,
# so that each selection, which reads all sizes, frees a good deal.
EVICT_DOWN_TO: Final = 0.875
# Time until sizes are read again after requests that run alone exceeded the
# budget, in seconds. Each read of the network would otherwise read the sizes of
# all connections, without any to evict.
REFRESH_INTERVAL_S: Final = 0.01


@unique
class EvictionReason(Enum):
    """Why a listener gave up a connection of a caller."""

    # The memory budget of all listeners was exceeded.
    MEMORY = 'memory'
    # The listener had its maximum number of connections.
    CONNECTIONS = 'connections'
    # The head or body of a request made no progress.
    STALLED_REQUEST = 'stalled_request'
    # The peer did not read its response.
    UNREAD_RESPONSE = 'unread_response'


@dataclass(kw_only=True, frozen=True, slots=True)
class Eviction:
    """A connection that was given up, and what it held."""

    reason: EvictionReason
    peer: str
    held_bytes: int
    # Time since the connection began to hold it, in seconds.
    held_s: float


EvictionListener = Callable[[Eviction], None]


class Holder(Protocol):
    """A connection that holds memory for a caller."""

    def held_bytes(self) -> int:
        """Return the size of what is held now."""

    def held_s(self) -> float:
        """Return for how long something has been held, in seconds."""

    def is_evictable(self) -> bool:
        """Whether no handler works on a request of the connection."""

    def evict(self, reason: EvictionReason) -> None:
        """Refuse the request or close; discards the holder from the budget."""


class CallerMemory:
    """Bounds what all connections of callers hold together.

    Connections that hold little are not counted: ordinary callers are never
    evicted, and their number is bounded. Among the others, the one with the
    largest product of size and time is evicted first. A request that is being
    handled stays, since a refusal would have to state that it has not run.
    """

    __slots__ = ('max_bytes', 'now', 'refresh_at', 'sizes', 'total_bytes')

    def __init__(self, *, max_bytes: int, now: Clock = monotonic) -> None:
        """Initialise without connections."""
        self.max_bytes = max_bytes
        self.now = now
        # When sizes may be read again, after evictions did not suffice.
        self.refresh_at = -math.inf
        self.sizes: dict[Holder, int] = {}
        self.total_bytes = 0

    def update(self, holder: Holder, held_bytes: int) -> None:
        """Set what a connection holds; evict connections above the budget."""
        if held_bytes <= const.SMALL_HOLDING_BYTES:
            self.discard(holder)
            return
        self.total_bytes += held_bytes - self.sizes.get(holder, 0)
        self.sizes[holder] = held_bytes
        if self.total_bytes > self.max_bytes and self.now() >= self.refresh_at:
            self._shrink()

    def discard(self, holder: Holder) -> None:
        """Remove a connection that holds nothing any more."""
        self.total_bytes -= self.sizes.pop(holder, 0)

    def _shrink(self) -> None:
        """Evict connections if the budget is exceeded by current sizes."""
        self._refresh()
        if self.total_bytes > self.max_bytes:
            self._evict()
        if self.total_bytes > self.max_bytes:
            self.refresh_at = self.now() + REFRESH_INTERVAL_S

    def _refresh(self) -> None:
        """Read all sizes again: peers may have read part of a response."""
        for holder in self.sizes:
            self.sizes[holder] = holder.held_bytes()
        self.total_bytes = sum(self.sizes.values())

    def _evict(self) -> None:
        """Evict the largest and slowest connections."""
        evictable = [it for it in self.sizes if it.is_evictable()]
        evictable.sort(
            key=lambda it: self.sizes[it] * (1 + it.held_s()), reverse=True
        )
        for holder in evictable:
            if self.total_bytes <= self.max_bytes * EVICT_DOWN_TO:
                return
            holder.evict(EvictionReason.MEMORY)
            self.discard(holder)
