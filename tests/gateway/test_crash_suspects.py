"""Tests of the evidence that an instance records."""

import os

import pytest

from bitternturn.core.ids import ServiceName
from bitternturn.gateway.crash_suspects import (
    MAX_RECENT_ANSWERS,
    RECENT_ANSWER_S,
    CrashSuspects,
)
from bitternturn.gateway.decision_log import DecisionLog, LineWriter
from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.platform.http_messages import read_request
from bitternturn.policy.crash_evidence import CLEARED_MEMORY_S
from tests.gateway.helpers import FakeTarget, make_entry, make_request

WRITER = LineWriter(descriptor=os.open(os.devnull, os.O_WRONLY))
SERVICE = ServiceName('s')


def make_caller(path='/a/x', **changes):
    """Return a request of a caller."""
    return read_request(make_request(path=path, **changes))


@pytest.fixture
def suspects():
    """Return the evidence of an instance."""
    return CrashSuspects(
        decisions=DecisionLog(instance='i', writer=WRITER),
        metrics=GatewayMetrics(),
    )


def end_targets(suspects, times, make=make_caller):
    """Let targets end with a request under way."""
    for number, at in enumerate(times):
        suspects.record_end(
            make_entry(FakeTarget(number), SERVICE),
            [make()],
            ended_at=at,
            now=at,
        )


class TestRecentAnswers:
    """A request that crashes targets takes all of a service down for a while."""

    def test_popular_request_is_not_suspected_meanwhile(self, suspects):
        suspects.record_answer(make_caller(), SERVICE, 100)
        end_targets(suspects, (100.1, 100.3, 101, 101.5))
        assert not suspects.refuses(make_caller(), 101.5)

    def test_request_that_is_not_answered_any_more_is(self, suspects):
        suspects.record_answer(make_caller(), SERVICE, 100)
        later = 100 + RECENT_ANSWER_S
        end_targets(suspects, (later, later + 1, later + 2))
        assert suspects.refuses(make_caller(), later + 2)

    def test_answers_to_other_bodies_do_not_count(self, suspects):
        suspects.record_answer(make_caller(body=b'good'), SERVICE, 100)
        end_targets(
            suspects,
            (100.1, 101.1, 101.7),
            make=lambda: make_caller(body=b'bad'),
        )
        assert suspects.refuses(make_caller(body=b'bad'), 102)

    def test_answers_of_other_shards_do_not_count(self, suspects):
        """A request may crash the targets of one shard, and get the others."""
        for number, at in enumerate((100, 101, 102)):
            suspects.record_answer(make_caller(), ServiceName('other'), at)
            suspects.record_end(
                make_entry(FakeTarget(number), SERVICE),
                [make_caller()],
                ended_at=at + 0.1,
                now=at + 0.1,
            )
        assert suspects.refuses(make_caller(), 103)

    def test_memory_is_bounded(self, suspects):
        for number in range(2 * MAX_RECENT_ANSWERS):
            suspects.record_answer(
                make_caller(f'/a/{number}'), SERVICE, 100 + number
            )
        assert len(suspects.recent_answers) == MAX_RECENT_ANSWERS


class TestForgetting:
    def test_cleared_request_costs_nothing_after_a_time(self, suspects):
        end_targets(suspects, (100, 101))
        suspects.record_answer(make_caller(), SERVICE, 102)
        suspects.forget_old(102 + CLEARED_MEMORY_S)
        assert suspects.evidence
        suspects.forget_old(103 + CLEARED_MEMORY_S)
        assert not suspects.evidence

    def test_ends_are_remembered_longer(self, suspects):
        end_targets(suspects, (100, 101))
        suspects.forget_old(103 + CLEARED_MEMORY_S)
        assert suspects.evidence
