"""Choice of the snapshot of an index that answers a query."""

from collections.abc import Callable, Collection, Iterator, Sequence
from dataclasses import dataclass

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import ShardId, Snapshot, TargetId
from bitternturn.policy.coverage import CoverageTracker, meets_coverage
from bitternturn.schema.config_pb2 import Index, PartitionMap

STEP_CHOOSE_SNAPSHOT = 'choose snapshot'


@dataclass(kw_only=True, slots=True, frozen=True)
class SnapshotChoice:
    """Snapshot with its partition map and its reachable coverage."""

    snapshot: Snapshot
    partition_map: PartitionMap
    reachable_coverage: float


def choose_snapshot(
    *,
    index: Index,
    wanted_shards: Sequence[ShardId],
    least_coverage: float,
    is_usable: Callable[[TargetId, Snapshot], bool],
    wanted_coverage: float = 1,
) -> SnapshotChoice:
    """Return the snapshot to answer from.

    This is the newest one that can reach the wanted coverage, otherwise the
    newest one that can reach the least coverage, otherwise the newest one
    with the highest reachable coverage. No wanted shards means all shards.
    Maps without all of the wanted shards are skipped; if none is left,
    `BitternturnError` with the code BAD_REQUEST is raised.
    """
    candidates = []
    for partition_map in _matching_maps(index, wanted_shards):
        choice = _evaluate_snapshot(partition_map, wanted_shards, is_usable)
        if meets_coverage(choice.reachable_coverage, wanted_coverage):
            return choice
        candidates.append(choice)
    if not candidates:
        raise BitternturnError(
            'no snapshot contains all of the requested shards',
            code=ErrorCode.BAD_REQUEST,
            step=STEP_CHOOSE_SNAPSHOT,
        )
    for choice in candidates:
        if meets_coverage(choice.reachable_coverage, least_coverage):
            return choice
    return max(candidates, key=lambda choice: choice.reachable_coverage)


def _matching_maps(
    index: Index,
    wanted_shards: Collection[ShardId],
) -> Iterator[PartitionMap]:
    """Yield the maps that have all wanted shards, newest first."""
    maps = sorted(index.maps, key=lambda it: it.snapshot, reverse=True)
    wanted = frozenset(wanted_shards)
    for partition_map in maps:
        if not wanted or wanted.issubset(
            shard.id for shard in partition_map.shards
        ):
            yield partition_map


def _evaluate_snapshot(
    partition_map: PartitionMap,
    wanted_shards: Collection[ShardId],
    usable: Callable[[TargetId, Snapshot], bool],
) -> SnapshotChoice:
    """Return one snapshot with the coverage its usable targets can reach."""
    snapshot = Snapshot(partition_map.snapshot)
    coverage = CoverageTracker(
        partition_map=partition_map, shards=wanted_shards
    )
    for shard in partition_map.shards:
        if any(usable(TargetId(name), snapshot) for name in shard.targets):
            coverage.add(ShardId(shard.id))
    return SnapshotChoice(
        snapshot=snapshot,
        partition_map=partition_map,
        reachable_coverage=coverage.share,
    )
