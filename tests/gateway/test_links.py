"""Tests of links to targets that are cut off, at one instance."""

import asyncio

import pytest

from bitternturn.core.ids import FailureDomain
from bitternturn.gateway import links
from bitternturn.gateway.links import MIN_PROBE_INTERVAL_S, LinkState
from bitternturn.standins.platform_target import (
    PlatformTarget,
    ScriptedBehaviour,
)
from bitternturn.standins.target_links import Cut, TargetLinks
from tests.gateway.helpers import (
    configure,
    make_entry,
    make_gateway,
    make_request,
    make_route,
    make_shard_route,
    register,
    running_targets,
)

SHARDS = 6
DOMAIN = FailureDomain('north')
# Time that no test reaches, even on a busy host.
LONG_S = 20.0


class LinkedGateway:
    """A gateway that reaches the targets of a route over links."""

    def __init__(self, targets, links):
        self.targets = targets
        self.links = links
        self.gateway = make_gateway()
        configure(
            self.gateway,
            make_shard_route(SHARDS, prefix='/all/', latency_objective_s=0.4),
            make_route(name='one', prefix='/one/'),
        )
        entries = []
        for number, target in enumerate(targets):
            address = links.find_address(target.id)
            entries.append(
                make_entry(
                    target,
                    f's{number % SHARDS}' if number % 7 else 's',
                    host=address.host,
                    port=address.port,
                )
            )
        register(self.gateway, *entries)

    @property
    def link(self):
        """Link to the domain of the targets."""
        return self.gateway.links.get(DOMAIN)

    async def async_ask(self, number=0, path='/all/x'):
        return await self.gateway.async_handle(
            make_request(f'q{number}', path=path, left_ms=1000)
        )

    def end_targets(self, count):
        """Let some targets end: connections to them are reset and refused."""
        self.links.cut(Cut.RESET, list(self.links.proxies)[:count])

    async def async_wait_for(self, state):
        async with asyncio.timeout(LONG_S):
            while self.link.state is not state:
                await asyncio.sleep(0.01)


@pytest.fixture
async def linked():
    """Provide a gateway that has used its links."""
    targets = [PlatformTarget(id=f't{it}', delay_s=0.01) for it in range(14)]
    async with running_targets(*targets):
        proxies = TargetLinks(targets=targets)
        await proxies.async_start()
        linked = LinkedGateway(targets, proxies)
        try:
            await linked.async_ask()
            yield linked
        finally:
            await linked.gateway.tasks.async_stop()
            await proxies.async_stop()


class TestCutOffLink:
    @pytest.mark.parametrize('kind', [Cut.SILENT, Cut.RESET])
    async def test_requests_are_refused_at_once_without_another_path(
        self, linked, kind
    ):
        linked.links.cut(kind)
        await linked.async_ask(1)
        await linked.async_wait_for(LinkState.CUT_OFF)
        response = await linked.async_ask(2)
        assert response.status == 503
        assert float(response.headers['retry-after']) > 0
        assert not any('q2' in it.run_request_ids for it in linked.targets)

    @pytest.mark.parametrize('kind', [Cut.SILENT, Cut.RESET])
    async def test_it_is_used_again_once_it_works(self, linked, kind):
        linked.links.cut(kind)
        await linked.async_ask(1)
        await linked.async_wait_for(LinkState.CUT_OFF)
        await linked.links.async_restore()
        await linked.async_wait_for(LinkState.CONNECTED)
        response = await linked.async_ask(2)
        assert response.status == 200
        assert response.headers['x-missing-parts'] == '0'

    @pytest.mark.parametrize('kind', [Cut.SILENT, Cut.RESET])
    async def test_targets_bear_no_marks_of_the_cut(self, linked, kind):
        linked.links.cut(kind)
        await asyncio.gather(*(linked.async_ask(it) for it in range(1, 9)))
        await linked.links.async_restore()
        await linked.async_wait_for(LinkState.CONNECTED)
        gateway = linked.gateway
        now = gateway.now()
        assert not gateway.unresponsive_targets.detected_at
        for target in gateway.targets.values():
            assert not target.record.consecutive_failures
            assert not target.record.is_ejected(now)
            assert not target.record.is_slow(now)

    async def test_answers_before_the_cut_do_not_hide_it(
        self, linked, monkeypatch
    ):
        """Guards against a probe that takes long on a busy host.

        An answer that arrived after its begin, but before the link was cut,
        says nothing of the link at its end.
        """
        accepts_any = links._async_accepts_any
        attempts = []

        async def async_accepts_any(entries, timeout_s):
            attempts.append(timeout_s)
            if len(attempts) == 1:
                # The process is late: the targets are tried again.
                await linked.async_ask(1)
                linked.links.cut(Cut.SILENT)
                await asyncio.sleep(links.MAX_PROBE_DELAY_S + 2 * timeout_s)
                return False
            return await accepts_any(entries, timeout_s)

        monkeypatch.setattr(links, '_async_accepts_any', async_accepts_any)
        linked.gateway.links.begin_probe(linked.link)
        async with asyncio.timeout(MIN_PROBE_INTERVAL_S):
            while linked.link.state is not LinkState.CUT_OFF:
                await asyncio.sleep(0.01)

    async def test_open_connections_that_live_on_are_used(self, linked):
        linked.links.cut(Cut.REFUSE)
        for number in range(1, 5):
            response = await linked.async_ask(number)
            assert response.status == 200
        assert linked.link.state is LinkState.CONNECTED

    async def test_cut_to_some_targets_is_none_of_the_link(self, linked):
        linked.links.cut(Cut.SILENT, list(linked.links.proxies)[:6])
        for number in range(1, 9):
            await linked.async_ask(number)
        assert not linked.gateway.decisions.counts['link_cut_off']


