"""Shares the event loop between connections whose input is slow to parse."""

import asyncio
from collections import deque
from typing import Final, Protocol
from weakref import WeakKeyDictionary

import logbook

LOGGER = logbook.Logger('http.parser_turns')

# Time in each turn of the event loop for input that was not parsed on arrival,
# in seconds. The rest of the turn is left to other callers, peers and targets.
TURN_S: Final = 0.002


class Parsing(Protocol):
    """A connection with input that is left to parse."""

    def take_turn(self) -> bool:
        """Parse a bounded part; return whether more is left."""

    def abort(self) -> None:
        """Close at once."""


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
        try:
            while self.waiting and loop.time() < end:
                connection = self.waiting.popleft()
                if _take_turn(connection):
                    self.waiting.append(connection)
        finally:
            if self.waiting:
                self._schedule()


# Turns of all connections to servers of an event loop.
_TURNS_BY_LOOP: Final[
    WeakKeyDictionary[asyncio.AbstractEventLoop, ParserTurns]
] = WeakKeyDictionary()


def client_turns() -> ParserTurns:
    """Return the turns that the connections to servers share."""
    loop = asyncio.get_running_loop()
    turns = _TURNS_BY_LOOP.get(loop)
    if turns is None:
        turns = ParserTurns()
        _TURNS_BY_LOOP[loop] = turns
    return turns


def _take_turn(connection: Parsing) -> bool:
    """Parse a part; abort a connection whose input raises an error.

    It would stay open for ever otherwise, since it is not read from while it
    waits for its turn.
    """
    try:
        return connection.take_turn()
    except Exception:
        LOGGER.exception('parsing failed, closing the connection')
        connection.abort()
        return False
