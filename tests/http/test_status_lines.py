"""Tests of responses whose status is invalid.

They guard against a caller that gets a status which no client can interpret,
and against the bytes of such a response being read as the next one.
"""

import asyncio

import pytest

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.http.client import async_connect
from tests.gateway.raw_target import INVALID_RESPONSES, RawTarget


@pytest.fixture(params=list(INVALID_RESPONSES))
async def client(request):
    """Return a connection to a server with one invalid response."""
    server = RawTarget('t', INVALID_RESPONSES[request.param])
    await server.async_start()
    yield await async_connect(host=server.host, port=server.port)
    await server.async_stop()


class TestInvalidStatus:
    async def test_response_is_an_error_and_closes(self, client):
        with pytest.raises(BitternturnError) as raised:
            async with asyncio.timeout(5):
                await client.async_exchange(method='GET', path='/', headers={})
        assert raised.value.code is ErrorCode.BAD_ANSWER
        assert not client.usable

    async def test_stream_is_an_error_and_closes(self, client):
        with pytest.raises(BitternturnError) as raised:
            async with asyncio.timeout(5):
                await client.async_stream(path='/', headers={})
        assert raised.value.code is ErrorCode.BAD_ANSWER
        assert not client.usable


class TestValidStatus:
    @pytest.mark.parametrize('status', [200, 204, 205, 304, 404, 500, 599])
    async def test_response_without_body_is_accepted(self, status):
        server = RawTarget(
            't',
            b'HTTP/1.1 %d Text\r\n%s\r\n'
            % (
                status,
                b'' if status in {204, 304} else b'content-length: 0\r\n',
            ),
        )
        await server.async_start()
        client = await async_connect(host=server.host, port=server.port)
        response = await client.async_exchange(
            method='GET', path='/', headers={}
        )
        assert response.status == status
        assert client.usable
        await server.async_stop()

    async def test_empty_204_with_a_length_of_zero_is_accepted(self):
        """Some servers state the length of the missing body."""
        server = RawTarget(
            't', b'HTTP/1.1 204 No Content\r\ncontent-length: 0\r\n\r\n'
        )
        await server.async_start()
        client = await async_connect(host=server.host, port=server.port)
        response = await client.async_exchange(
            method='GET', path='/', headers={}
        )
        assert response.status == 204
        await server.async_stop()
