"""Tests of requests of tenants, which carry API keys."""

import asyncio
import dataclasses

import pytest

from bitternturn.core.ids import Version
from bitternturn.gateway.models import (
    RefusalReason,
    RepeatPolicy,
    Tenant,
)
from bitternturn.gateway.tenants import TenantTable
from bitternturn.platform.http_messages import read_request
from bitternturn.standins.platform_target import (
    PlatformTarget,
    ScriptedBehaviour,
)
from tests.gateway.helpers import (
    configure,
    make_entry,
    make_gateway,
    make_request,
    make_route,
    make_scripted_target,
    make_shard_route,
    register,
    running_targets,
    spy_on_log,
)

BLUE = Tenant(name='blue', api_keys=(b'blue-key', b'new-blue-key'), priority=0)
RED = Tenant(name='red', api_keys=(b'red-key',))
PUBLIC_ROUTE = make_route(name='open', prefix='/open/', public=True)
# Headers of callers without a valid key.
INVALID_KEYS = {
    'missing': [],
    'unknown': [(b'x-api-key', b'other-key')],
    'prefix': [(b'x-api-key', b'blue')],
    'empty': [(b'x-api-key', b'')],
    'twice': [(b'x-api-key', b'blue-key'), (b'x-api-key', b'blue-key')],
    'two tenants': [(b'x-api-key', b'blue-key'), (b'x-api-key', b'red-key')],
    'long': [(b'x-api-key', b'k' * 16_384)],
    'binary': [(b'x-api-key', 'blue-k\u00e9y'.encode())],
}


def configure_tenants(gateway, *routes, tenants=(BLUE, RED), version=1):
    """Apply a configuration with tenants."""
    draft = make_gateway()
    configure(draft, *routes, version=version)
    gateway.apply_configuration(
        dataclasses.replace(
            draft.fleet_state.configuration,
            version=Version(version),
            tenants=tuple(tenants),
        )
    )


def make_keyed(key=b'blue-key', *pairs, **fields):
    """Return a request with a key."""
    return make_request(pairs=[(b'x-api-key', key), *pairs], **fields)


async def async_serve(gateway, target, request):
    """Return the response to a request that one target can serve."""
    async with running_targets(target):
        register(gateway, make_entry(target))
        return await gateway.async_handle(request)


def make_tenant_gateway(**fields):
    """Return a gateway with tenants, a route and a public route."""
    gateway = make_gateway()
    configure_tenants(gateway, make_route(), PUBLIC_ROUTE, **fields)
    return gateway


class TestKeys:
    async def test_target_gets_the_tenant_and_not_the_key(self):
        target = PlatformTarget(id='t1')
        request = make_keyed(
            b'blue-key', (b'x-tenant', b'red'), (b'x-other', b'kept')
        )
        response = await async_serve(make_tenant_gateway(), target, request)
        assert response.status == 200
        headers = target.requests[0].headers
        assert headers['x-tenant'] == 'blue'
        assert headers['x-other'] == 'kept'
        assert 'x-api-key' not in headers

    async def test_hop_by_hop_key_is_still_read(self):
        """A caller may list the header in `Connection`; it must not vanish."""
        target = PlatformTarget(id='t1')
        request = make_keyed(
            b'red-key', (b'connection', b'x-api-key, x-tenant')
        )
        response = await async_serve(make_tenant_gateway(), target, request)
        assert response.status == 200
        assert target.requests[0].headers['x-tenant'] == 'red'

    @pytest.mark.parametrize('kind', INVALID_KEYS)
    async def test_request_without_a_valid_key_is_refused(self, kind):
        target = PlatformTarget(id='t1')
        gateway = make_tenant_gateway()
        lines = spy_on_log(gateway)
        request = make_request(pairs=INVALID_KEYS[kind])
        response = await async_serve(gateway, target, request)
        assert response.status == 401
        assert 'www-authenticate' in response.headers
        assert not target.requests
        for _, key in INVALID_KEYS[kind]:
            assert not key or key.decode('latin-1') not in repr(lines)

    async def test_unknown_route_comes_first(self):
        gateway = make_tenant_gateway()
        register(gateway)
        response = await gateway.async_handle(make_request(path='/nowhere'))
        assert response.status == 404

    async def test_missing_configuration_comes_first(self):
        gateway = make_gateway()
        response = await gateway.async_handle(make_keyed(b'other-key'))
        assert response.status == 503

    @pytest.mark.parametrize('key', [b'blue-key', b'other-key', b''])
    async def test_public_route_needs_no_key_and_forwards_none(self, key):
        target = PlatformTarget(id='t1')
        request = make_keyed(key, (b'x-tenant', b'red'), path='/open/x')
        response = await async_serve(make_tenant_gateway(), target, request)
        assert response.status == 200
        assert not {'x-tenant', 'x-api-key'} & set(target.requests[0].headers)

    async def test_headers_are_forwarded_without_tenants(self):
        """Other deployments may use the same headers for their own purposes."""
        target = PlatformTarget(id='t1')
        gateway = make_gateway()
        configure(gateway, make_route())
        request = make_keyed(b'some-key', (b'x-tenant', b'their own'))
        response = await async_serve(gateway, target, request)
        assert response.status == 200
        headers = target.requests[0].headers
        assert headers['x-api-key'] == 'some-key'
        assert headers['x-tenant'] == 'their own'

    async def test_retries_get_the_tenant_and_not_the_key(self):
        targets = [
            make_scripted_target(f't{number}', ScriptedBehaviour.RESET)
            for number in range(2)
        ]
        gateway = make_tenant_gateway()
        async with running_targets(*targets):
            register(gateway, *map(make_entry, targets))
            await gateway.async_handle(make_keyed())
        seen = [it for target in targets for it in target.requests]
        assert len(seen) > 1
        assert {it.headers['x-tenant'] for it in seen} == {'blue'}
        assert not any('x-api-key' in it.headers for it in seen)

    async def test_parts_and_hedges_get_the_tenant_and_not_the_key(self):
        targets = [
            make_scripted_target(
                f't{number}',
                *([ScriptedBehaviour.HANG] if number < 2 else []),
            )
            for number in range(6)
        ]
        gateway = make_gateway()
        configure_tenants(gateway, make_shard_route(3, latency_objective_s=0.2))
        async with running_targets(*targets):
            register(
                gateway,
                *(
                    make_entry(target, f's{number % 3}')
                    for number, target in enumerate(targets)
                ),
            )
            await gateway.async_handle(make_keyed())
        seen = [it for target in targets for it in target.requests]
        assert len(seen) >= 3
        assert {it.headers['x-tenant'] for it in seen} == {'blue'}
        assert not any('x-api-key' in it.headers for it in seen)


