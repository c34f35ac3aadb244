"""Monotonic clock, wall clock and hybrid logical clock."""

import time
from collections.abc import Callable
from functools import partial
from typing import Final

# Returns the seconds of a monotonic clock.
Clock = Callable[[], float]

MS_PER_SECOND: Final = 1000
COUNTER_BITS: Final = 16


def monotonic() -> float:
    """Return the seconds of the monotonic clock."""
    return time.monotonic()


# Returns the seconds of the monotonic clock that counts suspended time.
boot_time: Final[Clock] = partial(time.clock_gettime, time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return the wall-clock time in milliseconds since the Unix epoch."""
    return int(time.time() * MS_PER_SECOND)


class HybridClock:
    """Hybrid logical clock that orders events across processes.

    A timestamp holds wall-clock milliseconds in the upper bits and a counter
    in the lower 16 bits.
    """

    def __init__(self) -> None:
        """Initialise the clock with a timestamp before every event."""
        self.latest = 0

    def tick(self, *, now_ms: int) -> int:
        """Return a timestamp later than all issued or observed so far."""
        self.latest = max(self.latest + 1, now_ms << COUNTER_BITS)
        return self.latest

    def observe(self, timestamp: int) -> None:
        """Advance the clock to the timestamp of a received message."""
        self.latest = max(self.latest, timestamp)


def timestamp_to_ms(timestamp: int) -> int:
    """Return the wall-clock milliseconds of a timestamp."""
    return timestamp >> COUNTER_BITS
