"""Tests of the HTTP server with the client."""

import asyncio

import pytest

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.http.client import async_connect
from bitternturn.http.models import Request, Response
from bitternturn.http.server import HttpServer, ServerLimits


async def async_echo(request: Request) -> Response:
    return Response(headers={'x-path': request.path}, body=request.body)


async def async_send_raw(server: HttpServer, wire: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(server.host, server.port)
    writer.write(wire)
    answer = await reader.read()
    writer.close()
    return answer


class TestExchange:
    async def test_two_exchanges_on_one_connection(self):
        server = HttpServer(handler=async_echo)
        await server.async_start(host='127.0.0.1', port=0)
        client = await async_connect(host=server.host, port=server.port)
        for body in (b'one', b'two'):
            response = await client.async_exchange(
                method='POST', path='/a?b=1', headers={}, body=body
            )
            assert response.body == body
            assert response.headers['x-path'] == '/a'
        assert client.usable
        await server.async_stop()

    async def test_cancelled_exchange_cancels_the_handler(self):
        started = asyncio.Event()
        cancelled = asyncio.Event()

        async def wait(request: Request) -> Response:
            started.set()
            try:
                await asyncio.Event().wait()
            finally:
                cancelled.set()
            raise AssertionError

        server = HttpServer(handler=wait)
        await server.async_start(host='127.0.0.1', port=0)
        client = await async_connect(host=server.host, port=server.port)
        task = asyncio.create_task(
            client.async_exchange(method='GET', path='/', headers={})
        )
        await started.wait()
        task.cancel()
        await cancelled.wait()
        assert not client.usable
        await server.async_stop()

    async def test_lost_connection_fails_the_exchange(self):
        async def wait(request: Request) -> Response:
            await asyncio.Event().wait()
            raise AssertionError

        server = HttpServer(handler=wait)
        await server.async_start(host='127.0.0.1', port=0)
        client = await async_connect(host=server.host, port=server.port)
        task = asyncio.create_task(
            client.async_exchange(method='GET', path='/', headers={})
        )
        while not server.tasks.running:
            await asyncio.sleep(0)
        await server.async_stop()
        with pytest.raises(BitternturnError) as caught:
            await task
        assert caught.value.code is ErrorCode.CONNECTION_LOST


class TestLimits:
    @pytest.mark.parametrize(
        ('wire', 'status'),
        [
            (b'nonsense\r\n\r\n', b'400'),
            (b'GET / HTTP/1.1\r\nx: ' + b'a' * 20000, b'431'),
            (
                b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99\r\n\r\n'
                + b'a' * 99,
                b'413',
            ),
            (
                b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n'
                b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
                b'400',
            ),
            (b'GET / HTTP/1.1\r\nhost: a\r\n', b'408'),
        ],
    )
    async def test_invalid_requests_are_refused(self, wire, status):
        server = HttpServer(
            handler=async_echo,
            limits=ServerLimits(max_body_bytes=50, header_timeout_s=0.1),
        )
        await server.async_start(host='127.0.0.1', port=0)
        answer = await async_send_raw(server, wire)
        assert answer.split(b' ')[1] == status
        await server.async_stop()


class TestDrain:
    async def test_requests_in_flight_are_answered(self):
        release = asyncio.Event()

        async def wait(request: Request) -> Response:
            await release.wait()
            return Response(body=b'whole')

        server = HttpServer(handler=wait)
        await server.async_start(host='127.0.0.1', port=0)
        client = await async_connect(host=server.host, port=server.port)
        idle = await async_connect(host=server.host, port=server.port)
        task = asyncio.create_task(
            client.async_exchange(method='GET', path='/', headers={})
        )
        while not server.tasks.running:
            await asyncio.sleep(0)
        drain = asyncio.create_task(server.async_drain())
        await asyncio.sleep(0)
        release.set()
        assert (await task).body == b'whole'
        await drain
        assert not idle.usable
