"""Pace: the share of its usual load that a target gets after a start or return.

Guards against a target that is flooded while it is cold, or again right after it
was overloaded, and against one that stays idle although it is as fast as before.
Each instance limits its own sends to a share of what it would send to the target
if all targets of the service got the same. Shares add up over the instances to
the same share of the load of the target, however few requests each of them sends.
"""

import math
from collections.abc import Callable, Sequence
from enum import Enum, unique
from typing import Final, TypeVar

# Share of a target that is new or cold, and of one that is back from an absence,
# a pause, a limit or a spell of failures: part of its state is still warm.
INITIAL_SHARE: Final = 0.1
RETURN_SHARE: Final = 0.25
# A share is never lower, so that a target that has recovered is noticed.
MIN_SHARE: Final = 0.02
# Factor of one step while the answers are usual. At most four steps lead from
# the initial share to the full one.
GROWTH: Final = 2.0
# Increase of one step near a share at which the target was flooded, and while
# its answers are slower than usual without load.
ADDITION: Final = 0.1
# Multiple of the share at which the target was flooded from which on that share
# no longer counts: the target has been warmed up since.
FLOODED_RANGE: Final = 1.4
# Factor after a sign of flooding.
DECREASE: Final = 0.5
# Answers that a step needs, and the time between two steps. Within it, a queue
# that the step before has caused shows in the latency.
STEP_ANSWERS: Final = 4
MIN_STEP_S: Final = 0.25
# Time after which one answer is enough, and after which none is needed: an
# instance with few requests would otherwise limit the target for minutes.
FEW_ANSWERS_S: Final = 0.5
NO_ANSWERS_S: Final = 1.0
# Time without a step after a fall; it doubles with each fall that follows a step,
# up to a maximum. Instances do not share what they see: without this, each one
# would flood the target again and again to find its limit.
FALL_WAIT_S: Final = 1.0
MAX_FALL_WAIT_S: Final = 8.0
# Weight of one answer in the moving average of the latency ratio.
RATIO_WEIGHT: Final = 0.2
# Latency ratio up to which answers are usual. Replicas of normal operation are
# up to 1.3 times slower than their mean.
USUAL_RATIO: Final = 1.4
# Latency ratio of a single answer that is a sign of flooding.
LATE_RATIO: Final = 3.0
# Time for which the share is held while answers are slow. Afterwards the latency
# at this share is taken as that of the target, and only a further increase
# counts: cold targets are faster by then, and slow ones would be idle for good.
HOLD_S: Final = 4.0
# Increase over that latency up to which answers are usual for the target.
OWN_USUAL_RATIO: Final = 1.25
# Time within which another return counts as a relapse, and the factor on the
# first share for each one.
RELAPSE_S: Final = 30.0
RELAPSE_FACTOR: Final = 0.5
# Share of the targets of a service that the shares have to make up together; if
# they do not, the limited ones get more. With 0.5, callers of a service with two
# or three targets waited longer for the others than for the one that returns.
MIN_OPEN_SHARE: Final = 0.85
# Tolerance for rounding errors, in sends.
EPSILON: Final = 1e-9


@unique
class PaceCause(Enum):
    """Why a target gets a share of its load only."""

    NEW = 'new'
    COLD = 'cold'
    RETURN = 'return'
    PAUSE = 'pause'
    LIMIT = 'limit'
    FAILURES = 'failures'


@unique
class PaceChange(Enum):
    """What has changed in the pace of a target."""

    STARTED = 'started'
    HELD = 'held'
    FELL = 'fell'
    COMPLETED = 'completed'


COLD_CAUSES: Final = frozenset((PaceCause.NEW, PaceCause.COLD))


