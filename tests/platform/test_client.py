"""Tests of the object client against the stand-in with faults."""

import asyncio
import contextlib
import random

import pytest

from bitternturn.core.clock import monotonic
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.platform.budget import CallBudget
from bitternturn.platform.client import ObjectClient
from bitternturn.platform.follow import follow_kind
from bitternturn.standins.object_api import ObjectApi
from bitternturn.standins.object_faults import (
    ObjectFaults,
    ObjectLimits,
    Outage,
)
from bitternturn.standins.proxy import FaultProxy
from bitternturn.standins.proxy_faults import DirectionFaults, ProxyFaults


@contextlib.asynccontextmanager
async def running_api(*, limits=None, timeout_s=2.0, **settings):
    api = ObjectApi(limits=limits or ObjectLimits(heartbeat_s=0.02))
    await api.async_start(host='127.0.0.1')
    client = ObjectClient(
        host='127.0.0.1',
        port=api.port,
        timeout_s=timeout_s,
        rng=random.Random(1),
        now=monotonic,
        **settings,
    )
    try:
        yield api, client
    finally:
        client.close()
        await api.async_stop()


@contextlib.asynccontextmanager
async def running_proxied_api(**settings):
    async with running_api(timeout_s=0.5, **settings) as (api, client):
        proxy = FaultProxy(host='127.0.0.1', port=api.port)
        await proxy.async_start(host='127.0.0.1')
        client.transport.port = proxy.port
        try:
            yield api, proxy, client
        finally:
            await proxy.async_stop()


async def async_wait_until(condition):
    while not condition():
        await asyncio.sleep(0)


async def async_drop_connections(api):
    for connection in list(api.server.connections):
        connection.abort()


def code_of(caught):
    return caught.value.code


class TestObjects:
    async def test_writes_need_the_current_version(self):
        async with running_api() as (_, client):
            one = await client.async_put(
                kind='control', name='view', value=b'1', if_version=0
            )
            two = await client.async_put(
                kind='control', name='view', value=b'2', if_version=one
            )
            assert two > one
            for stale in (0, one):
                with pytest.raises(BitternturnError) as caught:
                    await client.async_put(
                        kind='control',
                        name='view',
                        value=b'3',
                        if_version=stale,
                    )
                assert code_of(caught) is ErrorCode.CONFLICT
            stored = await client.async_get('control', 'view')
            assert (stored.value, stored.version) == (b'2', two)
            listed = await client.async_list('control')
            assert listed.items == (stored,)
            await client.async_delete('control', 'view', two)
            assert await client.async_get('control', 'view') is None
            again = await client.async_put(
                kind='control', name='view', value=b'4', if_version=0
            )
            assert again > two + 1

    async def test_reached_at_is_the_start_of_the_call(self):
        async with running_api() as (api, client):
            times = iter(range(10, 100))
            client.transport.now = lambda: float(next(times))
            assert await client.async_get('control', 'view') is None
            assert client.reached_at == 10
            assert client.failed_at is None
            await api.async_stop()
            with pytest.raises(BitternturnError) as caught:
                await client.async_get('control', 'view')
            assert code_of(caught) is ErrorCode.PLATFORM_UNREACHABLE
            assert client.reached_at == 10
            assert client.failed_at > 10


