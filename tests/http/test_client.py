"""Tests of the HTTP client against misbehaving servers."""

import asyncio

import h11
import pytest

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.http.client import async_connect
from bitternturn.http.headers import encode_headers
from bitternturn.http.models import Response
from bitternturn.http.server import HttpServer

ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


async def async_serve(answers, greeting=b'', *, close=False):
    """Answer each request with the next element of `answers`."""

    async def async_accept(reader, writer):
        writer.write(greeting)
        for answer in answers:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(answer)
        if not close:
            await reader.read()
        writer.close()

    server = await asyncio.start_server(async_accept, '127.0.0.1', 0)
    return server, server.sockets[0].getsockname()[1]


class TestUnsolicitedBytes:
    async def test_bytes_after_a_response_close_the_connection(self):
        server, port = await async_serve([ANSWER + ANSWER])
        client = await async_connect(host='127.0.0.1', port=port)
        response = await client.async_exchange(
            method='GET', path='/', headers={}
        )
        assert response.body == b'ok'
        assert not client.usable
        server.close()

    async def test_bytes_before_a_request_close_the_connection(self):
        server, port = await async_serve([], greeting=ANSWER[:9])
        client = await async_connect(host='127.0.0.1', port=port)
        closed = asyncio.Event()
        client.on_closed = closed.set
        await closed.wait()
        assert not client.usable
        server.close()


class TestBodyLimit:
    async def test_body_above_the_limit_is_an_error(self):
        async def async_answer(request):
            return Response(body=b'x' * 1000)

        server = HttpServer(handler=async_answer)
        await server.async_start(host='127.0.0.1', port=0)
        client = await async_connect(host=server.host, port=server.port)
        client.size.max_body_bytes = 999
        with pytest.raises(BitternturnError) as caught:
            await client.async_exchange(method='GET', path='/', headers={})
        assert caught.value.code is ErrorCode.BAD_ANSWER
        assert not client.usable
        await server.async_stop()


class TestHeaders:
    @pytest.mark.parametrize(
        ('name', 'value'),
        [
            ('x-shard', 'a\r\nx-snapshot: 9'),
            ('x-shard', 'a\nb'),
            ('x-shard', '\x00'),
            ('x-shard', 'caf\xe9'),
            ('x shard', 'a'),
            ('x-shard:', 'a'),
            ('', 'a'),
        ],
    )
    def test_invalid_headers_are_refused(self, name, value):
        with pytest.raises(h11.LocalProtocolError):
            encode_headers([(name, value)])

    def test_result_equals_that_of_h11(self):
        pairs = [('Host', 'a:1'), ('x-shard', ' a b '), ('x-empty', '')]
        ours = h11.Request(
            method='GET', target='/', headers=encode_headers(pairs)
        )
        stripped = [(name, value.strip()) for name, value in pairs]
        theirs = h11.Request(method='GET', target='/', headers=stripped)
        assert list(ours.headers) == list(theirs.headers)


class TestImpossibleAddresses:
    @pytest.mark.parametrize(
        ('host', 'port'), [('127.0.0.1', 65536), ('..', 80), ('a' * 99, 80)]
    )
    async def test_connecting_fails_like_any_connection(self, host, port):
        with pytest.raises(BitternturnError) as raised:
            await async_connect(host=host, port=port)
        assert raised.value.code is ErrorCode.CONNECTION_LOST


class TestTruncatedHead:
    HEAD = (
        b'HTTP/1.1 200 OK\r\nx-server-stamp: a.b.1\r\ncontent-length: 2\r\n\r\n'
    )

    @pytest.mark.parametrize('length', range(1, len(HEAD)))
    async def test_answer_broken_off_in_its_head_is_an_error(self, length):
        server, port = await async_serve([self.HEAD[:length]], close=True)
        client = await async_connect(host='127.0.0.1', port=port)
        with pytest.raises(BitternturnError):
            await client.async_exchange(method='GET', path='/', headers={})
        assert not client.usable
        server.close()
