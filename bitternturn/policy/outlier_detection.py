"""Outlier detection: passive ejection of failing targets."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bitternturn.core.ids import TargetId
from bitternturn.policy import const


@dataclass(slots=True)
class _TargetResults:
    """Results of the requests to one target and its ejection state.

    `other_replica_sets` has one set for each shard of the target.
    """

    other_replica_sets: set[frozenset[TargetId]] = field(default_factory=set)
    consecutive_failures: int = 0
    window_started_at: float = 0
    successes: int = 0
    failures: int = 0
    ejection_count: int = 0
    ejected_until: float = float('-inf')
    suspect_until: float = float('-inf')

    def record_result(self, ok: bool, now: float) -> None:
        """Record one result in the run of failures and in the window."""
        if now - self.window_started_at >= const.DEFAULT_ERROR_WINDOW_S:
            self.window_started_at = now
            self.successes = 0
            self.failures = 0
        self.consecutive_failures = 0 if ok else self.consecutive_failures + 1
        self.successes += ok
        self.failures += not ok

    def should_eject(self, now: float) -> bool:
        """Return whether the results justify an ejection."""
        max_failures = const.DEFAULT_CONSECUTIVE_FAILURES
        if now < self.suspect_until:
            max_failures = (max_failures + 1) // 2
        total = self.successes + self.failures
        return self.consecutive_failures >= max_failures or (
            total >= const.MIN_ERROR_SAMPLES
            and self.failures >= total * const.DEFAULT_ERROR_SHARE
        )

    def eject(self, now: float) -> None:
        """Eject for a time that doubles with each ejection of a series.

        Afterwards a single failure ejects the target again, while a success
        resets the run of failures.
        """
        if now - self.ejected_until > const.EJECTION_RESET_S:
            self.ejection_count = 0
        ejection_s = const.DEFAULT_EJECTION_S * 2**self.ejection_count
        if ejection_s < const.MAX_EJECTION_S:
            self.ejection_count += 1
        self.ejected_until = now + min(ejection_s, const.MAX_EJECTION_S)
        self.consecutive_failures = const.DEFAULT_CONSECUTIVE_FAILURES - 1
        self.successes = 0
        self.failures = 0


class OutlierDetector:
    """Ejects targets by the results of the requests to them.

    At most half of the targets of an index are ejected, and never the last
    usable replica of a shard. `is_out` returns whether a target is unusable
    for another reason. Targets in no replica set are never ejected.
    """

    __slots__ = ('is_out', 'targets')

    def __init__(
        self,
        *,
        replica_sets: Iterable[Iterable[TargetId]] = (),
        is_out: Callable[[TargetId], bool] = lambda target: False,
    ) -> None:
        """Initialise with no target ejected."""
        self.is_out = is_out
        self.targets: dict[TargetId, _TargetResults] = {}
        self.update_replicas(replica_sets)

    def update_replicas(
        self,
        replica_sets: Iterable[Iterable[TargetId]],
    ) -> None:
        """Apply changed replica sets; each holds the replicas of one shard."""
        known = self.targets
        self.targets = {}
        for replicas in {frozenset(it) for it in replica_sets}:
            for target in replicas:
                if target not in self.targets:
                    results = known.get(target, _TargetResults())
                    results.other_replica_sets = set()
                    self.targets[target] = results
                self.targets[target].other_replica_sets.add(replicas - {target})

    def record(self, target: TargetId, ok: bool, now: float) -> None:
        """Record the result of one request.

        Refusals due to load, cold start or draining are not failures.
        """
        results = self.targets.get(target)
        if results is None or now < results.ejected_until:
            return
        results.record_result(ok, now)
        if (
            not ok
            and results.should_eject(now)
            and self._may_eject(results, now)
        ):
            results.eject(now)

    def on_health_check(
        self, target: TargetId, healthy: bool, now: float
    ) -> None:
        """Apply the result of a health check.

        An unhealthy result lowers the number of consecutive failures that
        eject for `SUSPECT_DURATION_S`. A health check neither ejects a target by
        itself nor ends an ejection.
        """
        results = self.targets.get(target)
        if results is not None:
            results.suspect_until = (
                now if healthy else now + const.SUSPECT_DURATION_S
            )

    def is_ejected(self, target: TargetId, now: float) -> bool:
        """Return whether a target is ejected and its shards stay usable."""
        results = self.targets.get(target)
        if results is None or now >= results.ejected_until:
            return False
        return self._has_alternatives(results, now)

    def _may_eject(self, results: _TargetResults, now: float) -> bool:
        """Return whether one more ejection is within the limits."""
        ejected = sum(
            now < other.ejected_until for other in self.targets.values()
        )
        max_ejected = len(self.targets) * const.MAX_EJECTED_SHARE
        return ejected + 1 <= max_ejected and self._has_alternatives(
            results, now
        )

    def _has_alternatives(self, results: _TargetResults, now: float) -> bool:
        """Return whether all shards of a target have other usable replicas."""
        return all(
            any(self._usable(replica, now) for replica in replicas)
            for replicas in results.other_replica_sets
        )

    def _usable(self, target: TargetId, now: float) -> bool:
        """Return whether a target is neither out of service nor ejected."""
        return (
            not self.is_out(target)
            and now >= self.targets[target].ejected_until
        )
