"""Tests of admission while the targets of a service are overloaded.

Load patterns: 0.7 of the capacity, and a burst of 2.4 times that for 8 s; one tenant
with 7 times its usual load, alone and beside the burst; targets that are down; wide
requests over shards of which some are overloaded.
"""

import pytest

from bitternturn.policy.overload import (
    PROBE_SHARE,
    OverloadControl,
    Rejection,
    share_room,
)
from tests.policy.overload_simulation import SERVICE_S, SLOTS, Simulation

TARGETS = 4
CAPACITY_PER_S = TARGETS * SLOTS / SERVICE_S
USUAL_LOAD = 0.7
BURST = 2.4
HEAVY = 7
# Times of the calm before the burst and of the burst, in seconds.
CALM_S = 100
BURST_S = 103
END_S = 111
# Targets of the shards in tests of wide requests.
NAMES = [f't{number}' for number in range(TARGETS)]


def make_classes(priorities):
    """Return one class for each priority, of different tenants."""
    return [
        (priority, f'tenant-{number}')
        for number, priority in enumerate(priorities)
    ]


def simulate(
    classes, *, burst=1.0, heavy=1.0, instances=8, controlled=True, targets=None
):
    """Replay the burst; the first class has its usual load times `heavy`."""
    sim = Simulation(
        controlled=controlled, instances=instances, targets=targets or TARGETS
    )
    usual_per_s = USUAL_LOAD * CAPACITY_PER_S / len(classes)
    for request_class in classes:
        factor = burst + (heavy - 1 if request_class == classes[0] else 0)
        sim.add_load(request_class, usual_per_s, CALM_S, BURST_S)
        sim.add_load(request_class, usual_per_s * factor, BURST_S, END_S)
    return sim


class TestCalm:
    """A rejection without overload refuses what could be answered."""

    @pytest.mark.parametrize('instances', [1, 8, 72])
    def test_nothing_is_rejected(self, instances):
        classes = make_classes([0, 1, 1, 2])
        sim = simulate(classes, instances=instances)
        sim.run()
        assert not sim.rejections
        assert sim.ratio(*classes) == 1

    def test_failing_targets_are_not_overload(self):
        """Half of the targets refuse connections at a load that fits."""
        classes = make_classes([1, 1])
        sim = simulate(classes, targets=2 * TARGETS)
        for target in sim.targets[:TARGETS]:
            target.failing = True
        sim.run()
        assert not sim.rejections

    def test_service_whose_targets_are_down_is_not_overload(self):
        sim = simulate(make_classes([1, 1]), burst=BURST)
        for target in sim.targets:
            target.failing = True
        sim.run()
        assert not sim.rejections

    def test_target_that_rejects_everything_is_not_overload(self):
        """Other targets answer; without an answer it is failing, not full."""
        control = OverloadControl()
        for number in range(1000):
            now = CALM_S + number / 100
            control.loads['s'].record_shed('broken', now)
            control.loads['s'].record_answer('t', 0.01, now, own=True)
            assert decide(control, now=now) is None

    def test_single_late_target_is_not_overload(self):
        control = OverloadControl()
        for number in range(1000):
            now = CALM_S + number / 100
            late_s = 0.5 if number > 500 else 0.01
            control.loads['s'].record_answer('late', late_s, now, own=True)
            control.loads['s'].record_answer('t1', 0.01, now, own=True)
            control.loads['s'].record_answer('t2', 0.01, now, own=True)
            assert decide(control, now=now, remaining_s=0.2) is None