class TestTargetsAtFault:
    async def test_targets_that_hang_still_accept_connections(self, linked):
        for target in linked.targets:
            target.script = lambda _count: ScriptedBehaviour.HANG
        for number in range(1, 5):
            await linked.async_ask(number)
        assert not linked.gateway.decisions.counts['link_cut_off']

    async def test_they_are_tried_rarely(self, linked):
        for target in linked.targets:
            target.script = lambda _count: ScriptedBehaviour.HANG
        link = linked.link
        probed = []
        try_link = linked.gateway.links._async_try

        async def async_count(tried):
            probed.append(linked.gateway.now())
            return await try_link(tried)

        linked.gateway.links._async_try = async_count
        await asyncio.gather(*(linked.async_ask(it) for it in range(1, 9)))
        assert probed
        for earlier, later in zip(probed, probed[1:], strict=False):
            assert later - earlier >= MIN_PROBE_INTERVAL_S
        assert link.state is not LinkState.CUT_OFF


class TestPauses:
    async def test_sends_that_a_pause_made_late_show_nothing(self, linked):
        for target in linked.targets:
            target.delay_s = 0.5
        asked = asyncio.ensure_future(linked.async_ask(1))
        await asyncio.sleep(0.05)
        gateway = linked.gateway
        gateway.pauses.record_gap(2.0, gateway.now())
        await asked
        assert not linked.link.health.unheard
        assert not gateway.decisions.counts['link_cut_off']


class TestAccusations:
    """Ends of targets are evidence against the requests under way there."""

    @staticmethod
    async def async_ask_many(linked):
        """Let ordinary requests be under way when something happens."""
        for target in linked.targets:
            target.delay_s = 0.3
        asked = [
            asyncio.ensure_future(linked.async_ask(number, path))
            for number in range(1, 5)
            for path in (f'/all/{number}', f'/one/{number}')
        ]
        await asyncio.sleep(0.1)
        return asked

    async def test_lost_connections_of_a_cut_accuse_no_request(self, linked):
        asked = await self.async_ask_many(linked)
        linked.links.cut(Cut.RESET)
        await asyncio.gather(*asked)
        await linked.async_wait_for(LinkState.CUT_OFF)
        gateway = linked.gateway
        assert not gateway.crash_suspects.evidence
        assert not gateway.decisions.counts['target_ended']

    async def test_ends_of_many_targets_are_found(self, linked):
        asked = await self.async_ask_many(linked)
        linked.end_targets(7)
        await asyncio.gather(*asked)
        assert linked.gateway.decisions.counts['target_ended'] >= 3
        assert linked.link.state is LinkState.CONNECTED

    async def test_ends_after_a_cut_are_found(self, linked):
        linked.links.cut(Cut.RESET)
        await linked.async_ask(20)
        await linked.async_wait_for(LinkState.CUT_OFF)
        await linked.links.async_restore()
        await linked.async_wait_for(LinkState.CONNECTED)
        asked = await self.async_ask_many(linked)
        linked.end_targets(7)
        await asyncio.gather(*asked)
        assert linked.gateway.decisions.counts['target_ended'] >= 3
