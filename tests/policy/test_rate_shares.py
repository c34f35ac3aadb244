"""Tests of the shares of a rate limit that all instances observe together."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bitternturn.policy.rate_shares import (
    DELEGATE_RATE_PARTS,
    NAMED_LIMIT_BOUND,
    RateShare,
    delegate_share,
    equal_share,
    rank_sender,
)
from bitternturn.policy.share_bucket import ShareBucket
from bitternturn.standins.rate_limit_check import (
    WINDOW_S,
    allowed_requests,
    count_worst_window,
)

FLEET_SIZES = (1, 3, 8, 73, 195, 440)
RATES = (0.05, 0.5, 2, 7.2, 20, 120)


def make_shares(rate, instances):
    """Return the shares of all instances in a limit."""
    return [
        equal_share(rate, NAMED_LIMIT_BOUND, instances=instances, rank=rank)
        for rank in range(instances)
    ]


def play(shares, *, demand, seconds=60.0, seed=1):
    """Let callers ask all instances at random; return when requests are sent."""
    rng = random.Random(seed)
    buckets = [
        ShareBucket(
            share=share, level=-rng.random() if share.probing else 0, now=0
        )
        for share in shares
    ]
    sent_at = []
    now = 0.0
    while now < seconds:
        now += rng.expovariate(demand)
        bucket = rng.choice(buckets)
        if bucket.allows(now):
            bucket.take(now)
            sent_at.append(now)
    return sent_at


class TestEqualShares:
    @pytest.mark.parametrize('instances', FLEET_SIZES)
    @pytest.mark.parametrize('rate', RATES)
    def test_instances_together_stay_within_the_bound(self, rate, instances):
        sent_at = play(make_shares(rate, instances), demand=1000)
        assert count_worst_window(sent_at) <= allowed_requests(rate)

    @pytest.mark.parametrize('instances', FLEET_SIZES)
    @pytest.mark.parametrize('rate', RATES)
    def test_senders_can_not_exceed_the_bound_by_any_timing(
        self, rate, instances
    ):
        """Bursts and rates of the senders add up to less than the bound."""
        senders = [it for it in make_shares(rate, instances) if not it.probing]
        most = sum(it.burst + it.rate_per_s * WINDOW_S for it in senders)
        assert most <= allowed_requests(rate)

    @pytest.mark.parametrize('instances', [8, 73, 195, 440])
    @pytest.mark.parametrize('rate', [2, 7.2, 20])
    def test_an_instance_that_not_all_know_stays_within_the_bound(
        self, rate, instances
    ):
        """It joins with the shares of a larger fleet."""
        newest = equal_share(
            rate, NAMED_LIMIT_BOUND, instances=instances + 1, rank=0
        )
        shares = [*make_shares(rate, instances), newest]
        most = sum(
            it.burst + it.rate_per_s * WINDOW_S
            for it in shares
            if not it.probing
        )
        assert most <= allowed_requests(rate)

    @pytest.mark.parametrize('instances', FLEET_SIZES)
    @pytest.mark.parametrize('rate', RATES)
    def test_most_of_the_limit_is_used(self, rate, instances):
        """Each sender steadily gets twice as many requests as its share."""
        rng = random.Random(3)
        seconds = max(20, 300 / rate)
        sent = 0
        for share in make_shares(rate, instances):
            if share.probing:
                continue
            bucket = ShareBucket(share=share, level=0, now=0)
            now = 0.0
            while now < seconds:
                now += rng.uniform(0.4, 0.6) / share.rate_per_s
                if bucket.allows(now):
                    bucket.take(now)
                    sent += 1
        assert sent >= 0.85 * rate * seconds

    def test_other_instances_probe_seldom(self):
        shares = make_shares(0.5, 440)
        probing = [it for it in shares if it.probing]
        assert len(probing) > 400
        per_window = sum(it.rate_per_s for it in probing) * WINDOW_S
        assert per_window == pytest.approx(1)

    def test_ranks_are_a_permutation_of_the_instances(self):
        names = [f'front-{number}' for number in range(40)]
        ranks = [rank_sender('t', names, own=name) for name in names]
        assert sorted(ranks) == list(range(40))

    def test_a_new_instance_moves_ranks_by_one_at_most(self):
        names = [f'front-{number}' for number in range(40)]
        before = [rank_sender('t', names, own=name) for name in names]
        after = [rank_sender('t', [*names, 'new'], own=name) for name in names]
        moves = {
            late - early for early, late in zip(before, after, strict=True)
        }
        assert moves <= {0, 1}

    @pytest.mark.parametrize('instances', [8, 73, 195, 440])
    @pytest.mark.parametrize('rate', [0.05, 0.5, 7.2])
    def test_few_probes_follow_a_quiet_time(self, rate, instances):
        """Guards against a permit saved by every instance that probes."""
        rng = random.Random(2)
        buckets = [
            ShareBucket(share=share, level=-rng.random(), now=0)
            for share in make_shares(rate, instances)
            if share.probing
        ]
        for now in (1000, 5000, 20000, 50000):
            probes = sum(bucket.allows(now) for bucket in buckets)
            assert probes <= 3


class TestDelegateShares:
    @pytest.mark.parametrize('instances', [3, 73, 440])
    @pytest.mark.parametrize('rate', RATES)
    def test_all_delegates_at_once_stay_within_the_bound(self, rate, instances):
        shares = [
            delegate_share(
                rate, NAMED_LIMIT_BOUND, instances=instances, rank=rank
            )
            for rank in range(instances)
        ]
        most = sum(it.burst + it.rate_per_s * WINDOW_S for it in shares[:3])
        assert most <= allowed_requests(rate)
        sent_at = play(shares, demand=1000)
        assert count_worst_window(sent_at) <= allowed_requests(rate)

    def test_preferred_delegate_has_most_of_the_limit(self):
        share = delegate_share(10, NAMED_LIMIT_BOUND, instances=195, rank=0)
        assert 8.5 <= share.rate_per_s <= 10
        assert sum(DELEGATE_RATE_PARTS) < 1


class TestShareBucket:
    @given(
        rate=st.floats(0.01, 50),
        burst=st.floats(1, 3),
        gaps=st.lists(st.floats(0, 6), max_size=60),
        returned=st.sets(st.integers(0, 59)),
    )
    def test_no_window_holds_more_than_burst_and_rate(
        self, rate, burst, gaps, returned
    ):
        bucket = ShareBucket(
            share=RateShare(rate_per_s=rate, burst=burst), level=0, now=0
        )
        now = 0.0
        sent_at = []
        for number, gap in enumerate(gaps):
            now += gap
            if not bucket.allows(now):
                assert bucket.next_at(now) > now
                continue
            bucket.take(now)
            if number in returned:
                bucket.give_back()
            else:
                sent_at.append(now)
        assert count_worst_window(sent_at) <= burst + rate * WINDOW_S + 1e-6

    def test_saved_permits_are_void_after_a_pause(self):
        bucket = ShareBucket(
            share=RateShare(rate_per_s=1, burst=2), level=2, now=0
        )
        bucket.empty(10)
        assert not bucket.allows(10)
        assert bucket.next_at(10) == 11

    def test_smaller_share_takes_effect_at_once(self):
        bucket = ShareBucket(
            share=RateShare(rate_per_s=10, burst=2), level=2, now=0
        )
        bucket.set_share(RateShare(rate_per_s=0.5), 0)
        bucket.take(0)
        assert bucket.next_at(0) == 2
