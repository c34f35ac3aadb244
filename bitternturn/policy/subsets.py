"""Subsetting: selection of the replicas that an instance connects to.

Guards against too many connections in a large fleet: if a target allows fewer
connections than there are instances, each instance uses only a subset of the
replicas, so that every target is used by an equal share of the instances.
"""

import zlib
from collections.abc import Sequence
from typing import TypeVar

TargetT = TypeVar('TargetT')


def count_subset_replicas(
    *, replicas: int, instances: int, connections: int
) -> int:
    """Return the number of replicas that each instance uses, at least one.

    `connections` is the number that one target allows to all instances.
    """
    if connections >= instances:
        return replicas
    return max(1, min(replicas, connections * replicas // instances))


def split_replicas(
    replicas: Sequence[TargetT],
    *,
    service: str,
    position: int,
    subset_size: int,
) -> tuple[list[TargetT], list[TargetT]]:
    """Return the replicas to use and the others, which are on standby.

    `replicas` are in the same order on all instances. `position` is the index
    of this instance in the order of all instances.
    """
    count = len(replicas)
    if subset_size >= count:
        return list(replicas), []
    start = (position + zlib.crc32(service.encode())) % count
    rotated = [*replicas[start:], *replicas[:start]]
    return rotated[:subset_size], rotated[subset_size:]


def connections_per_target(
    *,
    replicas: int,
    instances: int,
    subset_size: int,
    connections: int,
) -> int:
    """Return the number of connections an instance may open per target."""
    instances_per_target = -(-instances * subset_size // max(1, replicas))
    return max(1, connections // max(1, instances_per_target))
