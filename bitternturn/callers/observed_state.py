"""State of targets, observed from the results of sub-requests."""

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

# Failures caused by the target itself, not by overload or a peer.
TARGET_FAULT_CODES = frozenset(
    (
        ErrorCode.TARGET_ERROR.value,
        ErrorCode.BAD_ANSWER.value,
        ErrorCode.CONNECTION_LOST.value,
        ErrorCode.DEADLINE.value,
    )
)


@dataclass(kw_only=True, slots=True)
class ObservedTarget:
    """Observed state of one target."""

    target: Target
    in_flight: int = 0
    latency: LatencyAverage = field(default_factory=LatencyAverage)
    cold: bool = False
    # Snapshots the target last reported; empty if it has not reported any.
    held_snapshots: frozenset[int] = frozenset()

    @property
    def limit(self) -> int:
        """Concurrent requests that the target accepts."""
        if self.cold:
            return max(1, self.target.cold_limit)
        return self.target.slots


@dataclass(kw_only=True, slots=True)
class ObservedIndex:
    """Observed state of the targets of one index."""

    index: Index
    targets: dict[TargetId, ObservedTarget]
    outliers: OutlierDetector
    latency: LatencyWindow = field(default_factory=LatencyWindow)
    goodput: GoodputLimit = field(default_factory=GoodputLimit)


@dataclass(kw_only=True, slots=True)
class ProfileBudgets:
    """Hedge and retry budgets of one profile."""

    hedges: HedgeBudget
    retries: RetryBudget


class ObservedState:
    """Observed state of all targets, used to choose replicas."""

    def __init__(
        self,
        *,
        is_out: Callable[[TargetId], bool],
        failure_domain: FailureDomain,
    ) -> None:
        """Initialise without observations."""
        self.is_out = is_out
        self.failure_domain = failure_domain
        self.indexes: dict[str, ObservedIndex] = {}
        self.budgets: dict[str, ProfileBudgets] = {}

    def get_index(self, index: Index) -> ObservedIndex:
        """Return the state of an index, updated to its configuration."""
        observed_index = self.indexes.get(index.name)
        if observed_index is not None and observed_index.index is index:
            return observed_index
        updated = _update_index(index, observed_index, self.is_out)
        self.indexes[index.name] = updated
        return updated

    def get_budgets(self, profile: Profile) -> ProfileBudgets:
        """Return the budgets of a profile, updated to its configuration."""
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

    def is_usable(
        self,
        observed_index: ObservedIndex,
        target: TargetId,
        snapshot: Snapshot,
    ) -> bool:
        """Return whether a target may be asked for a snapshot.

        A snapshot newer than all that the target last reported may have been
        loaded since.
        """
        observed_target = observed_index.targets.get(target)
        if observed_target is None or self.is_out(target):
            return False
        held = observed_target.held_snapshots
        return not held or snapshot in held or snapshot > max(held)

    def holds_snapshot(
        self,
        observed_index: ObservedIndex,
        target: TargetId,
        snapshot: Snapshot,
    ) -> bool:
        """Return whether a usable target is expected to hold a snapshot.

        True as well for a target that has not reported its snapshots.
        """
        if not self.is_usable(observed_index, target, snapshot):
            return False
        held = observed_index.targets[target].held_snapshots
        return not held or snapshot in held

    def make_views(
        self,
        observed_index: ObservedIndex,
        targets: Iterable[TargetId],
        now: float,
    ) -> list[ReplicaView]:
        """Return the views of targets for the choice of a replica."""
        return [
            self._make_view(observed_index, observed_index.targets[target], now)
            for target in targets
            if target in observed_index.targets
        ]

    def record_result(
        self,
        *,
        observed_index: ObservedIndex,
        target: TargetId,
        result: SubResult,
        latency_s: float,
        now: float,
    ) -> None:
        """Record the result of one sub-request."""
        observed_target = observed_index.targets.get(target)
        if observed_target is None:
            return
        if result.held_snapshots:
            observed_target.held_snapshots = frozenset(result.held_snapshots)
        if result.outcome == OUTCOME_ANSWERED:
            observed_target.cold = result.cold
            observed_target.latency.record(latency_s, now)
            observed_index.latency.record(latency_s, now)
            observed_index.outliers.record(target, ok=True, now=now)
        elif result.code == ErrorCode.COLD.value:
            observed_target.cold = True
        elif _is_target_fault(result):
            observed_index.outliers.record(target, ok=False, now=now)

    def _make_view(
        self,
        observed_index: ObservedIndex,
        observed_target: ObservedTarget,
        now: float,
    ) -> ReplicaView:
        """Return the view of one target for the choice of a replica."""
        target = observed_target.target
        target_id = TargetId(target.id)
        return ReplicaView(
            target=target_id,
            in_flight=observed_target.in_flight,
            latency_s=observed_target.latency.value(now),
            limit=observed_target.limit,
            cold=observed_target.cold,
            ejected=observed_index.outliers.is_ejected(target_id, now),
            out_of_service=self.is_out(target_id),
            same_domain=target.failure_domain == self.failure_domain,
        )


def _is_target_fault(result: SubResult) -> bool:
    """Return whether a failure counts against the target.

    An unreachable target counts as well, although it ran nothing.
    """
    if result.code == ErrorCode.TARGET_UNAVAILABLE.value:
        return True
    return (
        result.outcome != OUTCOME_NOT_RUN and result.code in TARGET_FAULT_CODES
    )


def _update_index(
    index: Index,
    observed_index: ObservedIndex | None,
    is_out: Callable[[TargetId], bool],
) -> ObservedIndex:
    """Return the state of a changed index.

    Observations of targets that remain in the index are kept.
    """
    replica_sets = [
        [TargetId(target) for target in shard.targets]
        for partition_map in index.maps
        for shard in partition_map.shards
    ]
    previous = {} if observed_index is None else observed_index.targets
    targets = {}
    for target in index.targets:
        target_id = TargetId(target.id)
        observed_target = previous.get(target_id) or ObservedTarget(
            target=target
        )
        observed_target.target = target
        targets[target_id] = observed_target
    if observed_index is None:
        outliers = OutlierDetector(replica_sets=replica_sets, is_out=is_out)
        return ObservedIndex(index=index, targets=targets, outliers=outliers)
    observed_index.outliers.update_replicas(replica_sets)
    return ObservedIndex(
        index=index,
        targets=targets,
        outliers=observed_index.outliers,
        latency=observed_index.latency,
        goodput=observed_index.goodput,
    )
