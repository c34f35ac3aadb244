"""Tests of configuration distribution with faults of the object API."""

import asyncio
import random

import pytest

from bitternturn.configuration.models import ConfigurationKind
from bitternturn.core.clock import monotonic
from bitternturn.platform.client import ObjectClient
from bitternturn.standins.object_api import ObjectApi
from bitternturn.standins.object_faults import (
    ObjectFaults,
    ObjectLimits,
    Outage,
)
from tests.configuration.fakes import make_store, profiles_at
from tests.configuration.test_sync import Instance

PROFILES = ConfigurationKind.PROFILES
HEARTBEAT_S = 0.02


@pytest.fixture
async def api(stack):
    started = ObjectApi(limits=ObjectLimits(heartbeat_s=HEARTBEAT_S))
    await started.async_start(host='127.0.0.1')
    stack.push_async_callback(started.async_stop)
    return started


class Follower:
    """An instance that watches the store, with a method to await versions."""

    def __init__(self, api, stack):
        client = ObjectClient(
            host='127.0.0.1',
            port=api.port,
            timeout_s=2,
            rng=random.Random(2),
            now=monotonic,
            heartbeat_s=HEARTBEAT_S,
            max_attempts=1,
        )
        stack.callback(client.close)
        self.instance = Instance(client)
        self.changed = asyncio.Event()
        self.instance.state.subscribe(lambda kind: self.changed.set())
        stack.push_async_callback(self.instance.tasks.async_stop)
        self.instance.tasks.spawn(self.instance.sync.async_run())

    async def async_wait_for_version(self, version):
        while self.instance.state.version(PROFILES) < version:
            self.changed.clear()
            await self.changed.wait()


async def accept(store, name, if_version):
    return await store.async_accept(
        kind=PROFILES,
        content=profiles_at(1, name).profiles,
        if_version=if_version,
    )


class TestFaults:
    async def test_silent_watch_is_replaced(self, api, stack):
        store = make_store(api, stack)
        follower = Follower(api, stack)
        first = await accept(store, 'first', 0)
        await follower.async_wait_for_version(first)
        api.set_faults(ObjectFaults(silent_watches=True))
        second = await accept(store, 'second', first)
        # The open watch stays silent; only new watches receive events.
        api.set_faults(ObjectFaults())
        await follower.async_wait_for_version(second)
        assert follower.instance.state.profile('second') is not None

    async def test_recovers_from_outage_at_start_and_later(self, api, stack):
        store = make_store(api, stack)
        first = await accept(store, 'first', 0)
        api.set_faults(ObjectFaults(outage=Outage.REFUSING))
        follower = Follower(api, stack)
        while not follower.instance.sync.last_error:
            await asyncio.sleep(0)
        assert not follower.instance.sync.loaded.is_set()
        api.set_faults(ObjectFaults())
        await follower.async_wait_for_version(first)
        api.set_faults(ObjectFaults(outage=Outage.REFUSING))
        while api.open_watch_count:
            await asyncio.sleep(0)
        api.set_faults(ObjectFaults())
        await follower.async_wait_for_version(
            await accept(store, 'second', first)
        )
