"""Tests of sends that an instance makes for its peers."""

import asyncio
import contextlib

import pytest

from bitternturn.core.ids import FailureDomain
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway.links import LinkState
from bitternturn.gateway.models import TargetState
from bitternturn.relay.copies import StoreCopies
from bitternturn.relay.server import RelayServer
from bitternturn.schema.relay_pb2 import (
    SEND_OUTCOME_NO_PATH,
    SEND_OUTCOME_NOT_SENT,
    SEND_OUTCOME_UNREACHABLE,
    SEND_OUTCOME_UNWANTED,
    Cancel,
    Frame,
    Header,
    Sends,
)
from bitternturn.standins.platform_target import PlatformTarget
from tests.gateway.helpers import (
    configure,
    make_entry,
    make_gateway,
    make_shard_route,
    register,
    running_targets,
)
from tests.platform.test_mirror import async_until
from tests.relay.helpers import make_traffic


class RecordingConnection:
    """Connection to a peer that keeps what is sent to it."""

    def __init__(self):
        self.frames = []

    def send(self, frame):
        self.frames.append(frame)


def make_sends(number, *targets, **changes):
    """Return a request of a peer to send to some targets."""
    fields = {
        'request_id': f'q{number}',
        'method': 'GET',
        'target': '/a/x',
        'headers': [
            Header(name=b'host', value=b'search.example'),
            Header(name=b'x-request-id', value=f'q{number}'.encode()),
        ],
        'left_ms': 1000,
        'report_ms': 100,
        'limit': 3,
        'items': [target.id for target in targets],
        'usual_ms': 10,
        **changes,
    }
    return Frame(number=number, sends=Sends(**fields))


@pytest.fixture
async def delegate():
    """Return a server for peers, its gateway and the targets of one shard."""
    targets = [PlatformTarget(id=f't{number}') for number in range(6)]
    async with running_targets(*targets):
        gateway = make_gateway()
        configure(gateway, make_shard_route(1))
        register(gateway, *(make_entry(target, 's0') for target in targets))
        tasks = TaskSet()
        server = RelayServer(
            gateway=gateway,
            copies=StoreCopies(kinds=()),
            tasks=tasks,
            traffic=make_traffic(gateway.metrics),
        )
        try:
            yield server, targets
        finally:
            with contextlib.suppress(asyncio.CancelledError):
                await tasks.async_stop()


class TestPausedDelegate:
    """Messages that waited while the instance stood still."""

    async def test_cancelled_sends_do_not_run(self, delegate):
        """The cancellation is read in the same turn as the request."""
        server, targets = delegate
        connection = RecordingConnection()
        server.handle_frame(connection, make_sends(0, *targets))
        await async_until(
            lambda: len(server.gateway.targets['t5'].connections.idle) == 1
        )
        server.handle_frame(connection, make_sends(1, *targets))
        server.handle_frame(
            connection, Frame(number=1, cancel=Cancel(indexes=range(6)))
        )
        server.handle_frame(connection, make_sends(2, targets[0]))
        await async_until(lambda: len(targets[0].requests) == 2)
        assert [it.id for it in targets[0].requests] == ['q0', 'q2']
        assert all(len(it.requests) == 1 for it in targets[1:])

    async def test_request_that_waited_too_long_does_not_run(self, delegate):
        """The time that it has left counts from when it was sent."""
        server, targets = delegate
        connection = RecordingConnection()
        pauses = server.gateway.pauses
        pauses.record_gap(2.0, pauses.now())
        server.handle_frame(connection, make_sends(1, targets[0]))
        server.handle_frame(connection, make_sends(2, targets[1], left_ms=5000))
        await async_until(lambda: targets[1].requests)
        assert not targets[0].requests
        assert connection.frames[0].parts.parts[0].outcome == (
            SEND_OUTCOME_NOT_SENT
        )
        left_ms = int(targets[1].requests[0].headers['x-deadline-remaining'])
        assert left_ms <= 3000


class TestOwnConnection:
    async def test_sends_of_one_request_share_no_connection(self, delegate):
        """A late answer to the first would be taken for that to the second."""
        server, targets = delegate
        connection = RecordingConnection()
        held = server.gateway.targets['t0']
        for number, request in enumerate((1, 1, 2)):
            server.handle_frame(
                connection,
                make_sends(
                    number,
                    targets[0],
                    request_id=f'q{request}',
                    headers=[
                        Header(name=b'host', value=b'search.example'),
                        Header(
                            name=b'x-request-id', value=f'q{request}'.encode()
                        ),
                    ],
                ),
            )
            await async_until(
                lambda number=number: (
                    len(targets[0].requests) > number and not held.sends
                )
            )
        assert targets[0].connection_count == 2


