"""Tests of the limits of callers that follow from the settings."""

import asyncio
import resource

import msgspec
import pytest

from bitternturn.gateway.decision_log import DecisionLog
from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.http.models import Response
from bitternturn.platform.caller_limits import (
    count_caller_connections,
    count_new_peers,
    make_caller_resources,
)
from bitternturn.platform.settings_file import decode_settings
from tests.platform.documents import settings_document

# Memory of the smallest instances.
SMALLEST_MB = 152
ORDINARY_CALLERS = 400


class LineList:
    """Keeps log lines."""

    def __init__(self):
        self.lines = []
        self.dropped = 0

    def write(self, line):
        self.lines.append(line)


def make_resources(lines, **limits):
    """Return the resources of an instance with some limits."""
    settings = decode_settings(
        msgspec.json.encode(settings_document(limits=limits))
    )
    metrics = GatewayMetrics()
    decisions = DecisionLog(instance='i', writer=lines)
    return make_caller_resources(settings, metrics, decisions)


class TestDescriptors:
    @pytest.mark.parametrize(
        ('descriptors', 'expected'),
        [(4100, 1024), (256, 96), (10, 16), (1024, 672)],
    )
    def test_some_are_kept_for_targets_peers_and_store(
        self, descriptors, expected
    ):
        assert count_caller_connections(descriptors) == expected

    @pytest.mark.parametrize(
        ('descriptors', 'expected'),
        [(4096, 1504), (1024, 144), (256, 48), (10, 32)],
    )
    def test_new_peers_leave_some_for_targets_and_store(
        self, descriptors, expected
    ):
        """Guards against peers of a fleet of 440 that are closed on connecting."""
        assert count_new_peers(descriptors) == expected

    def test_limit_is_read_from_the_settings(self):
        resources = make_resources(LineList(), **{'max-fds': 256})
        assert resources.max_connections == 96

    @pytest.mark.parametrize(
        ('system_limit', 'expected'),
        [(256, 96), (10_000, 672), (resource.RLIM_INFINITY, 672)],
    )
    def test_limit_of_the_system_bounds_the_settings(
        self, monkeypatch, system_limit, expected
    ):
        """Guards against a reserve of descriptors that the process can't open."""
        monkeypatch.setattr(
            resource, 'getrlimit', lambda kind: (system_limit, 10_000)
        )
        resources = make_resources(LineList(), **{'max-fds': 1024})
        assert resources.max_connections == expected


class TestSmallestInstance:
    async def test_ordinary_callers_are_not_refused(self):
        """Some hundred callers at once with small requests."""
        resources = make_resources(
            LineList(), **{'memory-mb': SMALLEST_MB, 'max-fds': 4100}
        )

        async def async_handle(request):
            await asyncio.sleep(0.2)
            return Response(body=request.body)

        server = resources.make_server(async_handle, callers=True)
        await server.async_start(host='127.0.0.1', port=0)

        async def async_ask():
            reader, writer = await asyncio.open_connection(
                server.host, server.port
            )
            writer.write(
                b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4000\r\n\r\n'
                + b'x' * 4000
            )
            head = await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(4000)
            writer.close()
            return head.split(b' ')[1]

        asked = (async_ask() for _ in range(ORDINARY_CALLERS))
        statuses = await asyncio.gather(*asked)
        await server.async_stop()
        assert set(statuses) == {b'200'}
        assert not resources.metrics.counts


class TestReports:
    async def test_evictions_are_counted_and_logged(self):
        lines = LineList()
        resources = make_resources(lines, **{'max-fds': 10})

        async def async_handle(request):
            return Response()

        server = resources.make_server(async_handle, callers=True)
        await server.async_start(host='127.0.0.1', port=0)
        opened = [
            await asyncio.open_connection(server.host, server.port)
            for _ in range(resources.max_connections + 5)
        ]
        async with asyncio.timeout(10):
            while not lines.lines:
                await asyncio.sleep(0.01)
        await server.async_stop()
        for _, writer in opened:
            writer.transport.abort()
        name = ('caller_evictions', (('reason', 'connections'),))
        assert resources.metrics.counts[name] == 5
        assert b'"kind":"caller_evicted"' in lines.lines[0]
        assert b'"reason":"connections"' in lines.lines[0]
        assert b'bitternturn_caller_memory_bytes' in resources.metrics.render()
