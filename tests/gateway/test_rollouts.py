"""Tests of roll-outs at one instance: permits, counts and roles."""

import dataclasses
import os
import random

import pytest

from bitternturn.core.ids import FailureDomain, ServiceName
from bitternturn.gateway.decision_log import DecisionLog, LineWriter
from bitternturn.gateway.gateway import Gateway
from bitternturn.gateway.links import LinkState
from bitternturn.gateway.models import RolloutBounds, SendOutcome
from bitternturn.gateway.rollouts import SenderReport
from bitternturn.platform.http_messages import WIRE
from bitternturn.policy.rollout import OrderStatus, Phase, RolloutOrder
from bitternturn.policy.rollout_counts import Cell, CellKey
from bitternturn.standins.platform_target import ScriptedBehaviour
from tests.gateway.helpers import (
    SETTINGS,
    configure,
    make_entry,
    make_request,
    make_route,
    make_scripted_target,
    register,
    running_targets,
)

SERVICE = ServiceName('s')
KEY = CellKey('r-1', near=True)


def make_gateway(*, first_start=True, **bounds):
    """Return an instance of a deployment with roll-outs, without orders."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    gateway = Gateway(
        settings=dataclasses.replace(
            SETTINGS,
            first_start=first_start,
            rollout_bounds=RolloutBounds(enabled=True, **bounds),
        ),
        wire=WIRE,
        decisions=DecisionLog(
            instance='i', writer=LineWriter(descriptor=descriptor)
        ),
        rng=random.Random(1),
    )
    gateway.update_instances(['instance-1'])
    gateway.rollouts.replace_orders({})
    gateway.fleet_state.orders_known = True
    configure(gateway, make_route())
    return gateway


def order(gateway, status=None, version='v2', duration_s=20):
    """Apply an order; return its progress."""
    gateway.rollouts.apply_order(
        RolloutOrder(
            service=SERVICE,
            version=version,
            duration_s=duration_s,
            status=status,
        )
    )
    return gateway.rollouts.progress[SERVICE]


async def async_ask(gateway, count, prefix='q'):
    """Send requests one after the other; return the statuses."""
    return [
        (await gateway.async_handle(make_request(f'{prefix}{number}'))).status
        for number in range(count)
    ]


@pytest.fixture
async def versions():
    """Return a running target of the old and one of the new version."""
    old = make_scripted_target('old')
    new = make_scripted_target('new')
    async with running_targets(old, new):
        yield old, new


def register_both(gateway, old, new):
    """Register the targets of both versions."""
    register(
        gateway,
        make_entry(old, version='v1', slots=20),
        make_entry(new, version='v2', slots=20),
    )


class TestExposure:
    async def test_sender_keeps_share_and_slack(self, versions):
        gateway = make_gateway()
        order(gateway)
        register_both(gateway, *versions)
        statuses = await async_ask(gateway, 200)
        assert set(statuses) == {200}
        canaries = len(versions[1].requests)
        assert 15 <= canaries <= 0.1 * 200 + 50
        gauge = gateway.rollouts.progress[SERVICE].budget
        assert gauge.canaries == canaries

    async def test_process_that_starts_during_an_order_has_no_initial_ones(
        self, versions
    ):
        gateway = make_gateway(first_start=False)
        gateway.rollouts.known = False
        progress = order(gateway, OrderStatus.ACTIVE)
        register_both(gateway, *versions)
        await async_ask(gateway, 50)
        assert len(versions[1].requests) <= 0.1 * 50 + 1
        assert progress.budget.initial == 0

    async def test_no_request_without_slack_and_share(self, versions):
        gateway = make_gateway(canary_share=0, canary_slack=0)
        order(gateway)
        register_both(gateway, *versions)
        assert set(await async_ask(gateway, 30)) == {200}
        assert not versions[1].requests

    async def test_retries_prefer_the_old_version(self):
        old = make_scripted_target('old')
        new = make_scripted_target('new', *[ScriptedBehaviour.FAIL] * 50)
        async with running_targets(old, new):
            gateway = make_gateway()
            order(gateway)
            register_both(gateway, old, new)
            assert set(await async_ask(gateway, 20)) == {200}
        ids = [request.id for request in new.requests]
        assert len(ids) == len(set(ids))

    async def test_peer_sends_within_its_own_permits(self, versions):
        """The entry instance has chosen the target; the sender decides."""
        gateway = make_gateway(canary_share=0, canary_slack=0)
        order(gateway)
        register_both(gateway, *versions)
        send = FakeSend(gateway.targets['new'])
        assert not gateway.rollouts.admits(send)
        assert gateway.rollouts.admits(FakeSend(gateway.targets['old']))


class FakeSend:
    """Send that is only counted."""

    def __init__(self, target, *, via=None):
        self.target = target
        self.link = target.link
        self.via = via
        self.exposure = None
        self.connection = None
        self.is_further = False
        self.for_peer = False
        self.silent = False
        self.aborted = False
        self.route = 'r-1'
        self.started_at = target.now()
        self.latency_estimate = type('Estimate', (), {'mean_s': 0.01})()


class TestPermits:
    async def test_permit_of_an_unwritten_send_is_returned(self, versions):
        gateway = make_gateway()
        progress = order(gateway)
        register_both(gateway, *versions)
        send = FakeSend(gateway.targets['new'])
        before = (progress.budget.requests, progress.budget.canaries)
        assert gateway.rollouts.admits(send)
        assert progress.budget.canaries == 1
        gateway.rollouts.withdraw(send)
        assert (progress.budget.requests, progress.budget.canaries) == before

    async def test_send_that_waits_is_not_written_after_the_verdict(
        self, versions
    ):
        gateway = make_gateway()
        progress = order(gateway)
        register_both(gateway, *versions)
        send = FakeSend(gateway.targets['new'])
        assert gateway.rollouts.admits(send)
        progress.state.apply_belief(Phase.SUSPENDED, 'failing', 1)
        gateway.refresh_targets()
        assert not gateway.rollouts.admits(send)


class TestEvidence:
    async def test_link_that_is_cut_off_is_not_held_against_the_version(
        self, versions
    ):
        gateway = make_gateway()
        progress = order(gateway)
        register_both(gateway, *versions)
        target = gateway.targets['new']
        target.link.state = LinkState.CUT_OFF
        gateway.rollouts.record_end(FakeSend(target), SendOutcome.LOST, 1)
        assert not progress.own.cells
        target.link.state = LinkState.CONNECTED
        gateway.rollouts.record_end(FakeSend(target), SendOutcome.LOST, 1)
        assert progress.own.cells[KEY].candidate.failures == 1

    async def test_rejections_and_unsent_requests_are_not_counted(
        self, versions
    ):
        gateway = make_gateway()
        progress = order(gateway)
        register_both(gateway, *versions)
        target = gateway.targets['new']
        for outcome in (
            SendOutcome.NOT_RUN,
            SendOutcome.UNREACHABLE,
            SendOutcome.UNWANTED,
            SendOutcome.PEER_LOST,
        ):
            gateway.rollouts.record_end(FakeSend(target), outcome, 1)
        assert not progress.own.cells

    async def test_cold_targets_do_not_count_as_slow(self, versions):
        gateway = make_gateway()
        progress = order(gateway)
        register_both(gateway, *versions)
        target = gateway.targets['new']
        target.cold_until = gateway.now() + 5
        gateway.rollouts.record_end(FakeSend(target), SendOutcome.ANSWERED, 1)
        assert progress.own.cells[KEY].candidate.answers == 1
        assert not progress.own.cells[KEY].candidate.timed

    def test_late_and_duplicate_reports_change_nothing(self):
        progress = order(make_gateway())
        reports = []
        for answers in (5, 9):
            report = SenderReport(cells={KEY: Cell()})
            report.cells[KEY].candidate.answers = answers
            reports.append(report)
        for report in (reports[1], reports[0], reports[1]):
            progress.receive(('peer', 1), report)
        assert progress.cells()[KEY].candidate.answers == 9

    def test_forty_known_failures_are_enough(self):
        """Without waiting for the store or a collector's judgement."""
        gateway = make_gateway()
        progress = order(gateway)
        gateway.rollouts.apply_belief(
            SERVICE, 'v2', phase=Phase.ACTIVE, reason='', age_s=1, failures=40
        )
        gateway.rollouts.step(progress, gateway.now(), collector=False)
        assert progress.state.phase is Phase.SUSPENDED

    def test_instances_that_have_not_switched_are_waited_for(self):
        progress = order(make_gateway())
        progress.own.phase = Phase.SWITCHING
        peer = SenderReport(phase=Phase.SWITCHING, busy=1, reported_at=1)
        progress.receive(('peer', 1), peer)
        assert not progress.is_quiet(['instance-1', 'peer'])
        progress.receive(
            ('peer', 1), SenderReport(phase=Phase.SWITCHING, reported_at=2)
        )
        assert progress.is_quiet(['instance-1', 'peer'])


