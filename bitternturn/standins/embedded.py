"""Runs a whole deployment, emulators and instances, on one event loop."""

import random
from dataclasses import dataclass, field
from typing import Final

from google.protobuf.message import Message

from bitternturn.configuration.const import KIND_CONTROL
from bitternturn.core.clock import monotonic
from bitternturn.core.ids import FailureDomain, InstanceId, Version
from bitternturn.core.settings import parse_settings
from bitternturn.daemon.lifecycle import (
    RunningInstance,
    async_shut_down,
    async_start,
)
from bitternturn.platform.client import ObjectClient
from bitternturn.platform.models import ListedInstance
from bitternturn.schema.settings_pb2 import NodeSettings
from bitternturn.standins.caller import Caller
from bitternturn.standins.caller_models import InstanceAddress
from bitternturn.standins.deployments import (
    DEFAULT_HOST,
    Deployment,
    build_profiles,
    build_switches,
)
from bitternturn.standins.fleet import TargetFleet
from bitternturn.standins.object_api import ObjectApi

CALL_TIMEOUT_S: Final = 1.0

SETTINGS_TEMPLATE: Final = """
[instance]
id = '{name}'
failure_domain = '{failure_domain}'
region = 'embedded'
cluster = '{cluster}'

[listeners]
callers = {{ host = '{host}', port = 0 }}
peers = {{ host = '{host}', port = 0 }}
operators = {{ host = '{host}', port = 0 }}

[platform]
objects = {{ host = '{host}', port = {objects_port} }}
"""


@dataclass(kw_only=True, slots=True)
class EmbeddedTier:
    """Runs the object API, targets and instances of one deployment."""

    deployment: Deployment
    fleet: TargetFleet
    objects: ObjectApi = field(default_factory=ObjectApi)
    instances: list[RunningInstance] = field(default_factory=list)

    async def async_start(self, *, instances: int) -> None:
        """Start everything; does not wait for the instances to be ready."""
        await self.objects.async_start(host=DEFAULT_HOST)
        await self.fleet.async_start(host=DEFAULT_HOST)
        await self.async_configure()
        for number in range(instances):
            await self.async_add_instance(number)

    async def async_stop(self) -> None:
        """Shut the instances down gracefully, then stop the emulators."""
        for running in self.instances:
            await async_shut_down(running)
        await self.fleet.async_stop()
        await self.objects.async_stop()

    async def async_configure(self) -> None:
        """Write the configuration of the deployment to the object API."""
        client = self.make_objects_client()
        messages: dict[str, Message] = {
            'indexes': self.fleet.indexes,
            'profiles': build_profiles(self.deployment),
            'switches': build_switches(self.deployment),
        }
        for name, message in messages.items():
            await client.async_put(
                kind=KIND_CONTROL,
                name=name,
                value=message.SerializeToString(),
                if_version=Version(0),
            )
        client.close()

    async def async_add_instance(self, number: int) -> RunningInstance:
        """Start an instance and add it to the instance list."""
        running = await async_start(self._settings(number))
        self.instances.append(running)
        member = running.instance.member
        self.objects.instances.set(
            ListedInstance(
                id=InstanceId(member.instance_id),
                failure_domain=FailureDomain(member.failure_domain),
                state='live',
                peer=f'{member.peer_host}:{member.peer_port}',
                operators=f'{member.operator_host}:{member.operator_port}',
            ),
            monotonic(),
        )
        return running

    def make_caller(self) -> Caller:
        """Return a caller with the addresses of all instances."""
        return Caller(
            addresses=[
                InstanceAddress(
                    host=DEFAULT_HOST, port=it.instance.caller_server.port
                )
                for it in self.instances
            ],
        )

    def make_objects_client(self) -> ObjectClient:
        """Return a new client of the object API."""
        return ObjectClient(
            host=DEFAULT_HOST,
            port=self.objects.port,
            timeout_s=CALL_TIMEOUT_S,
            rng=random.Random(self.deployment.name),
            now=monotonic,
        )

    def _settings(self, number: int) -> NodeSettings:
        """Return the settings of the instance with a number."""
        domains = self.deployment.failure_domains
        return parse_settings(
            SETTINGS_TEMPLATE.format(
                name=f'{self.deployment.name}-{number}',
                failure_domain=domains[number % len(domains)],
                cluster=self.deployment.name,
                host=DEFAULT_HOST,
                objects_port=self.objects.port,
            ),
            source='embedded',
        )