class TestPriority:
    @pytest.mark.parametrize(
        ('key', 'path', 'priority'),
        [
            (b'blue-key', '/a/x', 0),
            (b'red-key', '/a/x', 1),
            (b'blue-key', '/open/x', 1),
        ],
    )
    def test_priority_of_the_tenant_replaces_that_of_the_route(
        self, key, path, priority
    ):
        table = TenantTable(tenants=[BLUE, RED])
        route = PUBLIC_ROUTE if path.startswith('/open') else make_route()
        caller = read_request(make_keyed(key, path=path))
        assert table.identify(caller, route) is None
        assert caller.priority == priority


async def async_start_waiting(gateway, target, request):
    """Return a task with a request that waits for a connection."""
    register(gateway, make_entry(target))
    target_state = gateway.targets[target.id]
    target_state.connections.open = lambda **counts: None
    task = asyncio.ensure_future(gateway.async_handle(request))
    while not target_state.queued:
        await asyncio.sleep(0)
    return task


class TestChanges:
    async def test_removed_and_added_keys_apply_to_the_next_request(self):
        target = PlatformTarget(id='t1')
        gateway = make_tenant_gateway(tenants=[RED])
        async with running_targets(target):
            register(gateway, make_entry(target))
            statuses = []
            for version, tenants in ((1, [RED]), (2, [RED, BLUE]), (3, [RED])):
                configure_tenants(
                    gateway, make_route(), tenants=tenants, version=version
                )
                response = await gateway.async_handle(make_keyed())
                statuses.append(response.status)
        assert statuses == [401, 200, 401]

    async def test_waiting_request_is_refused_when_its_key_is_removed(self):
        gateway = make_tenant_gateway()
        target = PlatformTarget(id='t1')
        async with running_targets(target):
            task = await async_start_waiting(gateway, target, make_keyed())
            configure_tenants(gateway, make_route(), tenants=[RED], version=2)
            response = await asyncio.wait_for(task, 0.5)
        assert response.status == 401
        assert response.body == RefusalReason.UNAUTHORIZED.value.encode()
        assert not target.requests

    async def test_waiting_request_is_checked_when_tenants_are_introduced(self):
        gateway = make_gateway()
        configure(gateway, make_route())
        target = PlatformTarget(id='t1')
        async with running_targets(target):
            task = await async_start_waiting(
                gateway, target, make_keyed(b'other-key')
            )
            configure_tenants(gateway, make_route(), version=2)
            response = await asyncio.wait_for(task, 0.5)
        assert response.status == 401
        assert not target.requests

    async def test_sent_request_goes_on_when_its_key_is_removed(self):
        """A request that may have run must not be reported as refused."""
        gateway = make_gateway()
        once = make_route(repeat_policy=RepeatPolicy.AT_MOST_ONCE)
        configure_tenants(gateway, once)
        target = PlatformTarget(id='t1', delay_s=0.1)
        async with running_targets(target):
            register(gateway, make_entry(target))
            task = asyncio.ensure_future(gateway.async_handle(make_keyed()))
            while not target.requests:
                await asyncio.sleep(0.005)
            configure_tenants(gateway, once, tenants=[RED], version=2)
            response = await task
        assert response.status == 200


class TestTable:
    def test_key_of_another_table_is_unknown(self):
        caller = read_request(make_keyed(b'red-key'))
        table = TenantTable(tenants=[BLUE])
        found = table.identify(caller, make_route())
        assert found is RefusalReason.UNAUTHORIZED
        assert not caller.tenant

    def test_keys_are_in_no_representation(self):
        caller = read_request(make_keyed())
        assert 'blue-key' not in repr((caller.api_key is None, BLUE))
        assert 'api_key' not in repr(dataclasses.replace(caller, headers=()))
