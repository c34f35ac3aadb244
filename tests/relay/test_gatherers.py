"""Tests of requests over shards that strong instances gather for weak ones."""

import asyncio
import contextlib
import dataclasses
from collections import Counter

import pytest

from bitternturn.core.ids import TargetId
from bitternturn.gateway.models import SendOutcome
from bitternturn.relay import const
from bitternturn.relay.connection import RelayConnection
from bitternturn.relay.incoming_gather import IncomingGather
from bitternturn.schema.relay_pb2 import Answer, Frame, Gathered
from bitternturn.standins.platform_target import ScriptedBehaviour
from tests.gateway.helpers import configure, make_shard_route
from tests.platform.test_mirror import async_until
from tests.relay.uneven_fleet import PATH, PATIENT_S, uneven_fleet

SHARDS = 6


@contextlib.asynccontextmanager
async def fleet_with_entry(**changes):
    """Provide a fleet, a weak instance of it and the one that gathers for it."""
    async with uneven_fleet(shards=SHARDS, **changes) as fleet:
        entry = fleet.weak[0]
        name = entry.delegation.gatherers.ranked[0]
        (gatherer,) = [
            it for it in fleet.strong if it.gateway.settings.name == name
        ]
        yield fleet, entry, gatherer


def count_outcomes(instance):
    """Return how often requests were passed to peers, by outcome."""
    outcomes = Counter()
    for (name, labels), count in instance.gateway.metrics.counts.items():
        if name == 'gathered':
            outcomes[dict(labels)['outcome']] += count
    return outcomes


def count_runs(fleet):
    """Return the number of requests that targets have run."""
    return sum(len(target.requests) for target in fleet.targets)


def let_hang(fleet):
    """Let no target answer."""
    for target in fleet.targets:
        target.script = lambda _: ScriptedBehaviour.HANG


def wait_for_receipts(monkeypatch):
    """Let no entry instance give a peer up because the host is busy."""
    monkeypatch.setattr(const, 'GATHER_RECEIPT_TIMEOUT_S', 0.5)


def make_busy(gateway):
    """Let an instance measure that it is busy all the time."""
    gateway.pauses.load.share = 1
    gateway.pauses.load.measured_at = gateway.now() + PATIENT_S


def all_in_use(instance, targets):
    """Return whether an instance may send to each of some targets."""
    known = [instance.gateway.targets[TargetId(it.id)] for it in targets]
    now = instance.gateway.now()
    return all(it.announcement.allows_send(now) for it in known)


class TestGatherers:
    """Load pattern: a wide request arrives at a weak instance."""

    async def test_strong_instance_gathers(self):
        async with fleet_with_entry() as (fleet, entry, _):
            await fleet.async_ask_patiently(entry)
            assert count_outcomes(entry) == {'answered': 1}
            assert count_runs(fleet) == SHARDS

    async def test_strong_instance_keeps_its_own(self):
        async with fleet_with_entry() as (fleet, _, gatherer):
            await fleet.async_ask_patiently(gatherer)
            assert not count_outcomes(gatherer)

    async def test_id_of_the_request_reaches_the_targets(self):
        async with fleet_with_entry() as (fleet, entry, _):
            response = await fleet.async_ask(entry, PATH)
            request_id = response.headers['x-request-id']
            seen = {
                request.id
                for target in fleet.targets
                for request in target.requests
            }
        assert seen == {request_id}

    async def test_peer_of_an_earlier_build_gets_no_requests(self):
        """It would not reply, and the request would wait in vain."""
        async with fleet_with_entry() as (fleet, entry, gatherer):
            for peer in entry.delegation.peers.values():
                peer.gathers = False
                peer.greeted = True
            await fleet.async_ask_patiently(entry)
            assert not count_outcomes(entry)


class TestDeclined:
    """The strong instance says at once that it does not gather."""

    @pytest.mark.parametrize('cause', ['busy', 'draining', 'older', 'outdated'])
    async def test_entry_instance_sends_the_parts(self, cause):
        async with fleet_with_entry() as (fleet, entry, gatherer):
            gateway = gatherer.gateway
            if cause == 'busy':
                make_busy(gateway)
            elif cause == 'draining':
                gateway.draining = True
            elif cause == 'older':
                configuration = entry.gateway.fleet_state.configuration
                configure(entry.gateway, *configuration.routes, version=2)
            else:
                gateway.fleet_state.store_failed_at = gateway.now()
            await fleet.async_ask_patiently(entry)
            assert count_outcomes(entry) == {'declined': 1}
            assert count_runs(fleet) == SHARDS

    async def test_busy_instance_is_not_asked_again_soon(self):
        async with fleet_with_entry() as (fleet, entry, gatherer):
            make_busy(gatherer.gateway)
            for _ in range(3):
                await fleet.async_ask_patiently(entry)
            outcomes = count_outcomes(entry)
            assert outcomes['declined'] == 1

    async def test_next_strong_instance_takes_over(self):
        async with fleet_with_entry() as (fleet, entry, gatherer):
            make_busy(gatherer.gateway)
            await fleet.async_ask_patiently(entry)
            # The entry instance may send once more, without a connection.
            await fleet.async_ask_patiently(entry)
            await async_until(
                lambda: (
                    sum(it.gathers for it in entry.delegation.peers.values())
                    > 1
                )
            )
            await fleet.async_ask_patiently(entry)
            outcomes = count_outcomes(entry)
            assert outcomes['declined'] == 1
            assert outcomes['answered']


