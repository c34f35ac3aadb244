"""Merge of the hits of several shards."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from bitternturn.core.ids import ShardId

ID_TYPES = (str, int)
SCORE_TYPES = (float, int)


@dataclass(kw_only=True, slots=True, frozen=True)
class ShardHits:
    """Hits of one shard as decoded from JSON, each with `id` and `score`."""

    shard: ShardId
    hits: list[dict[str, Any]]


def well_formed(hits: object) -> bool:
    """Return whether a decoded value is a list of hits that can be merged."""
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
    """Return the best hits, each with its shard.

    They are ordered by falling score, then by id as text, then by shard;
    hits of one shard that are equal in these keep their order. The shards'
    lists need not be ordered.
    """
    found = [(hit, part.shard) for part in per_shard for hit in part.hits]
    if len(found) > limit:
        # Most hits are left out by their score alone, which is cheap.
        scores = sorted((hit['score'] for hit, _ in found), reverse=True)
        least = scores[limit]
        found = [one for one in found if one[0]['score'] >= least]
    found.sort(key=_rank)
    return [{**hit, 'shard': shard} for hit, shard in found[:limit]]


def _rank(found: tuple[dict[str, Any], ShardId]) -> tuple[float, str, ShardId]:
    """Return a key that is smaller for better hits."""
    hit, shard = found
    return -hit['score'], str(hit['id']), shard
