"""Rate limits that targets name in their answers, and the use of them."""

import math
import random
from collections import Counter
from collections.abc import Callable, Sequence
from enum import Enum, unique
from typing import Final

from bitternturn.gateway.decision_log import DecisionLog
from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.gateway.models import TargetEntry
from bitternturn.policy.rate_shares import (
    NAMED_LIMIT_BOUND,
    RateShare,
    delegate_share,
    equal_share,
    rank_sender,
)
from bitternturn.policy.share_bucket import ShareBucket

# Time for which sends to a target with a limit are counted in one log line.
USE_INTERVAL_S: Final = 4.0
# Limits that are honoured, in requests per second; others are moved to these.
MIN_RATE_PER_S: Final = 0.05
MAX_RATE_PER_S: Final = 1_000_000.0


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

    __slots__ = (
        'bucket',
        'members_revision',
        'named_at',
        'peer_full_until',
        'per_s',
        'sends',
        'sends_since',
        'unread',
    )

    def __init__(self) -> None:
        """Initialise without a limit."""
        # Requests per second from all instances, None without a limit.
        self.per_s: float | None = None
        self.named_at: float = 0
        self.bucket: ShareBucket | None = None
        # Revision of the members for which the share was computed.
        self.members_revision = 0
        # Until when the instance that sends to the target has no permit.
        self.peer_full_until: float = 0
        # Sends since the last log line about them, by kind.
        self.sends: Counter[SendKind] = Counter()
        self.sends_since: float = 0
        # Whether the target has named a limit that can't be read.
        self.unread = False

    @property
    def share_per_s(self) -> float:
        """Requests per second that this instance may send, 0 without a limit."""
        return self.bucket.share.rate_per_s if self.bucket else 0


