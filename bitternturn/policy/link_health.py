"""Decision whether the link to a group of targets, not a target, is at fault.

Guards against a partition between an instance and all targets of a failure
domain: its requests would wait for answers that can't arrive, and its retries
and hedges would take the same link. Targets that hang, pause or crash are told
apart by the answers of the others in the group, which arrive meanwhile.
"""

import math
from typing import Final

from bitternturn.core.ids import TargetId

# Targets without an answer after which the link is suspect, if the group has as
# many. Two may pause or crash at the same time.
MIN_UNHEARD_TARGETS: Final = 3
# Time without an answer after which refused connections make a link suspect. Open
# ones may live on, and answer more often.
MIN_QUIET_S: Final = 0.02


class LinkHealth:
    """Targets of a group that have not answered since the last answer of any."""

    __slots__ = ('heard_at', 'quiet_s', 'unheard')

    def __init__(self) -> None:
        """Initialise as if nothing had been sent."""
        self.heard_at = -math.inf
        # Targets that have left a request unanswered since then.
        self.unheard: set[TargetId] = set()
        # Time without any answer after which the link is suspect.
        self.quiet_s = MIN_QUIET_S

    def record_heard(self, now: float) -> None:
        """Record that a target of the group has answered."""
        self.heard_at = now
        if self.unheard:
            self.unheard.clear()
            self.quiet_s = MIN_QUIET_S

    def record_overdue(self, target: TargetId, usual_s: float) -> None:
        """Record that a target has not answered within the usual time."""
        self.unheard.add(target)
        self.quiet_s = max(self.quiet_s, usual_s)

    def record_unreachable(self, target: TargetId) -> None:
        """Record that no connection to a target could be opened."""
        self.unheard.add(target)

    def is_doubtful(self, group_size: int) -> bool:
        """Return whether several targets of a group are unheard."""
        return len(self.unheard) >= max(1, min(MIN_UNHEARD_TARGETS, group_size))

    def is_suspect(self, group_size: int, now: float) -> bool:
        """Return whether no target of a group of some size answers."""
        return now >= self.quiet_at() and self.is_doubtful(group_size)

    def quiet_at(self) -> float:
        """Return from when on a link without an answer is suspect."""
        return self.heard_at + self.quiet_s
