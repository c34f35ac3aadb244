"""Clocks: the monotonic and wall clocks, and a hybrid logical clock."""

import time
from collections.abc import Callable
from typing import Final

# Returns seconds on a clock that never goes back.
Clock = Callable[[], float]

MS_PER_SECOND: Final = 1000
COUNTER_BITS: Final = 16


def monotonic() -> float:
    """Return seconds on the monotonic clock of this process."""
    return time.monotonic()


def wall_ms() -> int:
    """Return milliseconds since 1970."""
    return int(time.time() * MS_PER_SECOND)


class HybridClock:
    """Orders events over processes: wall milliseconds and a counter."""

    def __init__(self) -> None:
        """Start before every event."""
        self.last = 0

    def tick(self, *, now_ms: int) -> int:
        """Return a stamp later than all stamps given or seen so far."""
        self.last = max(self.last + 1, now_ms << COUNTER_BITS)
        return self.last

    def observe(self, stamp: int) -> None:
        """Take in the stamp of a message from another process."""
        self.last = max(self.last, stamp)


def stamp_to_ms(stamp: int) -> int:
    """Return the wall milliseconds of a stamp."""
    return stamp >> COUNTER_BITS
