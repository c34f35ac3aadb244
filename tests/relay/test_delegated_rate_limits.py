"""Tests of the rate limits of targets to which peers send."""

import asyncio
from types import MappingProxyType

from bitternturn.standins.platform_target import PlatformTarget
from bitternturn.standins.rate_limit_check import WINDOW_S, allowed_requests
from tests.gateway.helpers import async_ask_evenly
from tests.gateway.test_gather import (
    LONG_S,
    answering_targets,
    make_patient_request,
    make_record,
)
from tests.relay.test_delegation import SHARDS, fleet_over, make_targets

LIMIT_PER_S = 2.0


def with_spares(targets):
    """Return the targets and another one for each shard."""
    spares = [
        PlatformTarget(id=f'u{number}', body=make_record(number))
        for number in range(len(targets))
    ]
    return [*targets, *spares]


class TestFewShards:
    """The entry instance takes the permits of sends that a peer makes."""

    DOMAINS = MappingProxyType({'entry': 'north', 'p1': 'north', 'p2': 'south'})

    async def test_peer_stays_within_the_share_of_the_entry(self):
        targets = [
            PlatformTarget(
                id=f'far{number}', body=make_record(number), rate_limit='2'
            )
            for number in range(4)
        ]
        async with fleet_over(targets, domains=self.DOMAINS, shards=4) as fleet:
            names = list(fleet.domains)
            for gateway in fleet.gateways:
                gateway.update_instances(names)
            responses = await async_ask_evenly(
                fleet.gateways[:1],
                per_s=20,
                seconds=WINDOW_S + 1.5,
                make=make_patient_request,
            )
        assert {it.status for it in responses} == {200, 503}
        for target in targets:
            # One share of three, and its burst.
            share = LIMIT_PER_S * WINDOW_S / len(names) + 2
            assert 1 < target.worst_window_under_limit() <= share

    async def test_entry_that_does_not_know_a_limit_has_no_permit(self):
        """Guards against a burst of instances that were restarted together."""
        targets = [
            PlatformTarget(id=f'far{number}', body=make_record(number))
            for number in range(4)
        ]
        async with fleet_over(targets, domains=self.DOMAINS, shards=4) as fleet:
            for gateway in fleet.gateways[1:]:
                gateway.targets['far0'].announce_rate_limit(0.05, gateway.now())
            for number in range(5):
                await fleet.entry.async_handle(
                    make_patient_request(f'q{number}')
                )
            told = fleet.entry.targets['far0'].announcement.rate_limit.per_s
        assert not targets[0].requests
        assert told == 0.05


class TestWideRequests:
    """The delegate takes the permits, for all entry instances."""

    async def test_delegates_together_stay_within_the_limit(self):
        targets = make_targets(rate_limit=str(LIMIT_PER_S))
        async with fleet_over(with_spares(targets), shards=SHARDS) as fleet:
            names = list(fleet.domains)
            for gateway in fleet.gateways:
                gateway.update_instances(names)
            responses = await async_ask_evenly(
                fleet.gateways,
                per_s=10,
                seconds=WINDOW_S + 1.5,
                make=make_patient_request,
            )
        assert all(it.status == 200 for it in responses)
        assert all(it.headers['x-missing-parts'] == '0' for it in responses)
        worst = max(target.worst_window_under_limit() for target in targets)
        assert 0 < worst <= allowed_requests(LIMIT_PER_S)

    async def test_limit_travels_to_the_entry_with_the_report(self):
        targets = make_targets()
        targets[0].rate_limit = str(LIMIT_PER_S)
        async with fleet_over(targets) as fleet:
            await fleet.entry.async_handle(make_patient_request())
            told = fleet.entry.targets['t0'].announcement.rate_limit.per_s
            targets[0].rate_limit = None
            await asyncio.sleep(1)
            await fleet.entry.async_handle(make_patient_request('q2'))
            lifted = fleet.entry.targets['t0'].announcement.rate_limit.per_s
        assert (told, lifted) == (LIMIT_PER_S, None)

    async def test_part_is_left_out_at_once_without_another_target(self):
        targets = make_targets()
        targets[0].rate_limit = '0.1'
        async with fleet_over(targets) as fleet:
            await fleet.entry.async_handle(make_patient_request())
            started_at = fleet.entry.now()
            response = await fleet.entry.async_handle(
                make_patient_request('q2')
            )
            took_s = fleet.entry.now() - started_at
        assert 't0' not in answering_targets(response)
        assert response.headers['x-missing-parts'] == '1'
        assert len(targets[0].requests) == 1
        assert took_s < LONG_S / 2

    async def test_instance_that_is_no_delegate_only_probes(self):
        """Also if the domain has fewer members than delegates have shares."""
        targets = make_targets(rate_limit='10')
        async with fleet_over(targets) as fleet:
            await fleet.entry.async_handle(make_patient_request())
            bucket = fleet.entry.targets['t0'].announcement.rate_limit.bucket
        assert bucket.share.probing
