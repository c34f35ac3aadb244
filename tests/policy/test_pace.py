"""Tests of the pace of targets that start or return.

The simulated servers have four slots and a queue of twelve and take 10 ms for a
request; six of them serve 0.6 of what they can. `today` is the choice of targets
without pace.
"""

import dataclasses
import statistics

import pytest

from bitternturn.policy import pace as policy
from bitternturn.policy.pace import (
    PaceCause,
    PaceChange,
    TargetPace,
    find_open_targets,
    raise_shares,
)
from bitternturn.policy.rendezvous import hash_share
from tests.policy.pace_simulation import (
    SERVICE_S,
    SLOTS,
    Report,
    Server,
    Simulation,
)

SERVERS = 6
SEEDS = (1, 2, 3)
# Requests of one instance in a test without servers.
REQUESTS = 600


def simulate(
    make_server, *, paced, instances, returning=1, count=SERVERS, **settings
):
    """Return the mean figures over some seeds."""
    reports = []
    for seed in SEEDS:
        servers = [
            make_server() if number < returning else Server()
            for number in range(count)
        ]
        simulation = Simulation(
            servers,
            list(range(returning)),
            paced=paced,
            instances=instances,
            seed=seed,
            **settings,
        )
        reports.append(simulation.run())
    return Report(
        **{
            field.name: statistics.mean(
                getattr(report, field.name) for report in reports
            )
            for field in dataclasses.fields(Report)
        }
    )


def compare(make_server, record_property, **settings):
    """Return the figures without and with pace, and record them."""
    reports = [
        simulate(make_server, paced=paced, **settings)
        for paced in (False, True)
    ]
    for name, report in zip(('today', 'pace'), reports, strict=True):
        for field, value in dataclasses.asdict(report).items():
            record_property(f'{name}_{field}', round(value, 2))
    return reports


def start_paced(cause=PaceCause.NEW, now=0.0):
    """Return the pace of a target that has just returned."""
    pace = TargetPace()
    pace.start(cause, now)
    return pace


def feed(pace, ratio, *, begin, end, per_s=40):
    """Record answers of the same latency ratio at a constant rate."""
    changes = []
    for number in range(int((end - begin) * per_s)):
        now = begin + number / per_s
        change = pace.record_answer(ratio, started_at=now - 0.01, now=now)
        if change is not None:
            changes.append(change)
    return changes


def is_slow_cold(since_s, _busy):
    """Return the slowness of a target that is cold for 3 s."""
    return 1.6 if since_s < 3 else 1


def is_slow_for_good(_since_s, _busy):
    """Return the slowness of a target on slower hardware."""
    return 1.6


def is_slow_under_load(since_s, busy):
    """Return the slowness of a target that bears one request for 4 s."""
    return 1 if since_s > 4 else max(1, 1 + 1.5 * (busy - 1))


@pytest.mark.parametrize('instances', [24, 124])
class TestSimulatedReturns:
    """A target of six returns while the others are in use."""

    def test_target_that_is_fine_at_once(self, instances, record_property):
        """Guard against a warm target that stays idle, and a herd on it."""
        today, paced = compare(Server, record_property, instances=instances)
        assert today.lost > 0
        assert paced.lost <= 1
        assert paced.late < today.late
        assert paced.full_use_s < 4
        assert paced.idle < 0.6
        assert paced.failed_total == 0

    def test_target_that_is_cold_for_three_seconds(
        self, instances, record_property
    ):
        """Guard against a cold target that all instances send to at once."""
        today, paced = compare(
            lambda: Server(is_slow_cold), record_property, instances=instances
        )
        assert paced.lost < today.lost / 4
        assert paced.late < today.late
        assert paced.full_use_s < today.full_use_s + 1.5
        assert paced.idle < today.idle + 0.1

    def test_target_that_is_slow_for_good(self, instances, record_property):
        """Guard against slower hardware that is never used again."""
        today, paced = compare(
            lambda: Server(is_slow_for_good),
            record_property,
            instances=instances,
        )
        assert paced.lost <= today.lost / 4
        assert paced.late < today.late
        assert paced.idle < today.idle + 0.05

    def test_target_that_is_slow_under_load(self, instances, record_property):
        """Guard against a flood that keeps a target from getting warm."""
        today, paced = compare(
            lambda: Server(is_slow_under_load),
            record_property,
            instances=instances,
            seconds=16.0,
        )
        assert paced.lost < today.lost / 4
        assert paced.lost + paced.late < 1.2 * (today.lost + today.late)
        assert paced.full_use_s < 12

    def test_target_that_relapses(self, instances, record_property):
        """Guard against a target that resets its connections twice."""
        today, paced = compare(
            lambda: Server(
                resets=lambda since_s: 1 <= since_s < 1.5 or 3 <= since_s < 3.5
            ),
            record_property,
            instances=instances,
            seconds=18.0,
            settled_s=3.5,
        )
        assert paced.lost < 1.6 * today.lost
        assert paced.late < today.late
        assert paced.full_use_s < 12


