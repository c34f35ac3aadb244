"""Tests of the verdict on a version, by simulated roll-outs."""

import dataclasses

import pytest

from bitternturn.policy.rollout_counts import Cell, CellKey, Tally, TargetTally
from bitternturn.policy.rollout_evidence import (
    EvidenceJudge,
    Judgement,
    count_ignored,
)
from tests.policy.rollout_simulation import (
    BAD_LOADS,
    FLEETS,
    GOOD_LOADS,
    SHARE,
    SLACK,
    Phase,
    Run,
    tabulate,
)

RUNS = 12
# Wrong verdicts that are tolerated per load, and with few requests, where a
# version may get only some requests on the route on which it is bad.
MAX_WRONG = 1
MAX_WRONG_OF_FEW = 4


class TestVerdicts:
    @pytest.mark.parametrize('instances', FLEETS)
    def test_wrong_verdicts_are_rare(self, instances):
        """Good versions reverted, and bad ones completed, at 40 and 200/s."""
        wrong = [
            row
            for row in tabulate(RUNS, fleets=(instances,), rates=(40, 200))
            if row.wrong > MAX_WRONG
        ]
        assert not wrong

    @pytest.mark.parametrize('instances', FLEETS)
    def test_ten_requests_per_second_are_enough(self, instances):
        wrong = [
            row
            for row in tabulate(RUNS, fleets=(instances,), rates=(10,))
            if row.wrong > MAX_WRONG_OF_FEW
        ]
        assert not wrong

    @pytest.mark.parametrize('name', BAD_LOADS)
    def test_few_callers_get_bad_answers(self, name):
        """The bound is 50 before the version has to be left."""
        for instances in FLEETS:
            load = dataclasses.replace(BAD_LOADS[name], per_s=200)
            run = Run(load=load, instances=instances, seed=1).run()
            assert run.bad_answers < 50
            assert run.phase is Phase.SUSPENDED

    @pytest.mark.parametrize('name', [*GOOD_LOADS, *BAD_LOADS])
    def test_canary_share_is_kept_until_the_switch(self, name):
        load = dataclasses.replace({**GOOD_LOADS, **BAD_LOADS}[name], per_s=40)
        for seed in range(5):
            run = Run(load=load, instances=72, seed=seed).run()
            requests, canaries = run.before_switch
            assert canaries <= SHARE * requests + SLACK


class TestEvidenceJudge:
    def test_crash_of_one_target_is_not_held_against_the_version(self):
        crashed, good = TargetTally(20, 9), TargetTally(40, 0)
        assert count_ignored({'a': crashed, 'b': good}) == 7
        assert not count_ignored({'a': crashed})
        bad = TargetTally(20, 5)
        assert not count_ignored({'a': crashed, 'b': bad})

    def test_latency_is_not_compared_without_baseline(self):
        """The first answers of a route would else be judged against none."""
        judge = EvidenceJudge()
        cells = {CellKey('r', near=True): Cell()}
        for step in range(40):
            cells[CellKey('r', near=True)].candidate.record(
                failed=False, log_ratio=2
            )
            judge.step(cells, step, ignored=0)
        assert judge.judgement is Judgement.OPEN

    def test_short_slowness_of_all_targets_is_not_held_against_it(self):
        """Targets are slowed by other causes for 600 ms."""
        judge = EvidenceJudge()
        cell = Cell()
        for step in range(20):
            for _ in range(50):
                cell.baseline.record(failed=False, log_ratio=0)
                slow = step in {8, 9}
                cell.candidate.record(failed=False, log_ratio=1 if slow else 0)
            judge.step({CellKey('r', near=True): cell}, step / 2, ignored=0)
        assert judge.judgement is Judgement.OPEN

    def test_failures_of_all_versions_are_not_held_against_one(self):
        judge = EvidenceJudge()
        cell = Cell()
        for step in range(30):
            for number in range(50):
                failed = number % 3 == 0
                cell.baseline.record(failed=failed, log_ratio=None)
                cell.candidate.record(failed=failed, log_ratio=None)
            judge.step({CellKey('r', near=True): cell}, step / 2, ignored=0)
        assert judge.judgement is Judgement.OPEN

    def test_too_few_answers_do_not_make_a_version_good(self):
        judge = EvidenceJudge()
        cell = Cell(candidate=Tally(answers=3))
        cells = {CellKey('r', near=True): cell}
        assert judge.judge_finally(cells, ignored=0) is Judgement.OPEN
        cell.candidate.answers = 30
        assert judge.judge_finally(cells, ignored=0) is Judgement.GOOD
