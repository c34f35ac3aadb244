"""Tests of odd entries that another writer leaves among those of the targets."""

import json

import msgspec
import pytest

from bitternturn.core.ids import TargetId
from tests.platform.documents import configuration_document, target_document
from tests.platform.fleet import DaemonFleet, async_wait_until

ROUTES = [
    {
        'name': 'one',
        'hostname': 'search.example',
        'path-prefix': '/one/',
        'type': 'idempotent',
        'timeout-ms': 3000,
        'target-latency-ms': 500,
        'priority': 2,
        'attempts': 2,
        'service': 's',
    }
]
DEEP = 100_000


def make_odd_spec(**fields):
    """Return the entry of a target with some fields as given, in JSON."""
    document = target_document(service='s', address='127.0.0.1:9')
    parts = {name: json.dumps(field) for name, field in document.items()}
    parts.update(fields)
    content = ','.join(f'"{name}":{field}' for name, field in parts.items())
    return msgspec.Raw(b'{%b}' % content.encode())


ODD_SPECS = {
    'nested-lists': make_odd_spec(note='[' * DEEP + ']' * DEEP),
    'nested-objects': make_odd_spec(note='{"a":' * DEEP + '1' + '}' * DEEP),
    'nested-below-the-limit': make_odd_spec(note='[' * 900 + ']' * 900),
    'brackets-in-a-string': make_odd_spec(note='"' + '[' * DEEP + '"'),
    'large-float': make_odd_spec(note='1e999'),
    'large-integer': make_odd_spec(born='9' * 5000),
    'large-start': make_odd_spec(born='9' * 25),
    'large-cold-time': make_odd_spec(**{'cold-left-ms': '1e308'}),
    'port-out-of-range': make_odd_spec(address='"127.0.0.1:65536"'),
    'port-of-many-digits': make_odd_spec(address=f'"127.0.0.1:{"9" * 5000}"'),
    'port-zero': make_odd_spec(address='"127.0.0.1:0"'),
    'host-that-is-no-name': make_odd_spec(address='"..:80"'),
}


@pytest.fixture
async def fleet(tmp_path):
    """Provide two instances, of which one follows the store over the other."""
    running = DaemonFleet(tmp_path)
    await running.async_add_target('s')
    await running.async_start(
        instances=2, configuration=configuration_document(routes=ROUTES)
    )
    try:
        yield running
    finally:
        await running.async_stop()


class TestOddEntries:
    @pytest.mark.parametrize('name', ODD_SPECS)
    async def test_instances_follow_the_list_and_serve(self, fleet, name):
        fleet.store.put('servers', 'odd', ODD_SPECS[name])
        added = await fleet.async_add_target('s')
        await async_wait_until(
            lambda: all(
                TargetId(added.id) in daemon.gateway.targets
                for daemon in fleet.daemons
            )
        )
        for daemon in fleet.daemons:
            for _ in range(5):
                response = await fleet.async_ask('/one/x', daemon)
                assert response.status == 200

    @pytest.mark.parametrize('name', ODD_SPECS)
    async def test_instance_that_starts_later_reads_the_list(self, fleet, name):
        fleet.store.put('servers', 'odd', ODD_SPECS[name])
        started = await fleet.async_add_instance('late')
        await async_wait_until(
            lambda: (
                started.gateway.fleet_state.complete
                and TargetId(fleet.targets[0].id) in started.gateway.targets
            )
        )
        response = await fleet.async_ask('/one/x', started)
        assert response.status == 200
