"""Tests of the admission queue of a target and of query admission."""

import collections
import itertools
import random

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bitternturn.core.errors import ErrorCode
from bitternturn.policy.admission import AdmissionQueue, QueueEntry
from bitternturn.policy.query_admission import QueryAdmission
from bitternturn.schema.config_pb2 import (
    PRIORITY_BACKGROUND,
    PRIORITY_NORMAL,
    PRIORITY_URGENT,
)

PRIORITIES = (PRIORITY_URGENT, PRIORITY_NORMAL, PRIORITY_BACKGROUND)
CAPACITY = 6


def entry(priority, deadline, item=None):
    return QueueEntry(item=item, priority=priority, deadline=deadline)


class QueueMachine(RuleBasedStateMachine):
    """Entries leave the queue exactly once, ordered by deadline and in time."""

    @initialize(slots=st.integers(1, 4))
    def start(self, slots):
        self.now = 0.0
        self.waiting = {}
        self.numbers = itertools.count()
        self.queue = AdmissionQueue(slots=slots, capacity=CAPACITY)

    @rule(priority=st.sampled_from(PRIORITIES), left_ms=st.integers(-64, 1024))
    def offer(self, priority, left_ms):
        left_s = left_ms / 1024
        queued = entry(priority, self.now + left_s, next(self.numbers))
        refusal = self.queue.enqueue(queued, self.now)
        if refusal is None:
            assert left_s > 0
            self.waiting[queued.item] = queued
        elif left_s <= 0:
            assert refusal.code is ErrorCode.DEADLINE
        else:
            assert refusal.code is ErrorCode.OVERLOADED
            assert refusal.retry_after_ms > 0

    @rule()
    def take(self):
        queued = self.queue.dequeue(self.now)
        if queued is None:
            assert not len(self.queue)
            return
        assert queued.deadline > self.now
        del self.waiting[queued.item]
        expired = self.queue.pop_expired(self.now)
        for late in expired:
            del self.waiting[late.item]
        assert all(
            queued.deadline <= other.deadline
            for other in self.waiting.values()
            if other.priority == queued.priority
        )

    @rule()
    def expire(self):
        for late in self.queue.pop_expired(self.now):
            del self.waiting[late.item]
        assert all(
            queued.deadline > self.now for queued in self.waiting.values()
        )

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data):
        key = data.draw(st.sampled_from(sorted(self.waiting)))
        if self.queue.remove(self.waiting[key]):
            del self.waiting[key]

    @rule(service_ms=st.integers(1, 512))
    def serve(self, service_ms):
        self.queue.record_service_time(service_ms / 1024, self.now)

    @rule(passed_ms=st.integers(0, 512))
    def advance(self, passed_ms):
        self.now += passed_ms / 1024

    @invariant()
    def stays_within_capacity(self):
        assert len(self.queue) <= CAPACITY

    def teardown(self):
        remaining = {queued.item for queued in self.queue.drain()}
        assert remaining == set(self.waiting)
        assert not len(self.queue)


TestQueueMachine = QueueMachine.TestCase


class TestFairQueueing:
    @given(st.lists(st.sampled_from(PRIORITIES), max_size=60))
    def test_no_priority_starves(self, backlog):
        queue = AdmissionQueue(slots=1, capacity=1000)
        for priority in backlog:
            queue.enqueue(entry(priority, 100), 0)
        for _ in backlog[::2]:
            queue.dequeue(0)
        for priority in PRIORITIES * 70:
            queue.enqueue(entry(priority, 200), 0)
        taken = collections.Counter(
            queue.dequeue(0).priority for _ in range(70)
        )
        assert taken[PRIORITY_URGENT] >= 44
        assert taken[PRIORITY_NORMAL] >= 14
        assert taken[PRIORITY_BACKGROUND] >= 5

    @given(st.sampled_from(PRIORITIES[1:]), st.integers(0, 50))
    def test_urgent_entry_is_dequeued_next(self, priority, taken):
        queue = AdmissionQueue(slots=1)
        for _ in range(taken + 5):
            queue.enqueue(entry(priority, 100), 0)
        for _ in range(taken):
            queue.dequeue(0)
        queue.enqueue(entry(PRIORITY_URGENT, 200), 0)
        assert queue.dequeue(0).priority == PRIORITY_URGENT


