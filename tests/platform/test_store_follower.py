"""Tests of an instance that follows the store."""

import asyncio
import contextlib

from bitternturn.core.tasks import TaskSet
from bitternturn.platform.wire_names import KIND_INSTANCES
from bitternturn.standins.platform_store import (
    StoreFault,
)
from tests.gateway.helpers import SETTINGS, make_gateway, spy_on_log
from tests.platform.documents import configuration_document, target_document
from tests.platform.helpers import count_probes, make_follower
from tests.platform.test_mirror import async_until


@contextlib.asynccontextmanager
async def running_follower(standin):
    """Yield a gateway that follows a store."""
    gateway = make_gateway()
    gateway.fleet_state.instances_known = False
    tasks = TaskSet()
    follower = make_follower(SETTINGS, gateway, standin.server.port, tasks)
    follower.start()
    try:
        yield gateway
    finally:
        await tasks.async_stop()


class TestFollowing:
    async def test_changes_of_each_kind_are_applied(self, standin):
        async with running_follower(standin) as gateway:
            await async_until(lambda: gateway.fleet_state.complete)
            assert gateway.version == 7
            assert [target.entry.id for target in gateway.ready['s']] == ['t1']
            standin.put('config', 'main', configuration_document(9))
            standin.put('evacuations', 'north', {})
            await async_until(lambda: gateway.version == 9)
            await async_until(lambda: not gateway.ready.get('s'))
            standin.delete('evacuations', 'north')
            await async_until(lambda: gateway.ready.get('s'))
            standin.put('servers', 't1', target_document(state='draining'))
            await async_until(lambda: not gateway.ready.get('s'))

    async def test_invalid_configuration_is_ignored(self, standin):
        async with running_follower(standin) as gateway:
            await async_until(lambda: gateway.version == 7)
            standin.put('config', 'main', {'version': 'later'})
            standin.put('config', 'main', configuration_document(8))
            await async_until(lambda: gateway.version == 8)

    async def test_invalid_tenants_keep_the_last_valid_version(self, standin):
        """A malformed block must neither open the routes nor close them."""
        tenants = [{'name': 'blue', 'api-keys': ['blue-key']}]
        async with running_follower(standin) as gateway:
            await async_until(lambda: gateway.version == 7)
            lines = spy_on_log(gateway)
            for version, listed in ((8, tenants), (9, tenants * 2), (10, {})):
                document = configuration_document(version, tenants=listed)
                standin.put('config', 'main', document)
                await async_until(lambda: gateway.version == 8)
            await async_until(lambda: sum('error' in it for it in lines) == 2)
            assert gateway.version == 8
            assert list(gateway.tenants.by_name) == ['blue']
            assert 'blue-key' not in repr(lines)


class TestInstances:
    async def test_not_ready_before_the_instances_are_known(self, standin):
        """Without their number, instances exceeded the targets' connections."""
        for number in range(8):
            standin.put(KIND_INSTANCES, f'i{number}', {})
        refused = f'GET /bitternturn/objects/{KIND_INSTANCES}'
        standin.choose_fault = lambda count: (
            StoreFault.BUSY
            if standin.calls[count] == refused and not released
            else StoreFault.NONE
        )
        released = []
        async with running_follower(standin) as gateway:
            await async_until(lambda: gateway.version == 7)
            await asyncio.sleep(0.2)
            assert not gateway.fleet_state.complete
            released.append(True)
            await async_until(lambda: gateway.fleet_state.complete)
            await async_until(lambda: gateway.instance_count == 9)

    async def test_limits_are_shared_with_later_instances(self, standin):
        async with running_follower(standin) as gateway:
            await async_until(lambda: gateway.fleet_state.complete)
            slack = gateway.retry_budget('s').slack
            standin.put(KIND_INSTANCES, 'another', {})
            await async_until(lambda: gateway.instance_count == 2)
            assert gateway.retry_budget('s').slack == slack / 2


class TestOutages:
    async def test_kinds_share_the_probes_of_an_unavailable_store(
        self, standin
    ):
        """Calls to the store are billed even when it rejects them."""
        async with running_follower(standin) as gateway:
            await async_until(lambda: gateway.fleet_state.complete)
            before = len(standin.calls)
            started = gateway.now()
            standin.choose_fault = lambda _: StoreFault.BUSY
            standin.complete_pending_watches()
            await asyncio.sleep(2)
            made = len(standin.calls) - before
            # One failed watch for each of the four kinds, then the probes.
            assert made <= 4 + count_probes(gateway.now() - started)
            standin.choose_fault = lambda _: StoreFault.NONE
            standin.put('config', 'main', configuration_document(9))
            standin.put('evacuations', 'north', {})
            standin.put(KIND_INSTANCES, 'another', {})
            await async_until(lambda: gateway.version == 9)
            await async_until(lambda: not gateway.ready.get('s'))
            await async_until(lambda: gateway.instance_count == 2)