class TestLostResponses:
    @pytest.mark.parametrize('attempts', [1, 4])
    async def test_write_is_recognised_by_its_token(self, attempts):
        async with running_api(max_attempts=attempts) as (api, client):
            api.set_faults(ObjectFaults(lost_answers=1))
            version = await client.async_put(
                kind='claims', name='b0', value=b'mine', if_version=0
            )
            assert [it.version for it in api.store.commits] == [version]

    async def test_write_of_another_client_is_a_conflict(self):
        async with running_api() as (api, client):
            first = api.store.put(
                kind='claims', name='b0', value=b'1', token='other'
            )
            api.set_faults(ObjectFaults(lost_answers=1))
            write = asyncio.create_task(
                client.async_put(
                    kind='claims', name='b0', value=b'2', if_version=first
                )
            )
            await api.store.async_wait_for_change(5)
            api.store.put(kind='claims', name='b0', value=b'3', token='other')
            with pytest.raises(BitternturnError) as caught:
                await write
            assert code_of(caught) is ErrorCode.CONFLICT

    async def test_result_is_unknown_when_the_store_stops_responding(self):
        async with running_api(timeout_s=0.05) as (api, client):
            api.set_faults(ObjectFaults(outage=Outage.SILENT))
            with pytest.raises(BitternturnError) as caught:
                await client.async_put(
                    kind='claims', name='b0', value=b'1', if_version=0
                )
            assert code_of(caught) is ErrorCode.UNKNOWN_RESULT

    @pytest.mark.parametrize('read_rate', [0, 100])
    async def test_completed_deletion_is_recognised(self, read_rate):
        limits = ObjectLimits(read_rate_per_s=read_rate)
        async with running_api(limits=limits) as (api, client):
            version = api.store.put(
                kind='claims', name='b0', value=b'1', token='t'
            )
            api.set_faults(ObjectFaults(lost_answers=1))
            await client.async_delete('claims', 'b0', version)
            assert [it.deleted for it in api.store.commits] == [False, True]


class TestWatch:
    async def test_each_later_write_is_yielded(self):
        async with running_api() as (api, client):
            api.store.put(kind='control', name='a', value=b'1', token='t')
            watch = client.watch('control', 1)
            pending = asyncio.create_task(anext(watch))
            await async_wait_until(lambda: api.open_watch_count)
            api.store.put(kind='claims', name='b', value=b'2', token='t')
            api.store.put(kind='control', name='a', value=b'3', token='t')
            assert (await pending).value == b'3'
            api.store.delete('control', 'a')
            assert (await anext(watch)).deleted
            await watch.aclose()

    @pytest.mark.parametrize(
        ('prepare', 'start', 'code'),
        [
            (
                lambda api: api.set_faults(ObjectFaults(silent_watches=True)),
                1,
                ErrorCode.PLATFORM_UNREACHABLE,
            ),
            (
                lambda api: api.set_faults(
                    ObjectFaults(outage=Outage.REFUSING)
                ),
                1,
                ErrorCode.PLATFORM_UNREACHABLE,
            ),
            (lambda api: api.store.compact_history(), 0, ErrorCode.WATCH_GONE),
        ],
    )
    async def test_failures_have_their_error_code(self, prepare, start, code):
        async with running_api(heartbeat_s=0.02) as (api, client):
            api.store.put(kind='control', name='a', value=b'1', token='t')
            prepare(api)
            with pytest.raises(BitternturnError) as caught:
                await anext(client.watch('control', start))
            assert code_of(caught) is code


class TestBudget:
    async def test_calls_over_the_rate_of_the_store_are_refused(self):
        limits = ObjectLimits(read_rate_per_s=1e-9, burst_s=2e9)
        async with running_api(limits=limits) as (api, client):
            await client.async_get('control', 'view')
            await client.async_get('control', 'view')
            with pytest.raises(BitternturnError) as caught:
                await client.async_get('control', 'view')
            assert code_of(caught) is ErrorCode.PLATFORM_BUSY
            assert api.refused_call_count == client.max_attempts

    async def test_calls_over_the_budget_of_the_client_are_refused(self):
        budget = CallBudget(rate=0, burst=1)
        async with running_api(budget=budget) as (api, client):
            await client.async_get('control', 'view')
            with pytest.raises(BitternturnError) as caught:
                await client.async_get('control', 'view')
            assert code_of(caught) is ErrorCode.PLATFORM_BUSY
            assert api.call_count == 1

    async def test_large_values_are_refused(self):
        async with running_api(limits=ObjectLimits(value_bytes=9)) as (
            _,
            client,
        ):
            for size in (9, 10, 9999):
                write = client.async_put(
                    kind='a', name=f's{size}', value=b'v' * size, if_version=0
                )
                if size == 9:
                    assert await write == 1
                    continue
                with pytest.raises(BitternturnError) as caught:
                    await write
                assert code_of(caught) is ErrorCode.BODY_TOO_LARGE


