"""All targets of a deployment in one loop, and records over all of them."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Final

from bitternturn.core.clock import MS_PER_SECOND, Clock, monotonic
from bitternturn.core.ids import FailureDomain, IndexName, Snapshot, TargetId
from bitternturn.schema import config_pb2
from bitternturn.standins.deployments import (
    DEFAULT_HOST,
    Deployment,
    IndexSpec,
    build_indexes,
    build_map,
)
from bitternturn.standins.proxy import FaultProxy
from bitternturn.standins.samples import DEFAULT_DOCUMENTS, Corpus
from bitternturn.standins.target_behaviour import TargetBehaviour
from bitternturn.standins.target_records import Run
from bitternturn.standins.targets import TargetServer

DEFAULT_SEED: Final = 1
PUBLISHED_MAPS: Final = 2

BehaviourOf = Callable[[IndexSpec], TargetBehaviour]


def usual_behaviour(spec: IndexSpec) -> TargetBehaviour:
    """Return the behaviour that the sizes of an index state."""
    return TargetBehaviour(
        connect_s=spec.connect_ms / MS_PER_SECOND,
        service_s=spec.service_ms / MS_PER_SECOND,
    )


class TargetFleet:
    """Starts every target and keeps the configuration that names them."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        behaviour: BehaviourOf = usual_behaviour,
        documents: int = DEFAULT_DOCUMENTS,
        seed: int = DEFAULT_SEED,
        now: Clock = monotonic,
        wall: Clock = time.time,
    ) -> None:
        """Prepare the targets; their ports are known after the start."""
        self.deployment = deployment
        self.behaviour = behaviour
        self.seed = seed
        self.now = now
        self.wall = wall
        self.indexes = build_indexes(deployment)
        self.corpora = {
            IndexName(spec.name): Corpus(kind=spec.sample, count=documents)
            for spec in deployment.indexes
        }
        self.targets: dict[TargetId, TargetServer] = {}
        self.proxies: dict[TargetId, FaultProxy] = {}
        for index in self.indexes.indexes:
            self._make_targets(index)

    async def async_start(
        self,
        *,
        host: str = DEFAULT_HOST,
        proxied: bool = False,
    ) -> None:
        """Start every target on a free port, behind a proxy each if wanted.

        The configuration then names the proxies' ports.
        """
        await asyncio.gather(
            *(it.async_start(host=host) for it in self.targets.values()),
        )
        if proxied:
            for server in self.targets.values():
                await self._async_add_proxy(server)

    async def async_stop(self) -> None:
        """Close every target and proxy at once."""
        await asyncio.gather(
            *(it.async_stop() for it in self.targets.values()),
            *(it.async_stop() for it in self.proxies.values()),
        )

    async def async_stop_domain(self, failure_domain: FailureDomain) -> None:
        """Close every target of a failure domain at once."""
        for server in self.in_domain(failure_domain):
            await server.async_stop()

    async def async_start_domain(self, failure_domain: FailureDomain) -> None:
        """Bring the targets of a failure domain back in cold start."""
        for server in self.in_domain(failure_domain):
            await server.async_start_cold()

    def in_domain(self, failure_domain: FailureDomain) -> list[TargetServer]:
        """Return the targets of one failure domain."""
        return [
            it
            for it in self.targets.values()
            if it.target.failure_domain == failure_domain
        ]

    def of_index(self, name: IndexName) -> list[TargetServer]:
        """Return the targets of one index; raises KeyError."""
        index = self.index(name)
        return [self.targets[TargetId(it.id)] for it in index.targets]

    def index(self, name: IndexName) -> config_pb2.Index:
        """Return the configuration of one index; raises KeyError."""
        return {it.name: it for it in self.indexes.indexes}[name]

    def add_snapshot(
        self,
        name: IndexName,
        snapshot: Snapshot,
        *,
        shards: int = 0,
    ) -> config_pb2.PartitionMap:
        """Move the targets of an index on to a snapshot.

        Another number of shards repartitions it. The configuration is left
        as it is until `publish`.
        """
        spec = self.deployment.index(name)
        partition_map = build_map(spec, snapshot=snapshot, shards=shards)
        for server in self.of_index(name):
            server.add_map(partition_map)
        return partition_map

    def publish(
        self,
        name: IndexName,
        partition_map: config_pb2.PartitionMap,
    ) -> None:
        """Add a map to the configuration and drop all but the newest."""
        index = self.index(name)
        kept = [*index.maps, partition_map][-PUBLISHED_MAPS:]
        maps = [config_pb2.PartitionMap.FromString(_wire(it)) for it in kept]
        index.ClearField('maps')
        index.maps.extend(maps)

    def runs(self) -> list[Run]:
        """Return every request at every target, by arrival."""
        runs = [
            it for each in self.targets.values() for it in each.records.runs
        ]
        return sorted(runs, key=lambda run: run.arrived_s)

    def over_cold_limit(self) -> list[TargetServer]:
        """Return the targets that got more in cold start than they bear."""
        return [
            it
            for it in self.targets.values()
            if it.records.most_in_flight_cold > it.target.cold_limit
        ]

    def started_after(
        self,
        wall_s: float,
        failure_domain: FailureDomain,
    ) -> list[Run]:
        """Return the work begun in a failure domain after a time."""
        return [
            run
            for server in self.in_domain(failure_domain)
            for run in server.records.started
            if (run.started_s or 0) > wall_s
        ]

    async def _async_add_proxy(self, server: TargetServer) -> None:
        """Put a proxy between a target and those who send to it."""
        proxy = FaultProxy(host=server.server.host, port=server.server.port)
        await proxy.async_start(host=server.server.host)
        server.target.port = proxy.port
        self.proxies[TargetId(server.target.id)] = proxy

    def _make_targets(self, index: config_pb2.Index) -> None:
        """Prepare the targets of one index."""
        spec = self.deployment.index(index.name)
        for target in index.targets:
            self.targets[TargetId(target.id)] = TargetServer(
                target=target,
                index=index,
                corpus=self.corpora[IndexName(index.name)],
                behaviour=self.behaviour(spec),
                rng=random.Random(f'{self.seed}-{target.id}'),
                now=self.now,
                wall=self.wall,
            )


def _wire(partition_map: config_pb2.PartitionMap) -> bytes:
    """Return a map's bytes; a map taken from a message lives with it."""
    return partition_map.SerializeToString()
