"""Whether a peer reaches the targets of a failure domain."""

import math

from bitternturn.core.ids import TargetId
from bitternturn.policy.link_health import MIN_UNHEARD_TARGETS, LinkHealth
from bitternturn.relay import const


class PeerLink:
    """Link over one peer to the targets of one failure domain.

    A peer that is cut off says so, or is found out because no target answers
    over it.
    """

    def __init__(self) -> None:
        """Initialise as usable."""
        self.health = LinkHealth()
        # Until when the peer counts as cut off, as it has stated.
        self.cut_off_until = -math.inf
        # Until when other peers are preferred.
        self.avoided_until = -math.inf

    def is_usable(self, now: float) -> bool:
        """Return whether the peer may be asked for a send."""
        return now >= self.avoided_until and self.is_possible(now)

    def is_possible(self, now: float) -> bool:
        """Return whether the peer may reach the domain."""
        return now >= self.cut_off_until

    def record_cut_off(self, now: float) -> None:
        """Record that the peer states that it is cut off."""
        self.cut_off_until = now + const.CUT_OFF_EXPIRY_S
        self.health = LinkHealth()

    def record_connected(self) -> None:
        """Record that the peer states that it is not cut off."""
        self.cut_off_until = -math.inf
        self.avoided_until = -math.inf

    def record_disconnected(self, now: float) -> None:
        """Record that the peer can't state any longer that it is back."""
        self.cut_off_until = min(
            self.cut_off_until, now + const.UNHEARD_BACKOFF_S
        )

    def record_declined(self, now: float) -> None:
        """Record that the peer did not make a send, as it found no path."""
        declined_until = now + const.UNHEARD_BACKOFF_S
        self.cut_off_until = max(self.cut_off_until, declined_until)

    def avoid(self, now: float) -> None:
        """Prefer other peers for some time."""
        self.avoided_until = now + const.UNHEARD_BACKOFF_S
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
