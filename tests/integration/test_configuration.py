"""Accepted configuration reaches every instance and never reverts."""

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
from tests.integration.helpers import (
    POLL_S,
    async_get_version,
    async_send_queries,
    async_wait_in_force,
    make_search,
)

PROFILES_PATH = '/v1/configuration/profiles'
RESULT_LIMIT = 7


def make_profiles(cluster, limit=RESULT_LIMIT):
    profiles = build_profiles(cluster.deployment)
    for profile in profiles.profiles:
        profile.result_limit = limit
    return profiles


async def async_put(cluster, name, profiles, if_version):
    return await cluster.async_call_administration(
        name,
        'PUT',
        PROFILES_PATH,
        headers={'if-version': str(if_version)},
        body=msgspec.json.encode(
            {
                'content': json_format.MessageToDict(
                    profiles, preserving_proto_field_name=True
                ),
            },
        ),
    )


def get_accepted_limits(cluster):
    """Return the result limits of the accepted profiles, in order."""
    return [
        Profiles.FromString(it.value).profiles[0].result_limit
        for it in cluster.objects.store.commits
        if (it.kind, it.name) == ('control', 'profiles')
    ]


class VersionWatcher:
    """Polls the version in force at each instance."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.seen_versions = {}
        self.task = asyncio.create_task(self.async_run())

    async def async_run(self):
        while True:
            for name, instance in list(self.cluster.instances.items()):
                if name not in self.cluster.instances:
                    # Removed while another instance was polled.
                    continue
                # A killed or starting instance does not answer.
                with contextlib.suppress(BitternturnError):
                    version = await async_get_version(
                        self.cluster, name, 'profiles'
                    )
                    self.seen_versions.setdefault(
                        (name, instance.pid), []
                    ).append(version)
            await asyncio.sleep(POLL_S)

    async def async_stop(self):
        if self.task.done():
            await self.task
        self.task.cancel()

    def assert_never_reverted(self):
        assert len(self.seen_versions) >= len(self.cluster.instances)
        for versions in self.seen_versions.values():
            assert versions == sorted(versions)


class TestPropagation:
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
    async def test_in_force_everywhere(self, start_cluster, faults):
        cluster = await start_cluster()
        watcher = VersionWatcher(cluster)
        cluster.objects.set_faults(faults)
        version = await cluster.async_put_configuration(
            'profiles', make_profiles(cluster)
        )
        await async_wait_in_force(cluster, 'profiles', version)
        await watcher.async_stop()
        watcher.assert_never_reverted()
        assert get_accepted_limits(cluster)[1:] == [RESULT_LIMIT]
        answers = await async_send_queries(
            cluster, [make_search() for _ in range(6)]
        )
        assert {len(it.reply.hits) for it in answers} == {RESULT_LIMIT}

    @pytest.mark.parametrize('outage', [Outage.REFUSING, Outage.SILENT])
    async def test_outage_and_a_restart(self, start_cluster, outage):
        cluster = await start_cluster()
        watcher = VersionWatcher(cluster)
        version = await cluster.async_put_configuration(
            'profiles', make_profiles(cluster)
        )
        cluster.objects.set_faults(ObjectFaults(outage=outage))
        await async_wait_in_force(cluster, 'profiles', version)
        refused = await async_put(
            cluster, 'i1', make_profiles(cluster, 9), version
        )
        assert refused.status in {503, 504}
        await cluster.instances['i2'].async_kill()
        cluster.remove_instance('i2')
        await cluster.async_add_instance('i2-again')
        cluster.objects.set_faults(ObjectFaults())
        await cluster.async_wait_ready('i2-again')
        await async_wait_in_force(cluster, 'profiles', version)
        await watcher.async_stop()
        watcher.assert_never_reverted()
        assert get_accepted_limits(cluster)[1:] == [RESULT_LIMIT]

    async def test_paused_instance_catches_up(self, start_cluster):
        cluster = await start_cluster()
        cluster.instances['i1'].send_signal(signal.SIGSTOP)
        version = await cluster.async_put_configuration(
            'profiles', make_profiles(cluster)
        )
        cluster.objects.set_faults(ObjectFaults(silent_watches=True))
        cluster.instances['i1'].send_signal(signal.SIGCONT)
        await async_wait_in_force(cluster, 'profiles', version)
        answers = await async_send_queries(
            cluster, [make_search() for _ in range(3)], 'i1'
        )
        assert {len(it.reply.hits) for it in answers} == {RESULT_LIMIT}


class TestRacingOperators:
    @pytest.mark.parametrize('lost', [0, 1])
    async def test_one_write_wins_and_others_get_both_versions(
        self, start_cluster, lost
    ):
        cluster = await start_cluster()
        base = await async_get_version(cluster, 'i0', 'profiles')
        cluster.objects.set_faults(ObjectFaults(lost_answers=lost))
        limits = {'i0': 11, 'i1': 12, 'i2': 13}
        responses = dict(
            zip(
                limits,
                await asyncio.gather(
                    *(
                        async_put(
                            cluster, name, make_profiles(cluster, limit), base
                        )
                        for name, limit in limits.items()
                    ),
                ),
                strict=True,
            ),
        )
        won = [it for it, answer in responses.items() if answer.status == 200]
        assert len(won) == 1
        assert get_accepted_limits(cluster)[1:] == [limits[won[0]]]
        version = msgspec.json.decode(responses[won[0]].body)['version']
        for name, answer in responses.items():
            if name == won[0]:
                continue
            assert answer.status == 409
            conflict = msgspec.json.decode(answer.body)
            assert conflict['mine']['version'] == base
            assert conflict['theirs']['version'] == version
            assert {
                it['result_limit']
                for it in conflict['theirs']['content']['profiles']
            } == {limits[won[0]]}
        await async_wait_in_force(cluster, 'profiles', version)
