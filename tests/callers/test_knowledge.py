"""Tests of what an entry knows of its targets' snapshots."""

import pytest

from bitternturn.callers.knowledge import EntryKnowledge
from bitternturn.schema.config_pb2 import Index
from bitternturn.schema.peers_pb2 import OUTCOME_NOT_RUN, SubResult


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