class TestLost:
    """The strong instance may have sent parts, but does not answer."""

    async def test_entry_instance_retries_when_the_connection_is_lost(
        self, monkeypatch
    ):
        async with fleet_with_entry(max_targets=2) as (fleet, entry, gatherer):
            monkeypatch.setattr(
                IncomingGather, 'start', lambda work: work.connection.close()
            )
            await fleet.async_ask_patiently(entry)
            assert count_outcomes(entry) == {'lost': 1}
            assert count_runs(fleet) == SHARDS

    async def test_entry_instance_retries_without_a_receipt(self, monkeypatch):
        async with fleet_with_entry(max_targets=2) as (fleet, entry, gatherer):
            monkeypatch.setattr(IncomingGather, 'start', lambda work: None)
            await fleet.async_ask_patiently(entry)
            name = gatherer.gateway.settings.name
            peer = entry.delegation.peers[name]
            assert count_outcomes(entry) == {'lost': 1}
            assert not peer.is_available(entry.gateway.now())

    async def test_targets_of_an_only_attempt_are_not_sent_to_twice(
        self, monkeypatch
    ):
        """The peer may have used the one target that the route allows."""
        async with fleet_with_entry(max_targets=1) as (fleet, entry, gatherer):
            monkeypatch.setattr(
                IncomingGather, 'start', lambda work: work.connection.close()
            )
            response = await fleet.async_ask(entry, PATH)
            assert response.status == 502
            assert not count_runs(fleet)

    async def test_hedges_of_a_lost_peer_count_as_tries(self, monkeypatch):
        """Guards against requests that reach more targets than allowed."""
        wait_for_receipts(monkeypatch)
        async with fleet_with_entry(max_targets=2, latency_objective_s=1) as (
            fleet,
            entry,
            gatherer,
        ):
            await fleet.async_ask(entry, PATH)
            let_hang(fleet)
            for target in fleet.targets:
                target.requests.clear()
            asked = asyncio.ensure_future(fleet.async_ask(entry, PATH))
            await async_until(lambda: count_runs(fleet) >= 2 * SHARDS)
            # The entry instance would choose other targets than the peer.
            for target in fleet.targets:
                if target.requests:
                    known = entry.gateway.targets[TargetId(target.id)]
                    known.announce_pause(PATIENT_S)
            name = gatherer.gateway.settings.name
            entry.delegation.peers[name].connection.close()
            assert (await asked).status == 502
            assert count_outcomes(entry) == {'answered': 1, 'lost': 1}
            for shard in range(SHARDS):
                replicas = fleet.targets[shard::SHARDS]
                assert sum(bool(it.requests) for it in replicas) <= 2

    async def test_peer_sends_once_until_it_is_known_to_have_the_request(
        self, monkeypatch
    ):
        """The entry instance may give it up and send the parts itself."""
        wait_for_receipts(monkeypatch)
        async with fleet_with_entry(max_targets=2, latency_objective_s=1) as (
            fleet,
            entry,
            _,
        ):
            await fleet.async_ask(entry, PATH)
            monkeypatch.setattr(IncomingGather, 'confirm', lambda work: None)
            let_hang(fleet)
            await fleet.async_ask(entry, PATH)
            # The response of the peer and the deadline may pass each other.
            assert count_outcomes(entry).total() == 2
            assert count_runs(fleet) == 2 * SHARDS

    async def test_second_receipt_keeps_the_request_with_the_peer(self):
        """Too few parts are answered in time; the peer goes on."""
        async with fleet_with_entry(
            max_targets=2, latency_objective_s=0.15, min_coverage=1
        ) as (fleet, entry, _):
            slow = fleet.targets[::SHARDS]
            for target in slow:
                target.delay_s = 0.5
            response = await fleet.async_ask(entry, PATH)
            assert response.status == 200
            assert count_outcomes(entry) == {'answered': 1}

    async def test_invalid_status_of_a_peer_is_not_passed_on(self, monkeypatch):
        async with fleet_with_entry(max_targets=2) as (fleet, entry, _):

            def start(work):
                answer = Answer(status=7)
                work.connection.send(
                    Frame(number=work.number, gathered=Gathered(answer=answer))
                )

            monkeypatch.setattr(IncomingGather, 'start', start)
            await fleet.async_ask_patiently(entry)
            assert count_outcomes(entry) == {'lost': 1}


