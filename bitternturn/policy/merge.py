"""Merge of the hits of several shards."""

import heapq
import itertools
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from bitternturn.core.ids import ShardId


@dataclass(kw_only=True, slots=True, frozen=True)
class ShardHits:
    """Hits of one shard as decoded from JSON, each with `id` and `score`."""

    shard: ShardId
    hits: list[dict[str, Any]]


def well_formed(hits: object) -> bool:
    """Return whether a decoded value is a list of hits that can be merged."""
    return isinstance(hits, list) and all(
        isinstance(hit, dict)
        and isinstance(hit.get('id'), (str, int))
        and isinstance(hit.get('score'), (int, float))
        for hit in hits
    )


def merge_hits(
    per_shard: Iterable[ShardHits],
    limit: int,
) -> list[dict[str, Any]]:
    """Return the best hits, each with its shard.

    They are ordered by falling score, then by id as text, then by shard;
    hits of one shard that are equal in these keep their order. The shards'
    lists need not be ordered.
    """
    order = itertools.count()
    ranked = (
        (-hit['score'], str(hit['id']), part.shard, next(order), hit)
        for part in per_shard
        for hit in part.hits
    )
    best = heapq.nsmallest(limit, ranked)
    return [{**hit, 'shard': shard} for *_, shard, _order, hit in best]
