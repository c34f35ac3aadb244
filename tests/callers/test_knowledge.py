"""Tests of what an entry learns from results."""

import pytest

from bitternturn.callers.knowledge import EntryKnowledge
from bitternturn.core.errors import ErrorCode
from bitternturn.core.ids import FailureDomain, TargetId
from bitternturn.policy.const import DEFAULT_CONSECUTIVE_FAILURES
from bitternturn.schema.config_pb2 import Index, PartitionMap, Shard, Target
from bitternturn.schema.peers_pb2 import (
    OUTCOME_IN_DOUBT,
    OUTCOME_NOT_RUN,
    SubResult,
)

FIRST = TargetId('a')
INDEX = Index(
    name='index',
    targets=[Target(id='a', slots=2), Target(id='b', slots=2)],
    maps=[PartitionMap(shards=[Shard(id='s', weight=1, targets=['a', 'b'])])],
)


def ejected_after(code, outcome):
    """Return whether a row of such results ejects a target."""
    knowledge = EntryKnowledge(
        is_out=lambda target: False, failure_domain=FailureDomain('here')
    )
    known = knowledge.of_index(INDEX)
    for _ in range(DEFAULT_CONSECUTIVE_FAILURES):
        knowledge.on_result(
            known=known,
            target=FIRST,
            result=SubResult(outcome=outcome, code=code.value),
            latency_s=0.01,
            now=1,
        )
    (view,) = knowledge.views(known, [FIRST], 1)
    return view.ejected


class TestBlame:
    @pytest.mark.parametrize(
        ('code', 'outcome', 'expected'),
        [
            (ErrorCode.TARGET_UNAVAILABLE, OUTCOME_NOT_RUN, True),
            (ErrorCode.TARGET_ERROR, OUTCOME_IN_DOUBT, True),
            (ErrorCode.DEADLINE, OUTCOME_NOT_RUN, False),
            (ErrorCode.NOT_OWNER, OUTCOME_NOT_RUN, False),
            (ErrorCode.OVERLOADED, OUTCOME_NOT_RUN, False),
        ],
    )
    def test_ejects_for_the_target_s_failures_alone(
        self, code, outcome, expected
    ):
        assert ejected_after(code, outcome) is expected


@pytest.fixture
def knowledge():
    return EntryKnowledge(is_out=lambda target: False, failure_domain='a')


class TestHeldSnapshots:
    @pytest.mark.parametrize(
        ('snapshot', 'holds', 'usable'),
        [(1, False, False), (2, True, True), (3, True, True), (4, False, True)],
    )
    def test_newer_snapshot_may_have_come(
        self, knowledge, snapshot, holds, usable
    ):
        index = Index(name='x')
        index.targets.add(id='t')
        known = knowledge.of_index(index)
        assert knowledge.holds(known, 't', snapshot)
        knowledge.on_result(
            known=known,
            target='t',
            result=SubResult(outcome=OUTCOME_NOT_RUN, held_snapshots=[2, 3]),
            latency_s=0,
            now=0,
        )
        assert knowledge.holds(known, 't', snapshot) is holds
        assert knowledge.usable(known, 't', snapshot) is usable
