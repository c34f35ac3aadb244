"""Tests of what limits a target to a share of its load, and of the selection."""

import pytest

from bitternturn.core.ids import ServiceName
from bitternturn.gateway.models import SendOutcome, TargetState
from bitternturn.gateway.send import Send
from bitternturn.policy.answer_timing import LatencyEstimate
from bitternturn.policy.pace import (
    INITIAL_SHARE,
    RETURN_SHARE,
    PaceCause,
)
from bitternturn.policy.target_selection import EJECTION_FAILURES
from bitternturn.standins.platform_target import (
    PlatformTarget,
    ScriptedBehaviour,
)
from tests.gateway.helpers import (
    FakeTarget,
    configure,
    make_entry,
    make_gateway,
    make_request,
    make_route,
    make_scripted_target,
    register,
    running_targets,
    spy_on_log,
)

SERVICE = ServiceName('s')
REQUESTS = 300
TYPICAL_S = 0.01


def entries(count, **changes):
    """Return the entries of some targets; `changes` are those of the last."""
    found = [make_entry(FakeTarget(number)) for number in range(count)]
    if changes:
        found[-1] = make_entry(FakeTarget(count - 1), **changes)
    return found


@pytest.fixture
def gateway():
    """Return a gateway that knows three targets of a service."""
    gateway = make_gateway()
    configure(gateway, make_route())
    register(gateway, *entries(3))
    return gateway


def limited(gateway):
    """Return the causes of the limited targets by id."""
    return {
        name: target.pace.cause
        for name, target in gateway.targets.items()
        if target.pace.limited
    }


def count_selected(gateway, count=REQUESTS):
    """Return how often each target is selected without any answers."""
    counts = dict.fromkeys([*gateway.targets, None], 0)
    for _ in range(count):
        target = gateway.select_target(SERVICE, (), TYPICAL_S)
        counts[target and target.entry.id] += 1
        if target is not None:
            target.pace.record_send()
            target.cold_send_limit.record_send(gateway.now())
    return counts


def start_send(gateway, name):
    """Start a send to a target that a peer makes."""
    target = gateway.targets[name]
    estimate = LatencyEstimate(aim_s=1)
    estimate.mean_s = TYPICAL_S
    now = gateway.now()
    send = Send(
        caller=gateway.wire.read_request(make_request()),
        target=target,
        latency_estimate=estimate,
        deadline=now + 1,
        require_fresh_connection=False,
        now=now,
        on_end=lambda *_: None,
    )
    target.register_delegated(
        send, via='peer', link=target.link, relay_delay_s=0
    )
    return send


def end_send(gateway, name, outcome, latency_s=TYPICAL_S):
    """End a new send to a target as a peer reports it."""
    send = start_send(gateway, name)
    send.target.end_send(send, outcome, None, latency_s)


