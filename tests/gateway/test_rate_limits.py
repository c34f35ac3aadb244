"""Tests of targets that name a limit for all instances together."""

import asyncio

from bitternturn.standins.platform_target import PlatformTarget
from bitternturn.standins.rate_limit_check import WINDOW_S, allowed_requests
from tests.gateway.helpers import (
    configure,
    make_entry,
    make_gateway,
    make_request,
    make_route,
    register,
    running_targets,
)

NAMES = [f'instance-{number}' for number in range(1, 5)]


def make_gateways(*targets):
    """Return instances that know each other and the targets of one service."""
    gateways = [make_gateway(name) for name in NAMES]
    for gateway in gateways:
        gateway.update_instances(NAMES)
        configure(gateway, make_route())
        register(gateway, *(make_entry(target) for target in targets))
    return gateways


async def async_ask(gateways, *, per_s, seconds):
    """Let callers send requests to all instances; return the statuses."""
    requests = []
    for number in range(int(per_s * seconds)):
        gateway = gateways[number % len(gateways)]
        requests.append(
            asyncio.ensure_future(
                gateway.async_handle(make_request(f'q{number}'))
            )
        )
        await asyncio.sleep(1 / per_s)
    return [response.status for response in await asyncio.gather(*requests)]


class TestRateLimits:
    async def test_instances_together_stay_within_the_limit_of_a_target(self):
        limited = PlatformTarget(id='limited', rate_limit='3.0')
        other = PlatformTarget(id='other')
        async with running_targets(limited, other):
            gateways = make_gateways(limited, other)
            statuses = await async_ask(
                gateways, per_s=40, seconds=WINDOW_S + 1.5
            )
        assert set(statuses) == {200}
        assert limited.worst_window_under_limit() <= allowed_requests(3)
