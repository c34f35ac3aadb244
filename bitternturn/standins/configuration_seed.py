"""Stores an initial configuration in the emulated object API."""

from bitternturn.schema import config_pb2
from bitternturn.standins.deployments import (
    Deployment,
    build_profiles,
    build_switches,
)
from bitternturn.standins.object_store import ObjectStore

KIND_CONTROL = 'control'
FIRST_VERSION = 1


def seed_configuration(
    store: ObjectStore,
    *,
    deployment: Deployment,
    indexes: config_pb2.Indexes,
) -> None:
    """Store the first version of each configuration object."""
    messages = {
        'profiles': config_pb2.ConfigurationObject(
            version=FIRST_VERSION,
            profiles=build_profiles(deployment),
        ),
        'indexes': config_pb2.ConfigurationObject(
            version=FIRST_VERSION,
            indexes=indexes,
        ),
        'switches': config_pb2.ConfigurationObject(
            version=FIRST_VERSION,
            switches=build_switches(deployment),
        ),
    }
    for name, content in messages.items():
        store.put(
            kind=KIND_CONTROL,
            name=name,
            value=content.SerializeToString(),
            token=f'seed-{name}',
        )
