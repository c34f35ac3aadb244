"""What an entry has learnt of targets from answers."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bitternturn.core.errors import ErrorCode
from bitternturn.core.ids import FailureDomain, Snapshot, TargetId
from bitternturn.policy.goodput import GoodputLimit
from bitternturn.policy.hedging import HedgeBudget, LatencyWindow
from bitternturn.policy.outlier_detection import OutlierDetector
from bitternturn.policy.replicas import LatencyAverage, ReplicaView
from bitternturn.policy.retries import RetryBudget
from bitternturn.schema.config_pb2 import Index, Profile, Target
from bitternturn.schema.peers_pb2 import (
    OUTCOME_ANSWERED,
    OUTCOME_NOT_RUN,
    SubResult,
)

# Failures that tell against the target and not against load or a peer.
BLAMED = frozenset(
    (
        ErrorCode.TARGET_ERROR.value,
        ErrorCode.BAD_ANSWER.value,
        ErrorCode.CONNECTION_LOST.value,
        ErrorCode.DEADLINE.value,
    )
)


@dataclass(kw_only=True, slots=True)
class TargetKnowledge:
    """What is known of one target."""

    target: Target
    outstanding: int = 0
    latency: LatencyAverage = field(default_factory=LatencyAverage)
    cold: bool = False
    # Empty: not told yet; any snapshot may be there.
    held: frozenset[int] = frozenset()

    @property
    def limit(self) -> int:
        """Requests that the target takes at once."""
        if self.cold:
            return max(1, self.target.cold_limit)
        return self.target.slots


@dataclass(kw_only=True, slots=True)
class IndexKnowledge:
    """What is known of the targets of one index."""

    index: Index
    targets: dict[TargetId, TargetKnowledge]
    outliers: OutlierDetector
    latency: LatencyTrack = field(default_factory=LatencyWindow)
    goodput: GoodputLimit = field(default_factory=GoodputLimit)


@dataclass(kw_only=True, slots=True)
class ProfileBudgets:
    """Extra load that one profile may cause."""

    hedges: HedgeBudget
    retries: RetryBudget


class EntryKnowledge:
    """Learns from results; answers which replicas to use."""

    def __init__(
        self,
        *,
        is_out: Callable[[TargetId], bool],
        failure_domain: FailureDomain,
    ) -> None:
        """Start with nothing known."""
        self.is_out = is_out
        self.failure_domain = failure_domain
        self.indexes: dict[str, IndexKnowledge] = {}
        self.budgets: dict[str, ProfileBudgets] = {}

    def of_index(self, index: Index) -> IndexKnowledge:
        """Return what is known of an index, following its configuration."""
        known = self.indexes.get(index.name)
        if known is not None and known.index is index:
            return known
        fresh = _follow(index, known, self.is_out)
        self.indexes[index.name] = fresh
        return fresh

    def of_profile(self, profile: Profile) -> ProfileBudgets:
        """Return the budgets of a profile, following its configuration."""
        budgets = self.budgets.get(profile.name)
        if budgets is None:
            budgets = ProfileBudgets(
                hedges=HedgeBudget(share=profile.hedge_budget),
                retries=RetryBudget(share=profile.retry_budget),
            )
            self.budgets[profile.name] = budgets
        budgets.hedges.set_share(profile.hedge_budget)
        budgets.retries.set_share(profile.retry_budget)
        return budgets

    def usable(
        self,
        known: IndexKnowledge,
        target: TargetId,
        snapshot: Snapshot,
    ) -> bool:
        """Return whether a target may answer from a snapshot.

        One newer than all that it last told of may have come since.
        """
        of_target = known.targets.get(target)
        if of_target is None or self.is_out(target):
            return False
        held = of_target.held
        return not held or snapshot in held or snapshot > max(held)

    def holds(
        self,
        known: IndexKnowledge,
        target: TargetId,
        snapshot: Snapshot,
    ) -> bool:
        """Return whether a usable target told of a snapshot, or of none."""
        if not self.usable(known, target, snapshot):
            return False
        held = known.targets[target].held
        return not held or snapshot in held

    def views(
        self,
        known: IndexKnowledge,
        targets: Iterable[TargetId],
        now: float,
    ) -> list[ReplicaView]:
        """Return the targets as the choice of a replica sees them."""
        return [
            self._view(known, known.targets[target], now)
            for target in targets
            if target in known.targets
        ]

    def on_result(
        self,
        *,
        known: IndexKnowledge,
        target: TargetId,
        result: SubResult,
        latency_s: float,
        now: float,
    ) -> None:
        """Learn from the result of one sub-request."""
        of_target = known.targets.get(target)
        if of_target is None:
            return
        if result.held_snapshots:
            of_target.held = frozenset(result.held_snapshots)
        if result.outcome == OUTCOME_ANSWERED:
            of_target.cold = result.cold
            of_target.latency.record(latency_s, now)
            known.latency.record(latency_s, now)
            known.outliers.record(target, ok=True, now=now)
        elif result.code == ErrorCode.COLD.value:
            of_target.cold = True
        elif _blames_target(result):
            known.outliers.record(target, ok=False, now=now)

    def _view(
        self,
        known: IndexKnowledge,
        of_target: TargetKnowledge,
        now: float,
    ) -> ReplicaView:
        """Return one target as the choice of a replica sees it."""
        target = of_target.target
        target_id = TargetId(target.id)
        return ReplicaView(
            target=target_id,
            in_flight=of_target.outstanding,
            latency_s=of_target.latency.value(now),
            limit=of_target.limit,
            cold=of_target.cold,
            ejected=known.outliers.is_ejected(target_id, now),
            out_of_service=self.is_out(target_id),
            same_domain=target.failure_domain == self.failure_domain,
        )


def _blames_target(result: SubResult) -> bool:
    """Return whether a failure tells against the target.

    An unreachable target counts although nothing ran there.
    """
    if result.code == ErrorCode.TARGET_UNAVAILABLE.value:
        return True
    return result.outcome != OUTCOME_NOT_RUN and result.code in BLAMED


def _follow(
    index: Index,
    known: IndexKnowledge | None,
    is_out: Callable[[TargetId], bool],
) -> IndexKnowledge:
    """Return knowledge of a changed index, keeping what still holds."""
    replica_sets = [
        [TargetId(target) for target in shard.targets]
        for partition_map in index.maps
        for shard in partition_map.shards
    ]
    earlier = {} if known is None else known.targets
    targets = {}
    for target in index.targets:
        target_id = TargetId(target.id)
        kept = earlier.get(target_id) or TargetKnowledge(target=target)
        kept.target = target
        targets[target_id] = kept
    if known is None:
        outliers = OutlierDetector(replica_sets=replica_sets, is_out=is_out)
        return IndexKnowledge(index=index, targets=targets, outliers=outliers)
    known.outliers.update_replicas(replica_sets)
    return IndexKnowledge(
        index=index,
        targets=targets,
        outliers=known.outliers,
        latency=known.latency,
        goodput=known.goodput,
    )
