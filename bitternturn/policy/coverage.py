"""Coverage: the share of a partition map's weight in an answer."""

from collections.abc import Iterable

from bitternturn.core.ids import ShardId
from bitternturn.policy.const import COVERAGE_TOLERANCE
from bitternturn.schema.config_pb2 import PartitionMap


def meets_coverage(coverage: float, required: float) -> bool:
    """Return whether a coverage meets a requirement, allowing for rounding."""
    return coverage + COVERAGE_TOLERANCE >= required


class CoverageTracker:
    """Tracks the coverage of one query by the shards merged so far.

    Only shards whose complete answer was merged are counted. `shards` are the
    requested ones; none means all shards of the map. A requested shard that
    is not in the map raises `KeyError`. If all weights are zero, all shards
    have the same weight.
    """

    __slots__ = ('counted', 'total', 'weight', 'weights')

    def __init__(
        self,
        *,
        partition_map: PartitionMap,
        shards: Iterable[ShardId] = (),
    ) -> None:
        """Initialise with no shard counted."""
        weights = {
            ShardId(shard.id): shard.weight for shard in partition_map.shards
        }
        requested = list(shards) or list(weights)
        self.weights = {shard: weights[shard] for shard in requested}
        if not any(self.weights.values()):
            self.weights = dict.fromkeys(self.weights, 1)
        # Avoids a division by zero for an empty map.
        self.total = sum(self.weights.values()) or 1
        self.weight: float = 0
        self.counted: set[ShardId] = set()

    @property
    def share(self) -> float:
        """Coverage from 0 to 1; exactly 1 only if no shard is missing."""
        if len(self.counted) == len(self.weights):
            return 1
        return self.weight / self.total

    def add(self, shard: ShardId) -> bool:
        """Count a shard; return False if it is unknown or already counted."""
        if shard in self.counted or shard not in self.weights:
            return False
        self.counted.add(shard)
        self.weight += self.weights[shard]
        return True

    def missing(self) -> list[ShardId]:
        """Return the requested shards that are not counted yet, in order."""
        return [shard for shard in self.weights if shard not in self.counted]

    def share_of(self, shards: Iterable[ShardId]) -> float:
        """Return the coverage that these shards could still add."""
        return (
            sum(
                self.weights.get(shard, 0)
                for shard in set(shards) - self.counted
            )
            / self.total
        )
