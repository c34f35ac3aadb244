"""Token bucket that keeps the sends of one instance within its share."""

import math

from bitternturn.policy.rate_shares import RateShare

# Time for which an instance that only probes keeps a permit. The instances that
# probe are many: after a quiet time all of them would have one.
PROBE_PERMIT_S = 0.5
# Tolerance for rounding errors, in requests.
EPSILON = 1e-9


class ShareBucket:
    """Permits for the sends of one instance to one target.

    In any time of `t` seconds it gives at most burst + rate × t permits.
    """

    __slots__ = ('filled_at', 'level', 'share')

    def __init__(self, *, share: RateShare, level: float, now: float) -> None:
        """Initialise with some permits; a negative number delays the first."""
        self.share = share
        self.level = level
        self.filled_at = now

    def set_share(self, share: RateShare, now: float) -> None:
        """Change the share; permits that exceed its burst are void."""
        self._fill(now)
        self.share = share
        self.level = min(self.level, share.burst)

    def empty(self, now: float) -> None:
        """Void the permits that were saved."""
        self._fill(now)
        self.level = min(self.level, 0)

    def allows(self, now: float) -> bool:
        """Return whether a permit is available."""
        self._fill(now)
        return self.level >= 1 - EPSILON

    def is_full(self, now: float) -> bool:
        """Return whether a permit that is not taken now would be lost."""
        self._fill(now)
        return self.level >= self.share.burst - EPSILON

    def take(self, now: float) -> None:
        """Take a permit."""
        self._fill(now)
        self.level -= 1

    def give_back(self) -> None:
        """Return the permit of a request that was not sent."""
        self.level = min(self.share.burst, self.level + 1)

    def next_at(self, now: float) -> float:
        """Return when the next permit is available."""
        self._fill(now)
        return now + max(0, 1 - self.level) / self.share.rate_per_s

    def _fill(self, now: float) -> None:
        """Add the permits of the time since the last call."""
        added = max(0, now - self.filled_at) * self.share.rate_per_s
        self.filled_at = max(now, self.filled_at)
        if self.share.probing:
            expired_level = 1 + self.share.rate_per_s * PROBE_PERMIT_S
            self.level = math.fmod(self.level + added, expired_level)
        else:
            self.level = min(self.share.burst, self.level + added)
