"""Rate limits that targets name in their answers, and what is sent to them."""

import math
from collections import Counter
from enum import Enum, unique
from typing import Final

from bitternturn.gateway.decision_log import DecisionLog
from bitternturn.gateway.models import TargetEntry

# Time for which sends to a target with a limit are counted in one log line.
USE_INTERVAL_S: Final = 4.0


@unique
class SendKind(Enum):
    """Why an instance sends a request to a target."""

    # First send of a part, and a hedge or retry of it.
    FIRST = 'first'
    FURTHER = 'further'
    # Send on behalf of another instance.
    DELEGATED = 'delegated'


class RateLimit:
    """Rate limit that one life of a target has named."""

    __slots__ = ('named_at', 'per_s', 'sends', 'sends_since', 'unread')

    def __init__(self) -> None:
        """Initialise without a limit."""
        # Requests per second from all instances, None without a limit.
        self.per_s: float | None = None
        self.named_at: float = 0
        # Sends since the last log line about them, by kind.
        self.sends: Counter[SendKind] = Counter()
        self.sends_since: float = 0
        # Whether the target has named a limit that can't be read.
        self.unread = False


class RateLimits:
    """Learns the rate limits of targets and logs them with their use."""

    def __init__(self, *, decisions: DecisionLog) -> None:
        """Initialise with the log of the instance."""
        self.decisions = decisions

    def update(
        self,
        entry: TargetEntry,
        limit: RateLimit,
        per_s: float | None,
        now: float,
    ) -> None:
        """Update the limit of a target by its newest answer.

        `per_s` is NaN if the answer names a limit that can't be read.
        """
        if per_s is not None and math.isnan(per_s):
            self._log_unread(entry, limit)
            return
        if per_s == limit.per_s:
            return
        self._log_use(entry, limit, now)
        self.decisions.write(
            'target_limit',
            target=entry.id,
            service=entry.service,
            per_s=per_s,
            before_per_s=limit.per_s,
        )
        limit.per_s = per_s
        limit.named_at = now

    def record_send(
        self, entry: TargetEntry, limit: RateLimit, kind: SendKind, now: float
    ) -> None:
        """Count a request that is written to a target with a limit."""
        if limit.per_s is None:
            return
        limit.sends[kind] += 1
        if now - limit.sends_since >= USE_INTERVAL_S:
            self._log_use(entry, limit, now)

    def _log_use(
        self, entry: TargetEntry, limit: RateLimit, now: float
    ) -> None:
        """Log the sends since the last line, by kind."""
        if limit.sends:
            self.decisions.write(
                'target_limit_use',
                target=entry.id,
                per_s=limit.per_s,
                seconds=round(now - limit.sends_since, 1),
                **{kind.value: limit.sends[kind] for kind in SendKind},
            )
        limit.sends.clear()
        limit.sends_since = now

    def _log_unread(self, entry: TargetEntry, limit: RateLimit) -> None:
        """Log, once per life of a target, a limit that can't be read."""
        if limit.unread:
            return
        limit.unread = True
        self.decisions.write(
            'limit_unread', target=entry.id, service=entry.service
        )
