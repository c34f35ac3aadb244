"""Tests of invalid statuses in delegates and in the messages of peers.

They guard against a status that a peer of an older build passes on, and against
an answer without one: the field of the message is then 0.
"""

import pytest

from bitternturn.core.tasks import TaskSet
from bitternturn.gateway.models import SendOutcome
from bitternturn.gateway.send import Send
from bitternturn.policy.answer_timing import LatencyEstimate
from bitternturn.relay.copies import StoreCopies
from bitternturn.relay.outgoing_batch import OutgoingBatch
from bitternturn.relay.peer_link import PeerLink
from bitternturn.relay.server import RelayServer
from bitternturn.schema.relay_pb2 import (
    SEND_OUTCOME_ANSWERED,
    SEND_OUTCOME_FAILED,
    SEND_OUTCOME_LOST,
    Answer,
    Frame,
    Part,
    Parts,
)
from tests.gateway.helpers import (
    FakeTarget,
    configure,
    make_entry,
    make_gateway,
    make_request,
    make_route,
    make_shard_route,
    register,
    running_targets,
)
from tests.gateway.raw_target import INVALID_RESPONSES, RawTarget
from tests.platform.test_mirror import async_until
from tests.relay.helpers import make_traffic
from tests.relay.test_incoming_batch import RecordingConnection, make_sends


class TestDelegates:
    @pytest.mark.parametrize('whole', [True, False])
    @pytest.mark.parametrize('case', list(INVALID_RESPONSES))
    async def test_response_is_reported_as_lost(self, case, whole):
        target = RawTarget('t0', INVALID_RESPONSES[case])
        async with running_targets(target):
            gateway = make_gateway()
            configure(gateway, make_shard_route(1))
            register(gateway, make_entry(target, 's0'))
            tasks = TaskSet()
            server = RelayServer(
                gateway=gateway,
                copies=StoreCopies(kinds=()),
                tasks=tasks,
                traffic=make_traffic(gateway.metrics),
            )
            connection = RecordingConnection()
            server.handle_frame(
                connection,
                make_sends(
                    1,
                    target,
                    left_ms=5000,
                    whole_answers=whole,
                    limit=0 if whole else 3,
                ),
            )
            await async_until(
                lambda: any(it.parts.parts for it in connection.frames)
            )
            await tasks.async_stop()
        (part,) = (
            part for frame in connection.frames for part in frame.parts.parts
        )
        assert part.outcome == SEND_OUTCOME_LOST
        assert not part.HasField('answer')


class StubPeer:
    """Peer whose reports the test passes on itself."""

    def __init__(self):
        self.link = PeerLink()

    def send_request(self, make_frame, handle_reply):
        make_frame()
        return 1

    def drop_handler(self, number):
        pass

    def get_link(self, domain):
        return self.link


async def async_report(part):
    """Return how a delegated send ends that a peer reports on."""
    gateway = make_gateway()
    configure(gateway, make_route())
    register(gateway, make_entry(FakeTarget(0)))
    target = gateway.targets['t0']
    ends = []
    send = Send(
        caller=gateway.wire.read_request(make_request()),
        target=target,
        latency_estimate=LatencyEstimate(aim_s=1),
        deadline=gateway.now() + 5,
        require_fresh_connection=False,
        now=gateway.now(),
        on_end=lambda _send, outcome, answer: ends.append((outcome, answer)),
    )
    target.register_delegated(
        send, via='peer', link=PeerLink(), relay_delay_s=0
    )
    batch = OutgoingBatch(peer=StubPeer(), sends=[send], gateway=gateway)
    batch.start()
    batch.handle_reply(Frame(number=1, parts=Parts(parts=[part])))
    ((outcome, answer),) = ends
    return outcome, answer


def make_part(outcome, status):
    """Return the report of a send with a whole answer."""
    return Part(
        index=0,
        outcome=outcome,
        stamp='t0.q1.1',
        answer=Answer(status=status, body=b'ok'),
    )


class TestMessages:
    @pytest.mark.parametrize(
        'status', [0, 99, 100, 101, 199, 300, 404, 600, 999, 1000, 2**32 - 1]
    )
    async def test_success_with_another_status_is_a_failure(self, status):
        outcome, answer = await async_report(
            make_part(SEND_OUTCOME_ANSWERED, status)
        )
        assert outcome is SendOutcome.FAILED
        assert answer is None

    @pytest.mark.parametrize(
        'status', [0, 99, 100, 101, 199, 600, 999, 1000, 2**32 - 1]
    )
    async def test_failure_with_an_invalid_status_has_no_answer(self, status):
        outcome, answer = await async_report(
            make_part(SEND_OUTCOME_FAILED, status)
        )
        assert outcome is SendOutcome.FAILED
        assert answer is None

    @pytest.mark.parametrize(
        ('reported', 'status', 'outcome'),
        [
            (SEND_OUTCOME_ANSWERED, 200, SendOutcome.ANSWERED),
            (SEND_OUTCOME_ANSWERED, 204, SendOutcome.ANSWERED),
            (SEND_OUTCOME_FAILED, 404, SendOutcome.FAILED),
            (SEND_OUTCOME_FAILED, 599, SendOutcome.FAILED),
        ],
    )
    async def test_valid_status_is_kept(self, reported, status, outcome):
        ended, answer = await async_report(make_part(reported, status))
        assert ended is outcome
        assert answer.status == status
