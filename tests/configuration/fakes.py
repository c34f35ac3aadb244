"""Test configurations, and a store on a stand-in of the object API."""

import random

from bitternturn.configuration.state import ConfigurationState
from bitternturn.configuration.store import ConfigurationStore
from bitternturn.core.clock import monotonic
from bitternturn.platform.client import ObjectClient
from bitternturn.schema.config_pb2 import (
    PREFERENCE_TIME,
    PRIORITY_NORMAL,
    SWITCH_STATE_OUT,
    ConfigurationObject,
    Index,
    Indexes,
    PartitionMap,
    Profile,
    Profiles,
    Shard,
    Switch,
    Switches,
    Target,
)
from bitternturn.standins.object_api import ObjectApi


def make_profile(name: str = 'desk', **changes) -> Profile:
    fields = {
        'priority': PRIORITY_NORMAL,
        'deadline_ms': 100,
        'least_coverage': 0.5,
        'wanted_coverage': 1.0,
        'preference': PREFERENCE_TIME,
        'repeatable': True,
        'hedge_budget': 0.05,
        'retry_budget': 0.1,
        'result_limit': 10,
    }
    return Profile(name=name, **{**fields, **changes})


def make_target(name: str, **changes) -> Target:
    fields = {
        'host': '127.0.0.1',
        'port': 1,
        'failure_domain': 'north',
        'slots': 2,
        'connections': 25,
        'cold_limit': 1,
    }
    return Target(id=name, **{**fields, **changes})


def make_indexes() -> Indexes:
    shards = [Shard(id='s1', weight=1, targets=['t1', 't2'])]
    return Indexes(
        indexes=[
            Index(
                name='ledger',
                targets=[
                    make_target('t1'),
                    make_target('t2', failure_domain='south'),
                ],
                maps=[PartitionMap(snapshot=1, shards=shards)],
            )
        ]
    )


def profiles_at(version: int, *names: str) -> ConfigurationObject:
    return ConfigurationObject(
        version=version,
        profiles=Profiles(profiles=[make_profile(name) for name in names]),
    )


def switch_out(name: str, reason: str = 'test') -> Switch:
    return Switch(name=name, state=SWITCH_STATE_OUT, reason=reason)


def switches_at(
    version: int, *, domains: tuple[str, ...] = (), targets=()
) -> ConfigurationObject:
    return ConfigurationObject(
        version=version,
        switches=Switches(
            failure_domains=[switch_out(name) for name in domains],
            targets=[switch_out(name) for name in targets],
        ),
    )


def make_store(api: ObjectApi, stack, name='i-1', **options):
    client = ObjectClient(
        host='127.0.0.1',
        port=api.port,
        timeout_s=2,
        rng=random.Random(name),
        now=monotonic,
        **options,
    )
    stack.callback(client.close)
    return ConfigurationStore(
        client=client,
        state=ConfigurationState(),
        instance_id=name,
        wall_ms=lambda: 1234,
    )
