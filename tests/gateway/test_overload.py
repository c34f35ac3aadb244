"""Tests of rejections at arrival by a gateway with targets on loopback.

Targets that reject half of their requests stand for full queues. A rejection without
overload would refuse requests that can be answered; without rejections, all
requests wait at targets that can answer only some of them.
"""

import time
from collections import Counter

import pytest

from bitternturn.gateway.overload import (
    COUNTED_PRIORITIES,
    LOG_INTERVAL_S,
    Overload,
)
from bitternturn.policy.overload import Rejection
from bitternturn.standins.platform_target import (
    PlatformTarget,
    ScriptedBehaviour,
)
from tests.gateway.helpers import (
    FakeTarget,
    async_ask_evenly,
    configure,
    make_entry,
    make_gateway,
    make_request,
    make_route,
    make_shard_route,
    register,
    running_targets,
)

URGENT = make_route(priority=0, prefix='/urgent/', name='r-urgent')
LATER = make_route(priority=2, prefix='/later/', name='r-later')
PER_S = 150
SECONDS = 3


def make_mixed_request(request_id):
    """Return a request of either route in turn."""
    urgent = int(request_id.removeprefix('q')) % 10 == 0
    path = '/urgent/x' if urgent else '/later/x'
    return make_request(request_id, path=path, left_ms=1000)


def make_full_target(name, behaviour=ScriptedBehaviour.NOT_RUN, **changes):
    """Return a target that handles every second request in some way."""
    return PlatformTarget(
        id=name,
        script=lambda count: (
            behaviour if count % 2 else ScriptedBehaviour.ANSWER
        ),
        **changes,
    )


async def async_replay(targets, *routes, make=make_mixed_request):
    """Return a gateway and its responses to a load."""
    async with running_targets(*targets):
        gateway = make_gateway()
        configure(gateway, *routes)
        gateway.overload.enabled = True
        register(gateway, *(make_entry(it, it.id) for it in targets))
        responses = await async_ask_evenly(
            [gateway], per_s=PER_S, seconds=SECONDS, make=make
        )
    return gateway, responses


async def async_replay_service(*targets):
    """Return a gateway and its responses to a load on one service."""
    async with running_targets(*targets):
        gateway = make_gateway()
        configure(gateway, URGENT, LATER)
        gateway.overload.enabled = True
        register(gateway, *map(make_entry, targets))
        responses = await async_ask_evenly(
            [gateway], per_s=PER_S, seconds=SECONDS, make=make_mixed_request
        )
    return gateway, responses


def find_rejected(responses):
    """Return the responses to requests that were rejected at arrival."""
    return [it for it in responses if it.body == b'busy']


def count_rejections(gateway):
    """Return the rejections by reason and priority."""
    return {
        tuple(value for _, value in labels): count
        for (name, labels), count in gateway.metrics.counts.items()
        if name == 'overload_rejections'
    }


class LimitedTarget:
    """Script of a target that answers some requests per second.

    It rejects the others, as one with a full queue does.
    """

    def __init__(self, per_s):
        self.per_s = per_s
        self.tokens = 1.0
        self.filled_at = time.monotonic()

    def __call__(self, _count):
        now = time.monotonic()
        earned = (now - self.filled_at) * self.per_s
        self.tokens = min(2.0, self.tokens + earned)
        self.filled_at = now
        if self.tokens < 1:
            return ScriptedBehaviour.NOT_RUN
        self.tokens -= 1
        return ScriptedBehaviour.ANSWER


class TestOverloadedTargets:
    async def test_less_urgent_requests_are_rejected_and_do_not_run(self):
        """The targets answer half of the load; a tenth of it is urgent."""
        targets = [
            PlatformTarget(id=f't{number}', script=LimitedTarget(PER_S / 6))
            for number in range(3)
        ]
        gateway, responses = await async_replay_service(*targets)
        rejected = find_rejected(responses)
        assert len(rejected) > 20
        assert {it.status for it in rejected} == {503}
        assert all(
            0.1 <= float(it.headers['retry-after']) <= 1 / 3 for it in rejected
        )
        sent = {it.id for target in targets for it in target.requests}
        ids = {it.headers['x-request-id'] for it in rejected}
        assert not ids & sent
        counts = count_rejections(gateway)
        assert sum(counts.values()) == len(rejected)
        later = sum(
            count for (_, priority), count in counts.items() if priority == '2'
        )
        assert later > 0.9 * len(rejected)

    async def test_rejections_end_once_targets_have_room(self):
        targets = [make_full_target(f't{number}') for number in range(3)]
        async with running_targets(*targets):
            gateway = make_gateway()
            configure(gateway, URGENT, LATER)
            gateway.overload.enabled = True
            register(gateway, *map(make_entry, targets))
            for seconds in (2, 7, 1):
                responses = await async_ask_evenly(
                    [gateway],
                    per_s=PER_S,
                    seconds=seconds,
                    make=make_mixed_request,
                )
                for target in targets:
                    target.script = lambda _count: ScriptedBehaviour.ANSWER
        assert not find_rejected(responses)


