"""Passive ejection of targets that fail."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bitternturn.core.ids import TargetId
from bitternturn.policy import const


@dataclass(slots=True)
class _Evidence:
    """What the requests to one target have shown."""

    peers: set[frozenset[TargetId]] = field(default_factory=set)
    row: int = 0
    window_at: float = 0
    good: int = 0
    bad: int = 0
    ejections: int = 0
    ejected_until: float = float('-inf')
    doubted_until: float = float('-inf')

    def count(self, ok: bool, now: float) -> None:
        """Count one result in the row and in the window."""
        if now - self.window_at >= const.DEFAULT_ERROR_WINDOW_S:
            self.window_at = now
            self.good = 0
            self.bad = 0
        self.row = 0 if ok else self.row + 1
        self.good += ok
        self.bad += not ok

    def failing(self, now: float) -> bool:
        """Return whether the results call for an ejection."""
        allowed = const.DEFAULT_CONSECUTIVE_FAILURES
        if now < self.doubted_until:
            allowed = (allowed + 1) // 2
        total = self.good + self.bad
        return self.row >= allowed or (
            total >= const.DEFAULT_ERROR_SAMPLES
            and self.bad >= total * const.DEFAULT_ERROR_SHARE
        )

    def eject(self, now: float) -> None:
        """Eject for a time that doubles with each ejection in a series.

        Afterwards a single failure ejects again, a success clears the row.
        """
        if now - self.ejected_until > const.EJECTION_MEMORY_S:
            self.ejections = 0
        length_s = const.DEFAULT_EJECTION_S * 2**self.ejections
        if length_s < const.MAX_EJECTION_S:
            self.ejections += 1
        self.ejected_until = now + min(length_s, const.MAX_EJECTION_S)
        self.row = const.DEFAULT_CONSECUTIVE_FAILURES - 1
        self.good = 0
        self.bad = 0


class OutlierTrack:
    """Ejects targets on what requests to them show.

    At most half of the index's targets are ejected, and never the last
    usable replica of a shard. `is_out` tells which targets can't be used for
    another reason. Targets in no replica set are never ejected.
    """

    __slots__ = ('is_out', 'targets')

    def __init__(
        self,
        *,
        replica_sets: Iterable[Iterable[TargetId]] = (),
        is_out: Callable[[TargetId], bool] = lambda target: False,
    ) -> None:
        """Start with no target ejected."""
        self.is_out = is_out
        self.targets: dict[TargetId, _Evidence] = {}
        self.set_replicas(replica_sets)

    def set_replicas(
        self,
        replica_sets: Iterable[Iterable[TargetId]],
    ) -> None:
        """Follow changed replicas; each set holds those of one shard."""
        known = self.targets
        self.targets = {}
        for replicas in {frozenset(one) for one in replica_sets}:
            for target in replicas:
                if target not in self.targets:
                    evidence = known.get(target, _Evidence())
                    evidence.peers = set()
                    self.targets[target] = evidence
                self.targets[target].peers.add(replicas - {target})

    def record(self, target: TargetId, ok: bool, now: float) -> None:
        """Take in the result of one request.

        Refusals for load, cold start or draining are no failures.
        """
        evidence = self.targets.get(target)
        if evidence is None or now < evidence.ejected_until:
            return
        evidence.count(ok, now)
        if not ok and evidence.failing(now) and self._may_eject(evidence, now):
            evidence.eject(now)

    def on_hint(self, target: TargetId, healthy: bool, now: float) -> None:
        """Take in the word of a health endpoint.

        A bad one lowers the number of failures that eject for `HINT_S`; none
        ejects by itself or ends an ejection.
        """
        evidence = self.targets.get(target)
        if evidence is not None:
            evidence.doubted_until = now if healthy else now + const.HINT_S

    def ejected(self, target: TargetId, now: float) -> bool:
        """Return whether a target is ejected and can be done without."""
        evidence = self.targets.get(target)
        if evidence is None or now >= evidence.ejected_until:
            return False
        return self._spared(evidence, now)

    def _may_eject(self, evidence: _Evidence, now: float) -> bool:
        """Return whether one more ejection is within the cap."""
        ejected = sum(
            now < other.ejected_until for other in self.targets.values()
        )
        most = len(self.targets) * const.MAX_EJECTED_SHARE
        return ejected + 1 <= most and self._spared(evidence, now)

    def _spared(self, evidence: _Evidence, now: float) -> bool:
        """Return whether each shard of a target has another usable replica."""
        return all(
            any(self._usable(peer, now) for peer in peers)
            for peers in evidence.peers
        )

    def _usable(self, target: TargetId, now: float) -> bool:
        """Return whether a target is neither out nor ejected."""
        return (
            not self.is_out(target)
            and now >= self.targets[target].ejected_until
        )
