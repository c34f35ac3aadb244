"""What one connection of a listener holds, and how it is given up."""

import asyncio
import operator
from collections.abc import Iterable
from typing import TYPE_CHECKING, Final

from bitternturn.http import const
from bitternturn.http.memory import Eviction, EvictionReason

if TYPE_CHECKING:
    from bitternturn.http.server import ServerConnection

# Ranks in which connections make room for others; the highest comes first.
RANK_NEVER: Final = 0
# Kept open by a caller whose requests were answered.
RANK_IDLE: Final = 1
# Holds a part of a request, an unread response, or requests sent ahead.
RANK_HOLDS: Final = 2
# Was opened and has sent nothing that is complete.
RANK_UNUSED: Final = 3
# Waits for the peer to close after a refusal.
RANK_REFUSED: Final = 4


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
            return RANK_HOLDS if self.is_evictable() else RANK_NEVER
        if connection.lingering:
            return RANK_REFUSED
        if connection.request is None and connection.is_first_request:
            return RANK_UNUSED
        holds = connection.request is not None or self.held_bytes()
        return RANK_HOLDS if holds else RANK_IDLE

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


def choose_for_room(
    holdings: Iterable[ConnectionHolding],
) -> ConnectionHolding | None:
    """Return the one to give up for a new connection, None without any."""
    ranked = [
        (rank, holding.held_s(), holding)
        for holding in holdings
        if (rank := holding.rank()) != RANK_NEVER
    ]
    if not ranked:
        return None
    return max(ranked, key=operator.itemgetter(0, 1))[2]
