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
    arrivals: list[float] = field(default_factory=list)
    ends: list[float] = field(default_factory=list)

    def record_arrival(self) -> None:
        """Record that the request has reached a target."""
        self.arrivals.append(time.monotonic())

    def record_end(self) -> None:
        """Record that a target has ended."""
        self.ends.append(time.monotonic())

    def count_late_arrivals(self, grace_s: float = 0) -> int:
        """Return the arrivals later than a time after the third end."""
        if len(self.ends) < COUNTED_FROM_ENDS:
            return 0
        counted_from = self.ends[COUNTED_FROM_ENDS - 1] + grace_s
        return sum(at > counted_from for at in self.arrivals)
