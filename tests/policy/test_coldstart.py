"""Tests of cold start and of the concurrency limit."""

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from bitternturn.policy.coldstart import ColdStart, ColdState
from bitternturn.policy.concurrency import ConcurrencyLimit
from bitternturn.policy.const import (
    DEFAULT_EVIDENCE_S,
    DEFAULT_GOOD_ANSWERS,
    DEFAULT_RAMP_STEP_S,
    RAMP_SUCCESSES,
)


class ColdStartMachine(RuleBasedStateMachine):
    """A target that shows cold start gets no more than it bears."""

    @initialize(cold_limit=st.integers(1, 3), slots=st.integers(1, 64))
    def start(self, cold_limit, slots):
        self.now = 128.0
        self.cold_limit = min(cold_limit, slots)
        self.slots = slots
        self.track = ColdStart(cold_limit=cold_limit, slots=slots)
        self.left_at = None
        self.good = 0

    @rule(rounds=st.integers(1, 60), latency_s=st.sampled_from((1 / 16, 1 / 2)))
    def answer(self, rounds, latency_s):
        for _ in range(rounds):
            limit = self.checked_limit()
            self.now += latency_s
            for _ in range(limit):
                self.track.on_answer(False, latency_s, self.now)
            self.good += limit
            if self.left_at is None and self.good >= DEFAULT_GOOD_ANSWERS:
                self.left_at = self.now

    @rule(stated=st.integers(0, 4))
    def fall(self, stated):
        self.track.on_cold_refusal(self.now, stated)
        assert not stated or self.track.limit(self.now) <= stated
        self.fallen()

    @rule()
    def answer_cold(self):
        self.track.on_answer(True, 0, self.now)
        self.fallen()

    @rule()
    def lose(self):
        self.track.on_lost(self.now)
        self.fallen()

    @rule()
    def fall_silent(self):
        self.now += DEFAULT_EVIDENCE_S + 1
        self.fallen()

    def fallen(self):
        self.left_at = None
        self.good = 0
        self.checked_limit()

    @invariant()
    def limited(self):
        self.checked_limit()

    def checked_limit(self):
        limit = self.track.limit(self.now)
        assert 1 <= limit <= self.slots
        if self.left_at is None:
            assert limit <= self.cold_limit
        else:
            steps = int((self.now - self.left_at) / DEFAULT_RAMP_STEP_S)
            assert limit <= self.cold_limit * 2 ** (steps + 1)
            shown = self.good * 2 / RAMP_SUCCESSES
            assert limit <= max(self.cold_limit * 2, shown)
        return limit


TestColdStartMachine = ColdStartMachine.TestCase


class TestRamp:
    @given(st.integers(1, 4), st.integers(4, 64))
    def test_steady_good_answers_lead_to_the_slots(self, cold_limit, slots):
        track = ColdStart(cold_limit=cold_limit, slots=slots)
        limits, now = [], 0.0
        while track.state is not ColdState.WARM:
            now += 0.05
            for _ in range(track.limit(now)):
                track.on_answer(False, 0.01, now)
            limits.append(track.limit(now))
            assert now < 60
        assert limits == sorted(limits)
        assert limits[-1] == slots

    def test_answers_sent_before_the_fall_do_not_lead_out(self):
        track = ColdStart(cold_limit=1, slots=8, warm=True)
        assert track.limit(10) == 8
        track.on_lost(10)
        for _ in range(DEFAULT_GOOD_ANSWERS * 2):
            track.on_answer(False, 0.5, 10.4)
        assert track.limit(10.4) == 1

    def test_an_error_ends_the_run(self):
        track = ColdStart(cold_limit=1, slots=8)
        for _ in range(DEFAULT_GOOD_ANSWERS * 2):
            for _ in range(DEFAULT_GOOD_ANSWERS - 1):
                track.on_answer(False, 0.01, 1)
            track.on_error(1)
        assert track.state is ColdState.COLD


class TestConcurrencyLimit:
    @given(
        st.integers(1, 50),
        st.lists(st.tuples(st.booleans(), st.floats(0.001, 2)), max_size=200),
    )
    def test_stays_between_one_and_the_slots(self, slots, events):
        limit = ConcurrencyLimit(slots=slots)
        now = 0.0
        for shed, latency_s in events:
            now += latency_s / 4
            if shed:
                limit.on_shed(now)
            else:
                limit.on_success(latency_s, now)
            assert 1 <= limit.limit <= slots

    def test_shrinks_once_per_round_trip_and_grows_back_slowly(self):
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

    def test_slow_answers_stop_growth(self):
        limit = ConcurrencyLimit(slots=10)
        limit.on_success(0.1, 0)
        limit.on_shed(1)
        for _ in range(10):
            limit.on_success(1, 9)
        assert limit.limit == 7
