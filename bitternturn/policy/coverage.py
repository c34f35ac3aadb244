"""Share of a partition map's weight that an answer covers."""

from collections.abc import Iterable

from bitternturn.core.ids import ShardId
from bitternturn.policy.const import COVERAGE_TOLERANCE
from bitternturn.schema.config_pb2 import PartitionMap


def covers(coverage: float, needed: float) -> bool:
    """Return whether a coverage meets the needed one, but for rounding."""
    return coverage + COVERAGE_TOLERANCE >= needed


class CoverageCount:
    """Counts the shards of one query whose whole answers are merged.

    `shards` are those asked for; none means all shards of the map. A shard
    asked for that the map lacks raises `KeyError`. When all weights are zero
    every shard weighs the same.
    """

    __slots__ = ('counted', 'total', 'weight', 'weights')

    def __init__(
        self,
        *,
        partition_map: PartitionMap,
        shards: Iterable[ShardId] = (),
    ) -> None:
        """Start with no shard counted."""
        weights = {
            ShardId(shard.id): shard.weight for shard in partition_map.shards
        }
        wanted = list(shards) or list(weights)
        self.weights = {shard: weights[shard] for shard in wanted}
        if not any(self.weights.values()):
            self.weights = dict.fromkeys(self.weights, 1)
        # At least one shard, lest an empty map divide by zero.
        self.total = sum(self.weights.values()) or 1
        self.weight: float = 0
        self.counted: set[ShardId] = set()

    @property
    def share(self) -> float:
        """Coverage, from 0 to 1; exactly 1 only when nothing is missing."""
        if len(self.counted) == len(self.weights):
            return 1
        return self.weight / self.total

    def add(self, shard: ShardId) -> bool:
        """Count a shard; return False if it is unknown or counted already."""
        if shard in self.counted or shard not in self.weights:
            return False
        self.counted.add(shard)
        self.weight += self.weights[shard]
        return True

    def missing(self) -> list[ShardId]:
        """Return the shards asked for that are not counted, in order."""
        return [shard for shard in self.weights if shard not in self.counted]

    def share_of(self, shards: Iterable[ShardId]) -> float:
        """Return what these shards could still add to the share."""
        return (
            sum(
                self.weights.get(shard, 0)
                for shard in set(shards) - self.counted
            )
            / self.total
        )
