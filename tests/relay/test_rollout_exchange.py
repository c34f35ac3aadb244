"""Tests of the counts and beliefs that instances tell each other."""

import pytest

from bitternturn.core.tasks import TaskSet
from bitternturn.policy.rollout import Phase
from bitternturn.policy.rollout_counts import Cell, CellKey, Tally, TargetTally
from bitternturn.relay.copies import StoreCopies
from bitternturn.relay.delegation import Delegation
from bitternturn.relay.rollout_exchange import (
    RolloutExchange,
    decode_report,
    encode_belief,
    encode_report,
)
from bitternturn.relay.server import RelayServer
from bitternturn.schema.relay_pb2 import (
    Frame,
    RolloutBelief,
    RolloutBeliefs,
    RolloutReports,
)
from tests.gateway.test_rollouts import SERVICE, make_gateway, order
from tests.relay.helpers import make_traffic


@pytest.fixture
async def instance():
    """Return the exchange and the relay server of an instance."""
    tasks = TaskSet()
    gateway = make_gateway()
    delegation = Delegation(gateway=gateway, tasks=tasks)
    exchange = RolloutExchange(
        gateway=gateway, delegation=delegation, tasks=tasks
    )
    server = RelayServer(
        gateway=gateway,
        copies=StoreCopies(kinds=()),
        tasks=tasks,
        traffic=make_traffic(gateway.metrics),
    )
    yield exchange, server
    await tasks.async_stop()


class FakeConnection:
    """Connection of a peer that keeps the replies."""

    def __init__(self):
        self.sent = []

    def send(self, frame):
        self.sent.append(frame)


def make_progress(exchange, answers=3):
    """Return the progress of an order with some counts."""
    progress = order(exchange.gateway)
    progress.own.cells[CellKey('r', near=False)] = Cell(
        candidate=Tally(answers, 1, 2, 0.5, 0.75),
        baseline=Tally(7, 0, 7, -1.5, 2),
    )
    progress.own.targets['t'] = TargetTally(answers, 1)
    progress.own.busy = 2
    return progress


class TestMessages:
    async def test_counts_survive_a_message(self, instance):
        progress = make_progress(instance[0])
        report = decode_report(encode_report(progress, 5), 9)
        assert report.cells == progress.own.cells
        assert report.targets == progress.own.targets
        assert (report.busy, report.reported_at) == (2, 9)

    async def test_collector_replies_with_its_belief(self, instance):
        exchange, server = instance
        server.rollouts = exchange
        progress = make_progress(exchange)
        now = exchange.gateway.now()
        message = encode_report(progress, now)
        message.sender = 'peer'
        message.age_ms = 7000
        progress.state.apply_belief(Phase.SUSPENDED, 'failing', now)
        connection = FakeConnection()
        frame = Frame(
            number=4, rollout_reports=RolloutReports(reports=[message])
        )
        server.handle_frame(connection, frame)
        server.handle_frame(connection, frame)
        belief = connection.sent[0].rollout_beliefs.beliefs[0]
        assert connection.sent[0].number == 4
        assert Phase(belief.phase) is Phase.SUSPENDED
        assert belief.age_ms >= 7000
        assert len(progress.reports) == 2

    async def test_reports_of_unknown_orders_are_ignored(self, instance):
        exchange = instance[0]
        progress = make_progress(exchange)
        message = encode_report(progress, exchange.gateway.now())
        message.version = 'other'
        reports = RolloutReports(reports=[message])
        assert not exchange.receive_reports(reports).beliefs

    async def test_instance_without_roll_outs_ignores_the_messages(
        self, instance
    ):
        """As an old build does, and a deployment without the contract."""
        exchange, server = instance
        connection = FakeConnection()
        message = encode_report(make_progress(exchange), 1)
        server.handle_frame(
            connection,
            Frame(rollout_reports=RolloutReports(reports=[message])),
        )
        server.handle_frame(connection, Frame(rollout_beliefs=RolloutBeliefs()))
        assert not connection.sent

    async def test_belief_of_a_peer_is_applied(self, instance):
        exchange = instance[0]
        progress = make_progress(exchange)
        belief = encode_belief(progress, exchange.gateway.now())
        belief.phase = 2
        exchange.receive_beliefs(RolloutBeliefs(beliefs=[belief]))
        assert progress.state.phase is Phase.SUSPENDED

    async def test_unknown_phase_of_a_newer_build_is_ignored(self, instance):
        exchange = instance[0]
        progress = make_progress(exchange)
        unknown = RolloutBelief.FromString(
            RolloutBelief(service=SERVICE, version='v2').SerializeToString()
            + b'\x18\x63'
        )
        exchange.receive_beliefs(RolloutBeliefs(beliefs=[unknown]))
        assert progress.state.phase is Phase.ACTIVE
