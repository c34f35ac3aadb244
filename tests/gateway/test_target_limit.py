"""Tests of the maximum number of targets that may run one request."""

from collections import Counter

import pytest

from bitternturn.gateway import target_connections
from bitternturn.standins.platform_target import ScriptedBehaviour
from tests.gateway.helpers import (
    configure,
    make_entry,
    make_gateway,
    make_request,
    make_scripted_target,
    make_shard_route,
    register,
    running_targets,
)

# Ratios to the typical latency of targets, in the order in which they are tried.
SLOWNESS = {'a': 1, 'b': 30, 'c': 90}


@pytest.fixture
def fail_connection(monkeypatch):
    """Return a function that lets a numbered connection to a target fail."""
    connect = target_connections.async_connect
    opened = Counter()
    failing = set()

    async def async_fail(*, host, port):
        opened[port] += 1
        if (port, opened[port]) in failing:
            raise TimeoutError
        return await connect(host=host, port=port)

    monkeypatch.setattr(target_connections, 'async_connect', async_fail)
    return lambda target, number: failing.add((target.port, number))


def register_in_order(gateway, targets):
    """Register the targets of one shard so that they are tried in order."""
    configure(gateway, make_shard_route(1, max_targets=2))
    register(gateway, *(make_entry(it, 's0') for it in targets))
    for target in targets:
        gateway.targets[target.id].record.record_latency_ratio(
            SLOWNESS[target.id], gateway.now()
        )


class TestTargetLimit:
    """A paused instance takes connections that it made for failed ones."""

    @pytest.mark.parametrize(
        ('failed_connection', 'expected'),
        [
            # Unreachable at first: not one target too many in the end.
            (1, ['b', 'c']),
            # Unreachable when it is tried again: it has still run before.
            (2, ['a', 'b']),
        ],
    )
    async def test_no_more_targets_run_than_allowed(
        self, fail_connection, failed_connection, expected
    ):
        targets = [
            make_scripted_target(name, *[ScriptedBehaviour.RESET] * 9)
            for name in SLOWNESS
        ]
        async with running_targets(*targets):
            fail_connection(targets[0], failed_connection)
            gateway = make_gateway()
            register_in_order(gateway, targets)
            await gateway.async_handle(make_request())
            ran = [it.id for it in targets if it.requests]
        assert ran == expected
