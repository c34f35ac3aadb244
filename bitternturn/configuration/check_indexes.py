"""Validation of indexes and their partition maps."""

import math
from collections.abc import Iterator

from bitternturn.configuration import const
from bitternturn.configuration.rules import (
    check_name,
    check_range,
    check_unique,
)
from bitternturn.core.schema_validation import Problem
from bitternturn.schema.config_pb2 import (
    Index,
    Indexes,
    PartitionMap,
    Shard,
    Target,
)


def check_indexes(content: Indexes) -> list[Problem]:
    """Return all problems of the indexes."""
    problems = list(
        check_unique(
            'indexes[{}].name',
            (index.name for index in content.indexes),
        ),
    )
    problems.extend(_check_duplicate_targets(content))
    for position, index in enumerate(content.indexes):
        problems.extend(_check_index(f'indexes[{position}]', index))
    return problems


def _check_duplicate_targets(content: Indexes) -> Iterator[Problem]:
    """Yield target ids that occur twice, within or across indexes."""
    seen: dict[str, str] = {}
    for position, index in enumerate(content.indexes):
        for number, target in enumerate(index.targets):
            path = f'indexes[{position}].targets[{number}].id'
            first = seen.setdefault(target.id, path)
            if target.id and first != path:
                message = f'"{target.id}" is already used at {first}'
                yield Problem(path=path, message=message)


def _check_index(path: str, index: Index) -> Iterator[Problem]:
    """Yield the problems of one index."""
    yield from check_name(f'{path}.name', index.name)
    for number, target in enumerate(index.targets):
        yield from _check_target(f'{path}.targets[{number}]', target)
    if not index.maps:
        yield Problem(path=f'{path}.maps', message='required')
    target_ids = {target.id for target in index.targets}
    last_snapshot = 0
    for number, partition_map in enumerate(index.maps):
        map_path = f'{path}.maps[{number}]'
        if partition_map.snapshot <= last_snapshot:
            message = f'must be above {last_snapshot}'
            yield Problem(path=f'{map_path}.snapshot', message=message)
        last_snapshot = max(last_snapshot, partition_map.snapshot)
        yield from _check_map(map_path, partition_map, target_ids)


def _check_target(path: str, target: Target) -> Iterator[Problem]:
    """Yield the problems of one target."""
    yield from check_name(f'{path}.id', target.id)
    if not target.host:
        yield Problem(path=f'{path}.host', message='required')
    yield from check_name(f'{path}.failure_domain', target.failure_domain)
    yield from check_range(
        f'{path}.port',
        target.port,
        minimum=1,
        maximum=const.MAX_PORT,
    )
    yield from check_range(
        f'{path}.slots',
        target.slots,
        minimum=1,
        maximum=const.MAX_SLOTS,
    )
    # Each request in flight uses one connection.
    yield from check_range(
        f'{path}.connections',
        target.connections,
        minimum=max(1, target.slots),
        maximum=const.MAX_CONNECTIONS,
    )
    yield from check_range(
        f'{path}.cold_limit',
        target.cold_limit,
        minimum=1,
        maximum=max(1, target.slots),
    )


def _check_map(
    path: str,
    partition_map: PartitionMap,
    target_ids: set[str],
) -> Iterator[Problem]:
    """Yield the problems of one partition map."""
    if not partition_map.shards:
        yield Problem(path=f'{path}.shards', message='required')
    yield from check_unique(
        f'{path}.shards[{{}}].id',
        (shard.id for shard in partition_map.shards),
    )
    for number, shard in enumerate(partition_map.shards):
        yield from _check_shard(f'{path}.shards[{number}]', shard, target_ids)


def _check_shard(
    path: str,
    shard: Shard,
    target_ids: set[str],
) -> Iterator[Problem]:
    """Yield the problems of one shard."""
    yield from check_name(f'{path}.id', shard.id)
    if not (math.isfinite(shard.weight) and shard.weight > 0):
        yield Problem(path=f'{path}.weight', message='must be above 0')
    if not shard.targets:
        yield Problem(path=f'{path}.targets', message='required')
    yield from check_unique(f'{path}.targets[{{}}]', shard.targets)
    for number, name in enumerate(shard.targets):
        if name not in target_ids:
            message = f'"{name}" is not a target of the index'
            yield Problem(path=f'{path}.targets[{number}]', message=message)


def find_moved_targets(
    current: Indexes,
    proposed: Indexes,
) -> Iterator[Problem]:
    """Yield targets whose failure domain differs from the current one.

    The owner of a target depends on its failure domain. While instances
    hold different versions, a moved target would have two owners.
    """
    domains = {
        target.id: target.failure_domain
        for index in current.indexes
        for target in index.targets
    }
    for number, index in enumerate(proposed.indexes):
        for target_number, target in enumerate(index.targets):
            current_domain = domains.get(target.id, target.failure_domain)
            if current_domain != target.failure_domain:
                yield Problem(
                    path=f'indexes[{number}].targets[{target_number}]'
                    '.failure_domain',
                    message=f'is currently {current_domain}; '
                    'a moved target needs a new id',
                )
