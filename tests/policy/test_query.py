"""Tests of snapshot choice, coverage, early answers and merging."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.policy.coverage import CoverageTracker
from bitternturn.policy.early_answer import Decision, decide_early_answer
from bitternturn.policy.merge import ShardHits, is_well_formed, merge_hits
from bitternturn.policy.snapshot import choose_snapshot
from bitternturn.schema.config_pb2 import (
    PREFERENCE_COVERAGE,
    PREFERENCE_TIME,
    Index,
    PartitionMap,
    Profile,
    Shard,
)

SHARES = st.floats(0, 1)


def partition_map(weights, snapshot=1):
    shards = [
        Shard(id=f's{number}', weight=weight, targets=[f't{number}'])
        for number, weight in enumerate(weights)
    ]
    return PartitionMap(snapshot=snapshot, shards=shards)


class TestCoverage:
    @given(st.lists(st.floats(0.01, 10), min_size=1), st.randoms())
    def test_counts_each_shard_once(self, weights, rng):
        count = CoverageTracker(partition_map=partition_map(weights))
        answers = [f's{rng.randrange(len(weights) + 2)}' for _ in range(40)]
        for number, shard in enumerate(answers):
            is_new = shard not in answers[:number]
            assert count.add(shard) is (
                is_new and int(shard[1:]) < len(weights)
            )
        missing = count.missing()
        missing_weight = math.fsum(weights[int(shard[1:])] for shard in missing)
        assert count.share == pytest.approx(
            1 - missing_weight / math.fsum(weights)
        )
        assert count.share + count.share_of(missing) == pytest.approx(1)
        assert (count.share == 1) is (not missing)


class TestSnapshot:
    @given(
        st.lists(st.sets(st.integers(0, 4)), min_size=1, max_size=5),
        st.integers(0, 5),
        st.integers(0, 5),
    )
    def test_prefers_wanted_then_least_then_highest_coverage(
        self, held, first, second
    ):
        least, wanted = sorted((first / 5, second / 5))
        index = Index(
            maps=[
                partition_map([1] * 5, snapshot)
                for snapshot in range(len(held))
            ]
        )
        choice = choose_snapshot(
            index=index,
            wanted_shards=[],
            least_coverage=least,
            wanted_coverage=wanted,
            is_usable=lambda target, snapshot: (
                int(target[1:]) in held[snapshot]
            ),
        )
        reachable = [len(targets) / 5 for targets in held]
        for needed in (wanted, least, max(reachable)):
            sufficient = [
                position
                for position, share in enumerate(reachable)
                if share >= needed
            ]
            if sufficient:
                assert choice.snapshot == sufficient[-1]
                assert choice.reachable_coverage == reachable[choice.snapshot]
                break

    def test_wanted_shards_must_be_in_the_map(self):
        index = Index(maps=[partition_map([1] * 3, 1), partition_map([1], 2)])
        arguments = {'least_coverage': 1, 'is_usable': lambda *_: True}
        choice = choose_snapshot(index=index, wanted_shards=['s2'], **arguments)
        assert choice.snapshot == 1
        with pytest.raises(BitternturnError) as raised:
            choose_snapshot(index=index, wanted_shards=['s9'], **arguments)
        assert raised.value.code is ErrorCode.BAD_REQUEST


class TestEarlyAnswer:
    @given(
        SHARES,
        SHARES,
        SHARES,
        SHARES,
        st.floats(-0.1, 1),
        st.sampled_from((PREFERENCE_TIME, PREFERENCE_COVERAGE)),
    )
    def test_refuses_only_unreachable_coverage_and_at_once(
        self, first, second, coverage, outstanding, remaining_s, preference
    ):
        least, wanted = sorted((first, second))
        outstanding = min(outstanding, 1 - coverage)
        decision = decide_early_answer(
            profile=Profile(
                least_coverage=least,
                wanted_coverage=wanted,
                preference=preference,
            ),
            coverage=coverage,
            remaining_s=remaining_s,
            outstanding=outstanding,
            margin_s=0.05,
        )
        reachable = coverage + (outstanding if remaining_s > 0 else 0)
        if reachable < least - 1e-6:
            assert decision is Decision.REFUSE
        if coverage >= least:
            assert decision is not Decision.REFUSE
        if decision is Decision.WAIT:
            assert remaining_s > 0 and outstanding > 0
            assert coverage < least or remaining_s > 0.05
        if decision is Decision.ANSWER:
            assert coverage >= least - 1e-6

    def test_preference_time_accepts_wanted_coverage_and_coverage_waits(self):
        for preference, decision in (
            (PREFERENCE_TIME, Decision.ANSWER),
            (PREFERENCE_COVERAGE, Decision.WAIT),
        ):
            profile = Profile(
                least_coverage=0.5, wanted_coverage=0.9, preference=preference
            )
            state = {'profile': profile, 'remaining_s': 0.2}
            assert (
                decide_early_answer(coverage=0.9, outstanding=0.1, **state)
                is decision
            )
            assert (
                decide_early_answer(coverage=0.9, outstanding=0, **state)
                is Decision.ANSWER
            )
            assert (
                decide_early_answer(coverage=0.8, outstanding=0.2, **state)
                is Decision.WAIT
            )


class TestMerge:
    @given(
        st.lists(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 9)))),
        st.integers(0, 30),
        st.integers(),
    )
    def test_result_is_independent_of_arrival_order(self, shards, limit, seed):
        parts = [
            ShardHits(
                shard=f's{number:03}',
                hits=[{'id': f'{key}', 'score': score} for score, key in hits],
            )
            for number, hits in enumerate(shards)
        ]
        merged = merge_hits(parts, limit)
        random.Random(seed).shuffle(parts)
        assert merge_hits(parts, limit) == merged
        all_hits = [
            (-hit['score'], hit['id'], part.shard)
            for part in parts
            for hit in part.hits
        ]
        merged_keys = [
            (-hit['score'], hit['id'], hit['shard']) for hit in merged
        ]
        assert merged_keys == sorted(all_hits)[:limit]

    def test_malformed_hits_are_detected(self):
        assert is_well_formed([{'id': 'a', 'score': 1.5}])
        for hits in (None, {}, [1], [{'id': 'a'}], [{'id': None, 'score': 1}]):
            assert not is_well_formed(hits)
