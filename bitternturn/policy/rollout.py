"""Order to move a service to a version: its phases and what they allow."""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum, IntEnum, unique
from typing import Final

from bitternturn.core.ids import ServiceName
from bitternturn.policy.rollout_evidence import BAD_JUDGEMENTS, Judgement

# Time before the deadline at which all traffic moves to the target version: the
# switch and the reports about it take up to 2 s, and the write of the conclusion
# has to be tried again within the rest.
SWITCH_BEFORE_S: Final = 4.0
# Part of the duration for which traffic may move at most, so that short orders
# leave time for evidence.
MAX_SWITCH_PART: Final = 0.4
# Time from the switch until the conclusion at least: messages between instances
# take up to two report intervals.
QUIET_S: Final = 1.5
# Time before the deadline at which the conclusion is written although not all
# instances have reported.
CONCLUDE_BEFORE_S: Final = 2.0
# Part of the duration that is taken to have passed when an instance starts
# during an order and hears of no age.
UNKNOWN_AGE_PART: Final = 0.5
# Delay of a write for each instance that precedes in rank.
RANK_DELAY_S: Final = 1.0
MAX_RANK_DELAY_S: Final = 10.0
# Time for which a new version beside another one is not used: the entries of
# its targets may arrive before its order, by up to the time of two watches.
VERSION_HOLD_S: Final = 6.0


@unique
class OrderStatus(Enum):
    """Status of an order in the store."""

    ACTIVE = 'active'
    COMPLETED = 'completed'
    REVERTED = 'reverted'


class Phase(IntEnum):
    """Phase of an order at an instance; later ones have greater numbers."""

    ACTIVE = 0
    # All traffic goes to the target version, which is not concluded.
    SWITCHING = 1
    # The version is believed to be bad, which is not concluded.
    SUSPENDED = 2
    COMPLETED = 3
    REVERTED = 4


CONCLUDED_PHASES: Final = frozenset((Phase.COMPLETED, Phase.REVERTED))


@unique
class VersionRole(Enum):
    """Which requests targets of a version get."""

    NORMAL = 'normal'
    # Only requests with a permit.
    CANARY = 'canary'
    BLOCKED = 'blocked'


@dataclass(kw_only=True, frozen=True, slots=True)
class RolloutOrder:
    """Order to move the traffic of a service to a version."""

    service: ServiceName
    version: str
    duration_s: float
    # Status of this order in the store, None if none was written.
    status: OrderStatus | None = None


class OrderState:
    """State machine of one order at one instance."""

    def __init__(
        self, order: RolloutOrder, *, now: float, seen_begin: bool
    ) -> None:
        """Initialise; `seen_begin` is whether the order has just begun."""
        self.order = order
        self.seen_begin = seen_begin
        age_s: float = 0
        if not seen_begin and order.status is not None:
            age_s = UNKNOWN_AGE_PART * order.duration_s
        # Whether the age was told by a peer, or the begin was seen.
        self.age_known = seen_begin
        self.started_at = now - age_s
        self.phase = Phase.ACTIVE
        self.reason = ''
        self.changed_at = now
        self.apply_status(order.status, now)

    @property
    def deadline(self) -> float:
        """Time by which the order has to be concluded."""
        return self.started_at + self.order.duration_s

    @property
    def switch_at(self) -> float:
        """Time at which all traffic moves, unless the version is bad."""
        before_s = min(SWITCH_BEFORE_S, MAX_SWITCH_PART * self.order.duration_s)
        return self.deadline - before_s

    @property
    def concluded(self) -> bool:
        """Whether a conclusion was written."""
        return self.phase in CONCLUDED_PHASES

    def apply_status(self, status: OrderStatus | None, now: float) -> bool:
        """Apply a status of the store; return whether the phase changes.

        A conclusion is final: a restored store may deny it.
        """
        if status is OrderStatus.COMPLETED:
            return self._advance(Phase.COMPLETED, 'store', now)
        if status is OrderStatus.REVERTED:
            return self._advance(Phase.REVERTED, 'store', now)
        return False

    def apply_age(self, age_s: float, now: float) -> None:
        """Apply the age that a peer knows; the greatest is right."""
        started_at = now - min(age_s, 2 * self.order.duration_s)
        if self.age_known:
            started_at = min(self.started_at, started_at)
        self.started_at = started_at
        self.age_known = True

    def apply_judgement(
        self, judgement: Judgement, now: float, *, may_switch: bool
    ) -> bool:
        """Apply what the evidence says; return whether the phase changes."""
        if judgement in BAD_JUDGEMENTS:
            return self._advance(Phase.SUSPENDED, judgement.value, now)
        if not may_switch or now < self.switch_at:
            return False
        if judgement is Judgement.GOOD:
            return self._advance(Phase.SWITCHING, judgement.value, now)
        due = now >= self.deadline - CONCLUDE_BEFORE_S
        if due and self.phase is Phase.ACTIVE:
            return self._advance(Phase.SUSPENDED, 'too_few_answers', now)
        return False

    def apply_belief(self, phase: Phase, reason: str, now: float) -> bool:
        """Apply the phase at a peer; return whether the phase changes."""
        return self._advance(phase, reason, now)

    def _advance(self, phase: Phase, reason: str, now: float) -> bool:
        """Move to a later phase; return whether it is one."""
        if self.concluded or phase <= self.phase:
            return False
        self.phase = phase
        self.reason = reason
        self.changed_at = now
        return True

    def wanted_status(self, now: float, *, quiet: bool) -> OrderStatus:
        """Return the status that the store should have.

        `quiet` is whether all instances have reported that they have switched
        and have nothing in flight that may run only once.
        """
        if self.phase in {Phase.REVERTED, Phase.SUSPENDED}:
            return OrderStatus.REVERTED
        if self.phase is Phase.COMPLETED:
            return OrderStatus.COMPLETED
        if self.phase is Phase.SWITCHING:
            settled = now - self.changed_at >= QUIET_S
            due = now >= self.deadline - CONCLUDE_BEFORE_S
            if settled and (quiet or due):
                return OrderStatus.COMPLETED
        return OrderStatus.ACTIVE