class TestEndedRequests:
    """Nobody waits for the response any longer."""

    async def test_targets_are_cancelled_when_the_caller_leaves(self):
        async with fleet_with_entry() as (fleet, entry, gatherer):
            let_hang(fleet)
            asked = asyncio.ensure_future(fleet.async_ask(entry, PATH))
            await async_until(lambda: gatherer.gateway.in_flight)
            asked.cancel()
            await async_until(lambda: not gatherer.gateway.in_flight)

    async def test_targets_are_cancelled_when_the_entry_instance_is_lost(self):
        async with fleet_with_entry() as (fleet, entry, gatherer):
            let_hang(fleet)
            asked = asyncio.ensure_future(fleet.async_ask(entry, PATH))
            await async_until(lambda: gatherer.gateway.in_flight)
            name = gatherer.gateway.settings.name
            peer = entry.delegation.peers[name]
            peer.connection.close()
            await async_until(lambda: not gatherer.gateway.in_flight)
            asked.cancel()

    async def test_request_ends_when_the_entry_instance_stops(self):
        async with fleet_with_entry() as (fleet, entry, gatherer):
            let_hang(fleet)
            asked = asyncio.ensure_future(fleet.async_ask(entry, PATH))
            await async_until(lambda: gatherer.gateway.in_flight)
            entry.gateway.stop_at = entry.gateway.now()
            entry.gateway.end_requests()
            response = await asked
            assert response.status in {502, 504}
            await async_until(lambda: not gatherer.gateway.in_flight)


class TestNotices:
    """What a target tells one of both instances, both respect."""

    async def test_pause_told_to_the_gatherer_reaches_the_entry_instance(self):
        async with fleet_with_entry(max_targets=2) as (fleet, entry, _):
            for target in fleet.targets[:SHARDS]:
                target.script = lambda _: ScriptedBehaviour.PAUSE
                target.retry_after = str(PATIENT_S)
            await fleet.async_ask_patiently(entry)
            paused = [
                target
                for target in fleet.targets[:SHARDS]
                if target.pauses_told
            ]
            now = entry.gateway.now()
            assert paused
            for target in paused:
                known = entry.gateway.targets[TargetId(target.id)]
                assert not known.announcement.allows_send(now)

    @pytest.mark.parametrize('end', ['answered', 'caller_left'])
    async def test_notice_after_the_end_reaches_the_entry_instance(self, end):
        """The gatherer alone hears the answers to sends that are detached."""
        async with fleet_with_entry(
            min_coverage=0.8, latency_objective_s=0.1
        ) as (fleet, entry, _):
            late = fleet.targets[::SHARDS]
            for target in late:
                target.delay_s = 0.18
                target.script = lambda _: ScriptedBehaviour.PAUSE
                target.retry_after = str(PATIENT_S)
            asked = asyncio.ensure_future(fleet.async_ask(entry, PATH))
            await async_until(lambda: any(it.requests for it in late))
            if end == 'caller_left':
                asked.cancel()
            else:
                response = await asked
                assert response.headers['x-missing-parts'] == '1'
            assert not any(it.pauses_told for it in late)
            await async_until(lambda: any(it.pauses_told for it in late))
            await async_until(lambda: not all_in_use(entry, late))
            assert count_outcomes(entry) == {end: 1}

    async def test_pause_told_to_the_entry_instance_reaches_the_gatherer(self):
        async with fleet_with_entry() as (fleet, entry, gatherer):
            paused = fleet.targets[:SHARDS]
            for target in paused:
                known = entry.gateway.targets[TargetId(target.id)]
                known.announce_pause(PATIENT_S)
            await fleet.async_ask_patiently(entry)
            assert count_outcomes(entry) == {'answered': 1}
            assert not any(target.requests for target in paused)

    async def test_notice_of_an_earlier_life_is_ignored(self):
        async with fleet_with_entry() as (fleet, entry, gatherer):
            target = entry.gateway.targets[TargetId(fleet.targets[0].id)]
            target.announce_leaving()
            target.entry = dataclasses.replace(target.entry, started_at_ms=7)
            await fleet.async_ask_patiently(entry)
            known = gatherer.gateway.targets[target.entry.id]
            assert not known.announcement.leaving

    async def test_limit_that_is_lifted_ends_at_the_entry_instance(self):
        async with fleet_with_entry() as (fleet, entry, gatherer):
            for known in entry.gateway.targets.values():
                known.announce_rate_limit(1000, 0)
            # Both have no permit when they learn of a limit.
            while (await fleet.async_ask(entry, PATH)).status != 200:
                await asyncio.sleep(0.01)
            limits = [
                entry.gateway.targets[TargetId(it.id)].announcement.rate_limit
                for it in fleet.targets
                if it.requests
            ]
            assert not any(limit.per_s for limit in limits)
