"""Early refusal of requests that unresponsive targets would fail.

Guards against crashes or hangs of all targets of some shards: each request
over these shards would wait until its deadline without reaching the least
coverage.
"""

from collections.abc import Iterable, Sequence
from typing import Final

from bitternturn.core.ids import TargetId

# Time for which a target counts as unresponsive after an unanswered request,
# unless it answers another one.
UNRESPONSIVE_EXPIRY_S: Final = 2.0
# Interval of the requests that are sent despite unresponsive targets, to detect
# that the targets have recovered.
PROBE_INTERVAL_S: Final = 0.5


class UnresponsiveTargets:
    """Tracks unresponsive targets and when they were detected."""

    __slots__ = ('last_probe_at', 'detected_at')

    def __init__(self) -> None:
        """Initialise with no unresponsive targets."""
        self.detected_at: dict[TargetId, float] = {}
        self.last_probe_at: float = 0

    def record_unanswered(
        self, targets: Iterable[TargetId], now: float
    ) -> None:
        """Record that these targets left a request unanswered."""
        for target in targets:
            self.detected_at[target] = now

    def record_answer(self, target: TargetId) -> None:
        """Record an answer of a target, which is responsive again."""
        self.detected_at.pop(target, None)

    def forget(self, targets: Iterable[TargetId]) -> None:
        """Forget what was recorded of targets that were not the cause."""
        for target in targets:
            self.detected_at.pop(target, None)

    def may_serve(
        self,
        targets: Iterable[Sequence[TargetId]],
        *,
        min_services: int,
        now: float,
    ) -> bool:
        """Return whether a request should be sent.

        `targets` holds the targets of each service that the request needs.
        An answer needs a minimum number of services with a responsive target.
        To detect a recovery, one request per probe interval is sent even if
        there are too few.
        """
        if not self.detected_at:
            return True
        self._drop_expired(now)
        responsive = sum(
            any(target not in self.detected_at for target in group)
            for group in targets
        )
        if responsive >= min_services:
            return True
        if now - self.last_probe_at < PROBE_INTERVAL_S:
            return False
        self.last_probe_at = now
        return True

    def _drop_expired(self, now: float) -> None:
        """Drop targets that no longer count as unresponsive."""
        oldest = now - UNRESPONSIVE_EXPIRY_S
        self.detected_at = {
            target: detected_at
            for target, detected_at in self.detected_at.items()
            if detected_at > oldest
        }