def write_delay_s(rank: int) -> float:
    """Return how long the instance with a rank, from 0, waits for others."""
    return min(MAX_RANK_DELAY_S, rank * RANK_DELAY_S)


class VersionRules:
    """Which versions of one service may be used."""

    def __init__(self) -> None:
        """Initialise without an order."""
        self.state: OrderState | None = None
        # Versions that were reverted, or whose order ended without conclusion.
        self.rejected: set[str] = set()
        # Version of the last order that was completed.
        self.completed: str | None = None
        # When each version was seen first.
        self.seen_at: dict[str, float] = {}

    def conclude(self) -> None:
        """Remember what has become of the order."""
        if self.state is None:
            return
        version = self.state.order.version
        if self.state.phase in {Phase.SUSPENDED, Phase.REVERTED}:
            self.rejected.add(version)
        elif self.state.phase is Phase.COMPLETED:
            self.completed = version

    def replace_order(self, state: OrderState | None) -> None:
        """Follow another order, or none; an open one is withdrawn."""
        self.conclude()
        if self.state is not None and not self.state.concluded:
            self.rejected.add(self.state.order.version)
        self.state = state
        if state is not None and state.order.version in self.rejected:
            if state.phase is not Phase.REVERTED:
                state.apply_belief(Phase.SUSPENDED, 'rejected_before', 0)

    def observe(self, versions: Collection[str], now: float) -> None:
        """Record which versions have targets."""
        first = not self.seen_at
        for version in versions:
            # What an instance finds at its start is not new.
            self.seen_at.setdefault(version, -math.inf if first else now)
        for gone in self.seen_at.keys() - set(versions):
            del self.seen_at[gone]

    def ends_hold(self, since: float, now: float) -> bool:
        """Return whether a version was held back until a time in between."""
        return any(
            since < seen_at + VERSION_HOLD_S <= now
            for seen_at in self.seen_at.values()
        )

    def roles(
        self, versions: Collection[str], now: float
    ) -> Mapping[str, VersionRole]:
        """Return the roles of the versions that have ready targets."""
        return {
            version: self._role(version, versions, now) for version in versions
        }

    def _role(
        self, version: str, versions: Collection[str], now: float
    ) -> VersionRole:
        """Return the role of one of the versions."""
        state = self.state
        if version in self.rejected:
            return VersionRole.BLOCKED
        if state is None:
            return self._unordered_role(version, versions, now)
        target = state.order.version
        if version == target:
            return _TARGET_ROLES[state.phase]
        moved = state.phase in {Phase.SWITCHING, Phase.COMPLETED}
        if moved and target in versions:
            return VersionRole.BLOCKED
        return self._unordered_role(version, versions, now)

    def _unordered_role(
        self, version: str, versions: Collection[str], now: float
    ) -> VersionRole:
        """Return the role of a version that is no target of the order."""
        held = now < self.seen_at.get(version, -math.inf) + VERSION_HOLD_S
        others = [it for it in versions if it not in self.rejected | {version}]
        superseded = self.completed not in {None, version} and (
            self.completed in versions
        )
        if others and (held or superseded):
            return VersionRole.BLOCKED
        return VersionRole.NORMAL


_TARGET_ROLES: Final = {
    Phase.ACTIVE: VersionRole.CANARY,
    Phase.SWITCHING: VersionRole.NORMAL,
    Phase.SUSPENDED: VersionRole.BLOCKED,
    Phase.COMPLETED: VersionRole.NORMAL,
    Phase.REVERTED: VersionRole.BLOCKED,
}
