"""Tests of the pace of targets that serve routes of different latency."""

from bitternturn.core.ids import ServiceName
from bitternturn.gateway.send import Send
from bitternturn.policy.answer_timing import LatencyEstimate
from bitternturn.policy.pace import PaceCause
from tests.gateway.helpers import (
    FakeTarget,
    configure,
    make_entry,
    make_gateway,
    make_request,
    make_route,
    register,
)


async def test_send_of_a_slow_route_is_not_late_for_a_fast_one():
    """Guards against a target whose share falls without any overload.

    The age of the oldest send is compared with the usual latency of the route
    that chooses a target, but the send may belong to a slower route.
    """
    gateway = make_gateway()
    configure(gateway, make_route())
    register(gateway, *(make_entry(FakeTarget(name)) for name in 'abc'))
    target = gateway.targets['ta']
    now = gateway.now()
    gateway.paces.start(target, PaceCause.RETURN, now - 1)
    share = target.pace.share
    slow = LatencyEstimate(aim_s=5.0)
    for _ in range(100):
        slow.record(1.0)
    send = Send(
        caller=make_request('q', path='/a/x'),
        target=target,
        latency_estimate=slow,
        deadline=now + 9,
        require_fresh_connection=False,
        now=now - 0.1,
        on_end=None,
    )
    target.sends.add(send)
    gateway.select_target(ServiceName('s'), [], 0.01)
    assert target.pace.share >= share
