"""Tests of the fault-injecting proxy."""

import asyncio
import contextlib

import pytest

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.http.client import async_connect
from bitternturn.http.models import Request, Response
from bitternturn.http.server import HttpServer
from bitternturn.standins.proxy import FaultProxy
from bitternturn.standins.proxy_faults import (
    DelayLine,
    DirectionFaults,
    ProxyFaults,
    delay_both_directions,
    no_faults,
)


@contextlib.asynccontextmanager
async def running_proxy():
    bodies = []

    async def echo(request: Request) -> Response:
        bodies.append(request.body)
        return Response(body=request.body)

    server = HttpServer(handler=echo)
    await server.async_start(host='127.0.0.1', port=0)
    proxy = FaultProxy(host='127.0.0.1', port=server.port)
    await proxy.async_start(host='127.0.0.1')
    try:
        yield server, proxy, bodies
    finally:
        await proxy.async_stop()
        await server.async_stop()


async def connect(proxy):
    return await async_connect(host='127.0.0.1', port=proxy.port)


async def post(client, body=b'body'):
    response = await client.async_exchange(
        method='POST', path='/', headers={}, body=body
    )
    return response.body


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0)


class TestForwarding:
    @pytest.mark.parametrize(
        'faults', [no_faults(), delay_both_directions(0.001)]
    )
    async def test_large_bodies_arrive_complete(self, faults):
        async with running_proxy() as (_, proxy, _):
            proxy.set_faults(faults)
            client = await connect(proxy)
            for size in (1, 700_000):
                assert await post(client, b'x' * size) == b'x' * size
            client.close()
            await wait_until(lambda: not proxy.connections)

    async def test_chunks_keep_their_order_when_the_delay_shrinks(self):
        chunks = []
        line = DelayLine(deliver=chunks.append)
        for number, delay_s in enumerate((0.01, 0.001, 0, 0.005)):
            line.enqueue(bytes([number]), delay_s)
        await wait_until(lambda: len(chunks) == 4)
        assert b''.join(chunks) == bytes(range(4))


class TestFaults:
    async def test_blackholes_open_connections_only(self):
        async with running_proxy() as (_, proxy, bodies):
            old = await connect(proxy)
            await post(old, b'one')
            proxy.blackhole_connections()
            pending = asyncio.create_task(post(old, b'two'))
            new = await connect(proxy)
            assert await post(new, b'three') == b'three'
            assert bodies == [b'one', b'three']
            assert not pending.done()
            pending.cancel()

    async def test_answers_lost_but_requests_delivered(self):
        async with running_proxy() as (_, proxy, bodies):
            proxy.set_faults(
                ProxyFaults(
                    up=DirectionFaults(), down=DirectionFaults(blackholed=True)
                )
            )
            client = await connect(proxy)
            pending = asyncio.create_task(post(client))
            await wait_until(lambda: bodies)
            assert bodies == [b'body']
            pending.cancel()
            await asyncio.wait([pending])
            assert pending.cancelled()

    @pytest.mark.parametrize('action', ['reset_connections', 'async_stop'])
    async def test_reset_or_stop_closes_client_connections(self, action):
        async with running_proxy() as (_, proxy, _):
            client = await connect(proxy)
            await post(client)
            outcome = getattr(proxy, action)()
            if outcome is not None:
                await outcome
            await wait_until(lambda: not client.usable)
            assert not proxy.connections

    async def test_truncated_answer_ends_the_connection(self):
        async with running_proxy() as (_, proxy, _):
            proxy.set_faults(
                ProxyFaults(
                    up=DirectionFaults(),
                    down=DirectionFaults(truncate_after_bytes=300_000),
                )
            )
            client = await connect(proxy)
            with pytest.raises(BitternturnError) as error_info:
                await post(client, b'x' * 900_000)
            assert error_info.value.code is ErrorCode.CONNECTION_LOST

            reader, writer = await asyncio.open_connection(
                '127.0.0.1', proxy.port
            )
            writer.write(
                b'POST / HTTP/1.1\r\nhost: a\r\n'
                b'content-length: 900000\r\n\r\n' + b'x' * 900_000
            )
            assert len(await reader.read()) == 300_000
            writer.close()

    async def test_half_open_connection_stays_usable_for_client(self):
        async with running_proxy() as (server, proxy, _):
            client = await connect(proxy)
            await post(client)
            proxy.half_open_connections()
            await wait_until(lambda: not server.connections)
            assert client.usable

    async def test_refuses_then_accepts_new_connections(self):
        async with running_proxy() as (_, proxy, _):
            kept = await connect(proxy)
            assert await post(kept) == b'body'
            proxy.refuse_connections()
            with pytest.raises(BitternturnError) as error_info:
                await connect(proxy)
            assert error_info.value.step == 'connect'
            assert await post(kept) == b'body'
            await proxy.async_accept_connections()
            assert await post(await connect(proxy)) == b'body'
