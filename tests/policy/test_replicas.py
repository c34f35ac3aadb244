"""Tests of replica order, outlier ejection and the return ramp."""

import collections
import random

from hypothesis import given
from hypothesis import strategies as st

from bitternturn.policy.outlier_detection import OutlierDetector
from bitternturn.policy.replicas import (
    LatencyAverage,
    ReplicaView,
    order_replicas,
)
from bitternturn.policy.return_ramp import ReturnRamp

EVENTS = st.lists(
    st.tuples(st.integers(0, 5), st.integers(0, 6), st.floats(0, 1)),
    max_size=40,
)


def view(target, **overrides):
    fields = {'in_flight': 0, 'latency_s': 0.01, 'limit': 2, **overrides}
    return ReplicaView(target=target, **fields)


def first_choices(views, rounds=2000):
    rng = random.Random(7)
    return collections.Counter(
        order_replicas(replicas=views, rng=rng)[0] for _ in range(rounds)
    )


class TestOrder:
    @given(
        st.lists(
            st.builds(
                view,
                st.integers().map(str),
                in_flight=st.integers(0, 4),
                latency_s=st.floats(0, 1),
                cold=st.booleans(),
                ejected=st.booleans(),
                out_of_service=st.booleans(),
            ),
            unique_by=lambda it: it.target,
            max_size=6,
        ),
        st.randoms(use_true_random=False),
    )
    def test_contains_all_replicas_in_service_with_full_and_ejected_ones_last(
        self, views, rng
    ):
        order = order_replicas(replicas=views, rng=rng)
        by_target = {it.target: it for it in views}
        assert sorted(order) == sorted(
            it.target for it in views if not it.out_of_service
        )
        ejected_or_full = [
            (by_target[target].ejected, by_target[target].full)
            for target in order
        ]
        assert ejected_or_full == sorted(ejected_or_full)

    def test_prefers_idle_and_close_replicas_and_warms_up_cold_ones(self):
        slow = view('a', latency_s=0.1)
        assert first_choices([slow, view('b')])['a'] < 50
        assert first_choices([view('a', in_flight=1), view('b')])['a'] < 500
        assert (
            first_choices([view('a'), view('b', same_domain=True)])['a'] < 800
        )
        chosen = first_choices([view('a'), view('b', cold=True)])
        assert 0 < chosen['b'] < 200
        cold_full = view('b', cold=True, limit=1, in_flight=1)
        assert first_choices([view('a'), cold_full])['b'] == 0

    def test_instances_spread_over_similar_replicas(self):
        for count in (2, 8):
            views = [view(str(number)) for number in range(count)]
            chosen = first_choices(views)
            assert min(chosen.values()) > 2000 / count * 0.8
            assert len(chosen) == count


class TestLatencyAverage:
    def test_rises_immediately_and_decays_over_time(self):
        average = LatencyAverage(half_life_s=5)
        assert average.value(0) == 0
        average.record(1, 10)
        average.record(0.01, 10.1)
        assert average.value(10.1) > 0.9
        assert average.value(30) < 0.1


class TestOutliers:
    @given(EVENTS, st.sets(st.integers(0, 5), max_size=2))
    def test_never_ejects_the_last_usable_replica_or_more_than_half(
        self, events, out
    ):
        sets = [('0', '1', '2'), ('3', '4', '5'), ('0', '3')]
        out = {str(number) for number in out}
        detector = OutlierDetector(replica_sets=sets, is_out=out.__contains__)
        now = 0.0
        for number, failures, elapsed_s in events:
            now += elapsed_s / 10
            for _ in range(failures):
                detector.record(str(number), False, now)
            ejected = {
                str(it) for it in range(6) if detector.is_ejected(str(it), now)
            }
            assert len(ejected) <= 3
            for replicas in sets:
                usable = set(replicas) - out
                assert not ejected & usable or usable - ejected

    def test_ejection_time_doubles_and_one_failure_ejects_again(self):
        detector = OutlierDetector(replica_sets=[('a', 'b')])
        now, durations_s = 0.0, []
        for _ in range(4):
            while not detector.is_ejected('a', now):
                detector.record('a', False, now)
            ejected_at = now
            while detector.is_ejected('a', now):
                detector.record('a', True, now)
                now += 0.25
            durations_s.append(now - ejected_at)
        assert durations_s == [1, 2, 4, 8]
        detector.record('a', False, now)
        assert detector.is_ejected('a', now)

    def test_error_share_ejects_without_consecutive_failures(self):
        detector = OutlierDetector(replica_sets=[('a', 'b')])
        for number in range(19):
            detector.record('a', number % 2 == 0, 1)
        assert not detector.is_ejected('a', 1)
        detector.record('a', False, 1)
        assert detector.is_ejected('a', 1)

    def test_health_checks_neither_eject_nor_end_an_ejection(self):
        detector = OutlierDetector(replica_sets=[('a', 'b')])
        detector.on_health_check('a', False, 0)
        assert not detector.is_ejected('a', 0)
        for _ in range(3):
            detector.record('a', False, 0)
        assert detector.is_ejected('a', 0)
        detector.on_health_check('a', True, 0.1)
        assert detector.is_ejected('a', 0.1)

    def test_ejection_is_suspended_when_the_other_replica_is_out(self):
        out = set()
        detector = OutlierDetector(
            replica_sets=[('a', 'b')], is_out=out.__contains__
        )
        for _ in range(5):
            detector.record('a', False, 0)
        assert detector.is_ejected('a', 0.5)
        out.add('b')
        assert not detector.is_ejected('a', 0.5)


class TestReturnRamp:
    def test_share_grows_to_the_regular_load(self):
        ramp = ReturnRamp(ramp_s=10)
        assert ramp.share('a', 0) == 1
        ramp.on_return('a', 0)
        shares = [ramp.share('a', second) for second in range(11)]
        assert shares == sorted(shares)
        assert shares[0] == 0.05
        assert shares[5] < 0.5
        assert shares[10] == 1
