"""Runs all targets of a deployment on one event loop."""

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
# Number of newest maps that the configuration of an index keeps.
PUBLISHED_MAPS: Final = 2

BehaviourFactory = Callable[[IndexSpec], TargetBehaviour]


def default_behaviour(spec: IndexSpec) -> TargetBehaviour:
    """Return the behaviour given by the specification of an index."""
    return TargetBehaviour(
        connect_s=spec.connect_ms / MS_PER_SECOND,
        service_s=spec.service_ms / MS_PER_SECOND,
    )


class TargetFleet:
    """Runs the targets and maintains the index configuration for them."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        make_behaviour: BehaviourFactory = default_behaviour,
        documents: int = DEFAULT_DOCUMENTS,
        seed: int = DEFAULT_SEED,
        now: Clock = monotonic,
        wall_s: Clock = time.time,
    ) -> None:
        """Create the targets; their ports are known after the start."""
        self.deployment = deployment
        self.make_behaviour = make_behaviour
        self.seed = seed
        self.now = now
        self.wall_s = wall_s
        self.indexes = build_indexes(deployment)
        self.corpora = {
            IndexName(spec.name): Corpus(kind=spec.sample, count=documents)
            for spec in deployment.indexes
        }
        self.targets: dict[TargetId, TargetServer] = {}
        self.proxies: dict[TargetId, FaultProxy] = {}
        for index in self.indexes.indexes:
            self._add_targets(index)

    async def async_start(
        self,
        *,
        host: str = DEFAULT_HOST,
        proxied: bool = False,
    ) -> None:
        """Start every target on a free port, optionally behind a proxy.

        With proxies, the configuration contains the ports of the proxies.
        """
        await asyncio.gather(
            *(it.async_start(host=host) for it in self.targets.values()),
        )
        if proxied:
            for server in self.targets.values():
                await self._async_add_proxy(server)

    async def async_stop(self) -> None:
        """Stop all targets and proxies without draining."""
        await asyncio.gather(
            *(it.async_stop() for it in self.targets.values()),
            *(it.async_stop() for it in self.proxies.values()),
        )

    async def async_stop_domain(self, failure_domain: FailureDomain) -> None:
        """Stop all targets of a failure domain without draining."""
        for server in self.targets_in_domain(failure_domain):
            await server.async_stop()

    async def async_start_domain(self, failure_domain: FailureDomain) -> None:
        """Restart the targets of a failure domain in cold start."""
        for server in self.targets_in_domain(failure_domain):
            await server.async_start_cold()

    def targets_in_domain(
        self, failure_domain: FailureDomain
    ) -> list[TargetServer]:
        """Return the targets of one failure domain."""
        return [
            it
            for it in self.targets.values()
            if it.target.failure_domain == failure_domain
        ]

    def targets_of_index(self, name: IndexName) -> list[TargetServer]:
        """Return the targets of one index; KeyError if it is unknown."""
        index = self.index(name)
        return [self.targets[TargetId(it.id)] for it in index.targets]

    def index(self, name: IndexName) -> config_pb2.Index:
        """Return the configuration of one index; KeyError if it is unknown."""
        return {it.name: it for it in self.indexes.indexes}[name]

    def add_snapshot(
        self,
        name: IndexName,
        snapshot: Snapshot,
        *,
        shards: int = 0,
    ) -> config_pb2.PartitionMap:
        """Add a snapshot to the targets of an index.

        The index is repartitioned if `shards` is given. The configuration
        changes only with `publish_map`.
        """
        spec = self.deployment.index(name)
        partition_map = build_map(spec, snapshot=snapshot, shards=shards)
        for server in self.targets_of_index(name):
            server.add_map(partition_map)
        return partition_map

    def publish_map(
        self,
        name: IndexName,
        partition_map: config_pb2.PartitionMap,
    ) -> None:
        """Add a map to the configuration; keep only the newest ones."""
        index = self.index(name)
        kept = [*index.maps, partition_map][-PUBLISHED_MAPS:]
        maps = [
            config_pb2.PartitionMap.FromString(_serialize(it)) for it in kept
        ]
        index.ClearField('maps')
        index.maps.extend(maps)

    def runs(self) -> list[Run]:
        """Return the requests of all targets in order of arrival."""
        runs = [
            it for each in self.targets.values() for it in each.records.runs
        ]
        return sorted(runs, key=lambda run: run.arrived_s)

    def targets_over_cold_limit(self) -> list[TargetServer]:
        """Return the targets that exceeded their cold limit."""
        return [
            it
            for it in self.targets.values()
            if it.records.peak_in_flight_cold > it.target.cold_limit
        ]

    def runs_started_after(
        self,
        started_after_s: float,
        failure_domain: FailureDomain,
    ) -> list[Run]:
        """Return the requests started in a failure domain after a wall time."""
        return [
            run
            for server in self.targets_in_domain(failure_domain)
            for run in server.records.started
            if (run.started_s or 0) > started_after_s
        ]

    async def _async_add_proxy(self, server: TargetServer) -> None:
        """Start a proxy in front of a target and configure its port."""
        proxy = FaultProxy(host=server.server.host, port=server.server.port)
        await proxy.async_start(host=server.server.host)
        server.target.port = proxy.port
        self.proxies[TargetId(server.target.id)] = proxy

    def _add_targets(self, index: config_pb2.Index) -> None:
        """Create the targets of one index."""
        spec = self.deployment.index(index.name)
        for target in index.targets:
            self.targets[TargetId(target.id)] = TargetServer(
                target=target,
                index=index,
                corpus=self.corpora[IndexName(index.name)],
                behaviour=self.make_behaviour(spec),
                rng=random.Random(f'{self.seed}-{target.id}'),
                now=self.now,
                wall_s=self.wall_s,
            )


def _serialize(partition_map: config_pb2.PartitionMap) -> bytes:
    """Serialise a map, to copy it before its field is cleared."""
    return partition_map.SerializeToString()
