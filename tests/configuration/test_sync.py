"""Tests of the distribution of configurations."""

import asyncio
import random

import pytest

from bitternturn.configuration.models import ConfigurationKind
from bitternturn.configuration.state import ConfigurationState
from bitternturn.configuration.switches import emit_change_events
from bitternturn.configuration.sync import (
    ConfigurationSync,
    SyncCallbacks,
)
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.tasks import TaskSet
from bitternturn.platform.models import ObjectList, StoredObject
from bitternturn.schema.membership_pb2 import Member, View
from bitternturn.schema.peers_pb2 import FetchReply, Versions
from bitternturn.timeline.models import EventKind
from tests.configuration.fakes import profiles_at, switches_at

PROFILES = ConfigurationKind.PROFILES
PEER = Member(instance_id='i-2')


def failure(code=ErrorCode.PLATFORM_UNREACHABLE) -> BitternturnError:
    return BitternturnError(code=code, step='test')


def stored_profiles(version: int, *names: str) -> StoredObject:
    content = profiles_at(version, *names).profiles
    return StoredObject(
        kind='control',
        name='profiles',
        version=version,
        value=content.SerializeToString(),
    )


class ScriptedClient:
    """Returns scripted lists and watch events; raises scripted errors."""

    def __init__(self, *, lists=(), watches=()):
        self.lists = list(lists)
        self.watches = list(watches)
        self.watched_from = []
        self.done = asyncio.Event()

    async def async_list(self, kind):
        if not self.lists:
            raise failure()
        listed = self.lists.pop(0)
        if isinstance(listed, Exception):
            raise listed
        return listed

    async def watch(self, kind, from_version):
        self.watched_from.append(from_version)
        if not self.watches:
            self.done.set()
            await asyncio.Event().wait()
        for step in self.watches.pop(0):
            if isinstance(step, Exception):
                raise step
            yield step


class Instance:
    """The configuration of one instance with fake dependencies."""

    def __init__(self, client, *, fetch=None, peers=()):
        self.state = ConfigurationState()
        self.tasks = TaskSet()
        self.views = []
        self.time = 0.0
        self.sync = ConfigurationSync(
            client=client,
            state=self.state,
            callbacks=SyncCallbacks(
                fetch=fetch or self.async_fail_fetch,
                peers=lambda: peers,
                view=lambda: self.views[-1] if self.views else None,
                on_view=self.views.append,
            ),
            rng=random.Random(1),
            now=lambda: self.time,
            tasks=self.tasks,
            retry_delay_s=0,
        )

    async def async_fail_fetch(self, member, versions):
        raise failure(ErrorCode.PEER_UNREACHABLE)

    async def async_wait_idle(self):
        while self.tasks.running:
            await asyncio.gather(*self.tasks.running)


@pytest.fixture
async def start_instance():
    instances = []

    def start(instance):
        instance.tasks.spawn(instance.sync.async_run())
        instances.append(instance)

    yield start
    for instance in instances:
        await instance.tasks.async_stop()


class TestWatch:
    async def test_watch_resumes_after_the_last_version(self, start_instance):
        view = StoredObject(
            kind='control',
            name='view',
            version=4,
            value=View(members=[PEER]).SerializeToString(),
        )
        client = ScriptedClient(
            lists=[ObjectList(version=5, items=(view, stored_profiles(2)))],
            watches=[
                [stored_profiles(7, 'a'), failure()],
                [stored_profiles(9, 'b'), failure()],
            ],
        )
        instance = Instance(client)
        start_instance(instance)
        await client.done.wait()
        assert client.watched_from == [5, 7, 9]
        assert instance.state.version(PROFILES) == 9
        assert instance.views == [View(version=4, members=[PEER])]
        assert instance.sync.versions() == Versions(view=4, profiles=9)

    async def test_expired_watch_lists_again(self, start_instance):
        client = ScriptedClient(
            lists=[
                ObjectList(version=5, items=()),
                ObjectList(version=50, items=(stored_profiles(44, 'a'),)),
            ],
            watches=[[failure(ErrorCode.WATCH_GONE)]],
        )
        instance = Instance(client)
        start_instance(instance)
        await client.done.wait()
        assert client.watched_from == [5, 50]
        assert instance.state.version(PROFILES) == 44

    async def test_invalid_and_deleted_objects_are_ignored(self):
        instance = Instance(ScriptedClient())
        instance.sync.apply_stored(stored_profiles(3, 'a'))
        for fields in (
            {'name': 'profiles', 'value': b'\xff', 'version': 4},
            {'name': 'profiles', 'deleted': True, 'version': 5},
            {'name': 'view', 'value': b'\xff', 'version': 6},
            {'name': 'other', 'value': b'', 'version': 7},
        ):
            instance.sync.apply_stored(StoredObject(kind='control', **fields))
        assert instance.state.objects[PROFILES] == profiles_at(3, 'a')
        assert instance.views == []


