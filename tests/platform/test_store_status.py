"""Tests of stores that respond with an invalid status.

They guard against a call that counts as done, and against a client that uses
the connection again.
"""

import random

import pytest

from bitternturn.core.clock import monotonic
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.platform.client import ObjectClient
from tests.gateway.raw_target import INVALID_RESPONSES, RawTarget
from tests.platform.helpers import make_store


@pytest.fixture(params=list(INVALID_RESPONSES))
async def server(request):
    """Return a server with one invalid response."""
    server = RawTarget('store', INVALID_RESPONSES[request.param])
    await server.async_start()
    yield server
    await server.async_stop()


class TestCalls:
    @pytest.mark.parametrize('method', ['GET', 'PUT', 'POST', 'DELETE'])
    async def test_result_of_the_call_is_unknown(self, server, method):
        transport = make_store(server.port, timeout_s=5).transport
        with pytest.raises(BitternturnError) as raised:
            await transport.async_call(method, '/v1/x')
        assert raised.value.code is ErrorCode.UNKNOWN_RESULT
        assert transport.reached_at is None
        assert transport.failed_at is not None
        assert not transport.idle_connections

    async def test_list_is_an_error(self, server):
        store = make_store(server.port, timeout_s=5)
        with pytest.raises(BitternturnError):
            await store.async_list('servers')


class TestObjectClient:
    async def test_write_is_in_doubt_and_a_watch_fails(self, server):
        client = ObjectClient(
            host=server.host,
            port=server.port,
            timeout_s=5,
            rng=random.Random(1),
            now=monotonic,
            max_attempts=1,
        )
        with pytest.raises(BitternturnError) as raised:
            await client.async_put(
                kind='control', name='x', value=b'', if_version=0
            )
        assert raised.value.code is ErrorCode.UNKNOWN_RESULT
        with pytest.raises(BitternturnError) as raised:
            await anext(client.watch('control', 1))
        assert raised.value.code is ErrorCode.PLATFORM_UNREACHABLE
        client.close()
