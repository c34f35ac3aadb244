"""Tests of the state observed from results of sub-requests."""

import pytest

from bitternturn.callers.observed_state import ObservedState
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


def is_ejected_after(code, outcome):
    """Return whether consecutive results of this kind eject a target."""
    observed_state = ObservedState(
        is_out=lambda target: False, failure_domain=FailureDomain('here')
    )
    observed_index = observed_state.get_index(INDEX)
    for _ in range(DEFAULT_CONSECUTIVE_FAILURES):
        observed_state.record_result(
            observed_index=observed_index,
            target=FIRST,
            result=SubResult(outcome=outcome, code=code.value),
            latency_s=0.01,
            now=1,
        )
    (view,) = observed_state.make_views(observed_index, [FIRST], 1)
    return view.ejected


class TestTargetFaults:
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
    def test_only_target_faults_eject(self, code, outcome, expected):
        assert is_ejected_after(code, outcome) is expected


@pytest.fixture
def observed_state():
    return ObservedState(is_out=lambda target: False, failure_domain='a')


class TestHeldSnapshots:
    @pytest.mark.parametrize(
        ('snapshot', 'holds', 'usable'),
        [(1, False, False), (2, True, True), (3, True, True), (4, False, True)],
    )
    def test_newer_snapshot_may_be_loaded(
        self, observed_state, snapshot, holds, usable
    ):
        index = Index(name='x')
        index.targets.add(id='t')
        observed_index = observed_state.get_index(index)
        assert observed_state.holds_snapshot(observed_index, 't', snapshot)
        observed_state.record_result(
            observed_index=observed_index,
            target='t',
            result=SubResult(outcome=OUTCOME_NOT_RUN, held_snapshots=[2, 3]),
            latency_s=0,
            now=0,
        )
        assert (
            observed_state.holds_snapshot(observed_index, 't', snapshot)
            is holds
        )
        assert observed_state.is_usable(observed_index, 't', snapshot) is usable