class TargetPace:
    """Share of the load of one target that one instance sends.

    `share` is 1 for a target that is not limited, which is the initial state.
    """

    __slots__ = (
        'answers',
        'cause',
        'credit',
        'ended_at',
        'first_credit',
        'fall_count',
        'falling',
        'flooded_share',
        'held_since',
        'own_ratio',
        'ratio',
        'relapses',
        'share',
        'stepped_at',
        'waits_until',
    )

    def __init__(self, *, first_credit: float = 0.5) -> None:
        """Initialise as a warm target.

        `first_credit` is a hash of the instance and the target, from 0 to 1. It
        spreads the first sends of all instances over the time in which they
        earn one send each.
        """
        self.first_credit = first_credit
        self.share: float = 1
        self.cause = PaceCause.NEW
        self.credit: float = 0
        # Moving average of the latency ratio, None without answers.
        self.ratio: float | None = None
        # Answers to sends that started after the last change of the share.
        self.answers = 0
        self.stepped_at: float = 0
        # Since when the answers have been slow, None if they are usual.
        self.held_since: float | None = None
        # Latency ratio of the target without load, once it is known to be slow.
        self.own_ratio: float | None = None
        # Share at which the target was flooded first, and whether it has been
        # flooded at all lower shares since.
        self.flooded_share: float = 1
        self.falling = False
        self.fall_count = 0
        # Until when the share is not increased after a fall.
        self.waits_until: float = 0
        self.relapses = 0
        self.ended_at: float | None = None

    @property
    def limited(self) -> bool:
        """Whether the target gets less than its usual load."""
        return self.share < 1

    def start(self, cause: PaceCause, now: float) -> PaceChange | None:
        """Limit a target that has started or returned.

        A target that is limited already keeps a share that is lower.
        """
        first = INITIAL_SHARE if cause in COLD_CAUSES else RETURN_SHARE
        if self.limited:
            self.share = min(self.share, first)
            self._begin_step(now)
            return None
        recent = self.ended_at is not None and now - self.ended_at < RELAPSE_S
        self.relapses = self.relapses + 1 if recent else 0
        self.share = max(MIN_SHARE, first * RELAPSE_FACTOR**self.relapses)
        self.cause = cause
        self.credit = self.first_credit
        self.ratio = None
        self.held_since = None
        self.own_ratio = None
        self.flooded_share = 1
        self.falling = False
        self.fall_count = 0
        self._begin_step(now)
        return PaceChange.STARTED

    def earn(self, share: float, targets: int) -> bool:
        """Earn a part of a send with one request to a service with some targets.

        Returns whether a send is within the share.

        A send that is not used while the next part of the size of the share is
        earned is lost. So only this share of the instances has one at any time,
        even if none of them has used the target for long.
        """
        self.credit = math.fmod(self.credit + share / targets, 1 + share)
        return self.credit >= 1 - EPSILON

    def allows_send(self) -> bool:
        """Return whether a send is within the share."""
        return self.share >= 1 or self.credit >= 1 - EPSILON

    @property
    def exceeded_share(self) -> float:
        """The share if a send would exceed it, else 1."""
        allowed = self.share >= 1 or self.credit >= 1 - EPSILON
        return 1 if allowed else self.share

    def record_send(self) -> None:
        """Record a send, also one above the share."""
        self.credit = max(0, self.credit - 1)

    def record_answer(
        self, ratio: float, *, started_at: float, now: float
    ) -> PaceChange | None:
        """Record the ratio of an answer's latency to the usual one."""
        if self.share >= 1:
            return None
        if ratio > LATE_RATIO * (self.own_ratio or 1):
            return self.record_flooding(started_at=started_at, now=now)
        if self.ratio is None:
            self.ratio = ratio
        else:
            self.ratio += (ratio - self.ratio) * RATIO_WEIGHT
        if started_at >= self.stepped_at:
            self.answers += 1
        return self.step(now)

    def record_flooding(
        self, *, started_at: float, now: float
    ) -> PaceChange | None:
        """Record a send that was late, rejected, shed, reset or failed.

        Sends of the same round count once: those that started before the share
        last changed say nothing about the present share.
        """
        if not self.limited or started_at < self.stepped_at:
            return None
        if not self.falling:
            self.flooded_share = self.share
            self.fall_count += 1
        self.falling = True
        wait_s = FALL_WAIT_S * 2 ** (self.fall_count - 1)
        self.waits_until = now + min(MAX_FALL_WAIT_S, wait_s)
        self.share = max(MIN_SHARE, self.share * DECREASE)
        self.credit = 0
        self.ratio = None
        self.held_since = None
        self.own_ratio = None
        self._begin_step(now)
        return PaceChange.FELL

    def step(self, now: float) -> PaceChange | None:
        """Increase the share if that is due and the answers are usual.

        An instance that has not used the target for a while takes several steps
        at once: it would otherwise limit the target for as many requests.
        """
        if self.share >= 1:
            return None
        while self.share < 1:
            if not self._is_step_due(now):
                return None
            if not self._is_usual():
                return self._hold(now)
            self.held_since = None
            self.falling = False
            self.share = self._next_share()
            due_at = max(self.stepped_at, self.waits_until) + NO_ANSWERS_S
            self._begin_step(now if self.answers else min(now, due_at))
        self.share = 1
        self.ended_at = now
        return PaceChange.COMPLETED

    def _next_share(self) -> float:
        """Return the share after a step, 1 or more for a full one."""
        grown = self.share * GROWTH
        near_flooding = (
            self.share < self.flooded_share * FLOODED_RANGE
            and grown >= self.flooded_share
            and self.flooded_share < 1
        )
        if near_flooding or self.own_ratio is not None:
            return self.share + ADDITION
        return grown

    def _is_step_due(self, now: float) -> bool:
        """Return whether enough answers have arrived for a step."""
        if now < self.waits_until:
            return False
        elapsed_s = now - self.stepped_at
        if self.answers >= STEP_ANSWERS:
            return elapsed_s >= MIN_STEP_S
        return elapsed_s >= (FEW_ANSWERS_S if self.answers else NO_ANSWERS_S)

    def _is_usual(self) -> bool:
        """Return whether the answers are like those of a warm target."""
        if self.ratio is None:
            return True
        if self.own_ratio is None:
            return self.ratio <= USUAL_RATIO
        return self.ratio <= max(USUAL_RATIO, self.own_ratio * OWN_USUAL_RATIO)

    def _hold(self, now: float) -> PaceChange | None:
        """Keep the share; accept a target that is slow without load."""
        if self.held_since is None:
            self.held_since = now
            return PaceChange.HELD
        if now - self.held_since >= HOLD_S and self.answers:
            self.own_ratio = self.ratio
            self.held_since = None
        return None

    def _begin_step(self, now: float) -> None:
        """Begin to count the answers at a new share."""
        self.answers = 0
        self.stepped_at = now


def raise_shares(shares: Sequence[float]) -> list[float]:
    """Return the shares of the usable targets of a service, raised if needed.

    If they are too low for the service together, the limited ones get what is
    missing in equal parts, so that targets that return do not starve it.
    """
    limited_count = sum([share < 1 for share in shares])
    missing = MIN_OPEN_SHARE * len(shares) - sum(shares)
    extra = max(0, missing) / max(1, limited_count)
    return [min(1, share + extra) for share in shares]


TargetT = TypeVar('TargetT')


def find_open_targets(
    targets: Sequence[TargetT],
    *,
    get_pace: Callable[[TargetT], TargetPace],
) -> Sequence[TargetT]:
    """Return the targets to which one request is within their shares.

    `targets` are the usable ones of a service. Each call stands for one request,
    with which they earn a part of a send.
    """
    paces = [get_pace(target) for target in targets]
    shares = [pace.share for pace in paces]
    if min(shares, default=1) >= 1:
        return targets
    raised = raise_shares(shares)
    return [
        target
        for target, pace, share in zip(targets, paces, raised, strict=True)
        if pace.share >= 1 or pace.earn(share, len(paces))
    ]
