"""Cluster of instance processes; its stand-ins run in the bench process."""

import asyncio
import shutil
import signal
import tempfile
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
from google.protobuf import json_format
from google.protobuf.message import Message

from bench.processes import HOST, InstanceProcess, InstanceSpec, PortAllocator
from bitternturn.core.clock import monotonic
from bitternturn.core.errors import BitternturnError
from bitternturn.core.ids import (
    FailureDomain,
    IndexName,
    InstanceId,
    ShardId,
    Version,
)
from bitternturn.http.client import async_connect
from bitternturn.http.models import Response
from bitternturn.platform.models import ListedInstance, WriteBody
from bitternturn.standins.caller import Caller
from bitternturn.standins.caller_models import InstanceAddress
from bitternturn.standins.deployments import (
    Deployment,
    build_profiles,
    build_switches,
)
from bitternturn.standins.fleet import TargetFleet
from bitternturn.standins.object_api import DEFAULT_LIMITS, ObjectApi
from bitternturn.standins.object_faults import ObjectLimits

READY_POLL_S = 0.05
START_TIMEOUT_S = 60.0


class Cluster:
    """Runs instances as processes, and the stand-ins in this process."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        fleet: TargetFleet,
        instances: int = 8,
        limits: ObjectLimits = DEFAULT_LIMITS,
        extra_settings: str = '',
        proxied: bool = False,
    ) -> None:
        """Create the stand-ins; `proxied` puts a proxy before each target."""
        self.deployment = deployment
        self.fleet = fleet
        self.instance_count = instances
        self.extra_settings = extra_settings
        self.proxied = proxied
        self.ports = PortAllocator()
        self.objects = ObjectApi(limits=limits)
        self.folder = Path(tempfile.mkdtemp(prefix='bitternturn-'))
        self.instances: dict[str, InstanceProcess] = {}
        # A readiness check and the pause before the next one fit into the
        # grace period of an instance.
        self.caller = Caller(addresses=[], check_interval_s=0.2)
        # Returns the object API's port for an instance, or that of a proxy.
        self.get_objects_port: Callable[[str], int] = self._get_direct_port
        # Replaces the spec of an instance before its process starts.
        self.adapt_spec: Callable[[InstanceSpec], InstanceSpec] = _keep_spec

    async def async_start(self) -> None:
        """Start stand-ins and instances and wait until all are ready."""
        self._generate_documents()
        await self.objects.async_start(host=HOST)
        await self.fleet.async_start(host=HOST, proxied=self.proxied)
        await self.async_write_configuration()
        await asyncio.gather(
            *(
                self.async_add_instance(f'i{number}')
                for number in range(self.instance_count)
            ),
        )
        await self.async_wait_ready()
        await self.caller.async_start()

    async def async_stop(self) -> None:
        """Kill all instances and stop the stand-ins."""
        await self.caller.async_stop()
        running = [it for it in self.instances.values() if it.alive]
        for instance in running:
            instance.send_signal(signal.SIGCONT)
        await asyncio.gather(*(it.async_kill() for it in running))
        await self.objects.async_stop()
        await self.fleet.async_stop()
        # The folder is kept: it holds the settings and logs of the instances.

    async def async_write_configuration(self) -> None:
        """Write the initial configuration to the object API."""
        await self.async_put_object('indexes', self.fleet.indexes)
        await self.async_put_object('profiles', build_profiles(self.deployment))
        await self.async_put_object('switches', build_switches(self.deployment))

    async def async_put_object(
        self,
        name: str,
        message: Message,
        *,
        if_version: int = 0,
    ) -> Version:
        """Write an object of the kind `control` to the object API."""
        connection = await async_connect(host=HOST, port=self.objects.port)
        response = await connection.async_exchange(
            method='PUT',
            path=f'/objects/control/{name}',
            headers={'if-version': str(if_version)},
            body=msgspec.json.encode(
                WriteBody(value=message.SerializeToString(), token=name),
            ),
        )
        connection.close()
        return Version(msgspec.json.decode(response.body)['version'])

    async def async_add_instance(self, name: str) -> InstanceProcess:
        """Start an instance.

        The number in its name selects the failure domain.
        """
        domains = self.deployment.failure_domains
        number = int(name.lstrip('i').split('-')[0])
        spec = InstanceSpec(
            name=name,
            failure_domain=domains[number % len(domains)],
            callers_port=self.ports.allocate(),
            peers_port=self.ports.allocate(),
            operators_port=self.ports.allocate(),
            objects_port=self.get_objects_port(name),
            extra_settings=self.extra_settings,
        )
        instance = InstanceProcess(
            spec=self.adapt_spec(spec), folder=self.folder
        )
        self.instances[name] = instance
        self._list_instance(instance)
        await instance.async_start()
        self.caller.addresses.append(
            InstanceAddress(host=HOST, port=instance.spec.callers_port),
        )
        return instance

    def remove_instance(self, name: str) -> None:
        """Remove a stopped instance from the caller and the instance list."""
        instance = self.instances.pop(name)
        address = InstanceAddress(host=HOST, port=instance.spec.callers_port)
        self.caller.addresses.remove(address)
        self.caller.ready_instances = [
            it for it in self.caller.ready_instances if it != address
        ]
        self.objects.instances.remove(InstanceId(name), monotonic())

    async def async_wait_ready(self, *names: str) -> None:
        """Wait until the named instances, by default all, are ready."""
        chosen = names or tuple(self.instances)
        async with asyncio.timeout(START_TIMEOUT_S):
            await asyncio.gather(
                *(self._async_wait_ready(name) for name in chosen),
            )

    async def async_call_administration(
        self,
        name: str,
        method: str,
        path: str,
        *,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Call the administration API of an instance."""
        port = self.instances[name].spec.operators_port
        connection = await async_connect(host=HOST, port=port)
        try:
            return await connection.async_exchange(
                method=method,
                path=path,
                headers=headers or {},
                body=body,
            )
        finally:
            connection.close()

    async def async_put_configuration(self, kind: str, content: Message) -> int:
        """Put a configuration via the first instance; return its version."""
        name = next(iter(self.instances))
        path = f'/v1/configuration/{kind}'
        current = await self.async_call_administration(name, 'GET', path)
        version = msgspec.json.decode(current.body)['version']
        response = await self.async_call_administration(
            name,
            'PUT',
            path,
            headers={'if-version': str(version)},
            body=msgspec.json.encode(
                {'content': _to_json(content)},
            ),
        )
        if response.status != 200:
            raise RuntimeError(response.body.decode())
        return int(msgspec.json.decode(response.body)['version'])

    async def async_status(self, name: str) -> dict[str, Any]:
        """Return the status that an instance reports."""
        response = await self.async_call_administration(
            name, 'GET', '/v1/status'
        )
        status: dict[str, Any] = msgspec.json.decode(response.body)
        return status

    async def _async_wait_ready(self, name: str) -> None:
        """Poll an instance until it is ready; raise if its process exits."""
        instance = self.instances[name]
        while not await _async_is_ready(instance.spec.callers_port):
            if not instance.alive:
                raise RuntimeError(instance.log.read_text())
            await asyncio.sleep(READY_POLL_S)

    def _generate_documents(self) -> None:
        """Generate the documents of the targets.

        Generated on demand, they would delay the first answers.
        """
        for index in self.fleet.indexes.indexes:
            for partition_map in index.maps:
                shard = ShardId(partition_map.shards[0].id)
                corpus = self.fleet.corpora[IndexName(index.name)]
                corpus.shard(partition_map, shard)

    def _get_direct_port(self, name: str) -> int:
        """Return the port of the object API itself, without a proxy."""
        return self.objects.port

    def _list_instance(self, instance: InstanceProcess) -> None:
        """Add an instance to the platform's instance list."""
        spec = instance.spec
        self.objects.instances.set(
            ListedInstance(
                id=InstanceId(spec.name),
                failure_domain=FailureDomain(spec.failure_domain),
                state='live',
                peer=f'{HOST}:{spec.peers_port}',
                operators=f'{HOST}:{spec.operators_port}',
            ),
            monotonic(),
        )


def _keep_spec(spec: InstanceSpec) -> InstanceSpec:
    """Return a spec unchanged."""
    return spec


async def _async_is_ready(port: int) -> bool:
    """Return whether an instance reports that it is ready for queries."""
    try:
        connection = await async_connect(host=HOST, port=port)
    except BitternturnError:
        return False
    try:
        response = await connection.async_exchange(
            method='GET', path='/ready', headers={}
        )
    except BitternturnError:
        return False
    finally:
        connection.close()
    return response.status == 200


@asynccontextmanager
async def running_cluster(cluster: Cluster) -> AsyncIterator[Cluster]:
    """Start a cluster and stop it on exit, also if the start fails."""
    try:
        await cluster.async_start()
        yield cluster
    finally:
        await cluster.async_stop()


def _to_json(message: Message) -> dict[str, Any]:
    """Return a message as JSON data of the administration API."""
    return json_format.MessageToDict(message, preserving_proto_field_name=True)