class TestTimedReads:
    async def test_start_is_that_of_the_successful_call(self):
        async with running_api() as (api, client):
            times = iter(range(10, 100))
            client.transport.now = lambda: float(next(times))
            api.set_faults(ObjectFaults(outage=Outage.SILENT))
            slow = asyncio.create_task(client.async_get_timed('a', 'b'))
            await async_wait_until(lambda: api.call_count == 1)
            api.set_faults(ObjectFaults())
            await client.async_get('a', 'b')
            later = client.reached_at
            await async_drop_connections(api)
            assert (await slow).started_at > later > 10
            assert client.reached_at == (await slow).started_at


class TestFollow:
    async def test_resumes_after_failures_and_lists_again(self):
        async with running_api(heartbeat_s=0.02) as (api, client):
            first = api.store.put(
                kind='control', name='a', value=b'1', token='t'
            )
            changes = follow_kind(client, 'control')
            assert (await anext(changes)).version == first
            for value in (b'2', b'3'):
                pending = asyncio.create_task(anext(changes))
                await async_wait_until(lambda: api.open_watch_count)
                await async_drop_connections(api)
                api.store.put(kind='control', name='a', value=value, token='t')
                assert (await pending).value == value
            pending = asyncio.create_task(anext(changes))
            await async_wait_until(lambda: api.open_watch_count)
            api.set_faults(ObjectFaults(outage=Outage.REFUSING))
            last = api.store.put(
                kind='control', name='b', value=b'3', token='t'
            )
            api.store.compact_history()
            await async_wait_until(lambda: not api.open_watch_count)
            api.set_faults(ObjectFaults())
            listed = await pending
            assert [it.name for it in listed.items] == ['a', 'b']
            assert listed.version == last
            await changes.aclose()


class TestUnresponsiveConnections:
    async def test_read_is_retried_on_a_new_connection(self):
        async with running_proxied_api() as (_, proxy, client):
            assert await client.async_get('control', 'view') is None
            proxy.blackhole_connections()
            assert await client.async_get('control', 'view') is None
            assert client.failed_at < client.reached_at
            assert proxy.accepted_count > 1

    async def test_idle_connections_are_closed_with_an_unresponsive_one(self):
        async with running_proxied_api(max_attempts=2) as (_, proxy, client):
            reads = [client.async_get('control', str(it)) for it in range(3)]
            await asyncio.gather(*reads)
            assert len(client.transport.idle_connections) == 3
            proxy.blackhole_connections()
            assert await client.async_get('control', 'view') is None

    async def test_write_with_a_lost_response_is_done_once(self):
        async with running_proxied_api() as (api, proxy, client):
            await client.async_get('control', 'view')
            proxy.connections[0].faults = ProxyFaults(
                up=DirectionFaults(), down=DirectionFaults(blackholed=True)
            )
            version = await client.async_put(
                kind='control', name='view', value=b'1', if_version=0
            )
            assert [it.version for it in api.store.commits] == [version]

    async def test_half_open_watch_raises(self):
        async with running_proxied_api(heartbeat_s=0.02) as (
            api,
            proxy,
            client,
        ):
            pending = asyncio.create_task(anext(client.watch('control', 0)))
            await async_wait_until(lambda: api.open_watch_count)
            proxy.half_open_connections()
            with pytest.raises(BitternturnError) as caught:
                await pending
            assert code_of(caught) is ErrorCode.PLATFORM_UNREACHABLE
