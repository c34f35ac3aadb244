"""Tests of the quotas of tenants at one instance."""

import asyncio
import dataclasses

import pytest

from bitternturn.gateway.models import Tenant
from bitternturn.gateway.quotas import QuotaAsk
from bitternturn.gateway.tenants import MAX_TENANT_LABELS, TenantLabels
from bitternturn.policy.quota import QuotaBound, rank_holders
from bitternturn.standins.platform_target import (
    PlatformTarget,
    ScriptedBehaviour,
)
from tests.gateway.helpers import (
    make_entry,
    make_gateway,
    make_route,
    make_scripted_target,
    register,
    running_targets,
    spy_on_log,
)
from tests.gateway.test_tenants import configure_tenants, make_keyed

BOUND = QuotaBound(window_s=5, excess=0.1, slack=20)


def make_limited(rate=20, burst=4, **fields):
    """Return a tenant with a quota."""
    return Tenant(
        name='blue',
        api_keys=(b'blue-key',),
        rate_per_s=rate,
        burst=burst,
        **fields,
    )


def make_quota_gateway(*, bound=BOUND, tenant=None, names=None):
    """Return a gateway with a tenant, alone unless others are named."""
    gateway = make_gateway()
    gateway.quotas.bound = bound
    configure_tenants(gateway, make_route(), tenants=[tenant or make_limited()])
    gateway.update_instances(names or [gateway.settings.name])
    return gateway


async def async_ask_all(gateway, count):
    """Send some requests at once; return the responses."""
    return await asyncio.gather(
        *(
            gateway.async_handle(make_keyed(request_id=f'q{number}'))
            for number in range(count)
        )
    )


def fill(gateway, tokens):
    """Give the holder of the quota some tokens."""
    holder = gateway.quotas.by_tenant['blue'].holder
    holder.holder_bucket.restart(gateway.now())
    holder.holder_bucket.add(tokens, gateway.now())


class TestHolder:
    async def test_requests_above_the_quota_are_rejected(self):
        target = PlatformTarget(id='t1')
        gateway = make_quota_gateway(tenant=make_limited(rate=2, burst=3))
        async with running_targets(target):
            register(gateway, make_entry(target, slots=20))
            fill(gateway, 3)
            lines = spy_on_log(gateway)
            responses = await async_ask_all(gateway, 10)
        statuses = sorted(it.status for it in responses)
        assert statuses == [200] * 3 + [429] * 7
        assert len(target.requests) == 3
        waits = [
            float(it.headers['retry-after'])
            for it in responses
            if it.status == 429
        ]
        assert all(0.3 <= it <= 0.5 for it in waits)
        refused = [it for it in lines if it.get('reason') == 'over_quota']
        assert {it['tenant'] for it in refused} == {'blue'}

    async def test_credit_returns_at_the_stated_time(self):
        target = PlatformTarget(id='t1')
        gateway = make_quota_gateway(tenant=make_limited(rate=10, burst=1))
        async with running_targets(target):
            register(gateway, make_entry(target))
            fill(gateway, 0)
            refused = await gateway.async_handle(make_keyed())
            await asyncio.sleep(float(refused.headers['retry-after']) + 0.005)
            served = await gateway.async_handle(make_keyed())
        assert (refused.status, served.status) == (429, 200)

    @pytest.mark.parametrize(
        'fields',
        [{'bound': None}, {'tenant': make_limited(rate=0)}],
    )
    async def test_no_bound_or_no_rate_means_no_limit(self, fields):
        target = PlatformTarget(id='t1')
        gateway = make_quota_gateway(**fields)
        async with running_targets(target):
            register(gateway, make_entry(target, slots=20))
            responses = await async_ask_all(gateway, 15)
        assert {it.status for it in responses} == {200}

    async def test_rejected_without_a_target_gives_the_permit_back(self):
        gateway = make_quota_gateway(tenant=make_limited(rate=0.1, burst=1))
        register(gateway)
        fill(gateway, 1)
        for _ in range(5):
            response = await gateway.async_handle(make_keyed())
            assert (response.status, response.body) == (503, b'no_target')

    async def test_request_that_has_not_run_gives_the_permit_back(self):
        target = make_scripted_target('t1', *[ScriptedBehaviour.NOT_RUN] * 50)
        gateway = make_quota_gateway(tenant=make_limited(rate=0.1, burst=1))
        async with running_targets(target):
            register(gateway, make_entry(target))
            fill(gateway, 1)
            for _ in range(3):
                response = await gateway.async_handle(make_keyed())
                assert response.status == 503

    async def test_lowered_limit_voids_saved_credit(self):
        target = PlatformTarget(id='t1')
        gateway = make_quota_gateway(tenant=make_limited(rate=20, burst=50))
        async with running_targets(target):
            register(gateway, make_entry(target, slots=50))
            fill(gateway, 50)
            configure_tenants(
                gateway,
                make_route(),
                tenants=[make_limited(rate=1, burst=2)],
                version=2,
            )
            responses = await async_ask_all(gateway, 30)
        assert sum(it.status == 200 for it in responses) <= 3

    async def test_request_that_has_waited_too_long_needs_another_permit(self):
        """A permit counts when it is taken; late use exceeds a later window."""
        gateway = make_quota_gateway(tenant=make_limited(rate=2, burst=1))
        target = PlatformTarget(id='t1')
        async with running_targets(target):
            register(gateway, make_entry(target))
            fill(gateway, 1)
            state = gateway.targets['t1']
            opened = state.connections.open
            state.connections.open = lambda **counts: None
            task = asyncio.ensure_future(gateway.async_handle(make_keyed()))
            while not state.queued:
                await asyncio.sleep(0)
            caller = state.queued.candidates()[0].caller
            caller.permit = dataclasses.replace(
                caller.permit, valid_until=gateway.now() - 1
            )
            fill(gateway, 0)
            state.connections.open = opened
            state._open_connections()
            response = await task
        assert response.status == 503
        assert not target.requests


class TestOthers:
    async def test_unreachable_ranks_are_reported_as_not_run(self):
        names = [f'i{number}' for number in range(5)]
        gateway = make_quota_gateway(names=names)
        register(gateway)
        response = await gateway.async_handle(make_keyed())
        assert (response.status, response.body) == (503, b'quota_unknown')
        assert 0 < float(response.headers['retry-after']) <= 1

    async def test_quota_is_not_held_before_the_members_are_known(self):
        """A restarted instance must not take itself for the only one."""
        gateway = make_gateway()
        gateway.quotas.names = ()
        gateway.quotas.bound = BOUND
        configure_tenants(gateway, make_route(), tenants=[make_limited()])
        assert not gateway.quotas.by_tenant['blue'].holder.holds

    async def test_lower_rank_can_not_take_the_quota(self):
        gateway = make_quota_gateway()
        names = [f'i{number}' for number in range(20)]
        own = gateway.settings.name
        lower = next(
            name
            for name in names
            if rank_holders('blue', [name, own])[0] == own
        )
        quotas = gateway.quotas
        assert quotas.answer(QuotaAsk(tenant='blue', holder=lower)) is None
        assert quotas.by_tenant['blue'].holder.holds

    async def test_unknown_tenant_is_not_answered(self):
        gateway = make_quota_gateway()
        assert gateway.quotas.answer(QuotaAsk(tenant='red', count=1)) is None


class TestMetrics:
    def test_number_of_tenants_is_limited(self):
        labels = TenantLabels()
        found = {labels.find(f't{number}') for number in range(500)}
        assert len(found) == MAX_TENANT_LABELS + 1
