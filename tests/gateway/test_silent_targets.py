"""Tests of requests over shards of which all targets hang."""

from bitternturn.standins.platform_target import (
    PlatformTarget,
    ScriptedBehaviour,
)
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

SHARDS = 4
ROUTE = make_shard_route(
    SHARDS, latency_objective_s=0.2, timeout_s=9.0, min_coverage=0.7
)


def make_shards(*hanging):
    """Return two targets per shard; some shards hang at the first request."""
    return [
        make_scripted_target(f't{shard}{replica}', ScriptedBehaviour.HANG)
        if shard in hanging
        else PlatformTarget(id=f't{shard}{replica}')
        for shard in range(SHARDS)
        for replica in 'ab'
    ]


async def async_responses(gateway, targets, count, left_ms):
    """Send a number of requests in sequence and return the responses."""
    configure(gateway, ROUTE)
    register(
        gateway,
        *(
            make_entry(target, f's{index // 2}')
            for index, target in enumerate(targets)
        ),
    )
    return [
        await gateway.async_handle(make_request(f'q{number}', left_ms=left_ms))
        for number in range(count)
    ]


class TestShardsThatHang:
    async def test_later_requests_are_refused_without_sends(self):
        targets = make_shards(0, 1)
        async with running_targets(*targets):
            gateway = make_gateway()
            gateway.unresponsive_targets.last_probe_at = gateway.now() + 60
            first, second = await async_responses(gateway, targets, 2, 800)
            sent = {seen.id for target in targets for seen in target.requests}
        assert first.status == 504
        assert second.status == 503
        assert float(second.headers['retry-after']) > 0
        assert sent == {'q0'}

    async def test_probe_detects_recovered_targets(self):
        targets = make_shards(0, 1)
        async with running_targets(*targets):
            gateway = make_gateway()
            responses = await async_responses(gateway, targets, 3, 800)
        assert responses[-1].status == 200

    async def test_late_shard_within_coverage_causes_no_refusals(self):
        targets = make_shards(0)
        async with running_targets(*targets):
            gateway = make_gateway()
            gateway.unresponsive_targets.last_probe_at = gateway.now() + 60
            responses = await async_responses(gateway, targets, 3, 2000)
        assert {response.status for response in responses} == {200}