class RateLimits:
    """Keeps the sends of this instance within its shares of the limits.

    The instance that decides to send takes the permit, also if a peer sends for
    it, except for targets to which delegates send on behalf of all instances:
    there the delegate does.
    """

    def __init__(
        self,
        *,
        own_name: str,
        decisions: DecisionLog,
        metrics: GatewayMetrics,
        rng: random.Random,
    ) -> None:
        """Initialise as the only instance."""
        self.own_name = own_name
        self.decisions = decisions
        self.metrics = metrics
        self.rng = rng
        self.names: Sequence[str] = (own_name,)
        self.members_revision = 0
        self.voided_at: float = 0
        # Ids of the targets with a limit.
        self.limited: set[str] = set()
        # Returns the rank of this instance among the delegates for a target,
        # None if instances send to it on their own behalf.
        self.find_delegate_rank: Callable[[TargetEntry], int | None] = (
            lambda _entry: None
        )
        # Returns whether sends to a target need a permit of this instance.
        self.needs_own_permit: Callable[[TargetEntry, float], bool] = (
            lambda _entry, _now: True
        )

    # Members

    def update_instances(self, names: Sequence[str]) -> None:
        """Update the instances that share the limits with this one."""
        self.names = names
        self.invalidate_shares()

    def invalidate_shares(self) -> None:
        """Let all shares be computed again before their next use."""
        self.members_revision += 1

    def void_permits(self, now: float) -> None:
        """Void saved permits: this process was paused, its members are old."""
        self.voided_at = now

    # Limits

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
        if per_s is not None:
            per_s = min(MAX_RATE_PER_S, max(MIN_RATE_PER_S, per_s))
        if per_s == limit.per_s:
            return
        self._log_use(entry, limit, now)
        before_per_s = limit.per_s
        limit.per_s = per_s
        limit.named_at = now
        share = None
        if per_s is None:
            limit.bucket = None
            self.limited.discard(entry.id)
        else:
            self.limited.add(entry.id)
            share = self._update_share(entry, limit, per_s, now)
        self.decisions.write(
            'target_limit',
            target=entry.id,
            service=entry.service,
            per_s=per_s,
            before_per_s=before_per_s,
            share_per_s=None if share is None else round(share.rate_per_s, 3),
            instances=len(self.names),
        )

    # Permits

    def allows(self, entry: TargetEntry, limit: RateLimit, now: float) -> bool:
        """Return whether a request may be sent to a target now."""
        if limit.per_s is None:
            return True
        if not self.needs_own_permit(entry, now):
            return now >= limit.peer_full_until
        return self.has_permit(entry, limit, now)

    def has_permit(
        self, entry: TargetEntry, limit: RateLimit, now: float
    ) -> bool:
        """Return whether this instance has a permit."""
        if limit.per_s is None:
            return True
        return self._bucket(entry, limit, limit.per_s, now).allows(now)

    def has_spare(
        self, entry: TargetEntry, limit: RateLimit, now: float
    ) -> bool:
        """Return whether a send now takes nothing from later ones."""
        if limit.per_s is None:
            return True
        if not self.needs_own_permit(entry, now):
            return now >= limit.peer_full_until
        return self._bucket(entry, limit, limit.per_s, now).is_full(now)

    def try_take(
        self, entry: TargetEntry, limit: RateLimit, now: float
    ) -> bool:
        """Take a permit of this instance; return whether there was one."""
        if limit.per_s is None:
            return True
        bucket = self._bucket(entry, limit, limit.per_s, now)
        allowed = bucket.allows(now)
        if allowed:
            bucket.take(now)
        return allowed

    def give_back(self, limit: RateLimit) -> None:
        """Return the permit of a request that was not sent."""
        if limit.bucket is not None:
            limit.bucket.give_back()

    def next_at(
        self, entry: TargetEntry, limit: RateLimit, now: float
    ) -> float:
        """Return when a request may be sent to a target."""
        if limit.per_s is None:
            return now
        if not self.needs_own_permit(entry, now):
            return max(now, limit.peer_full_until)
        return self.own_next_at(entry, limit, now)

    def own_next_at(
        self, entry: TargetEntry, limit: RateLimit, now: float
    ) -> float:
        """Return when this instance has a permit.

        For an instance that only probes it is a time after which another one
        has probably a permit.
        """
        if limit.per_s is None:
            return now
        bucket = self._bucket(entry, limit, limit.per_s, now)
        if bucket.share.probing:
            latest = now + NAMED_LIMIT_BOUND.window_s
            return min(latest, bucket.next_at(now))
        return bucket.next_at(now)

    def _bucket(
        self, entry: TargetEntry, limit: RateLimit, per_s: float, now: float
    ) -> ShareBucket:
        """Return the bucket of a limit for the current members."""
        bucket = limit.bucket
        if bucket is None or limit.members_revision != self.members_revision:
            self._update_share(entry, limit, per_s, now)
            bucket = limit.bucket
            assert bucket is not None
        if bucket.filled_at < self.voided_at:
            bucket.empty(now)
        return bucket

    def _update_share(
        self, entry: TargetEntry, limit: RateLimit, per_s: float, now: float
    ) -> RateShare:
        """Compute the share of this instance in a limit."""
        share = self._find_share(entry, per_s)
        limit.members_revision = self.members_revision
        bucket = limit.bucket
        if bucket is None or share.probing != bucket.share.probing:
            # Instances that only probe do not all begin at the same time.
            level = -self.rng.random() if share.probing else 0
            limit.bucket = ShareBucket(share=share, level=level, now=now)
        else:
            bucket.set_share(share, now)
        return share

    def _find_share(self, entry: TargetEntry, per_s: float) -> RateShare:
        """Return the share of this instance in a limit."""
        instances = len(self.names)
        delegate_rank = self.find_delegate_rank(entry)
        if delegate_rank is not None:
            return delegate_share(
                per_s,
                NAMED_LIMIT_BOUND,
                instances=instances,
                rank=delegate_rank,
            )
        return equal_share(
            per_s,
            NAMED_LIMIT_BOUND,
            instances=instances,
            rank=rank_sender(entry.id, self.names, own=self.own_name),
        )

    # Log

    def record_send(
        self, entry: TargetEntry, limit: RateLimit, kind: SendKind, now: float
    ) -> None:
        """Count a request that is written to a target with a limit."""
        if limit.per_s is None:
            return
        limit.sends[kind] += 1
        self.metrics.increment('limited_sends', kind=kind.value)
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
