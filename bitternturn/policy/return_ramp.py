"""Ramp of the load on targets that return to service."""

import random

from bitternturn.core.ids import TargetId
from bitternturn.policy.const import (
    DEFAULT_RETURN_RAMP_S,
    RETURN_INITIAL_SHARE,
)


class ReturnRamp:
    """Gradually increases the load on returning targets.

    Their share of the regular load grows exponentially from
    `RETURN_INITIAL_SHARE` to 1 within `ramp_s` seconds.
    """

    __slots__ = ('ramp_s', 'returned_at')

    def __init__(self, *, ramp_s: float = DEFAULT_RETURN_RAMP_S) -> None:
        """Initialise with no target on the ramp."""
        self.ramp_s = ramp_s
        self.returned_at: dict[TargetId, float] = {}

    def on_return(self, target: TargetId, now: float) -> None:
        """Start the ramp of a target that returned to service."""
        self.returned_at[target] = now

    def share(self, target: TargetId, now: float) -> float:
        """Return the share of the regular load, above 0 and at most 1."""
        returned_at = self.returned_at.get(target)
        if returned_at is None:
            return 1
        remaining = 1 - (now - returned_at) / self.ramp_s
        if remaining <= 0:
            self.returned_at.pop(target)
            return 1
        return float(RETURN_INITIAL_SHARE**remaining)

    def admits(
        self,
        target: TargetId,
        now: float,
        rng: random.Random,
    ) -> bool:
        """Decide at random whether a target may receive one request."""
        share = self.share(target, now)
        return share >= 1 or rng.random() < share
