"""Tests of instances that are cut off from their targets."""

import asyncio
import time
from collections import Counter

import pytest

from bitternturn.gateway.links import LinkState
from bitternturn.relay import const
from bitternturn.standins.platform_target import ScriptedBehaviour
from bitternturn.standins.target_links import Cut
from tests.relay.linked_fleet import (
    LEFT_MS,
    ONCE_PATH,
    SINGLE_PATH,
    WIDE_PATH,
    linked_fleet,
)

# Time that no test reaches, even on a busy host.
LONG_S = 20.0
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


async def async_cut_off(fleet, count=1, kind=Cut.SILENT):
    """Cut instances off from all targets and wait until they know."""
    for instance in fleet.instances:
        await fleet.async_ask(instance)
    for instance in fleet.instances[:count]:
        instance.links.cut(kind)
    async with asyncio.timeout(LONG_S):
        while not all(
            any(
                link.state is LinkState.CUT_OFF
                for link in instance.gateway.links.domains.values()
            )
            for instance in fleet.instances[:count]
        ):
            await asyncio.gather(
                *(
                    fleet.async_ask(instance)
                    for instance in fleet.instances[:count]
                )
            )


class TestDetours:
    async def test_answer_of_a_single_target_is_forwarded_unchanged(self):
        async with linked_fleet() as fleet:
            await async_cut_off(fleet)
            cut_off, *_, other = fleet.instances
            for target in fleet.targets:
                target.body = b'x' * 100_000
            expected = await fleet.async_ask(other, SINGLE_PATH)
            response = await fleet.async_ask(cut_off, SINGLE_PATH)
        assert response.status == expected.status == 200
        assert response.body == expected.body
        assert set(response.headers) == set(expected.headers)

    async def test_failure_of_a_target_is_forwarded_unchanged(self):
        async with linked_fleet() as fleet:
            await async_cut_off(fleet)
            for target in fleet.targets:
                target.script = lambda _count: ScriptedBehaviour.FAIL
            response = await fleet.async_ask(fleet.instances[0], ONCE_PATH)
        assert response.status == 500
        assert 'x-server-stamp' in response.headers

    async def test_body_reaches_the_target(self):
        async with linked_fleet() as fleet:
            await async_cut_off(fleet)
            await fleet.async_ask(
                fleet.instances[0],
                ONCE_PATH,
                method='POST',
                body=b'content',
            )
            received = [
                it.body for target in fleet.targets for it in target.requests
            ]
        assert received.count(b'content') == 1

    async def test_answer_too_long_for_a_message_is_lost(self, monkeypatch):
        monkeypatch.setattr(const, 'MAX_WHOLE_BODY_BYTES', 1000)
        async with linked_fleet() as fleet:
            await async_cut_off(fleet)
            for target in fleet.targets:
                target.body = b'x' * 1001
            response = await fleet.async_ask(fleet.instances[0], ONCE_PATH)
        assert response.status == 502

    @pytest.mark.parametrize('kind', list(Cut))
    async def test_request_that_may_run_once_runs_once(self, kind):
        async with linked_fleet(delay_s=0.05) as fleet:
            for instance in fleet.instances:
                await fleet.async_ask(instance, ONCE_PATH)
            asked = []
            for round_number in range(20):
                if round_number == 5:
                    for instance in fleet.instances[:3]:
                        instance.links.cut(kind)
                asked.extend(
                    asyncio.ensure_future(
                        fleet.async_ask(instance, path, left_ms=1500)
                    )
                    for instance in fleet.instances
                    for path in (ONCE_PATH, WIDE_PATH)
                )
                await asyncio.sleep(0.05)
            responses = await asyncio.gather(*asked)
            runs = Counter(
                request_id
                for target in fleet.targets
                for request_id in target.run_request_ids
                if request_id in fleet.once_ids
            )
        assert max(runs.values()) == 1
        for response in responses:
            if response.status == 503:
                assert response.headers['x-request-id'] not in runs

    async def test_callers_of_the_instances_that_help_are_served(self):
        """Load pattern: three of five instances send all over the others."""
        async with linked_fleet() as fleet:
            await async_cut_off(fleet, 3)
            shares = await fleet.async_count_served(
                fleet.instances, seconds=2, per_s=RATES[6]
            )
        assert min(shares[3:]) >= 0.95

    async def test_requests_are_refused_if_all_instances_are_cut_off(self):
        async with linked_fleet() as fleet:
            await async_cut_off(fleet, len(fleet.instances))
            # The first ones find out which paths there are.
            for instance in fleet.instances:
                await fleet.async_ask(instance)
                await fleet.async_ask(instance, SINGLE_PATH)
            started = time.monotonic()
            responses = [
                await fleet.async_ask(instance, path)
                for instance in fleet.instances
                for path in (WIDE_PATH, SINGLE_PATH, ONCE_PATH)
            ]
            took_s = time.monotonic() - started
        assert {it.status for it in responses} == {503}
        assert took_s < LEFT_MS / 1000

    @pytest.mark.parametrize('kind', [Cut.SILENT, Cut.RESET])
    async def test_instance_cut_off_from_its_own_domain_serves_all(self, kind):
        """It sends directly to the targets of its own domain only."""
        async with linked_fleet() as fleet:
            cut_off = fleet.instances[0]
            await fleet.async_ask(cut_off)
            own = cut_off.gateway.settings.failure_domain
            cut_off.links.cut(
                kind,
                [
                    target.entry.id
                    for target in cut_off.gateway.targets.values()
                    if target.entry.failure_domain == own
                ],
            )
            links = cut_off.gateway.links
            async with asyncio.timeout(LONG_S):
                while links.list_cut_off() != [own]:
                    await fleet.async_ask(cut_off)
                    await fleet.async_ask(cut_off, SINGLE_PATH)
            responses = [
                await fleet.async_ask(cut_off, path)
                for path in (WIDE_PATH, SINGLE_PATH, ONCE_PATH) * 3
            ]
            assert links.list_cut_off() == [own]
        assert {it.status for it in responses} == {200}


class TestDelegates:
    async def test_delegate_that_is_cut_off_declines_at_once(self):
        async with linked_fleet(shards=40) as fleet:
            await async_cut_off(fleet, 2)
            *_, entry = fleet.instances
            await fleet.async_ask(entry)
            response = await fleet.async_ask(entry)
            now = entry.gateway.now()
            avoided = [
                peer.name
                for peer in entry.delegation.peers.values()
                if not all(it.is_usable(now) for it in peer.links.values())
            ]
        assert response.headers['x-missing-parts'] == '0'
        assert set(avoided) <= {'i0', 'i1'}
        assert avoided

    async def test_sends_under_way_move_when_a_delegate_finds_out(self):
        async with linked_fleet(shards=40, delay_s=0.02) as fleet:
            for instance in fleet.instances:
                await fleet.async_ask(instance)
            for instance in fleet.instances[:2]:
                instance.links.cut(Cut.SILENT)
            *_, entry = fleet.instances
            response = await fleet.async_ask(entry)
        assert response.status == 200
        assert response.headers['x-missing-parts'] == '0'
