"""Tests of the queue in front of a target and of the entry's admission."""

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
from bitternturn.policy.load import EntryAdmission
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
    """Every entry comes out once, in the order of deadlines, in time."""

    @initialize(slots=st.integers(1, 4))
    def start(self, slots):
        self.now = 0.0
        self.waiting = {}
        self.numbers = itertools.count()
        self.queue = AdmissionQueue(slots=slots, capacity=CAPACITY)

    @rule(priority=st.sampled_from(PRIORITIES), left_ms=st.integers(-64, 1024))
    def offer(self, priority, left_ms):
        left_s = left_ms / 1024
        one = entry(priority, self.now + left_s, next(self.numbers))
        refusal = self.queue.offer(one, self.now)
        if refusal is None:
            assert left_s > 0
            self.waiting[one.item] = one
        elif left_s <= 0:
            assert refusal.code is ErrorCode.DEADLINE
        else:
            assert refusal.code is ErrorCode.OVERLOADED
            assert refusal.retry_after_ms > 0

    @rule()
    def take(self):
        one = self.queue.take(self.now)
        if one is None:
            assert not len(self.queue)
            return
        assert one.deadline > self.now
        del self.waiting[one.item]
        dropped = self.queue.expire(self.now)
        for late in dropped:
            del self.waiting[late.item]
        assert all(
            one.deadline <= other.deadline
            for other in self.waiting.values()
            if other.priority == one.priority
        )

    @rule()
    def expire(self):
        for late in self.queue.expire(self.now):
            del self.waiting[late.item]
        assert all(one.deadline > self.now for one in self.waiting.values())

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data):
        key = data.draw(st.sampled_from(sorted(self.waiting)))
        if self.queue.remove(self.waiting[key]):
            del self.waiting[key]

    @rule(service_ms=st.integers(1, 512))
    def serve(self, service_ms):
        self.queue.on_served(service_ms / 1024, self.now)

    @rule(passed_ms=st.integers(0, 512))
    def advance(self, passed_ms):
        self.now += passed_ms / 1024

    @invariant()
    def bounded(self):
        assert len(self.queue) <= CAPACITY

    def teardown(self):
        rest = {one.item for one in self.queue.drain()}
        assert rest == set(self.waiting)
        assert not len(self.queue)


TestQueueMachine = QueueMachine.TestCase


class TestShares:
    @given(st.lists(st.sampled_from(PRIORITIES), max_size=60))
    def test_no_priority_starves(self, history):
        queue = AdmissionQueue(slots=1, capacity=1000)
        for priority in history:
            queue.offer(entry(priority, 100), 0)
        for _ in history[::2]:
            queue.take(0)
        for priority in PRIORITIES * 70:
            queue.offer(entry(priority, 200), 0)
        taken = collections.Counter(queue.take(0).priority for _ in range(70))
        assert taken[PRIORITY_URGENT] >= 44
        assert taken[PRIORITY_NORMAL] >= 14
        assert taken[PRIORITY_BACKGROUND] >= 5

    @given(st.sampled_from(PRIORITIES[1:]), st.integers(0, 50))
    def test_an_urgent_entry_goes_next(self, priority, taken):
        queue = AdmissionQueue(slots=1)
        for _ in range(taken + 5):
            queue.offer(entry(priority, 100), 0)
        for _ in range(taken):
            queue.take(0)
        queue.offer(entry(PRIORITY_URGENT, 200), 0)
        assert queue.take(0).priority == PRIORITY_URGENT


class TestTimeLeft:
    @given(
        st.integers(1, 8),
        st.floats(0.01, 0.1),
        st.lists(
            st.tuples(st.sampled_from(PRIORITIES), st.floats(0.05, 2)),
            max_size=80,
        ),
    )
    def test_admitted_in_one_priority_is_served_in_time(
        self, slots, service_s, offers
    ):
        queue = AdmissionQueue(slots=slots)
        queue.on_served(service_s, 0)
        offers = sorted(left_s for _, left_s in offers)
        for left_s in offers:
            queue.offer(entry(PRIORITY_NORMAL, left_s), 0)
        late = []
        for turn in itertools.count(1):
            now = service_s * turn / slots
            queue.on_served(service_s, now)
            late += queue.expire(now)
            if queue.take(now) is None:
                break
        assert len(late) <= 1  # the first is let in whatever its time

    def test_hint_is_the_time_until_the_same_request_is_let_in(self):
        queue = AdmissionQueue(slots=2)
        queue.on_served(0.125, 0)
        while (refusal := queue.offer(entry(0, 0.625), 0)) is None:
            pass
        assert len(queue) == 7
        assert refusal.retry_after_ms == 63
        queue.take(0.0625)
        assert queue.offer(entry(0, 0.6875), 0.0625) is None

    def test_a_stalled_target_refuses_what_a_running_one_would_serve(self):
        for stalled_s, refused in ((0.05, False), (0.4, True)):
            queue = AdmissionQueue(slots=2)
            queue.on_served(0.1, 0)
            for _ in range(4):
                queue.offer(entry(PRIORITY_NORMAL, 0.6), 0)
            one = entry(PRIORITY_NORMAL, stalled_s + 0.6)
            assert (queue.offer(one, stalled_s) is not None) is refused

    def test_a_slow_spell_does_not_last_by_itself(self):
        queue = AdmissionQueue(slots=1)
        for _ in range(200):
            queue.on_served(5, 0)
        queue.offer(entry(PRIORITY_NORMAL, 0.5), 0)
        assert queue.take(0) is None
        queue.offer(entry(PRIORITY_NORMAL, 7), 6.5)
        assert queue.take(6.5) is not None


class TestEntryAdmission:
    @given(st.integers(20, 60), st.randoms(use_true_random=False))
    def test_a_flood_leaves_room_for_other_profiles(self, capacity, rng):
        admission = EntryAdmission(capacity=capacity)
        flood, other = rng.choices(PRIORITIES, k=2)
        while admission.offer('flood', flood, 0) is None:
            pass
        assert admission.total <= capacity
        assert admission.offer('other', other, 0) is None

    def test_background_is_shed_first_and_all_comes_back(self):
        admission = EntryAdmission(capacity=100)
        taken = dict.fromkeys(reversed(PRIORITIES), 0)
        for priority in taken:
            for number in range(200):
                profile = f'{priority}-{number % 4}'
                taken[priority] += not admission.offer(profile, priority, 0)
        assert taken[PRIORITY_BACKGROUND] < 60
        assert sum(taken.values()) == 100
        for priority, count in taken.items():
            for number in range(count):
                profile = f'{priority}-{number % 4}'
                admission.on_done(profile, priority, 0.05, 1)
        assert admission.total == 0
        assert not any(admission.running.values())

    def test_lag_shrinks_the_capacity_until_it_ends(self):
        admission = EntryAdmission(capacity=100)
        rng = random.Random(1)
        for _ in range(100):
            admission.on_lag(rng.uniform(0.03, 1), used_s=0.03)
        assert admission.usable == 10
        for _ in range(100):
            admission.on_lag(0.001, used_s=0.03)
        assert admission.usable == 100

    def test_lag_by_other_processes_sheds_nothing(self):
        """Replays a host whose processors are busy with something else."""
        admission = EntryAdmission(capacity=100)
        for _ in range(100):
            admission.on_lag(0.3, used_s=0.01)
        assert admission.usable == 100