class TestStarts:
    def test_first_list_is_not_limited(self, gateway):
        """Guard against an instance that limits all targets when it starts."""
        assert not limited(gateway)

    def test_targets_of_a_new_service_are_not_limited(self, gateway):
        register(
            gateway, *entries(3), make_entry(FakeTarget(9), service='other')
        )
        assert not limited(gateway)

    def test_new_target(self, gateway):
        register(gateway, *entries(4))
        assert limited(gateway) == {'t3': PaceCause.NEW}
        assert gateway.targets['t3'].pace.share == INITIAL_SHARE

    def test_new_start_of_a_target(self, gateway):
        register(gateway, *entries(3, started_at_ms=2))
        assert limited(gateway) == {'t2': PaceCause.NEW}

    def test_cold_target_also_in_the_first_list(self):
        gateway = make_gateway()
        configure(gateway, make_route())
        register(gateway, *entries(3, cold_remaining_s=3.0))
        assert limited(gateway) == {'t2': PaceCause.COLD}

    def test_target_that_gets_cold_again(self, gateway):
        register(gateway, *entries(3, cold_remaining_s=3.0))
        assert limited(gateway) == {'t2': PaceCause.COLD}

    def test_target_that_is_ready_again(self, gateway):
        register(gateway, *entries(3, state=TargetState.DRAINING))
        assert not limited(gateway)
        register(gateway, *entries(3))
        assert limited(gateway) == {'t2': PaceCause.RETURN}
        assert gateway.targets['t2'].pace.share == RETURN_SHARE

    def test_service_that_has_lost_all_entries_is_not_limited(self, gateway):
        """Guard against limits after the loss of a store's content."""
        register(gateway)
        register(gateway, *entries(3))
        assert not limited(gateway)

    def test_changed_entry_limits_nothing(self, gateway):
        register(gateway, *entries(3, slots=4))
        assert not limited(gateway)

    def test_end_of_a_pause(self, gateway):
        """The share is not increased before the target wants requests."""
        gateway.targets['t0'].announce_pause(5)
        assert limited(gateway) == {'t0': PaceCause.PAUSE}
        pace = gateway.targets['t0'].pace
        assert pace.step(gateway.now() + 4.9) is None
        assert pace.share == RETURN_SHARE

    async def test_limit_that_is_no_longer_named(self, gateway):
        target = gateway.targets['t0']
        target.announce_rate_limit(5.0, gateway.now())
        assert not limited(gateway)
        target.announce_rate_limit(None, gateway.now())
        assert limited(gateway) == {'t0': PaceCause.LIMIT}

    def test_spell_of_failures(self, gateway):
        for _ in range(EJECTION_FAILURES):
            assert not limited(gateway)
            end_send(gateway, 't0', SendOutcome.FAILED)
        assert limited(gateway) == {'t0': PaceCause.FAILURES}

    def test_overload_of_all_targets_does_not_limit_all(self, gateway):
        """Guard against limits that only move the load."""
        for name in gateway.targets:
            for _ in range(EJECTION_FAILURES):
                end_send(gateway, name, SendOutcome.NOT_RUN)
        assert limited(gateway) == {'t0': PaceCause.FAILURES}

    def test_calm_operation_limits_nothing(self, gateway):
        for number in range(200):
            name = f't{number % 3}'
            end_send(gateway, name, SendOutcome.ANSWERED)
            if number % 20 == 0:
                end_send(gateway, name, SendOutcome.LOST)
                end_send(gateway, name, SendOutcome.ANSWERED, TYPICAL_S * 12)
        assert not limited(gateway)


class TestEvidence:
    @pytest.mark.parametrize(
        'outcome',
        [
            SendOutcome.NOT_RUN,
            SendOutcome.LOST,
            SendOutcome.UNREACHABLE,
            SendOutcome.DECLINED,
        ],
    )
    def test_overload_halves_the_share(self, gateway, outcome):
        register(gateway, *entries(4))
        end_send(gateway, 't3', outcome)
        assert gateway.targets['t3'].pace.share == INITIAL_SHARE / 2

    @pytest.mark.parametrize(
        'outcome',
        [
            SendOutcome.NOT_SENT,
            SendOutcome.NO_PATH,
            SendOutcome.PEER_LOST,
            SendOutcome.UNWANTED,
            SendOutcome.FAILED,
        ],
    )
    def test_other_ends_do_not(self, gateway, outcome):
        register(gateway, *entries(4))
        end_send(gateway, 't3', outcome)
        assert gateway.targets['t3'].pace.share == INITIAL_SHARE

    def test_late_answer_halves_the_share(self, gateway):
        register(gateway, *entries(4))
        end_send(gateway, 't3', SendOutcome.ANSWERED, TYPICAL_S * 4)
        assert gateway.targets['t3'].pace.share == INITIAL_SHARE / 2

    async def test_unanswered_send_halves_the_share(self, gateway):
        """Guard against a target that accepts requests and stays silent."""
        register(gateway, *entries(4))
        target = gateway.targets['t3']
        now = gateway.now()
        estimate = LatencyEstimate(aim_s=1)
        estimate.mean_s = TYPICAL_S
        send = Send(
            caller=gateway.wire.read_request(make_request()),
            target=target,
            latency_estimate=estimate,
            deadline=now + 1,
            require_fresh_connection=False,
            now=now,
            on_end=lambda *_: None,
        )
        target.sends.add(send)
        gateway.paces.find_open([target], now + 0.1)
        assert target.pace.share == INITIAL_SHARE / 2

    def test_usual_answers_end_the_limit(self, gateway):
        """Guard against a target that is limited for good."""
        register(gateway, *entries(4))
        begin = gateway.now()
        seconds = iter(range(10**6))
        gateway.now = lambda: begin + next(seconds) * 0.02
        for _ in range(60):
            end_send(gateway, 't3', SendOutcome.ANSWERED)
        assert not limited(gateway)

    async def test_rejections_of_a_target_reduce_its_share(self):
        targets = [
            *(PlatformTarget(id=f't{number}') for number in range(2)),
            make_scripted_target('t2', *[ScriptedBehaviour.NOT_RUN] * 999),
        ]
        async with running_targets(*targets):
            gateway = make_gateway()
            configure(gateway, make_route())
            # Without a limit, the target of the own domain would get all.
            far = [
                make_entry(target, failure_domain='south')
                for target in targets[:2]
            ]
            register(gateway, *far)
            register(gateway, *far, make_entry(targets[2]))
            for number in range(100):
                response = await gateway.async_handle(
                    make_request(f'q{number}', left_ms=5000)
                )
                assert response.status == 200
            assert gateway.targets['t2'].pace.share < INITIAL_SHARE
            assert 0 < len(targets[2].requests) < 10


