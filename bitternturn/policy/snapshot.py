"""Choice of the index version that a query is answered from."""

from collections.abc import Callable, Collection, Iterator, Sequence
from dataclasses import dataclass

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import ShardId, Snapshot, TargetId
from bitternturn.policy.coverage import CoverageCount, covers
from bitternturn.schema.config_pb2 import Index, PartitionMap

STEP_CHOOSE_SNAPSHOT = 'choose snapshot'


@dataclass(kw_only=True, slots=True, frozen=True)
class SnapshotChoice:
    """Index version with its partition map and the coverage in reach."""

    snapshot: Snapshot
    partition_map: PartitionMap
    reachable: float


def choose_snapshot(
    *,
    index: Index,
    wanted_shards: Sequence[ShardId],
    least_coverage: float,
    usable: Callable[[TargetId, Snapshot], bool],
    wanted_coverage: float = 1,
) -> SnapshotChoice:
    """Return the snapshot to answer from.

    That is the newest at which the wanted coverage can be met, else the
    newest at which the least can, else the newest of those that reach most.
    No wanted shards means all. Maps that lack a shard asked for don't count;
    when every map does, `BitternturnError` BAD_REQUEST is raised.
    """
    choices = []
    for partition_map in _newest_first(index, wanted_shards):
        choice = _reach(partition_map, wanted_shards, usable)
        if covers(choice.reachable, wanted_coverage):
            return choice
        choices.append(choice)
    if not choices:
        raise BitternturnError(
            'no snapshot has the shards asked for',
            code=ErrorCode.BAD_REQUEST,
            step=STEP_CHOOSE_SNAPSHOT,
        )
    for choice in choices:
        if covers(choice.reachable, least_coverage):
            return choice
    return max(choices, key=lambda choice: choice.reachable)


def _newest_first(
    index: Index,
    wanted_shards: Collection[ShardId],
) -> Iterator[PartitionMap]:
    """Yield the maps with all shards asked for, newest first."""
    maps = sorted(index.maps, key=lambda one: one.snapshot, reverse=True)
    wanted = frozenset(wanted_shards)
    for partition_map in maps:
        if not wanted or wanted.issubset(
            shard.id for shard in partition_map.shards
        ):
            yield partition_map


def _reach(
    partition_map: PartitionMap,
    wanted_shards: Collection[ShardId],
    usable: Callable[[TargetId, Snapshot], bool],
) -> SnapshotChoice:
    """Return the coverage that usable targets can give at one snapshot."""
    snapshot = Snapshot(partition_map.snapshot)
    count = CoverageCount(partition_map=partition_map, shards=wanted_shards)
    for shard in partition_map.shards:
        if any(usable(TargetId(name), snapshot) for name in shard.targets):
            count.add(ShardId(shard.id))
    return SnapshotChoice(
        snapshot=snapshot,
        partition_map=partition_map,
        reachable=count.share,
    )
