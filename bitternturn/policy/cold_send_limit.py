"""Rate limit of the sends from one instance to a target in cold start.

Guards against the recovery of a whole failure domain: all of its targets are
cold at the same time, and every instance would send to them.
"""

import math
from collections import deque
from typing import Final

# Safety factor of the rate limit: the one-second windows of an instance and of
# a target are not aligned.
SAFETY_FACTOR: Final = 0.8
WINDOW_S: Final = 1.0


class ColdSendLimit:
    """Sliding-window rate limit of the sends of one instance to one target.

    If the target allows fewer sends per second than there are instances, only
    that many instances send at all, each one request per second.
    """

    __slots__ = ('limit', 'sent_at')

    def __init__(self) -> None:
        """Initialise without a limit."""
        self.limit: float = math.inf
        self.sent_at: deque[float] = deque()

    def set_limit(
        self,
        *,
        rate: float,
        factor: float,
        slack: float,
        instances: int,
        rank: int,
    ) -> None:
        """Update the share of this instance in the limit of a target.

        All instances together may send `rate` × `factor` + `slack` requests
        per second, less the safety margin; a rate of 0 means no limit. `rank`
        is the position of this instance in the order of all instances for
        this target; the lowest ranks share the remainder of the division.
        """
        self.limit = math.inf
        if rate > 0:
            total_limit = math.floor((rate * factor + slack) * SAFETY_FACTOR)
            has_extra = rank < total_limit % instances
            self.limit = total_limit // instances + has_extra

    def allows(self, now: float) -> bool:
        """Return whether one more send is within the limit."""
        if self.limit == math.inf:
            return True
        while self.sent_at and now - self.sent_at[0] >= WINDOW_S:
            self.sent_at.popleft()
        return len(self.sent_at) < self.limit

    def record_send(self, now: float) -> None:
        """Record a send."""
        if self.limit != math.inf:
            self.sent_at.append(now)