class TestDeadlines:
    @given(
        st.integers(1, 8),
        st.floats(0.01, 0.1),
        st.lists(
            st.tuples(st.sampled_from(PRIORITIES), st.floats(0.05, 2)),
            max_size=80,
        ),
    )
    def test_admitted_entries_of_one_priority_meet_their_deadlines(
        self, slots, service_s, offers
    ):
        queue = AdmissionQueue(slots=slots)
        queue.record_service_time(service_s, 0)
        offers = sorted(left_s for _, left_s in offers)
        for left_s in offers:
            queue.enqueue(entry(PRIORITY_NORMAL, left_s), 0)
        late = []
        for round_number in itertools.count(1):
            now = service_s * round_number / slots
            queue.record_service_time(service_s, now)
            late += queue.pop_expired(now)
            if queue.dequeue(now) is None:
                break
        # The first entry is admitted regardless of its deadline.
        assert len(late) <= 1

    def test_retry_hint_is_the_time_until_the_same_request_is_admitted(self):
        queue = AdmissionQueue(slots=2)
        queue.record_service_time(0.125, 0)
        while (refusal := queue.enqueue(entry(0, 0.625), 0)) is None:
            pass
        assert len(queue) == 7
        assert refusal.retry_after_ms == 63
        queue.dequeue(0.0625)
        assert queue.enqueue(entry(0, 0.6875), 0.0625) is None

    def test_stalled_queue_refuses_entries_that_a_progressing_one_accepts(self):
        for stalled_s, expect_refusal in ((0.05, False), (0.4, True)):
            queue = AdmissionQueue(slots=2)
            queue.record_service_time(0.1, 0)
            for _ in range(4):
                queue.enqueue(entry(PRIORITY_NORMAL, 0.6), 0)
            queued = entry(PRIORITY_NORMAL, stalled_s + 0.6)
            assert (
                queue.enqueue(queued, stalled_s) is not None
            ) is expect_refusal

    def test_service_times_decay_without_completed_requests(self):
        queue = AdmissionQueue(slots=1)
        for _ in range(200):
            queue.record_service_time(5, 0)
        queue.enqueue(entry(PRIORITY_NORMAL, 0.5), 0)
        assert queue.dequeue(0) is None
        queue.enqueue(entry(PRIORITY_NORMAL, 7), 6.5)
        assert queue.dequeue(6.5) is not None


class TestQueryAdmission:
    @given(st.integers(20, 60), st.randoms(use_true_random=False))
    def test_one_profile_cannot_use_up_the_capacity(self, capacity, rng):
        admission = QueryAdmission(capacity=capacity)
        flood, other = rng.choices(PRIORITIES, k=2)
        while admission.try_admit('flood', flood, 0) is None:
            pass
        assert admission.total <= capacity
        assert admission.try_admit('other', other, 0) is None

    def test_background_is_shed_first_and_capacity_is_released(self):
        admission = QueryAdmission(capacity=100)
        taken = dict.fromkeys(reversed(PRIORITIES), 0)
        for priority in taken:
            for number in range(200):
                profile = f'{priority}-{number % 4}'
                taken[priority] += not admission.try_admit(profile, priority, 0)
        assert taken[PRIORITY_BACKGROUND] < 60
        assert sum(taken.values()) == 100
        for priority, count in taken.items():
            for number in range(count):
                profile = f'{priority}-{number % 4}'
                admission.on_done(profile, priority, 0.05, 1)
        assert admission.total == 0
        assert not any(admission.in_progress.values())

    def test_event_loop_lag_reduces_the_capacity_while_it_lasts(self):
        admission = QueryAdmission(capacity=100)
        rng = random.Random(1)
        for _ in range(100):
            admission.on_loop_lag(rng.uniform(0.03, 1), cpu_time_s=0.03)
        assert admission.effective_capacity == 10
        for _ in range(100):
            admission.on_loop_lag(0.001, cpu_time_s=0.03)
        assert admission.effective_capacity == 100

    def test_lag_of_other_processes_keeps_the_capacity(self):
        """Guard against shedding load when other processes cause the lag."""
        admission = QueryAdmission(capacity=100)
        for _ in range(100):
            admission.on_loop_lag(0.3, cpu_time_s=0.01)
        assert admission.effective_capacity == 100