class TestSelection:
    def test_new_target_gets_its_share(self):
        gateway = make_gateway()
        configure(gateway, make_route())
        register(gateway, *entries(7))
        register(gateway, *entries(8))
        counts = count_selected(gateway)
        assert counts['t7'] <= 1.5 * INITIAL_SHARE * REQUESTS / 8
        assert counts[None] == 0

    def test_all_targets_that_return_at_once_are_used(self, gateway):
        """Guard against a service without targets."""
        register(gateway, *entries(3, started_at_ms=2)[2:])
        register(
            gateway,
            *(
                make_entry(FakeTarget(number), started_at_ms=3)
                for number in range(3)
            ),
        )
        assert len(limited(gateway)) == 3
        counts = count_selected(gateway)
        assert counts.pop(None) == 0
        assert min(counts.values()) > REQUESTS / 6

    def test_only_target_is_used(self, gateway):
        register(gateway, *entries(1, started_at_ms=2))
        assert count_selected(gateway)['t0'] == REQUESTS

    def test_limit_of_cold_targets_holds(self):
        """Guard against sends above the hard bound if all are limited."""
        gateway = make_gateway()
        configure(gateway, make_route(), cold_rate=4)
        register(
            gateway,
            *(
                make_entry(FakeTarget(number), cold_remaining_s=30.0)
                for number in range(3)
            ),
        )
        now = gateway.now()
        gateway.now = lambda: now
        counts = count_selected(gateway)
        # (4 × 1.5 + 5) × 0.8
        assert [counts[f't{number}'] for number in range(3)] == [8] * 3
        assert counts[None] == REQUESTS - 24

    def test_limits_change_nothing_without_a_return(self, gateway):
        """The same targets are selected, in the same order."""
        other = make_gateway()
        configure(other, make_route())
        register(other, *entries(3))
        other.paces.find_open = lambda targets, *_: targets
        names = [
            [
                it.select_target(SERVICE, (), TYPICAL_S).entry.id
                for _ in range(REQUESTS)
            ]
            for it in (gateway, other)
        ]
        assert names[0] == names[1]


class TestReports:
    def test_changes_are_logged_and_counted(self, gateway):
        lines = spy_on_log(gateway)
        register(gateway, *entries(4))
        end_send(gateway, 't3', SendOutcome.NOT_RUN)
        found = [line for line in lines if 'change' in line]
        assert [line['change'] for line in found] == ['started', 'fell']
        assert found[1]['target'] == 't3'
        assert found[1]['share'] == INITIAL_SHARE / 2
        rendered = gateway.metrics.render().decode()
        assert 'bitternturn_paced_targets 1.0' in rendered
        assert 'bitternturn_lowest_pace_share 0.05' in rendered
        assert 'bitternturn_pace_changes_total{cause="new",change="fell"}' in (
            rendered
        )

    def test_rejections_of_one_flood_are_one_line(self, gateway):
        """Guard against a log that is full of one flooded target."""
        register(gateway, *entries(4))
        sends = [start_send(gateway, 't3') for _ in range(100)]
        lines = spy_on_log(gateway)
        for send in sends:
            send.target.end_send(send, SendOutcome.NOT_RUN, None, TYPICAL_S)
        assert [line['change'] for line in lines if 'change' in line] == [
            'fell'
        ]