class TestSeveralReturns:
    """Guard against a service that is starved by the pace of its targets."""

    @pytest.mark.parametrize('returning', [3, 5])
    def test_most_targets_return_at_once(self, returning, record_property):
        today, paced = compare(
            lambda: Server(is_slow_cold),
            record_property,
            instances=24,
            returning=returning,
            load=0.4,
        )
        assert paced.failed_total <= 1.1 * today.failed_total + 5
        assert paced.late_total < today.late_total
        assert paced.full_use_s < 6

    @pytest.mark.parametrize(('count', 'load'), [(2, 0.5), (3, 0.6)])
    def test_others_cannot_take_the_load(self, count, load, record_property):
        """The others are used 1.0 and 0.9 while the target is away."""
        today, paced = compare(
            lambda: Server(is_slow_cold),
            record_property,
            instances=24,
            count=count,
            load=load,
        )
        assert paced.late_total < today.late_total
        assert paced.lost == 0

    @pytest.mark.parametrize(('count', 'load'), [(2, 0.5), (3, 0.6)])
    def test_others_cannot_take_the_load_of_a_warm_target(
        self, count, load, record_property
    ):
        """Guard against requests that wait while a usable target is idle."""
        today, paced = compare(
            Server, record_property, instances=24, count=count, load=load
        )
        assert paced.late_total < 1.5 * today.late_total + 10
        assert paced.idle < 0.5

    def test_all_targets_start_at_once(self):
        """Every request finds a target although all of them are limited."""
        paces = [start_paced() for _ in range(4)]
        open_counts = []
        for _ in range(REQUESTS):
            found = find_open_targets(paces, get_pace=lambda it: it)
            open_counts.append(len(found))
            if found:
                found[0].record_send()
        assert statistics.mean(open_counts) >= policy.MIN_OPEN_SHARE

    def test_limited_targets_get_what_the_others_lack(self):
        wanted = policy.MIN_OPEN_SHARE
        assert raise_shares([1] * 9 + [0.1]) == [1] * 9 + [0.1]
        for shares in ([1, 0.1], [1, 0.1, 0.1], [0.02] * 8):
            assert sum(raise_shares(shares)) == pytest.approx(
                wanted * len(shares)
            )
        assert raise_shares([0.9, 0.02])[0] == 1


class TestWarmTargets:
    """Guard against limits in calm operation."""

    def test_target_that_has_always_been_warm_is_never_limited(self):
        pace = TargetPace()
        for number in range(1000):
            now = number / 10
            ratio = 8.0 if number % 30 == 0 else 1.0
            assert pace.record_answer(ratio, started_at=now, now=now) is None
            if number % 50 == 0:
                pace.record_flooding(started_at=now, now=now)
            pace.step(now)
            assert pace.allows_send()
        assert not pace.limited

    def test_choice_is_the_same_without_a_return(self):
        """The order of random numbers is the same as well."""
        chosen = []
        for paced in (False, True):
            simulation = Simulation(
                [Server() for _ in range(3)], [], paced=paced, seconds=1.0
            )
            simulation.present = {0, 1, 2}
            simulation.report = lambda: None
            simulation.run()
            chosen.append(simulation.chosen)
        assert chosen[0] == chosen[1]