class TestStart:
    async def test_loads_from_peers_while_store_is_unreachable(
        self, start_instance
    ):
        async def fetch(member, versions):
            if member.instance_id == 'dead':
                raise failure(ErrorCode.PEER_UNREACHABLE)
            return FetchReply(objects=[profiles_at(3, 'a')])

        peers = [Member(instance_id='dead'), PEER]
        instance = Instance(ScriptedClient(), fetch=fetch, peers=peers)
        start_instance(instance)
        await instance.sync.loaded.wait()
        assert instance.state.version(PROFILES) == 3
        assert instance.sync.not_loaded_reason == ''

    async def test_reports_why_it_is_not_loaded(self, start_instance):
        fetched = asyncio.Event()

        async def fetch(member, versions):
            fetched.set()
            return FetchReply()

        instance = Instance(ScriptedClient(), fetch=fetch, peers=[PEER])
        start_instance(instance)
        await fetched.wait()
        assert not instance.sync.loaded.is_set()
        assert 'platform_unreachable' in instance.sync.not_loaded_reason


class TestObserve:
    async def test_fetches_from_peer_with_newer_versions(self):
        fetched = []

        async def fetch(member, versions):
            fetched.append((member, versions))
            return FetchReply(
                objects=[profiles_at(8, 'a')], view=View(version=6)
            )

        instance = Instance(ScriptedClient(), fetch=fetch)
        instance.state.apply_if_newer(profiles_at(3))
        instance.sync.observe_versions(PEER, Versions(profiles=3))
        assert not instance.tasks.running
        for _ in range(3):
            instance.sync.observe_versions(PEER, Versions(profiles=8, view=6))
        await instance.async_wait_idle()
        assert fetched == [(PEER, Versions(profiles=3))]
        assert instance.sync.versions() == Versions(profiles=8, view=6)

    async def test_reads_store_when_peer_fails(self):
        listed = ObjectList(version=9, items=(stored_profiles(8, 'a'),))
        instance = Instance(ScriptedClient(lists=[listed]))
        instance.sync.observe_versions(PEER, Versions(profiles=8))
        await instance.async_wait_idle()
        assert instance.state.version(PROFILES) == 8

    async def test_backs_off_after_unsuccessful_fetch(self):
        instance = Instance(ScriptedClient())
        instance.sync.retry_delay_s = 4
        instance.sync.observe_versions(PEER, Versions(profiles=8))
        await instance.async_wait_idle()
        instance.sync.observe_versions(PEER, Versions(profiles=8))
        assert not instance.tasks.running
        instance.time = 4.0
        instance.sync.observe_versions(PEER, Versions(profiles=8))
        assert instance.tasks.running
        await instance.async_wait_idle()


class TestChangeEvents:
    def test_events_for_versions_and_switches(self):
        state = ConfigurationState()
        notified = []
        emit_change_events(
            state,
            lambda kind, **fields: notified.append((kind, fields['detail'])),
        )
        state.apply_if_newer(switches_at(1, domains=('n',)))
        state.apply_if_newer(switches_at(2, targets=('t1',)))
        assert notified == [
            (EventKind.CONFIGURATION_IN_FORCE, 'switches 1'),
            (EventKind.DOMAIN_OUT, 'n test'),
            (EventKind.CONFIGURATION_IN_FORCE, 'switches 2'),
            (EventKind.DOMAIN_IN, 'n'),
            (EventKind.TARGET_OUT, 't1 test'),
        ]
