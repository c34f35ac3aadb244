"""Tests of quotas over instances that follow a store."""

import asyncio
import contextlib

from bitternturn.policy.quota import QuotaBound, rank_holders
from tests.platform.documents import configuration_document
from tests.platform.fleet import DaemonFleet, async_wait_until
from tests.platform.test_crashing_requests import ROUTES

RATE = 40
BURST = 10
BOUND = QuotaBound(window_s=2, excess=0.1, slack=20)
TENANT = {'name': 'blue', 'api-keys': ['blue-key']}
KEY = (b'x-api-key', b'blue-key')


def make_configuration(version, **limits):
    """Return a configuration with a tenant."""
    return configuration_document(
        version, routes=ROUTES[:1], tenants=[{**TENANT, **limits}]
    )


@contextlib.asynccontextmanager
async def quota_fleet(folder, instances=4):
    """Provide a fleet in which one instance holds the quota."""
    fleet = DaemonFleet(folder)
    fleet.bounds = {
        'quota-window-s': BOUND.window_s,
        'quota-excess': BOUND.excess,
        'quota-slack': BOUND.slack,
    }
    for _ in range(2):
        await fleet.async_add_target('s')
    await fleet.async_start(
        instances=instances,
        configuration=make_configuration(
            7, **{'rate-per-s': RATE, 'burst': BURST}
        ),
    )
    await async_wait_until(lambda: count_held(fleet) == 1)
    try:
        yield fleet
    finally:
        await fleet.async_stop()


def count_held(fleet):
    """Return how many instances hold the quota."""
    return sum(it.gateway.quotas.count_held() for it in fleet.daemons)


def find_holder(fleet):
    """Return the instance that ranks first."""
    first = rank_holders('blue', [it.settings.name for it in fleet.daemons])[0]
    return next(it for it in fleet.daemons if it.settings.name == first)


async def async_ask_for(fleet, seconds, daemon=None):
    """Ask for three times the rate; return the statuses."""
    requests = []
    for _ in range(int(seconds * RATE * 3)):
        requests.append(
            asyncio.ensure_future(
                fleet.async_ask('/split/x', daemon, pairs=[KEY])
            )
        )
        await asyncio.sleep(1 / RATE / 3)
    return [it.status for it in await asyncio.gather(*requests)]


def fullest_window(fleet):
    """Return the greatest number of requests that ran in a window."""
    times = sorted(
        it.arrived_at for target in fleet.targets for it in target.requests
    )
    return max(
        sum(at <= it <= at + BOUND.window_s for it in times) for at in times
    )


class TestFleet:
    async def test_bound_holds_while_the_holder_restarts(self, tmp_path):
        async with quota_fleet(tmp_path) as fleet:
            limit = BOUND.limit(RATE, BURST)
            await async_ask_for(fleet, 2.5)
            holder = find_holder(fleet)
            fleet.daemons.remove(holder)
            await holder.async_stop()
            gone = await async_ask_for(fleet, 1)
            await fleet.async_add_instance(holder.settings.name)
            await async_wait_until(lambda: count_held(fleet) == 1)
            back = await async_ask_for(fleet, 2.5)
            assert fullest_window(fleet) <= limit
        assert set(gone) <= {200, 429, 503}
        assert back.count(200) >= 0.9 * RATE * 2.5 * 0.8

    async def test_nearly_all_of_the_rate_is_used_over_one_instance(
        self, tmp_path
    ):
        async with quota_fleet(tmp_path) as fleet:
            holder = find_holder(fleet)
            other = next(it for it in fleet.daemons if it is not holder)
            started_at = other.gateway.now()
            statuses = await async_ask_for(fleet, 3, other)
            took_s = other.gateway.now() - started_at
            assert fullest_window(fleet) <= BOUND.limit(RATE, BURST)
        assert statuses.count(200) >= 0.9 * RATE * took_s
        assert set(statuses) == {200, 429}

    async def test_lowered_limit_and_removed_key_apply_everywhere(
        self, tmp_path
    ):
        async with quota_fleet(tmp_path) as fleet:
            fleet.store.put(
                'config',
                'main',
                make_configuration(8, **{'rate-per-s': 1, 'burst': 1}),
            )
            await async_wait_until(
                lambda: all(it.gateway.version == 8 for it in fleet.daemons)
            )
            await asyncio.sleep(BOUND.window_s)
            for target in fleet.targets:
                target.requests.clear()
            await async_ask_for(fleet, 2)
            assert fullest_window(fleet) <= BOUND.limit(1, 1)
            red = {'name': 'red', 'api-keys': ['red-key']}
            document = configuration_document(
                9, routes=ROUTES[:1], tenants=[red]
            )
            fleet.store.put('config', 'main', document)
            await async_wait_until(
                lambda: all(it.gateway.version == 9 for it in fleet.daemons)
            )
            assert set(await async_ask_for(fleet, 0.2)) == {401}
