"""Whether a peer reaches the targets of a failure domain."""

import math

from bitternturn.core.ids import TargetId
from bitternturn.policy.link_health import MIN_UNHEARD_TARGETS, LinkHealth
from bitternturn.relay import const


class PeerLink:
    """Link over one peer to the targets of one failure domain.

    A peer that is cut off declines the sends, or is found out because no target
    answers over it.
    """

    def __init__(self) -> None:
        """Initialise as usable."""
        self.health = LinkHealth()
        self.avoided_until = -math.inf

    def is_usable(self, now: float) -> bool:
        """Return whether the peer may be asked for a send."""
        return now >= self.avoided_until

    def avoid(self, now: float) -> None:
        """Ask other peers for some time."""
        self.avoided_until = now + const.NO_PATH_BACKOFF_S
        self.health = LinkHealth()

    def record_heard(self, now: float) -> None:
        """Record that a target has answered over the peer."""
        self.health.record_heard(now)

    def record_overdue(
        self, target: TargetId, usual_s: float, now: float
    ) -> None:
        """Record that a target has not answered within the usual time."""
        self.health.record_overdue(target, usual_s)
        if self.health.is_suspect(MIN_UNHEARD_TARGETS, now):
            self.avoid(now)
