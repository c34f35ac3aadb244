"""What one connection of a listener holds, and how it is given up."""

import asyncio
import heapq
import operator
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from bitternturn.http import const
from bitternturn.http.memory import Eviction, EvictionReason

if TYPE_CHECKING:
    from bitternturn.http.server import ServerConnection

# Ranks in which connections make room for others; the highest comes first.
RANK_NEVER: Final = 0
# Was opened, or began a request or response, a short time ago and holds little.
RANK_NEW: Final = 1
# Kept open by a caller whose requests were answered.
RANK_IDLE: Final = 2
# Holds a small part of a request or of an unread response.
RANK_HOLDS: Final = 3
# Was opened and has sent nothing that is complete.
RANK_UNUSED: Final = 4
# Holds more than an ordinary request or response, or requests sent ahead.
RANK_HOLDS_MUCH: Final = 5
# Waits for the peer to close after a refusal.
RANK_REFUSED: Final = 6


class ConnectionHolding:
    """Size and age of what a connection holds; see `memory.Holder`."""

    __slots__ = ('connection', 'since')

    def __init__(self, *, connection: 'ServerConnection') -> None:
        """Initialise for a connection that is being opened."""
        self.connection = connection
        # When the connection was opened, or began a request or to be idle.
        self.since = asyncio.get_running_loop().time()

    def restart(self) -> None:
        """Record the start of a request or of the time without one."""
        self.since = asyncio.get_running_loop().time()

    def held_bytes(self) -> int:
        """Return the size of what is held for the caller."""
        connection = self.connection
        if connection.lingering or connection.transport is None:
            return 0
        return (
            self.unparsed_bytes()
            + connection.body_bytes * const.BODY_COPIES
            + connection.transport.get_write_buffer_size()
        )

    def unparsed_bytes(self) -> int:
        """Return the size of the input that is not parsed."""
        return len(self.connection.h11.trailing_data[0])

    def held_s(self) -> float:
        """Return the time since the connection was opened, busy or idle."""
        return asyncio.get_running_loop().time() - self.since

    def is_evictable(self) -> bool:
        """Whether no handler works on a request, or many were sent ahead."""
        return (
            self.connection.handler_task is None
            or self.unparsed_bytes() > const.SMALL_HOLDING_BYTES
        )

    def rank(self) -> int:
        """Return how early the connection makes room for others."""
        connection = self.connection
        if connection.transport is None or connection.transport.is_closing():
            return RANK_NEVER
        if connection.handler_task is not None:
            return RANK_HOLDS_MUCH if self.is_evictable() else RANK_NEVER
        if connection.lingering:
            return RANK_REFUSED
        held_bytes = self.held_bytes()
        if held_bytes > const.SMALL_HOLDING_BYTES:
            return RANK_HOLDS_MUCH
        has_sent_nothing = connection.request is None and not held_bytes
        if has_sent_nothing and not connection.is_first_request:
            return RANK_IDLE
        if self.held_s() < const.NEW_CONNECTION_S:
            return RANK_NEW
        if connection.request is None and connection.is_first_request:
            return RANK_UNUSED
        return RANK_HOLDS

    def is_ending(self) -> bool:
        """Whether the descriptor is closed in the next turn of the loop."""
        transport = self.connection.transport
        return (
            transport is not None
            and transport.is_closing()
            and not transport.get_write_buffer_size()
        )

    def evict(self, reason: EvictionReason) -> None:
        """Refuse an incomplete request as not run, or close at once."""
        self.report(reason)
        self.connection.server.memory.discard(self)
        if self._is_refusable():
            self.connection.refuse(reason)
        else:
            self.connection.abort()

    def report(self, reason: EvictionReason) -> None:
        """Report what the connection holds when it is given up."""
        self.connection.server.on_eviction(
            Eviction(
                reason=reason,
                peer=self.connection.peer,
                held_bytes=self.held_bytes(),
                held_s=self.held_s(),
            )
        )

    def _is_refusable(self) -> bool:
        """Whether a request is incomplete and no response is under way."""
        connection = self.connection
        if connection.handler_task is not None or connection.lingering:
            return False
        if connection.transport is None:
            return False
        if connection.transport.get_write_buffer_size():
            return False
        return connection.request is not None or self.unparsed_bytes() > 0


@dataclass(kw_only=True, frozen=True, slots=True)
class Occupancy:
    """Connections of a listener, as they count against its limit."""

    open_count: int
    new_count: int
    # Rank and age of those that may be given up.
    ranked: list[tuple[int, float, ConnectionHolding]]

    def choose(self, max_connections: int) -> list[ConnectionHolding]:
        """Return which to give up, so that the limit is kept.

        A few new ones may exceed it for a short time: their callers may have
        sent requests that are not read yet.
        """
        allowed = max_connections + min(
            self.new_count, const.MAX_NEW_BEYOND_LIMIT
        )
        chosen = heapq.nlargest(
            self.open_count - allowed,
            self.ranked,
            key=operator.itemgetter(0, 1),
        )
        return [holding for _, _, holding in chosen]


def read_occupancy(holdings: Iterable[ConnectionHolding]) -> Occupancy:
    """Return how many connections are open, and their ranks."""
    now = asyncio.get_running_loop().time()
    counted = [
        (holding.rank(), now - holding.since, holding)
        for holding in holdings
        if not holding.is_ending()
    ]
    return Occupancy(
        open_count=len(counted),
        new_count=sum(rank == RANK_NEW for rank, _, _ in counted),
        ranked=[item for item in counted if item[0] != RANK_NEVER],
    )
