"""Tests of cold start and of the concurrency limit."""

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from bitternturn.policy.cold_start import ColdStart, ColdState
from bitternturn.policy.concurrency import ConcurrencyLimit
from bitternturn.policy.const import (
    DEFAULT_RAMP_STEP_S,
    MAX_EVIDENCE_AGE_S,
    MIN_GOOD_ANSWERS,
    RAMP_SUCCESSES_PER_SLOT,
)


class ColdStartMachine(RuleBasedStateMachine):
    """The limit of a target in cold start never exceeds its capacity."""

    @initialize(cold_limit=st.integers(1, 3), slots=st.integers(1, 64))
    def start(self, cold_limit, slots):
        self.now = 128.0
        self.cold_limit = min(cold_limit, slots)
        self.slots = slots
        self.cold_start = ColdStart(cold_limit=cold_limit, slots=slots)
        self.ramp_started_at = None
        self.good_answers = 0

    @rule(rounds=st.integers(1, 60), latency_s=st.sampled_from((1 / 16, 1 / 2)))
    def answer(self, rounds, latency_s):
        for _ in range(rounds):
            limit = self.check_limit()
            self.now += latency_s
            for _ in range(limit):
                self.cold_start.on_answer(False, latency_s, self.now)
            self.good_answers += limit
            if (
                self.ramp_started_at is None
                and self.good_answers >= MIN_GOOD_ANSWERS
            ):
                self.ramp_started_at = self.now

    @rule(reported=st.integers(0, 4))
    def refuse_cold(self, reported):
        self.cold_start.on_cold_refusal(self.now, reported)
        assert not reported or self.cold_start.limit(self.now) <= reported
        self.expect_cold()

    @rule()
    def answer_cold(self):
        self.cold_start.on_answer(True, 0, self.now)
        self.expect_cold()

    @rule()
    def lose_connection(self):
        self.cold_start.on_connection_lost(self.now)
        self.expect_cold()

    @rule()
    def let_evidence_expire(self):
        self.now += MAX_EVIDENCE_AGE_S + 1
        self.expect_cold()

    def expect_cold(self):
        self.ramp_started_at = None
        self.good_answers = 0
        self.check_limit()

    @invariant()
    def limit_is_bounded(self):
        self.check_limit()

    def check_limit(self):
        limit = self.cold_start.limit(self.now)
        assert 1 <= limit <= self.slots
        if self.ramp_started_at is None:
            assert limit <= self.cold_limit
        else:
            steps = int((self.now - self.ramp_started_at) / DEFAULT_RAMP_STEP_S)
            assert limit <= self.cold_limit * 2 ** (steps + 1)
            proven_limit = self.good_answers * 2 / RAMP_SUCCESSES_PER_SLOT
            assert limit <= max(self.cold_limit * 2, proven_limit)
        return limit


TestColdStartMachine = ColdStartMachine.TestCase


class TestRamp:
    @given(st.integers(1, 4), st.integers(4, 64))
    def test_steady_good_answers_raise_the_limit_to_the_slots(
        self, cold_limit, slots
    ):
        cold_start = ColdStart(cold_limit=cold_limit, slots=slots)
        limits, now = [], 0.0
        while cold_start.state is not ColdState.WARM:
            now += 0.05
            for _ in range(cold_start.limit(now)):
                cold_start.on_answer(False, 0.01, now)
            limits.append(cold_start.limit(now))
            assert now < 60
        assert limits == sorted(limits)
        assert limits[-1] == slots

    def test_answers_to_requests_before_the_reset_are_not_counted(self):
        cold_start = ColdStart(cold_limit=1, slots=8, warm=True)
        assert cold_start.limit(10) == 8
        cold_start.on_connection_lost(10)
        for _ in range(MIN_GOOD_ANSWERS * 2):
            cold_start.on_answer(False, 0.5, 10.4)
        assert cold_start.limit(10.4) == 1

    def test_error_resets_the_run_of_good_answers(self):
        cold_start = ColdStart(cold_limit=1, slots=8)
        for _ in range(MIN_GOOD_ANSWERS * 2):
            for _ in range(MIN_GOOD_ANSWERS - 1):
                cold_start.on_answer(False, 0.01, 1)
            cold_start.on_error(1)
        assert cold_start.state is ColdState.COLD


class TestConcurrencyLimit:
    @given(
        st.integers(1, 50),
        st.lists(st.tuples(st.booleans(), st.floats(0.001, 2)), max_size=200),
    )
    def test_limit_stays_between_one_and_the_slots(self, slots, events):
        limit = ConcurrencyLimit(slots=slots)
        now = 0.0
        for shed, latency_s in events:
            now += latency_s / 4
            if shed:
                limit.on_shed(now)
            else:
                limit.on_success(latency_s, now)
            assert 1 <= limit.limit <= slots

    def test_decreases_once_per_round_trip_and_recovers_gradually(self):
        limit = ConcurrencyLimit(slots=10)
        limit.on_success(0.1, 0)
        for number in range(20):
            limit.on_shed(1 + number * 0.004)
        assert limit.limit == 7
        for _ in range(8):
            limit.on_success(0.1, 1.05)
        assert limit.limit == 7
        for _ in range(7):
            limit.on_success(0.1, 1.2)
        assert limit.limit in {7, 8}
        for _ in range(100):
            limit.on_success(0.1, 2)
        assert limit.limit == 10

    def test_slow_answers_stop_the_increase(self):
        limit = ConcurrencyLimit(slots=10)
        limit.on_success(0.1, 0)
        limit.on_shed(1)
        for _ in range(10):
            limit.on_success(1, 9)
        assert limit.limit == 7
