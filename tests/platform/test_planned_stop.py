"""Tests of requests that arrive while an instance shuts down."""

import asyncio

import pytest

from bitternturn.http.client import async_connect
from bitternturn.http.headers import encode_headers
from bitternturn.http.models import Response
from tests.platform.documents import configuration_document
from tests.platform.fleet import DaemonFleet

GRACE_S = 6.0
LEFT_MS = 20_000


def make_route(name, **fields):
    """Return a route to the service `s`."""
    return {
        'name': name,
        'hostname': 'search.example',
        'path-prefix': f'/{name}/',
        'type': 'idempotent',
        'timeout-ms': LEFT_MS,
        'target-latency-ms': 500,
        'priority': 2,
        'attempts': 2,
        'service': 's',
        **fields,
    }


ROUTES = [make_route('many'), make_route('once', type='non_idempotent')]


@pytest.fixture
async def stopping(tmp_path):
    """Provide an instance that is given a short time to stop, and a target."""
    fleet = DaemonFleet(tmp_path)
    fleet.grace_s = GRACE_S
    await fleet.async_add_target('s')
    await fleet.async_start(
        instances=1, configuration=configuration_document(routes=ROUTES)
    )
    try:
        yield fleet
    finally:
        await fleet.async_stop()


async def async_post(connection, path, request_id):
    """Send a request over a connection and return the response."""
    waiter = asyncio.get_running_loop().create_future()
    connection.start_exchange(
        method='POST',
        path=path,
        headers=encode_headers(
            [
                ('host', 'search.example'),
                ('x-request-id', request_id),
                ('x-deadline-remaining', str(LEFT_MS)),
                ('content-length', '7'),
            ]
        ),
        body=b'content',
        on_end=waiter.set_result,
    )
    response = await waiter
    assert isinstance(response, Response), response
    return response


async def async_keep_connections(daemon, count):
    """Return connections to an instance that callers have used before."""
    address = daemon.settings.callers
    connections = []
    for number in range(count):
        connection = await async_connect(host=address.host, port=address.port)
        response = await async_post(connection, '/many/x', f'first{number}')
        assert response.status == 200
        connections.append(connection)
    return connections


async def async_stop_like_a_process(daemon):
    """Wait until the process would end, then cut its connections."""
    async with asyncio.timeout(GRACE_S):
        await daemon.stopped.wait()
    await daemon.async_stop()


class TestLateRequests:
    """The balancer sends no new connections; kept ones stay in use."""

    async def test_every_request_that_was_read_is_answered(self, stopping):
        """Targets that take longer than the rest of the grace period."""
        daemon = stopping.daemons[0]
        connections = await async_keep_connections(daemon, 8)
        stopping.targets[0].delay_s = LEFT_MS / 1000
        daemon.shut_down()
        stopped = asyncio.ensure_future(async_stop_like_a_process(daemon))
        asked = []
        for number, connection in enumerate(connections):
            path = ('/many/x', '/once/x')[number % 2]
            asked.append(
                asyncio.ensure_future(
                    async_post(connection, path, f'q{number}')
                )
            )
            await asyncio.sleep(GRACE_S / 12)
        responses = await asyncio.gather(*asked)
        await stopped
        run = stopping.targets[0].run_request_ids
        for number, response in enumerate(responses):
            assert response.status in {502, 503, 504}
            assert (response.status == 503) == (f'q{number}' not in run)

    async def test_late_request_that_may_run_once_is_not_passed_on(
        self, stopping
    ):
        """Its caller could not know whether it has run."""
        daemon = stopping.daemons[0]
        connections = await async_keep_connections(daemon, 1)
        stopping.targets[0].delay_s = LEFT_MS / 1000
        daemon.shut_down()
        stopped = asyncio.ensure_future(async_stop_like_a_process(daemon))
        await asyncio.sleep(GRACE_S / 2)
        response = await async_post(connections[0], '/once/x', 'q1')
        await stopped
        assert response.status == 503
        assert response.headers['connection'] == 'close'
        assert 'q1' not in stopping.targets[0].run_request_ids

    async def test_request_that_is_answered_in_time_is_served(self, stopping):
        daemon = stopping.daemons[0]
        connections = await async_keep_connections(daemon, 2)
        daemon.shut_down()
        stopped = asyncio.ensure_future(async_stop_like_a_process(daemon))
        responses = [
            await async_post(connection, path, path)
            for connection, path in zip(
                connections, ('/many/x', '/once/x'), strict=True
            )
        ]
        await stopped
        assert [it.status for it in responses] == [200, 200]