class TestWithoutOverload:
    """Failures are not a lack of room; rejecting would add to them."""

    async def test_calm(self):
        targets = [PlatformTarget(id=f't{number}') for number in range(3)]
        gateway, responses = await async_replay_service(*targets)
        assert {it.status for it in responses} == {200}
        assert not count_rejections(gateway)

    @pytest.mark.parametrize(
        'behaviour',
        [
            ScriptedBehaviour.FAIL,
            ScriptedBehaviour.RESET,
            ScriptedBehaviour.RUN_BUT_UNAVAILABLE,
            ScriptedBehaviour.HANG,
        ],
    )
    async def test_failing_targets(self, behaviour):
        targets = [
            make_full_target(f't{number}', behaviour) for number in range(2)
        ]
        gateway, _ = await async_replay_service(*targets)
        assert not count_rejections(gateway)

    async def test_targets_that_refuse_connections(self):
        targets = [PlatformTarget(id=f't{number}') for number in range(3)]
        async with running_targets(*targets):
            gateway = make_gateway()
            configure(gateway, URGENT, LATER)
            gateway.overload.enabled = True
            register(gateway, *map(make_entry, targets))
            for target in targets[1:]:
                await target.async_stop()
            await async_ask_evenly(
                [gateway],
                per_s=PER_S,
                seconds=SECONDS,
                make=make_mixed_request,
            )
        assert not count_rejections(gateway)

    @pytest.mark.parametrize(
        'changes',
        [{'leaving': True}, {'rate_limit': '50'}],
        ids=['leaving', 'limited'],
    )
    async def test_targets_that_reject_for_another_reason(self, changes):
        targets = [
            make_full_target('t0', **changes),
            make_full_target('t1', **changes),
        ]
        gateway, _ = await async_replay_service(*targets)
        assert not count_rejections(gateway)

    async def test_targets_that_pause(self):
        targets = [
            make_full_target(
                f't{number}', ScriptedBehaviour.PAUSE, retry_after='0.05'
            )
            for number in range(2)
        ]
        gateway, _ = await async_replay_service(*targets)
        assert not count_rejections(gateway)


class TestWideRequests:
    @pytest.mark.parametrize(('full', 'expected'), [(1, False), (3, True)])
    async def test_decided_by_the_shards_that_an_answer_needs(
        self, full, expected
    ):
        """Two of four shards may be missing."""
        targets = [
            make_full_target(f's{number}')
            if number < full
            else PlatformTarget(id=f's{number}')
            for number in range(4)
        ]
        gateway, responses = await async_replay(
            targets,
            make_shard_route(4, min_coverage=0.5),
            make=lambda request_id: make_request(request_id),
        )
        assert bool(count_rejections(gateway)) is expected
        assert bool(find_rejected(responses)) is expected


def make_overload(gateway, rejection=Rejection.SHARE):
    """Return reports whose decision is to reject everything."""
    overload = Overload(decisions=gateway.decisions, metrics=gateway.metrics)
    overload.control.decide = lambda *_services, **_fields: rejection
    overload.enabled = True
    return overload


def reject(overload, gateway, *, tenant='', priority=1, now=1.0):
    """Reject a request of a tenant."""
    caller = gateway.wire.read_request(make_request())
    caller.tenant = tenant
    caller.priority = priority
    return overload.rejects(
        caller, make_route(), ('s',), remaining_s=1, now=now
    )


class TestReports:
    def test_number_of_counters_is_bounded(self):
        """Priorities are configuration of any size."""
        gateway = make_gateway()
        overload = make_overload(gateway)
        for number in range(2000):
            reject(overload, gateway, tenant=f't{number}', priority=number)
        counts = count_rejections(gateway)
        assert len(counts) == COUNTED_PRIORITIES + 1
        assert counts['share', f'{COUNTED_PRIORITIES}+'] == 1990

    async def test_rejections_count_by_tenant_and_return_their_permits(self):
        gateway = make_gateway()
        configure(gateway, make_route())
        gateway.overload.enabled = True
        register(gateway, make_entry(FakeTarget(1)))
        gateway.overload.control.decide = lambda *_services, **_fields: (
            Rejection.SHARE
        )
        returned = []
        gateway.quotas.give_back = returned.append

        def identify(caller, _route):
            caller.tenant = 'blue'

        gateway.tenants.identify = identify
        response = await gateway.async_handle(make_request())
        assert response.body == b'busy'
        assert [caller.tenant for caller in returned] == ['blue']
        labels = (('tenant', 'blue'), ('priority', '0'), ('reason', 'busy'))
        assert gateway.metrics.counts['tenant_refused', labels] == 1

    def test_one_line_for_the_rejections_of_a_second(self):
        gateway = make_gateway()
        lines = []
        gateway.decisions.write = lambda kind, **fields: lines.append(
            (kind, fields)
        )
        overload = make_overload(gateway)
        for number in range(100):
            reject(
                overload,
                gateway,
                tenant=f't{number % 8}',
                now=1.0 + number / 1000,
            )
        reject(overload, gateway, now=1.1 + LOG_INTERVAL_S)
        assert [kind for kind, _ in lines] == ['overload', 'overload']
        assert lines[1][1]['rejected'] == 100
        assert lines[1][1]['reasons'] == Counter({'share': 100})
        assert lines[1][1]['other_tenants'] > 0
