"""Accepted configuration is in force everywhere and never reverts."""

import asyncio
import contextlib
import signal

import msgspec
import pytest
from google.protobuf import json_format

from bitternturn.core.errors import BitternturnError
from bitternturn.schema.config_pb2 import Profiles
from bitternturn.standins.deployments import build_profiles
from bitternturn.standins.object_faults import ObjectFaults, Outage
from tests.integration.session import (
    POLL_S,
    async_ask_all,
    async_until_in_force,
    async_version,
    search,
)

PATH = '/v1/configuration/profiles'
LIMIT = 7


def edited(cluster, limit=LIMIT):
    profiles = build_profiles(cluster.deployment)
    for profile in profiles.profiles:
        profile.result_limit = limit
    return profiles


async def async_put(cluster, name, profiles, if_version):
    return await cluster.async_operate(
        name,
        'PUT',
        PATH,
        headers={'if-version': str(if_version)},
        body=msgspec.json.encode(
            {
                'content': json_format.MessageToDict(
                    profiles, preserving_proto_field_name=True
                ),
            },
        ),
    )


def accepted_limits(cluster):
    """Return the limits of the profiles that the object API committed."""
    return [
        Profiles.FromString(it.value).profiles[0].result_limit
        for it in cluster.objects.store.commits
        if (it.kind, it.name) == ('control', 'profiles')
    ]


class Watcher:
    """Reads the version in force at each instance again and again."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.seen = {}
        self.task = asyncio.create_task(self.async_run())

    async def async_run(self):
        while True:
            for name, instance in list(self.cluster.instances.items()):
                if name not in self.cluster.instances:
                    # It was dropped while another one was asked.
                    continue
                # An instance that was killed or is starting can't be asked.
                with contextlib.suppress(BitternturnError):
                    version = await async_version(
                        self.cluster, name, 'profiles'
                    )
                    self.seen.setdefault((name, instance.pid), []).append(
                        version
                    )
            await asyncio.sleep(POLL_S)

    async def async_stop(self):
        if self.task.done():
            await self.task
        self.task.cancel()

    def assert_never_reverted(self):
        assert len(self.seen) >= len(self.cluster.instances)
        for versions in self.seen.values():
            assert versions == sorted(versions)


class TestSpread:
    @pytest.mark.parametrize(
        'faults',
        [
            ObjectFaults(),
            ObjectFaults(silent_watches=True),
            ObjectFaults(silent_watches=True, latency_s=0.2),
            ObjectFaults(lost_answers=1),
            ObjectFaults(silent_watches=True, lost_answers=1),
        ],
        ids=['alone', 'silent', 'silent slow', 'lost', 'silent lost'],
    )
    async def test_in_force_everywhere(self, start, faults):
        cluster = await start()
        watcher = Watcher(cluster)
        cluster.objects.set_faults(faults)
        version = await cluster.async_accept('profiles', edited(cluster))
        await async_until_in_force(cluster, 'profiles', version)
        await watcher.async_stop()
        watcher.assert_never_reverted()
        assert accepted_limits(cluster)[1:] == [LIMIT]
        answers = await async_ask_all(cluster, [search() for _ in range(6)])
        assert {len(it.reply.hits) for it in answers} == {LIMIT}

    @pytest.mark.parametrize('outage', [Outage.REFUSING, Outage.SILENT])
    async def test_outage_and_a_restart(self, start, outage):
        cluster = await start()
        watcher = Watcher(cluster)
        version = await cluster.async_accept('profiles', edited(cluster))
        cluster.objects.set_faults(ObjectFaults(outage=outage))
        await async_until_in_force(cluster, 'profiles', version)
        refused = await async_put(cluster, 'i1', edited(cluster, 9), version)
        assert refused.status in {503, 504}
        await cluster.instances['i2'].async_kill()
        cluster.forget('i2')
        await cluster.async_add('i2-again')
        cluster.objects.set_faults(ObjectFaults())
        await cluster.async_wait_ready('i2-again')
        await async_until_in_force(cluster, 'profiles', version)
        await watcher.async_stop()
        watcher.assert_never_reverted()
        assert accepted_limits(cluster)[1:] == [LIMIT]

    async def test_paused_instance_follows(self, start):
        cluster = await start()
        cluster.instances['i1'].send(signal.SIGSTOP)
        version = await cluster.async_accept('profiles', edited(cluster))
        cluster.objects.set_faults(ObjectFaults(silent_watches=True))
        cluster.instances['i1'].send(signal.SIGCONT)
        await async_until_in_force(cluster, 'profiles', version)
        answers = await async_ask_all(
            cluster, [search() for _ in range(3)], 'i1'
        )
        assert {len(it.reply.hits) for it in answers} == {LIMIT}


class TestRacingOperators:
    @pytest.mark.parametrize('lost', [0, 1])
    async def test_one_wins_the_others_are_shown_both(self, start, lost):
        cluster = await start()
        base = await async_version(cluster, 'i0', 'profiles')
        cluster.objects.set_faults(ObjectFaults(lost_answers=lost))
        limits = {'i0': 11, 'i1': 12, 'i2': 13}
        responses = dict(
            zip(
                limits,
                await asyncio.gather(
                    *(
                        async_put(cluster, name, edited(cluster, limit), base)
                        for name, limit in limits.items()
                    ),
                ),
                strict=True,
            ),
        )
        won = [it for it, answer in responses.items() if answer.status == 200]
        assert len(won) == 1
        assert accepted_limits(cluster)[1:] == [limits[won[0]]]
        version = msgspec.json.decode(responses[won[0]].body)['version']
        for name, answer in responses.items():
            if name == won[0]:
                continue
            assert answer.status == 409
            told = msgspec.json.decode(answer.body)
            assert told['mine']['version'] == base
            assert told['theirs']['version'] == version
            assert {
                it['result_limit']
                for it in told['theirs']['content']['profiles']
            } == {limits[won[0]]}
        await async_until_in_force(cluster, 'profiles', version)
