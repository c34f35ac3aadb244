"""Checks answers against the documents and records of the stand-ins."""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from bench.workloads import make_query_source
from bitternturn.core.ids import IndexName, RequestId, ShardId, Snapshot
from bitternturn.policy.merge import ShardHits, merge_hits
from bitternturn.schema.config_pb2 import PartitionMap
from bitternturn.standins.caller_models import CallerAnswer, CallerQuery
from bitternturn.standins.fleet import TargetFleet
from bitternturn.standins.target_records import RunState
from bitternturn.standins.target_search import decode_query, search

COVERAGE_TOLERANCE = 1e-9


@dataclass(kw_only=True)
class CoverageCheck:
    """Compares each answer with the documents of the shards that it covers."""

    fleet: TargetFleet
    index: str
    result_limit: int = 200
    answers: list[CallerAnswer] = field(default_factory=list)
    queries: dict[str, CallerQuery] = field(default_factory=dict)
    errors: list[str] = field(default_factory=list)
    # Answers with hits of another snapshot than the one they report.
    mixed_snapshots: int = 0
    correct: int = 0

    def make_query_source(
        self,
        profile: str,
    ) -> Callable[[random.Random], CallerQuery]:
        """Return a function that draws queries and records them."""
        draw = make_query_source(self.index, profile)

        def draw_and_record(rng: random.Random) -> CallerQuery:
            query = draw(rng)
            self.queries[query.request_id] = query
            return query

        return draw_and_record

    def record_answer(self, answer: CallerAnswer) -> None:
        """Record an answer; `correct_share` checks it when it is read."""
        if answer.done:
            self.answers.append(answer)

    @property
    def correct_share(self) -> float:
        """Check all answers; return the share of the correct ones."""
        self._check_answers()
        return self.correct / len(self.answers) if self.answers else 0.0

    def _check_answers(self) -> None:
        """Check all recorded answers and update the counts."""
        self.correct = 0
        self.mixed_snapshots = 0
        self.errors.clear()
        answered_shards = self._shards_answered_by_targets()
        for answer in self.answers:
            snapshots = {hit['snapshot'] for hit in answer.reply.hits}
            if snapshots - {answer.reply.snapshot}:
                self.mixed_snapshots += 1
            error = self._find_error(answer, answered_shards)
            if error:
                self.errors.append(f'{answer.reply.request_id}: {error}')
            else:
                self.correct += 1

    def _shards_answered_by_targets(
        self,
    ) -> Mapping[tuple[str, int], set[ShardId]]:
        """Return the shards that targets answered by query and snapshot."""
        answered_shards: dict[tuple[str, int], set[ShardId]] = {}
        for run in self.fleet.runs():
            if run.state is RunState.DONE:
                query_id = query_id_of(run.request_id)
                key = (query_id, int(run.snapshot))
                answered_shards.setdefault(key, set()).add(run.shard)
        return answered_shards

    def _find_error(
        self,
        answer: CallerAnswer,
        answered_shards: Mapping[tuple[str, int], set[ShardId]],
    ) -> str:
        """Return what is wrong with an answer, or an empty text."""
        reply = answer.reply
        shards, expected = self._expected_hits(answer)
        reported = shards - {ShardId(shard) for shard in reply.missing}
        remaining = len(reported) / len(shards)
        if abs(remaining - reply.coverage) > COVERAGE_TOLERANCE:
            return (
                f'coverage {reply.coverage}, missing shards leave {remaining}'
            )
        answered = answered_shards.get(
            (reply.request_id, reply.snapshot), set()
        )
        if reported - answered:
            return (
                f'reports {sorted(reported - answered)} as covered, '
                'which no target answered'
            )
        if list(reply.hits) != expected:
            return (
                'hits differ from those in the documents of the covered shards'
            )
        return ''

    def _expected_hits(
        self,
        answer: CallerAnswer,
    ) -> tuple[set[ShardId], list[dict[str, Any]]]:
        """Return the shards of the snapshot and the correct hits."""
        reply = answer.reply
        partition_map = self._partition_map(reply.snapshot)
        query = decode_query(
            msgspec.json.encode(self.queries[reply.request_id].query),
        )
        corpus = self.fleet.corpora[IndexName(self.index)]
        shards = {ShardId(shard.id) for shard in partition_map.shards}
        shard_hits = [
            ShardHits(
                shard=shard,
                hits=msgspec.json.decode(
                    msgspec.json.encode(
                        search(
                            query,
                            corpus.shard(partition_map, shard),
                            Snapshot(reply.snapshot),
                        ),
                    ),
                ),
            )
            for shard in shards
            if shard not in reply.missing
        ]
        return shards, merge_hits(shard_hits, self.result_limit)

    def _partition_map(self, snapshot: int) -> PartitionMap:
        """Return the partition map that targets hold for a snapshot."""
        for server in self.fleet.targets_of_index(IndexName(self.index)):
            found = server.maps.get(Snapshot(snapshot))
            if found is not None:
                return found
        raise LookupError(f'no target holds snapshot {snapshot}')


def query_id_of(request_id: RequestId) -> str:
    """Return the id of the query that a target's request belongs to."""
    return request_id.split('.', 1)[0]
