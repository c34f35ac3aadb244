"""Ramp of the load on targets that come back into service."""

import random

from bitternturn.core.ids import TargetId
from bitternturn.policy.const import (
    DEFAULT_RETURN_RAMP_S,
    RETURN_FIRST_SHARE,
)


class ReturnRamp:
    """Raises the share of the usual load that returning targets get.

    The share grows exponentially from `RETURN_FIRST_SHARE` to 1 within
    `ramp_s` seconds.
    """

    __slots__ = ('ramp_s', 'returned_at')

    def __init__(self, *, ramp_s: float = DEFAULT_RETURN_RAMP_S) -> None:
        """Start with no target on the ramp."""
        self.ramp_s = ramp_s
        self.returned_at: dict[TargetId, float] = {}

    def on_return(self, target: TargetId, now: float) -> None:
        """Put a target that came back at the foot of the ramp."""
        self.returned_at[target] = now

    def share(self, target: TargetId, now: float) -> float:
        """Return the share of the usual load, from above 0 to 1."""
        returned_at = self.returned_at.get(target)
        if returned_at is None:
            return 1
        left = 1 - (now - returned_at) / self.ramp_s
        if left <= 0:
            self.returned_at.pop(target)
            return 1
        return float(RETURN_FIRST_SHARE**left)

    def admits(
        self,
        target: TargetId,
        now: float,
        rng: random.Random,
    ) -> bool:
        """Draw whether a target takes one request as a warm one would."""
        share = self.share(target, now)
        return share >= 1 or rng.random() < share
