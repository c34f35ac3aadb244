"""Tests of an instance that the store rejects and whose seeds are stale."""

import asyncio
import contextlib

import pytest

from bitternturn.gateway.models import Address
from bitternturn.platform import source
from bitternturn.relay.copies import ReadState
from tests.platform.documents import target_document
from tests.platform.test_mirror import async_until
from tests.platform.test_source import Instance, async_refuse_call, ports

__all__ = ('ports',)

# Time from a change to its effect, also at a rejected instance.
BOUND_S = 5.0


@pytest.fixture(params=[0, 16], ids=['large-fleet', 'small-fleet'])
def fleet_size(request, monkeypatch):
    """Treat the fleet as a large or a small one."""
    monkeypatch.setattr(source, 'SMALL_FLEET_SIZE', request.param)
    monkeypatch.setattr(source, 'FIRST_START_READ_AFTER_S', 0.3)


@contextlib.asynccontextmanager
async def async_silent_server(port):
    """Accept connections and answer nothing, like a frozen process."""
    writers = []

    async def async_accept(_, writer):
        writers.append(writer)

    server = await asyncio.start_server(async_accept, '127.0.0.1', port)
    try:
        yield
    finally:
        server.close()
        for writer in writers:
            writer.close()


@contextlib.asynccontextmanager
async def async_running_fleet(standin, ports, count=3):
    """Start instances whose seeds are the addresses of gone ones."""
    seeds = tuple(Address(host='127.0.0.1', port=port) for port in ports[4:])
    fleet = [
        Instance(
            f'i{number}',
            standin.server.port,
            Address(host='127.0.0.1', port=ports[number]),
            seeds,
        )
        for number in range(count)
    ]
    for instance in fleet:
        await instance.async_start()
    try:
        await async_until(
            lambda: all(
                it.follower.source.copies.up_to_date
                and it.gateway.instance_count == count
                for it in fleet
            )
        )
        yield fleet
    finally:
        for instance in fleet:
            await instance.async_stop()


async def async_reject(standin, instance):
    """Let the store reject the calls of an instance, and wait until it has."""
    store = instance.follower.source.store
    store.async_watch = store.async_list = async_refuse_call
    standin.complete_pending_watches()
    copies = instance.follower.source.copies
    # The other kinds wait for a probe of the store to succeed.
    await async_until(lambda: ReadState.FAILING in copies.read_states.values())


class TestRejectedInstance:
    """Guards against sends to a domain long after it was taken out."""

    async def test_changes_arrive_without_seeds(
        self, standin, ports, fleet_size
    ):
        async with async_running_fleet(standin, ports) as fleet:
            rejected = fleet[0]
            await async_reject(standin, rejected)
            standin.put('evacuations', 'south', {})
            standin.put('servers', 't1', target_document(state='draining'))
            await async_until(
                lambda: (
                    rejected.gateway.fleet_state.domains_out == {'south'}
                    and not rejected.gateway.ready.get('s')
                ),
                BOUND_S,
            )

    async def test_changes_arrive_with_silent_seeds_and_a_silent_peer(
        self, standin, ports, fleet_size
    ):
        async def async_ignore(connection, frame):
            """Send no reply, like a frozen process."""

        async with (
            async_silent_server(ports[4]),
            async_silent_server(ports[5]),
            async_running_fleet(standin, ports) as fleet,
        ):
            rejected = fleet[0]
            fleet[1].server._async_follow = async_ignore
            await async_reject(standin, rejected)
            standin.put('evacuations', 'south', {})
            await async_until(
                lambda: rejected.gateway.fleet_state.domains_out == {'south'},
                BOUND_S,
            )

    async def test_peers_are_asked_in_turn_at_a_bounded_rate(
        self, standin, ports, fleet_size
    ):
        async with async_running_fleet(standin, ports) as fleet:
            asked = []
            for instance in fleet[1:]:
                follow = instance.server._async_follow

                async def async_record(
                    connection, frame, follow=follow, instance=instance
                ):
                    asked.append(instance.settings.name)
                    await follow(connection, frame)

                instance.server._async_follow = async_record
            await async_reject(standin, fleet[0])
            await async_until(lambda: len(asked) >= 4)
            assert set(asked) == {'i1', 'i2'}
            before = len(asked)
            await asyncio.sleep(2)
            assert len(asked) - before <= 5
            # Asking does not make a peer a source that others follow.
            assert all(
                it.follower.source.copies.followed_at < 0 for it in fleet[1:]
            )

    async def test_peers_are_not_asked_while_the_store_answers(
        self, standin, ports, fleet_size
    ):
        async with async_running_fleet(standin, ports) as fleet:
            asked = []
            for instance in fleet:
                instance.follower.source.copies.async_wait_for_changes = (
                    asked.append
                )
            await asyncio.sleep(1.5)
            assert not asked