class TestPhases:
    async def test_completed_order_stops_use_of_the_old_version(self, versions):
        gateway = make_gateway()
        order(gateway)
        register_both(gateway, *versions)
        order(gateway, OrderStatus.COMPLETED)
        before = len(versions[0].requests)
        assert set(await async_ask(gateway, 20)) == {200}
        assert len(versions[0].requests) == before

    async def test_reverted_order_stops_use_of_the_new_version(self, versions):
        gateway = make_gateway()
        order(gateway, OrderStatus.REVERTED)
        register_both(gateway, *versions)
        gateway.rollouts.remove_order(SERVICE)
        assert set(await async_ask(gateway, 20)) == {200}
        assert not versions[1].requests

    async def test_new_version_without_order_is_held_back(self, versions):
        gateway = make_gateway()
        register(gateway, make_entry(versions[0], version='v1', slots=20))
        register_both(gateway, *versions)
        assert set(await async_ask(gateway, 20)) == {200}
        assert not versions[1].requests
        now = gateway.now()
        gateway.rollouts.now = lambda: now + 60
        gateway.rollouts.settle(now, now + 60)
        assert len(gateway.ready[SERVICE]) == 2

    def test_domain_out_of_service_is_kept_out_of_roll_outs(self):
        """Overlapping events: evacuation of the domain of the new version."""
        gateway = make_gateway()
        order(gateway)
        old, new = make_scripted_target('old'), make_scripted_target('new')
        register(
            gateway,
            make_entry(old, version='v1'),
            make_entry(new, version='v2', failure_domain='south'),
        )
        gateway.fleet_state.set_domains_out([FailureDomain('south')])
        gateway.refresh_targets()
        ids = [target.entry.id for target in gateway.ready[SERVICE]]
        assert ids == ['old']