class TestSumOverInstances:
    """Guard against 124 instances that each send little at the same time."""

    INSTANCES = 124

    def paces(self):
        paces = [
            TargetPace(first_credit=hash_share('t1', f'instance-{number}'))
            for number in range(self.INSTANCES)
        ]
        for pace in paces:
            pace.start(PaceCause.NEW, 0)
        return paces

    def ask(self, paces, others):
        """Return how many instances may send with one request each."""
        warm = [TargetPace() for _ in range(others)]
        return sum(
            pace in find_open_targets([pace, *warm], get_pace=lambda it: it)
            for pace in paces
        )

    @pytest.mark.parametrize(
        ('others', 'share'),
        [
            (7, policy.INITIAL_SHARE),
            # Raised for services whose other targets cannot take the load.
            (2, 3 * policy.MIN_OPEN_SHARE - 2),
            (1, 2 * policy.MIN_OPEN_SHARE - 1),
        ],
    )
    def test_first_sends_are_a_share_of_those_to_a_warm_target(
        self, others, share
    ):
        """Each instance gets one request."""
        sent = self.ask(self.paces(), others)
        # The target would get an equal part of the requests if it were warm.
        usual = self.INSTANCES / (others + 1)
        assert sent <= 2 * share * usual

    def test_unused_sends_are_not_saved_up(self):
        """No instance uses the target for long, then all want to at once."""
        paces = self.paces()
        worst = max(self.ask(paces, 7) for _ in range(200))
        assert worst < 0.2 * self.INSTANCES

    def test_unused_sends_to_a_small_service_are_limited_as_well(self):
        """The target may get more, but less than its usual load at once."""
        paces = self.paces()
        worst = max(self.ask(paces, 2) for _ in range(200))
        assert worst < 0.6 * self.INSTANCES

    def test_in_flight_sends_stay_few(self):
        """The target answers nothing for the first half of a second."""
        server = Server(lambda since_s, _busy: 50 if since_s < 0.5 else 1)
        servers = [server, *(Server() for _ in range(SERVERS - 1))]
        simulation = Simulation(
            servers, [0], paced=True, instances=self.INSTANCES, seconds=1.5
        )
        simulation.report = lambda: None
        simulation.run()
        usual = 0.6 * SLOTS
        sent = server.max_in_flight + server.lost
        # Half of a second of the usual load, 0.1 of it, and twice that at most.
        assert sent <= 2 * 0.1 * usual * 0.5 / SERVICE_S


class TestSteps:
    def test_share_doubles_while_answers_are_usual(self):
        """Guard against a fixed ramp for a target that is fine at once."""
        pace = start_paced()
        changes = feed(pace, 1.0, begin=0, end=2)
        assert changes == [PaceChange.COMPLETED]
        assert pace.ended_at < 1.5

    def test_share_is_held_while_answers_are_slow(self):
        """Guard against more load on a cold target, also without failures."""
        pace = start_paced()
        assert feed(pace, 1.8, begin=0, end=2) == [PaceChange.HELD]
        assert pace.share == policy.INITIAL_SHARE
        assert feed(pace, 1.0, begin=2, end=5) == [PaceChange.COMPLETED]

    def test_slow_target_gets_more_after_a_while(self):
        """Guard against slower hardware that stays limited for good."""
        pace = start_paced()
        changes = feed(pace, 1.8, begin=0, end=12)
        assert changes == [PaceChange.HELD, PaceChange.COMPLETED]
        assert pace.ended_at > policy.HOLD_S

    def test_slow_target_that_slows_further_is_held(self):
        pace = start_paced()
        feed(pace, 1.8, begin=0, end=6)
        share = pace.share
        assert policy.INITIAL_SHARE < share < 1
        feed(pace, 2.9, begin=6, end=8)
        assert pace.share <= share + policy.ADDITION

    def test_target_without_requests_is_not_limited_for_long(self):
        """Guard against an instance that hardly ever uses the target."""
        pace = start_paced()
        for number in range(60):
            pace.step(number / 10)
        assert not pace.limited


