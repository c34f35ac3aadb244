"""A request that ends each emulated target that runs it."""

import time
from dataclasses import dataclass, field
from typing import Final

# Number of ends from which on further requests are counted.
COUNTED_FROM_ENDS: Final = 3


@dataclass(kw_only=True, slots=True)
class CrashingRequest:
    """Counts, over all targets, the ends and what arrives after them.

    Times are on the monotonic clock, in seconds.
    """

    request_target: str
    # Time for which a target runs it before it ends.
    run_s: float = 0.02
    # Request id and time of each arrival at a target.
    arrivals: list[tuple[str, float]] = field(default_factory=list)
    ends: list[float] = field(default_factory=list)

    def record_arrival(self, request_id: str) -> None:
        """Record that an attempt of the request has reached a target."""
        self.arrivals.append((request_id, time.monotonic()))

    def record_end(self) -> None:
        """Record that a target has ended."""
        self.ends.append(time.monotonic())

    def late_arrivals(self, grace_s: float = 0) -> list[tuple[str, float]]:
        """Return the arrivals later than a time after the third end."""
        if len(self.ends) < COUNTED_FROM_ENDS:
            return []
        counted_from = self.ends[COUNTED_FROM_ENDS - 1] + grace_s
        return [
            arrival for arrival in self.arrivals if arrival[1] > counted_from
        ]
