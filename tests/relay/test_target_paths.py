"""Tests of instances that are cut off from their targets."""

import pytest

from bitternturn.standins.target_links import Cut
from tests.relay.linked_fleet import linked_fleet

# Time for an instance to notice that it is cut off.
SETTLE_S = 1.0
# Requests per second at each instance, by the number of shards.
RATES = {6: 20, 40: 5}


class TestCutOffInstances:
    @pytest.mark.parametrize('kind', list(Cut))
    @pytest.mark.parametrize('shards', RATES)
    async def test_instances_cut_off_from_all_targets_serve_their_callers(
        self, shards, kind
    ):
        per_s = RATES[shards]
        async with linked_fleet(shards=shards) as fleet:
            # Opens the connections.
            await fleet.async_count_served(
                fleet.instances, seconds=1, per_s=per_s
            )
            calm = await fleet.async_count_served(
                fleet.instances, seconds=2, per_s=per_s
            )
            for instance in fleet.instances[:3]:
                instance.links.cut(kind)
            await fleet.async_count_served(
                fleet.instances, seconds=SETTLE_S, per_s=per_s
            )
            shares = await fleet.async_count_served(
                fleet.instances, seconds=2, per_s=per_s
            )
        assert min(calm) == 1
        assert min(shares[3:]) >= 0.95
        assert min(shares[:3]) >= min(shares[3:]) * 2 / 3
