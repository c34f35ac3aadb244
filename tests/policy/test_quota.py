"""Tests of the quota of a tenant over all instances."""

import itertools
import random

import pytest

from bitternturn.policy.quota import (
    ASKED_RANKS,
    BucketSize,
    GrantBucket,
    PermitCache,
    QuotaBound,
    QuotaHolder,
    plan_quota,
    rank_holders,
)
from tests.policy.quota_fleet import QuotaFleet

BOUND = QuotaBound(window_s=5, excess=0.1, slack=20)
QUOTAS = [(0.5, 0), (1, 5), (20, 10), (100, 100), (300, 0), (2000, 500)]


class TestPlan:
    @pytest.mark.parametrize(('rate', 'burst'), QUOTAS)
    @pytest.mark.parametrize('slack', [0, 1, 20])
    @pytest.mark.parametrize('excess', [0, 0.1])
    def test_all_buckets_together_stay_within_the_bound(
        self, rate, burst, slack, excess
    ):
        bound = QuotaBound(window_s=5, excess=excess, slack=slack)
        plan = plan_quota(rate, burst, bound)
        taken_s = bound.window_s + plan.lifetime_s
        most = plan.holder.most(taken_s) + 3 * plan.reserve.most(taken_s)
        assert most <= bound.limit(rate, burst) + 1e-6

    @pytest.mark.parametrize(('rate', 'burst'), QUOTAS)
    def test_holder_grants_the_nominal_quota(self, rate, burst):
        plan = plan_quota(rate, burst, BOUND)
        assert plan.holder.rate == pytest.approx(rate)
        assert plan.holder.capacity >= max(1, burst)
        assert 0.1 <= plan.lifetime_s <= 1
        assert plan.reserve.capacity >= 1

    def test_bound_below_one_request_grants_nothing(self):
        bound = QuotaBound(window_s=5, excess=0, slack=0)
        plan = plan_quota(0.1, 0, bound)
        assert plan.holder.most(100) == 0


class TestBucket:
    def make(self, **changes):
        fields = {
            'size': BucketSize(rate=10, capacity=5),
            'lifetime_s': 1,
            'filled_at': 0,
        }
        return GrantBucket(**{**fields, **changes})

    def test_starts_empty_and_fills_at_its_rate(self):
        bucket = self.make()
        assert not bucket.take(range(3), 0)
        assert bucket.wait_s(0) == pytest.approx(0.1)
        assert bucket.take(range(3), 0.2) == [0, 1]
        assert len(bucket.take(range(3, 50), 9)) == 5

    def test_permit_is_taken_back_once_and_within_its_lifetime(self):
        bucket = self.make(size=BucketSize(rate=0.001, capacity=5))
        bucket.add(2, 0)
        bucket.take(range(2), 0)
        bucket.take_back(0, 0.9)
        bucket.take_back(0, 0.9)
        bucket.take_back(1, 1.1)
        bucket.take_back(99, 0.9)
        assert bucket.level == pytest.approx(1, abs=0.01)

    def test_recycled_permits_do_not_accumulate(self):
        """Unused permits that are granted again must not save up credit."""
        bucket = self.make()
        ids = itertools.count()
        held = []
        now = 0.0
        while now < 30:
            now += 0.1
            for permit, granted_at in list(held):
                if now - granted_at > 0.75:
                    held.remove((permit, granted_at))
                    bucket.take_back(permit, now)
            new = bucket.take([next(ids) for _ in range(50)], now)
            held += [(permit, now) for permit in new]
        assert len(held) <= 5 + 10 * 1 + 1


class TestRanks:
    def test_new_instance_moves_others_by_one_at_most(self):
        names = [f'front-{number}' for number in range(20)]
        before = rank_holders('blue', names)
        after = rank_holders('blue', [*names, 'new'])
        assert [name for name in after if name != 'new'] == before

    def test_tenants_are_held_by_different_instances(self):
        names = [f'front-{number}' for number in range(20)]
        holders = {rank_holders(f't{number}', names)[0] for number in range(60)}
        assert len(holders) > 10


def make_holder(rate=10, burst=5, first_id=0):
    return QuotaHolder(
        plan=plan_quota(rate, burst, BOUND),
        window_s=BOUND.window_s,
        first_id=first_id,
        now=0,
    )


class TestHolder:
    def test_first_rank_needs_to_be_confirmed(self):
        """Two instances must not grant the nominal quota at the same time."""
        old, new = make_holder(), make_holder(first_id=1000)
        old.set_rank(0, 0, alone=True)
        new.set_rank(0, 2)
        assert new.needs_confirmation
        assert not new.grant(1, 0, 2).ids
        tokens = old.release('new', 2)
        new.confirm(tokens, 2)
        assert len(new.grant(50, 0, 2).ids) == int(tokens) >= 5
        assert not old.holds
        assert not old.grant(50, 0, 2).ids

    def test_released_instance_does_not_hold_again(self):
        holder = make_holder()
        holder.set_rank(0, 0, alone=True)
        holder.release('new', 1)
        holder.set_rank(0, 2, alone=True)
        holder.confirm(5, 2)
        assert not holder.holds

    def test_reserve_grants_a_window_after_it_has_become_one(self):
        holder = make_holder()
        holder.set_rank(1, 100)
        assert not holder.grant(1, 0, 105).ids
        assert holder.grant(1, 0, 110).ids
        assert not holder.grant(1, 0, 110).holds

    def test_other_ranks_grant_nothing(self):
        holder = make_holder()
        holder.set_rank(ASKED_RANKS, 0)
        assert not holder.grant(1, 0, 1000).ids

    def test_extra_permits_leave_tokens_to_waiting_requests(self):
        holder = make_holder()
        holder.set_rank(0, 0, alone=True)
        granted = len(holder.grant(1, 50, 100).ids)
        assert granted == 1 + 3
        assert len(holder.grant(2, 0, 100).ids) == 2


