"""Merging of the hits of several shards."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from bitternturn.core.ids import ShardId

ID_TYPES = (str, int)
SCORE_TYPES = (float, int)


@dataclass(kw_only=True, slots=True, frozen=True)
class ShardHits:
    """Hits of one shard, decoded from JSON, each with `id` and `score`."""

    shard: ShardId
    hits: list[dict[str, Any]]


def is_well_formed(hits: object) -> bool:
    """Return whether a decoded value is a valid list of hits."""
    if not isinstance(hits, list):
        return False
    for hit in hits:
        if not isinstance(hit, dict):
            return False
        if not isinstance(hit.get('id'), ID_TYPES):
            return False
        if not isinstance(hit.get('score'), SCORE_TYPES):
            return False
    return True


def merge_hits(
    per_shard: Iterable[ShardHits],
    limit: int,
) -> list[dict[str, Any]]:
    """Return the best hits of all shards, each with its shard.

    They are sorted by descending score, then by id as text, then by shard.
    Hits of one shard that are equal in all of these keep their order. The
    lists of the shards need not be sorted.
    """
    candidates = [(hit, part.shard) for part in per_shard for hit in part.hits]
    if len(candidates) > limit:
        # Discarding most hits by their score alone is cheap.
        scores = sorted((hit['score'] for hit, _ in candidates), reverse=True)
        min_score = scores[limit]
        candidates = [it for it in candidates if it[0]['score'] >= min_score]
    candidates.sort(key=_sort_key)
    return [{**hit, 'shard': shard} for hit, shard in candidates[:limit]]


def _sort_key(
    candidate: tuple[dict[str, Any], ShardId],
) -> tuple[float, str, ShardId]:
    """Return the sort key of a hit; better hits sort first."""
    hit, shard = candidate
    return -hit['score'], str(hit['id']), shard
