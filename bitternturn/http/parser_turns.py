"""Shares the event loop between connections whose input is slow to parse."""

import asyncio
from collections import deque
from typing import Final, Protocol

# Time in each turn of the event loop for input that was not parsed on arrival,
# in seconds. The rest of the turn is left to other callers, peers and targets.
TURN_S: Final = 0.002


class Parsing(Protocol):
    """A connection with input that is left to parse."""

    def take_turn(self) -> bool:
        """Parse a bounded part; return whether more is left."""


class ParserTurns:
    """Lets connections parse in turn, for a bounded time per loop turn.

    Guards against bodies in chunks of one byte: each chunk is an event of the
    parser of some microseconds, so that a body of legal size takes a second.
    """

    __slots__ = ('scheduled', 'waiting')

    def __init__(self) -> None:
        """Initialise without connections."""
        self.waiting: deque[Parsing] = deque()
        self.scheduled = False

    def add(self, connection: Parsing) -> None:
        """Append a connection; `take_turn` is called until nothing is left."""
        self.waiting.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        """Run in the next turn of the event loop."""
        if not self.scheduled:
            self.scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        """Give turns until the time is used up."""
        self.scheduled = False
        loop = asyncio.get_running_loop()
        end = loop.time() + TURN_S
        while self.waiting and loop.time() < end:
            connection = self.waiting.popleft()
            if connection.take_turn():
                self.waiting.append(connection)
        if self.waiting:
            self._schedule()
