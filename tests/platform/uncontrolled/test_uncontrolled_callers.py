"""Tests of a gateway process against callers that hold what they can.

Each guards against a process that ends, hangs, exceeds its memory or its
descriptors, or stops to answer ordinary callers. The numbers of callers and the
bounds in `gateway_process` stay as they are.
"""

import asyncio
from contextlib import asynccontextmanager

import pytest

from bitternturn.platform import wire_names
from tests.platform.uncontrolled import crowd as callers
from tests.platform.uncontrolled.crowd import Crowd
from tests.platform.uncontrolled.gateway_process import (
    HANG_S,
    MAX_DESCRIPTORS,
)

SENDERS = 160
SLOW_READERS = 120
OPENED = 2 * MAX_DESCRIPTORS
MIXED = 200


@asynccontextmanager
async def async_crowd(gateway, kinds, count, listener='front'):
    """Provide a crowd that has sent what it could."""
    crowd = Crowd(gateway.ports[listener])
    try:
        await crowd.async_send(kinds, count)
        yield crowd
    finally:
        await crowd.async_close()


class TestBodies:
    """Bodies of legal size whose last bytes never arrive."""

    @pytest.mark.parametrize(
        'kind',
        [
            callers.async_send_length,
            callers.async_send_one_chunk,
            callers.async_send_tiny_chunks,
            callers.async_send_pieces,
        ],
    )
    async def test_incomplete_bodies(self, gateway, kind):
        async with async_crowd(gateway, [kind], SENDERS):
            await gateway.async_check()


class TestPipelined:
    """Many requests sent ahead on each connection, responses unread."""

    async def test_requests_sent_ahead(self, gateway):
        async with async_crowd(gateway, [callers.async_pipeline], SENDERS):
            await gateway.async_check()


class TestHeads:
    """Heads that never end."""

    @pytest.mark.parametrize(
        'kind', [callers.async_send_long_head, callers.async_send_headerless]
    )
    async def test_endless_heads(self, gateway, kind):
        async with async_crowd(gateway, [kind], SENDERS):
            await gateway.async_check()


class TestConnections:
    """More connections than the process may have descriptors."""

    @pytest.mark.parametrize(
        'listener', ['front', 'ready', 'metrics', 'control']
    )
    async def test_connections_that_only_open(self, gateway, listener):
        async with async_crowd(
            gateway, [callers.async_only_open], OPENED, listener
        ):
            await gateway.async_check()
            ready = await gateway.async_request(
                'ready', 'GET', wire_names.PATH_READY
            )
            assert ready == 200


class TestOtherAddresses:
    """The listeners of probes, metrics and peers, as far as callers reach them."""

    @pytest.mark.parametrize('listener', ['ready', 'metrics', 'control'])
    async def test_incomplete_bodies(self, gateway, listener):
        kinds = [callers.async_send_length, callers.async_send_one_chunk]
        async with async_crowd(gateway, kinds, SENDERS, listener):
            await gateway.async_check()


class TestSlowReaders:
    """Callers that read a large answer one byte per second."""

    async def test_large_answers_are_not_read(self, gateway):
        async with async_crowd(
            gateway, [callers.async_read_slowly], SLOW_READERS
        ):
            await gateway.async_check()


class TestMix:
    """All kinds of callers at once."""

    async def test_all_kinds(self, gateway):
        async with async_crowd(gateway, callers.KINDS, MIXED):
            await gateway.async_check()

    async def test_all_kinds_during_the_start(self, prepared):
        await prepared.async_start()
        await prepared.async_wait_until_listening()
        async with async_crowd(prepared, callers.KINDS, MIXED):
            await prepared.async_wait_until_ready()
            await prepared.async_check()

    async def test_all_kinds_while_draining(self, gateway):
        async with async_crowd(gateway, callers.KINDS, MIXED):
            gateway.terminate()
            await gateway.async_check()
            async with asyncio.timeout(HANG_S):
                assert await gateway.process.wait() == 0
