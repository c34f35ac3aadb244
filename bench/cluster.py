"""Instances as real processes, with the stand-ins in this one."""

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

from bench.processes import HOST, InstanceProcess, InstanceSpec, Ports
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
from bitternturn.standins.caller_models import EntryAddress
from bitternturn.standins.deployments import (
    Deployment,
    build_profiles,
    build_switches,
)
from bitternturn.standins.fleet import TargetFleet
from bitternturn.standins.object_faults import ObjectLimits
from bitternturn.standins.objects import DEFAULT_LIMITS, ObjectApi

READY_POLL_S = 0.05
START_LIMIT_S = 60.0


class Cluster:
    """Object API, targets, instances as processes, and a caller."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        fleet: TargetFleet,
        instances: int = 8,
        limits: ObjectLimits = DEFAULT_LIMITS,
        extra: str = '',
        proxied: bool = False,
    ) -> None:
        """Prepare; `proxied` puts a proxy before each target."""
        self.deployment = deployment
        self.fleet = fleet
        self.count = instances
        self.extra = extra
        self.proxied = proxied
        self.ports = Ports()
        self.objects = ObjectApi(limits=limits)
        self.folder = Path(tempfile.mkdtemp(prefix='bitternturn-'))
        self.instances: dict[str, InstanceProcess] = {}
        # A check and its pause fit into an instance's grace.
        self.caller = Caller(addresses=[], check_interval_s=0.2)
        # Port of the object API as an instance sees it; a proxy's if any.
        self.objects_port_of: Callable[[str], int] = self._direct_port
        # Changes a spec before its process starts.
        self.adapt: Callable[[InstanceSpec], InstanceSpec] = _leave

    async def async_start(self) -> None:
        """Start everything and wait until each instance is ready."""
        self._prepare_documents()
        await self.objects.async_start(host=HOST)
        await self.fleet.async_start(host=HOST, proxied=self.proxied)
        await self.async_configure()
        await asyncio.gather(
            *(self.async_add(f'i{number}') for number in range(self.count)),
        )
        await self.async_wait_ready()
        await self.caller.async_start()

    async def async_stop(self) -> None:
        """End every process and stand-in."""
        await self.caller.async_stop()
        running = [it for it in self.instances.values() if it.alive]
        for instance in running:
            instance.send(signal.SIGCONT)
        await asyncio.gather(*(it.async_kill() for it in running))
        await self.objects.async_stop()
        await self.fleet.async_stop()
        # KEEP shutil.rmtree

    async def async_configure(self) -> None:
        """Write the first configuration."""
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
        """Write an object of the kind `control`."""
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

    async def async_add(self, name: str) -> InstanceProcess:
        """Start an instance; its failure domain follows from its number."""
        domains = self.deployment.failure_domains
        number = int(name.lstrip('i').split('-')[0])
        spec = InstanceSpec(
            name=name,
            failure_domain=domains[number % len(domains)],
            callers_port=self.ports.take(),
            peers_port=self.ports.take(),
            operators_port=self.ports.take(),
            objects_port=self.objects_port_of(name),
            extra=self.extra,
        )
        instance = InstanceProcess(spec=self.adapt(spec), folder=self.folder)
        self.instances[name] = instance
        self._list(instance)
        await instance.async_start()
        self.caller.addresses.append(
            EntryAddress(host=HOST, port=instance.spec.callers_port),
        )
        return instance

    def forget(self, name: str) -> None:
        """Drop an instance that has ended from the balancer and the list."""
        instance = self.instances.pop(name)
        address = EntryAddress(host=HOST, port=instance.spec.callers_port)
        self.caller.addresses.remove(address)
        self.caller.ready = [it for it in self.caller.ready if it != address]
        self.objects.instances.remove(InstanceId(name), monotonic())

    async def async_wait_ready(self, *names: str) -> None:
        """Wait until instances are ready; all when none is named."""
        chosen = names or tuple(self.instances)
        async with asyncio.timeout(START_LIMIT_S):
            await asyncio.gather(
                *(self._async_wait_ready(name) for name in chosen),
            )

    async def async_operate(
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

    async def async_accept(self, kind: str, content: Message) -> int:
        """Accept a configuration through the first instance."""
        name = next(iter(self.instances))
        path = f'/v1/configuration/{kind}'
        present = await self.async_operate(name, 'GET', path)
        version = msgspec.json.decode(present.body)['version']
        response = await self.async_operate(
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
        """Return the status that an instance tells."""
        response = await self.async_operate(name, 'GET', '/v1/status')
        status: dict[str, Any] = msgspec.json.decode(response.body)
        return status

    async def _async_wait_ready(self, name: str) -> None:
        """Poll one instance until it is ready."""
        instance = self.instances[name]
        while not await _async_is_ready(instance.spec.callers_port):
            if not instance.alive:
                raise RuntimeError(instance.log.read_text())
            await asyncio.sleep(READY_POLL_S)

    def _prepare_documents(self) -> None:
        """Make the targets' documents, which would hold up first answers."""
        for index in self.fleet.indexes.indexes:
            for partition_map in index.maps:
                shard = ShardId(partition_map.shards[0].id)
                corpus = self.fleet.corpora[IndexName(index.name)]
                corpus.shard(partition_map, shard)

    def _direct_port(self, name: str) -> int:
        """Return the object API's own port."""
        return self.objects.port

    def _list(self, instance: InstanceProcess) -> None:
        """Show an instance in the platform's list."""
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


def _leave(spec: InstanceSpec) -> InstanceSpec:
    """Return a spec as it is."""
    return spec


async def _async_is_ready(port: int) -> bool:
    """Return whether an instance takes queries."""
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
    """Start a cluster and stop it in any case."""
    try:
        await cluster.async_start()
        yield cluster
    finally:
        await cluster.async_stop()


def _to_json(message: Message) -> dict[str, Any]:
    """Return a message in the form of the administration API."""
    return json_format.MessageToDict(message, preserving_proto_field_name=True)
