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
    delays,
    no_faults,
)


@contextlib.asynccontextmanager
async def proxied():
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


async def until(condition):
    while not condition():
        await asyncio.sleep(0)


class TestPassing:
    @pytest.mark.parametrize('faults', [no_faults(), delays(0.001)])
    async def test_large_bodies_arrive_whole(self, faults):
        async with proxied() as (_, proxy, _):
            proxy.set_faults(faults)
            client = await connect(proxy)
            for size in (1, 700_000):
                assert await post(client, b'x' * size) == b'x' * size
            client.close()
            await until(lambda: not proxy.connections)

    async def test_pieces_keep_their_order_when_the_delay_shrinks(self):
        pieces = []
        line = DelayLine(deliver=pieces.append)
        for number, delay_s in enumerate((0.01, 0.001, 0, 0.005)):
            line.push(bytes([number]), delay_s)
        await until(lambda: len(pieces) == 4)
        assert b''.join(pieces) == bytes(range(4))


class TestFaults:
    async def test_open_connections_go_silent_and_new_ones_work(self):
        async with proxied() as (_, proxy, bodies):
            old = await connect(proxy)
            await post(old, b'one')
            proxy.silence_open()
            waiting = asyncio.create_task(post(old, b'two'))
            new = await connect(proxy)
            assert await post(new, b'three') == b'three'
            assert bodies == [b'one', b'three']
            assert not waiting.done()
            waiting.cancel()

    async def test_loss_of_the_way_back_alone(self):
        async with proxied() as (_, proxy, bodies):
            proxy.set_faults(
                ProxyFaults(
                    up=DirectionFaults(), down=DirectionFaults(lost=True)
                )
            )
            client = await connect(proxy)
            waiting = asyncio.create_task(post(client))
            await until(lambda: bodies)
            assert bodies == [b'body']
            waiting.cancel()
            await asyncio.wait([waiting])
            assert waiting.cancelled()

    @pytest.mark.parametrize('action', ['reset_open', 'async_stop'])
    async def test_closed_connections_fail(self, action):
        async with proxied() as (_, proxy, _):
            client = await connect(proxy)
            await post(client)
            outcome = getattr(proxy, action)()
            if outcome is not None:
                await outcome
            await until(lambda: not client.usable)
            assert not proxy.connections

    async def test_truncated_answer(self):
        async with proxied() as (_, proxy, _):
            proxy.set_faults(
                ProxyFaults(
                    up=DirectionFaults(),
                    down=DirectionFaults(truncate_after=300_000),
                )
            )
            client = await connect(proxy)
            with pytest.raises(BitternturnError) as caught:
                await post(client, b'x' * 900_000)
            assert caught.value.code is ErrorCode.CONNECTION_LOST

            reader, writer = await asyncio.open_connection(
                '127.0.0.1', proxy.port
            )
            writer.write(
                b'POST / HTTP/1.1\r\nhost: a\r\n'
                b'content-length: 900000\r\n\r\n' + b'x' * 900_000
            )
            assert len(await reader.read()) == 300_000
            writer.close()

    async def test_half_open(self):
        async with proxied() as (server, proxy, _):
            client = await connect(proxy)
            await post(client)
            proxy.half_open()
            await until(lambda: not server.connections)
            assert client.usable

    async def test_refuses_and_accepts_again(self):
        async with proxied() as (_, proxy, _):
            kept = await connect(proxy)
            assert await post(kept) == b'body'
            proxy.refuse_new()
            with pytest.raises(BitternturnError) as caught:
                await connect(proxy)
            assert caught.value.step == 'connect'
            assert await post(kept) == b'body'
            await proxy.async_accept_new()
            assert await post(await connect(proxy)) == b'body'