class TestCutOffDelegate:
    """Instances that are cut off from the targets they send to for others."""

    async def test_it_declines_at_once(self, delegate):
        server, targets = delegate
        server.gateway.targets['t0'].link.state = LinkState.CUT_OFF
        connection = RecordingConnection()
        server.handle_frame(connection, make_sends(1, *targets))
        stated, declined = connection.frames
        assert list(stated.links.cut_off) == ['north']
        assert [it.outcome for it in declined.parts.parts] == [
            SEND_OUTCOME_NO_PATH
        ] * len(targets)
        assert not any(target.requests for target in targets)

    async def test_it_states_that_its_sends_are_silent(self, delegate):
        """They go on, as they may still be answered."""
        server, targets = delegate
        for target in targets:
            target.delay_s = 0.5
        connection = RecordingConnection()
        server.handle_frame(connection, make_sends(1, targets[0]))
        await async_until(lambda: targets[0].requests)
        gateway = server.gateway
        gateway.links.on_cut_off(gateway.targets['t0'].link)
        await async_until(
            lambda: any(
                part.silent
                for frame in connection.frames
                for part in frame.parts.parts
            )
        )
        await async_until(
            lambda: any(
                part.stamp
                for frame in connection.frames
                for part in frame.parts.parts
            )
        )


class TestLateReports:
    """Targets that pause while the others of a request have answered."""

    @staticmethod
    def stated_late(connection):
        """Return, for each report, whether the other sends are late."""
        return [frame.parts.others_late for frame in connection.frames]

    async def test_first_report_states_that_the_others_are_late(self, delegate):
        """Otherwise the peer waits for a hedge as long as the way may take."""
        server, targets = delegate
        targets[5].delay_s = 0.5
        connection = RecordingConnection()
        server.handle_frame(connection, make_sends(1, *targets))
        await async_until(lambda: len(connection.frames) == 2)
        assert self.stated_late(connection) == [True, False]
        assert len(connection.frames[0].parts.parts) == 5

    async def test_complete_report_states_nothing(self, delegate):
        server, targets = delegate
        connection = RecordingConnection()
        server.handle_frame(connection, make_sends(1, *targets))
        await async_until(lambda: connection.frames)
        assert self.stated_late(connection) == [False]


def list_targets(server, targets, **changes):
    """Let a delegate list all targets, with changes of the first one."""
    first, *others = targets
    register(
        server.gateway,
        make_entry(first, 's0', **changes),
        *(make_entry(target, 's0') for target in others),
    )


def drain(server, targets):
    """Let the first target be listed as draining."""
    list_targets(server, targets, state=TargetState.DRAINING)


def take_domain_out(server, targets):
    """Take the domain of the first target out of service."""
    server.gateway.fleet_state.set_domains_out(['south'])
    list_targets(server, targets, failure_domain=FailureDomain('south'))


def displace(server, targets):
    """Let another target answer at the address of the first one."""
    server.gateway.displace(server.gateway.targets[targets[0].id])


def remove(server, targets):
    """Stop listing the first target."""
    register(
        server.gateway, *(make_entry(target, 's0') for target in targets[1:])
    )


def reported_outcomes(connection):
    """Return the outcomes that a peer has been told, by index."""
    return {
        part.index: part.outcome
        for frame in connection.frames
        for part in frame.parts.parts
    }