class TestFalls:
    @pytest.mark.parametrize('ratio', [3.1, 50])
    def test_share_falls_at_the_first_late_answer(self, ratio):
        pace = start_paced(PaceCause.PAUSE)
        change = pace.record_answer(ratio, started_at=0.1, now=0.2)
        assert change is PaceChange.FELL
        assert pace.share == policy.RETURN_SHARE * policy.DECREASE
        assert not pace.allows_send()

    def test_sends_of_one_round_count_once(self):
        """Guard against one flood that ends the use of a target."""
        pace = start_paced()
        pace.record_flooding(started_at=0.1, now=0.3)
        for _ in range(9):
            assert pace.record_flooding(started_at=0.2, now=0.3) is None
        assert pace.share == policy.INITIAL_SHARE * policy.DECREASE

    def test_share_grows_in_small_steps_where_it_was_flooded(self):
        """Guard against a flood at each second step."""
        pace = start_paced()
        while pace.share < 0.4:
            feed(pace, 1, begin=pace.stepped_at, end=pace.stepped_at + 0.3)
        flooded_at = pace.stepped_at + 0.1
        pace.record_flooding(started_at=flooded_at, now=flooded_at)
        shares = [pace.share]
        now = flooded_at
        while pace.limited:
            now += 0.05
            pace.record_answer(1, started_at=now - 0.01, now=now)
            if pace.share != shares[-1]:
                shares.append(pace.share)
        assert shares == pytest.approx([0.2, 0.3, 0.4, 0.5, 0.6, 1])

    def test_falls_are_followed_by_longer_waits(self):
        pace = start_paced()
        waits = []
        now = 0.0
        for _ in range(3):
            now += 1
            pace.record_flooding(started_at=now, now=now)
            waits.append(pace.waits_until - now)
            share = pace.share
            while pace.share == share:
                now += 0.05
                pace.record_answer(1, started_at=now, now=now)
        assert waits == [1, 2, 4]

    def test_share_has_a_lower_bound(self):
        """Guard against a target whose recovery no instance notices."""
        pace = start_paced()
        for number in range(1, 50):
            pace.record_flooding(started_at=number, now=number)
        assert pace.share == policy.MIN_SHARE


class TestStarts:
    def test_cold_targets_begin_lower_than_paused_ones(self):
        assert start_paced(PaceCause.COLD).share < (
            start_paced(PaceCause.PAUSE).share
        )

    def test_another_start_does_not_raise_the_share(self):
        pace = start_paced()
        pace.record_flooding(started_at=0.1, now=0.1)
        assert pace.start(PaceCause.FAILURES, 0.2) is None
        assert pace.share == policy.INITIAL_SHARE * policy.DECREASE

    def test_relapse_begins_lower(self):
        """Guard against a target that fails each time it has its full load."""
        pace = start_paced()
        feed(pace, 1, begin=0, end=3)
        assert pace.start(PaceCause.NEW, 5) is PaceChange.STARTED
        assert pace.share == policy.INITIAL_SHARE * policy.RELAPSE_FACTOR
        feed(pace, 1, begin=5, end=9)
        pace.start(PaceCause.NEW, 9 + policy.RELAPSE_S)
        assert pace.share == policy.INITIAL_SHARE


class TestRareRequests:
    """Instances that send one request to a target now and then."""

    def test_time_without_requests_counts_for_all_steps(self):
        """Guards against a target that gets less for as many requests as steps.

        With 124 instances and 27 requests a second, each of them sends few
        requests to a target in a whole day.
        """
        pace = TargetPace()
        pace.start(PaceCause.NEW, 0)
        assert pace.step(15) is PaceChange.COMPLETED

    def test_wait_after_flooding_is_kept(self):
        pace = TargetPace()
        pace.start(PaceCause.NEW, 0)
        pace.record_flooding(started_at=0, now=1)
        assert pace.step(1.9) is None
        assert pace.share < policy.INITIAL_SHARE
