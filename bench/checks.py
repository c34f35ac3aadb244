"""Checks of answers against what the stand-ins hold and counted."""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from bench.loads import make_queries
from bitternturn.core.ids import IndexName, RequestId, ShardId, Snapshot
from bitternturn.policy.merge import ShardHits, merge_hits
from bitternturn.schema.config_pb2 import PartitionMap
from bitternturn.standins.caller_models import CallerAnswer, CallerQuery
from bitternturn.standins.fleet import TargetFleet
from bitternturn.standins.searching import decode_query, search
from bitternturn.standins.target_records import RunState

TOLERANCE = 1e-9


@dataclass(kw_only=True)
class CoverageCheck:
    """Compares each answer with the documents that it claims to cover."""

    fleet: TargetFleet
    index: str
    limit: int = 200
    answered: list[CallerAnswer] = field(default_factory=list)
    queries: dict[str, CallerQuery] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    mixed: int = 0
    true: int = 0

    def make_queries(
        self,
        profile: str,
    ) -> Callable[[random.Random], CallerQuery]:
        """Return a function that draws queries and remembers them."""
        draw = make_queries(self.index, profile)

        def remember(rng: random.Random) -> CallerQuery:
            query = draw(rng)
            self.queries[query.request_id] = query
            return query

        return remember

    def take(self, answer: CallerAnswer) -> None:
        """Keep an answer; it is checked at the end."""
        if answer.done:
            self.answered.append(answer)

    @property
    def true_share(self) -> float:
        """Share of the answers whose coverage and hits are true."""
        self._check_all()
        return self.true / len(self.answered) if self.answered else 0.0

    def _check_all(self) -> None:
        """Check every answer."""
        self.true = 0
        self.mixed = 0
        self.faults.clear()
        covered = self._covered_by_targets()
        for answer in self.answered:
            snapshots = {hit['snapshot'] for hit in answer.reply.hits}
            if snapshots - {answer.reply.snapshot}:
                self.mixed += 1
            fault = self._find_fault(answer, covered)
            if fault:
                self.faults.append(f'{answer.reply.request_id}: {fault}')
            else:
                self.true += 1

    def _covered_by_targets(self) -> Mapping[tuple[str, int], set[ShardId]]:
        """Return the shards that targets answered, by query and snapshot."""
        covered: dict[tuple[str, int], set[ShardId]] = {}
        for run in self.fleet.runs():
            if run.state is RunState.DONE:
                query_id = query_of(run.request_id)
                key = (query_id, int(run.snapshot))
                covered.setdefault(key, set()).add(run.shard)
        return covered

    def _find_fault(
        self,
        answer: CallerAnswer,
        covered: Mapping[tuple[str, int], set[ShardId]],
    ) -> str:
        """Return what is untrue about an answer; empty when nothing is."""
        reply = answer.reply
        shards, expected = self._expect(answer)
        claimed = shards - {ShardId(shard) for shard in reply.missing}
        share = len(claimed) / len(shards)
        if abs(share - reply.coverage) > TOLERANCE:
            return f'coverage {reply.coverage}, missing says {share}'
        ran = covered.get((reply.request_id, reply.snapshot), set())
        if claimed - ran:
            return f'claims {sorted(claimed - ran)}, which no target answered'
        if list(reply.hits) != expected:
            return 'hits differ from the documents of the claimed shards'
        return ''

    def _expect(
        self,
        answer: CallerAnswer,
    ) -> tuple[set[ShardId], list[dict[str, Any]]]:
        """Return the shards of the snapshot and the hits that are right."""
        reply = answer.reply
        partition_map = self._map(reply.snapshot)
        query = decode_query(
            msgspec.json.encode(self.queries[reply.request_id].query),
        )
        corpus = self.fleet.corpora[IndexName(self.index)]
        shards = {ShardId(shard.id) for shard in partition_map.shards}
        parts = [
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
        return shards, merge_hits(parts, self.limit)

    def _map(self, snapshot: int) -> PartitionMap:
        """Return the partition map that the targets have for a snapshot."""
        for server in self.fleet.of_index(IndexName(self.index)):
            found = server.maps.get(Snapshot(snapshot))
            if found is not None:
                return found
        raise LookupError(f'no target has had snapshot {snapshot}')


def query_of(request_id: RequestId) -> str:
    """Return the query that a target's request belongs to."""
    return request_id.split('.', 1)[0]