class TestOwnKnowledge:
    """A peer that the store rejects does not know which targets are in use.

    The delegate does, and is the one that writes to the target.
    """

    @pytest.mark.parametrize(
        ('change', 'outcome'),
        [
            (drain, SEND_OUTCOME_UNWANTED),
            (take_domain_out, SEND_OUTCOME_UNWANTED),
            (displace, SEND_OUTCOME_UNREACHABLE),
            (remove, SEND_OUTCOME_NOT_SENT),
        ],
    )
    async def test_targets_out_of_use_are_rejected_at_once(
        self, delegate, change, outcome
    ):
        server, targets = delegate
        change(server, targets)
        connection = RecordingConnection()
        server.handle_frame(connection, make_sends(1, *targets))
        assert reported_outcomes(connection) == {0: outcome}
        await async_until(lambda: all(it.requests for it in targets[1:]))
        assert not targets[0].requests

    @pytest.mark.parametrize(
        'change', [drain, take_domain_out, displace, remove]
    )
    async def test_sends_that_have_not_started_end(self, delegate, change):
        """The message was accepted before the change was known."""
        server, targets = delegate
        connection = RecordingConnection()
        server.handle_frame(connection, make_sends(1, *targets))
        change(server, targets)
        await async_until(lambda: 0 in reported_outcomes(connection))
        assert reported_outcomes(connection)[0] == SEND_OUTCOME_UNWANTED
        assert not targets[0].requests

    @pytest.mark.parametrize(
        'change', [drain, take_domain_out, displace, remove]
    )
    async def test_sends_that_wait_for_a_connection_end(self, delegate, change):
        server, targets = delegate
        targets[0].delay_s = 0.4
        server.gateway.targets['t0'].connections.max_count = 1
        connection = RecordingConnection()
        server.handle_frame(connection, make_sends(1, targets[0]))
        await async_until(lambda: targets[0].requests)
        waiting = RecordingConnection()
        server.handle_frame(waiting, make_sends(2, targets[0]))
        await asyncio.sleep(0.05)
        change(server, targets)
        await async_until(lambda: waiting.frames)
        assert reported_outcomes(waiting) == {0: SEND_OUTCOME_UNWANTED}
        assert not reported_outcomes(connection)
        await async_until(lambda: reported_outcomes(connection))
        assert [it.id for it in targets[0].requests] == ['q1']

    async def test_missing_entry_in_an_outage_is_used(self, delegate):
        """The target may only have been unable to renew its entry."""
        server, targets = delegate
        gateway = server.gateway
        gateway.fleet_state.store_failed_at = gateway.now()
        remove(server, targets)
        server.handle_frame(RecordingConnection(), make_sends(1, targets[0]))
        await async_until(lambda: targets[0].requests)


class TestPriority:
    """Urgent requests of peers that wait behind others come late."""

    async def start_order(self, server, targets, priorities):
        """Return the ids of the requests in the order of their starts."""
        order = []
        for target in targets:
            state = server.gateway.targets[target.id]
            state.start = lambda send, now: order.append(send.caller.id)
        connection = RecordingConnection()
        for number, priority in enumerate(priorities):
            server.handle_frame(
                connection, make_sends(number, *targets, priority=priority)
            )
        await async_until(lambda: len(order) == len(priorities) * len(targets))
        return order

    async def test_urgent_sends_start_first(self, delegate):
        server, targets = delegate
        order = await self.start_order(server, targets, [3, 0, 1])
        assert order == [
            *['q1'] * len(targets),
            *['q2'] * len(targets),
            *['q0'] * len(targets),
        ]

    async def test_equal_priorities_start_in_turn(self, delegate):
        """Old builds state no priority; their sends take turns as before."""
        server, targets = delegate
        order = await self.start_order(server, targets, [0, 0])
        assert order == [*['q0'] * 4, *['q1'] * 4, *['q0'] * 2, *['q1'] * 2]

    async def test_less_urgent_sends_do_not_starve(self, delegate):
        server, targets = delegate
        started = []
        for target in targets:
            state = server.gateway.targets[target.id]
            state.start = lambda send, now: started.append(send.caller.id)
        connection = RecordingConnection()
        server.handle_frame(connection, make_sends(0, *targets, priority=1))
        number = 0
        while 'q0' not in started:
            number += 1
            assert number < 20
            server.handle_frame(connection, make_sends(number, *targets))
            await asyncio.sleep(0)

    async def test_failing_start_does_not_stop_the_others(self, delegate):
        """Otherwise no sends of peers would start any longer."""
        server, targets = delegate
        connection = RecordingConnection()
        state = server.gateway.targets[targets[0].id]
        start, state.start = state.start, None
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        server.handle_frame(connection, make_sends(1, targets[0]))
        server.handle_frame(connection, make_sends(2, targets[1]))
        await async_until(lambda: targets[1].requests)
        state.start = start
        server.handle_frame(connection, make_sends(3, targets[0]))
        await async_until(lambda: targets[0].requests)
        assert [it.id for it in targets[0].requests] == ['q3']
