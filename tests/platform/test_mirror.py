"""Tests of the copies of the store's objects."""

import asyncio
import contextlib

import pytest

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.platform import transport
from bitternturn.platform.mirror import async_mirror
from bitternturn.platform.outage import OutageGate, Pauses
from bitternturn.standins.platform_store import (
    PlatformStoreStandin,
    StoreFault,
)
from tests.platform.helpers import make_store


class Copy:
    """Names and contents of a kind as a mirror tells them."""

    def __init__(self):
        self.specs = {}
        self.lists = 0
        self.failures = []
        self.answers = 0

    def take_all(self, found, revision):
        self.lists += 1
        self.specs = {stored.meta.name: stored.spec for stored in found}

    def take_failure(self, kind, error):
        self.failures.append(error)

    def take_events(self, events, revision):
        self.answers += 1
        for event in events:
            if event.deleted:
                self.specs.pop(event.object.meta.name, None)
            else:
                self.specs[event.object.meta.name] = event.object.spec


@contextlib.asynccontextmanager
async def mirroring(
    standin, copy, timeout_s=0.5, watch_s=0.5, gate=None, on_failure=None
):
    """Follow the kind `servers` of a stand-in."""
    store = make_store(standin.server.port, timeout_s, watch_s)
    task = asyncio.create_task(
        async_mirror(
            store,
            'servers',
            on_all=copy.take_all,
            on_events=copy.take_events,
            on_failure=on_failure or copy.take_failure,
            gate=gate or OutageGate(),
        )
    )
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def async_until(check, limit_s=20.0):
    """Wait for a condition."""
    async with asyncio.timeout(limit_s):
        while not check():
            await asyncio.sleep(0.01)


@pytest.fixture
async def standin():
    """Return a store that listens."""
    store = PlatformStoreStandin()
    await store.async_start()
    yield store
    await store.async_stop()


class TestFollowing:
    async def test_pages_and_changes(self, standin):
        for number in range(120):
            standin.put('servers', f't{number:03d}', number)
        copy = Copy()
        async with mirroring(standin, copy):
            await async_until(lambda: len(copy.specs) == 120)
            standin.put('servers', 't000', 'changed')
            standin.put('other', 't000', 'unseen')
            standin.delete('servers', 't001')
            await async_until(lambda: len(copy.specs) == 119)
            assert copy.specs['t000'] == 'changed'

    async def test_forgotten_history_is_listed_anew(self, standin):
        copy = Copy()
        async with mirroring(standin, copy):
            await async_until(lambda: copy.lists == 1)
            await asyncio.sleep(0.05)
            standin.revision += 1
            standin.objects.clear()
            standin.forget_history()
            await async_until(lambda: copy.lists == 2)


class TestOutages:
    async def test_watch_that_is_never_answered_is_given_up(self, standin):
        """The store took a watch during an outage and stayed silent on it."""
        standin.put('servers', 'a', 1)
        copy = Copy()
        standin.fault = lambda count: (
            StoreFault.SILENT if count == 1 else StoreFault.NONE
        )
        async with mirroring(standin, copy):
            await async_until(lambda: len(standin.calls) == 2)
            standin.put('servers', 'b', 2)
            await async_until(lambda: copy.specs == {'a': 1, 'b': 2})

    @pytest.mark.parametrize(
        'fault',
        [StoreFault.BUSY, StoreFault.TOO_MANY, StoreFault.SILENT],
    )
    async def test_copy_is_kept_and_catches_up(self, standin, fault):
        standin.put('servers', 'a', 1)
        copy = Copy()
        async with mirroring(standin, copy):
            await async_until(lambda: copy.specs == {'a': 1})
            down = len(standin.calls)
            standin.fault = lambda count: (
                fault if count < down + 2 else StoreFault.NONE
            )
            standin.wake_watches()
            standin.put('servers', 'b', 2)
            standin.delete('servers', 'a')
            await async_until(lambda: copy.specs == {'b': 2})

    async def test_store_that_comes_back_is_followed(self, standin):
        standin.put('servers', 'a', 1)
        copy = Copy()
        async with mirroring(standin, copy):
            await async_until(lambda: copy.specs == {'a': 1})
            port = standin.server.port
            await standin.async_stop()
            await async_until(lambda: copy.failures)
            assert copy.specs == {'a': 1}
            standin.server = PlatformStoreStandin().server
            standin.server.handler = standin.async_handle
            await standin.async_start(port)
            standin.put('servers', 'b', 2)
            await async_until(lambda: copy.specs == {'a': 1, 'b': 2})


class TestOpening:
    async def test_watch_does_not_wait_long_for_a_connection(self, monkeypatch):
        async def async_hang(**_):
            await asyncio.Event().wait()

        monkeypatch.setattr(transport, 'async_connect', async_hang)
        store = make_store(9, 0.05)
        async with asyncio.timeout(1):
            with pytest.raises(BitternturnError):
                await store.async_watch('servers', 1, wait_s=0.5)


class TestCutWatches:
    async def test_that_the_store_answers_again_is_known_at_once(self, standin):
        """Replays watches that are cut off: the next one may wait for long."""
        copy = Copy()
        async with mirroring(standin, copy, watch_s=60):
            await async_until(lambda: len(standin.calls) == 2)
            standin.fault = lambda count: (
                StoreFault.BUSY if count == 2 else StoreFault.NONE
            )
            standin.put('servers', 'a', 1)
            await async_until(lambda: copy.failures)
            answered = copy.answers
            await async_until(lambda: copy.answers > answered)

    async def test_forgotten_history_shows_that_the_store_answers(
        self, standin
    ):
        """Each kind waited for its turn twice before it was read again."""
        gate = OutageGate(pauses=lambda: Pauses(first_s=0.05))
        copy = Copy()

        def take_failure(_, error):
            copy.failures.append(error)
            if error.code is ErrorCode.WATCH_GONE:
                gate.pause_s = 60

        async with mirroring(standin, copy, gate=gate, on_failure=take_failure):
            await async_until(lambda: len(standin.calls) == 2)
            standin.fault = lambda count: (
                StoreFault.BUSY if count == 2 else StoreFault.NONE
            )
            standin.put('servers', 'a', 1)
            await async_until(lambda: copy.failures)
            standin.put('servers', 'b', 2)
            standin.forget_history()
            await async_until(lambda: copy.specs == {'a': 1, 'b': 2})
        assert copy.failures[-1].code is ErrorCode.WATCH_GONE