class TestBurst:
    @pytest.mark.parametrize('instances', [1, 8])
    def test_urgent_requests_are_served(self, instances):
        classes = make_classes([0, 0, 1, 1, 2])
        sim = simulate(classes, burst=BURST, instances=instances)
        sim.run()
        assert sim.ratio(*classes[:2]) > 0.97
        assert sim.ratio(classes[4]) < sim.ratio(*classes[2:4])
        # At least a quarter as often as all, so that no tenant starves.
        assert sim.ratio(classes[4]) > sim.ratio(*classes) / 4

    def test_rejections_cost_little_of_the_capacity(self):
        """Targets idle if more is rejected than does not fit."""
        classes = make_classes([1] * 5)
        served = {}
        for controlled in (False, True):
            sim = simulate(classes, burst=BURST, controlled=controlled)
            sim.run()
            served[controlled] = sim.served.total()
        assert served[True] > 0.95 * served[False]

    def test_admitted_requests_wait_less(self):
        """Without admission, all wait in full queues."""
        median_s = {}
        for controlled in (False, True):
            sim = simulate(
                make_classes([1]), burst=BURST, controlled=controlled
            )
            sim.run()
            latencies_s = sorted(sim.latencies_s)
            median_s[controlled] = latencies_s[len(latencies_s) // 2]
        assert median_s[True] < 0.85 * median_s[False]

    def test_rejections_end_with_the_burst(self):
        sim = simulate(make_classes([1, 2]), burst=BURST)
        sim.run()
        assert END_S - 0.5 < max(sim.rejected_at) < END_S + 2

    def test_decision_does_not_flap(self):
        """Admitting all again in the burst would fill the queues each time."""
        sim = simulate(make_classes([1, 2]), burst=BURST)
        sim.run()
        rejected_at = [it for it in sim.rejected_at if it < END_S]
        gaps_s = [
            after - before
            for before, after in zip(rejected_at, rejected_at[1:], strict=False)
        ]
        assert min(rejected_at) < BURST_S + 1.5
        assert max(gaps_s) < 0.5


class TestTenants:
    @pytest.mark.parametrize('instances', [1, 8])
    def test_heavy_tenant_alone_does_not_displace_others(self, instances):
        classes = make_classes([1] * 5)
        sim = simulate(classes, heavy=HEAVY, instances=instances)
        sim.run()
        assert min(sim.ratio(it) for it in classes[1:]) > 0.97

    def test_heavy_tenant_beside_a_burst(self):
        classes = make_classes([1] * 5)
        sim = simulate(classes, burst=BURST, heavy=HEAVY)
        sim.run()
        ratios = [sim.ratio(it) for it in classes]
        assert ratios[0] < 0.5 * min(ratios[1:])
        assert min(ratios[1:]) > 0.8 * sim.ratio(*classes)
        assert max(ratios[1:]) - min(ratios[1:]) < 0.1


class TestShareRoom:
    def test_all_are_admitted_that_fit(self):
        demand = {(0, 'a'): 10, (1, 'b'): 20}
        assert share_room(demand, 30, {}) == {(0, 'a'): 1, (1, 'b'): 1}

    def test_tenant_below_its_share_is_never_rejected(self):
        demand = {(1, 'a'): 10, (1, 'b'): 300, (1, 'c'): 30}
        shares = share_room(demand, 100, {})
        assert shares[(1, 'a')] == shares[(1, 'c')] == 1
        assert shares[(1, 'b')] * 300 == pytest.approx(60)

    def test_room_that_others_leave_goes_to_the_heaviest(self):
        """Its guaranteed rate may exceed an equal part of the room."""
        demand = {(1, f't{it}'): 55 for it in range(4)}
        shares = share_room({**demand, (1, 'heavy'): 2000}, 470, {})
        assert all(shares[it] == 1 for it in demand)
        assert shares[(1, 'heavy')] * 2000 == pytest.approx(250)

    def test_weights_divide_the_room_of_a_priority(self):
        demand = {(1, 'a'): 300, (1, 'b'): 300}
        shares = share_room(demand, 100, {'a': 3.0, 'b': 1.0})
        assert shares[(1, 'a')] == pytest.approx(0.25)
        assert shares[(1, 'b')] == pytest.approx(25 / 300)

    def test_less_urgent_class_keeps_a_small_share(self):
        """Without it, the instance would not notice a recovery."""
        demand = {(0, ''): 300, (1, ''): 100}
        shares = share_room(demand, 100, {})
        assert shares[(1, '')] == pytest.approx(PROBE_SHARE)
        assert shares[(0, '')] * 300 == pytest.approx(98)

    @pytest.mark.parametrize('room_per_s', [0, 1, 50, 399, 400, 1000])
    def test_no_more_is_admitted_than_the_room_and_the_probes(self, room_per_s):
        demand = {(it % 3, f't{it}'): 10 * (it + 1) for it in range(8)}
        shares = share_room(demand, room_per_s, {})
        admitted = sum(shares[it] * rate for it, rate in demand.items())
        probes = PROBE_SHARE * sum(demand.values())
        assert admitted <= room_per_s + probes + 1e-6
        assert admitted >= min(room_per_s, sum(demand.values())) - 1e-6
        assert all(0 <= it <= 1 for it in shares.values())


def decide(control, services=('s',), *, now, **changes):
    """Return the decision about a request."""
    fields = {
        'min_parts': len(services),
        'request_class': (1, ''),
        'remaining_s': 1.0,
        **changes,
    }
    return control.decide(tuple(services), now=now, **fields)


def replay_shards(full, *, min_parts, shards=8, seconds=4, latency_s=0.01):
    """Replay wide requests of which some shards reject half.

    Return the rejections of the last half.
    """
    control = OverloadControl()
    services = [f's{number}' for number in range(shards)]
    rejections = []
    for number in range(seconds * 200):
        now = CALM_S + number / 200
        late_s = latency_s if now > CALM_S + seconds / 2 else 0.01
        rejection = decide(
            control, services, min_parts=min_parts, now=now, remaining_s=0.3
        )
        rejections.append(rejection)
        for index, service in enumerate(services):
            load = control.loads[service]
            name = NAMES[number % TARGETS]
            if index < full and number // TARGETS % 2:
                load.record_shed(name, now)
            else:
                load.record_answer(
                    name, late_s if index < full else 0.01, now, own=True
                )
    return rejections[len(rejections) // 2 :]


class TestWideRequests:
    """A part that is rejected after others ran wastes their work."""

    @pytest.mark.parametrize('full', [0, 1, 2])
    def test_shards_that_may_be_missing_do_not_matter(self, full):
        assert set(replay_shards(full, min_parts=6)) == {None}

    @pytest.mark.parametrize('full', [3, 8])
    def test_rejected_if_too_few_shards_have_room(self, full):
        rejections = replay_shards(full, min_parts=6)
        assert rejections.count(Rejection.SHARE) > len(rejections) / 4

    def test_shard_whose_targets_are_down_is_not_full(self):
        """Nothing is recorded of a shard that refuses connections."""
        control = OverloadControl()
        services = ['down', 'up']
        for number in range(1000):
            now = CALM_S + number / 200
            control.loads['up'].record_answer('t', 0.01, now, own=True)
            assert decide(control, services, now=now) is None


class TestTimes:
    def test_earlier_time_does_not_void_what_was_counted(self):
        """Requests that have waited may state the time of their arrival."""
        load = OverloadControl().loads['s']
        for number in range(20):
            load.record_answer('t', 0.01, CALM_S + number / 20, own=True)
        answers_per_s = load.answers_per_s(CALM_S + 1)
        load.record_answer('t', 0.01, CALM_S - 5, own=False)
        assert load.answers_per_s(CALM_S + 1) == answers_per_s


class TestDeadline:
    def test_request_that_cannot_end_in_time_is_rejected(self):
        """It would take the place of one that can."""
        rejections = replay_shards(3, min_parts=6, latency_s=0.6)
        assert rejections.count(Rejection.DEADLINE) > len(rejections) / 2
        assert None in rejections

    def test_late_targets_do_not_reject_what_can_end(self):
        control = OverloadControl()
        for number in range(800):
            now = CALM_S + number / 200
            latency_s = 0.2 if number > 400 else 0.01
            name = NAMES[number % TARGETS]
            control.loads['s'].record_answer(name, latency_s, now, own=True)
            assert decide(control, now=now, remaining_s=0.3) is None
        assert control.loads['s'].late


class TestRecovery:
    def test_room_recovers_from_nothing(self):
        """Nothing was answered when the room was estimated."""
        control = OverloadControl()
        load = control.loads['s']
        load.overloaded = True
        load.reduced_at = CALM_S
        admitted = []
        for number in range(15 * 200):
            now = CALM_S + number / 200
            admitted.append(decide(control, now=now) is None)
            if admitted[-1]:
                load.record_answer(NAMES[number % 4], 0.01, now, own=True)
        assert all(admitted[-200:])

    def test_state_ends_without_replies(self):
        control = OverloadControl()
        load = control.loads['s']
        load.record_answer('t', 0.01, CALM_S, own=True)
        load.overloaded = True
        decide(control, now=CALM_S)
        assert decide(control, now=CALM_S + 5) is None
        assert not load.overloaded