class TestPocket:
    def test_expired_permit_is_handed_back_and_not_used(self):
        holder = make_holder()
        holder.set_rank(0, 0, alone=True)
        grant = holder.grant(1, 0, 10)
        cached = PermitCache()
        cached.add(grant.make_permits('i', 10))
        lifetime_s = holder.plan.lifetime_s
        late = 10 + 0.8 * lifetime_s
        assert cached.take(late) is None
        assert [it.id for it in cached.drop_old(late)] == list(grant.ids)
        assert not cached.permits

    def test_asks_in_advance_only_if_requests_are_frequent(self):
        cached = PermitCache()
        cached.record_use(0)
        cached.record_use(10)
        assert cached.count_missing(1, 10.5) == 0
        cached.record_use(10.9)
        assert cached.count_missing(1, 11) == 1
        for number in range(10):
            cached.record_use(11 + number / 1000)
        assert cached.count_missing(1, 11.01) == 10


class Caller:
    """Sends the requests of a tenant to instances and counts those that run."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.run_count = 0
        self.waited = 0
        # When an instance may ask again.
        self.denied_until = {}
        self.asking = set()
        self.waiting = {}

    def request(self, instance):
        now = self.fleet.now
        self.fleet.hand_back(instance, now)
        if instance.cached.take(now) is not None:
            self.run(instance)
            self.ask(instance)
        elif now >= self.denied_until.get(instance.name, 0):
            self.waited += 1
            self.waiting[instance.name] = self.waiting.get(instance.name, 0) + 1
            self.ask(instance)

    def run(self, instance):
        self.run_count += 1
        instance.cached.record_use(self.fleet.now)

    def ask(self, instance):
        name = instance.name
        wanted = self.waiting.get(name, 0)
        extra = instance.cached.count_missing(
            self.fleet.plan.lifetime_s, self.fleet.now
        )
        if name in self.asking or not wanted + extra:
            return
        self.asking.add(name)
        holder = self.fleet.ranks(instance)[0]
        own = {'ask_delay_s': 0, 'reply_delay_s': 0} if holder == name else {}

        def handle(grant, permits):
            self.asking.discard(name)
            instance.cached.add(permits)
            waiting = self.waiting.pop(name, 0)
            while waiting and instance.cached.take(self.fleet.now):
                waiting -= 1
                self.run(instance)
            if len(permits) < wanted:
                self.denied_until[name] = self.fleet.now + grant.wait_s

        self.fleet.ask(instance, holder, wanted, extra, handle, **own)


def measure_use(*, rate, burst, count, spread, load, seconds=20.0):
    """Return the share of a quota that is used, and of the requests that are
    served, and that wait for a permit.
    """
    rng = random.Random(1)
    names = [f'front-{number}' for number in range(count)]
    fleet = QuotaFleet(rate=rate, burst=burst, bound=BOUND, names=names)
    fleet.confirm_all()
    caller = Caller(fleet)
    holder = fleet.ranks(fleet.instances[names[0]])[0]
    single = next(name for name in names if name != holder)
    start = fleet.now
    asked = 0
    while fleet.now < start + seconds:
        name = rng.choice(names) if spread else single
        caller.request(fleet.instances[name])
        asked += 1
        fleet.run(fleet.now + rng.expovariate(rate * load))
    available = rate * (fleet.now - start)
    return (
        caller.run_count / available,
        caller.run_count / asked,
        caller.waited / asked,
    )


class TestUse:
    @pytest.mark.parametrize('count', [8, 72, 440])
    @pytest.mark.parametrize('spread', [False, True])
    @pytest.mark.parametrize(('rate', 'burst'), [(20, 5), (100, 20), (300, 0)])
    def test_nearly_all_of_the_rate_is_used(self, count, spread, rate, burst):
        """Callers ask for 1.5 times the rate, over one instance or all."""
        used, _, waited = measure_use(
            rate=rate, burst=burst, count=count, spread=spread, load=1.5
        )
        place = 'spread' if spread else 'one'
        print(
            f'| {rate} | {burst} | {count} | {place} '
            f'| {used:.3f} | {waited:.2f} |'
        )
        assert used >= 0.9

    @pytest.mark.parametrize('count', [8, 72, 440])
    @pytest.mark.parametrize('spread', [False, True])
    def test_requests_below_the_rate_are_not_rejected(self, count, spread):
        """Callers ask for 0.8 of the rate, at random times."""
        _, served, _ = measure_use(
            rate=100, burst=20, count=count, spread=spread, load=0.8
        )
        assert served >= 0.98
