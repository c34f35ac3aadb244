"""Cost of control per instance without load, by instances and targets.

Lines through the figures give the cost at the size that users plan for.
Bytes are those of the streams, counted at proxies before each listener.
"""

import asyncio
import dataclasses
import math
import sys
import time
from dataclasses import dataclass

import psutil

from bench.cluster import Cluster, running_cluster
from bench.network import PeerNetwork
from bench.options import Options
from bench.processes import HOST
from bench.slopes import fit
from bitternturn.core.ids import Snapshot
from bitternturn.schema.config_pb2 import Indexes
from bitternturn.standins.deployments import (
    Deployment,
    build_indexes,
    load_deployment,
)
from bitternturn.standins.fleet import TargetFleet
from bitternturn.standins.proxy import FaultProxy

INDEX = 'pay-lookup'
DOMAINS = tuple(f'domain-{number}' for number in range(7))
SIZES = (2, 4, 8, 16, 32)
TARGETS = (40, 400, 2400)
NODES_PLANNED = 440
TARGETS_PLANNED = 2400
BOUNDS = {'cores': 0.023, 'mb': 128.0, 'kb_s': 23.0}
MB = 1e6
KB = 1e3
# One IP and TCP header with time stamps, for a segment and for its ACK.
HEADERS_BYTES = 2 * 52
IMPORTS = (
    'import sys, bitternturn.cli.serve, bitternturn.daemon.lifecycle;'
    "print('ready', flush=True);"
    'sys.stdin.read()'
)


@dataclass(kw_only=True, frozen=True)
class Reading:
    """Cost of one instance in the mean."""

    nodes: int
    targets: int
    cores: float
    mb: float
    kb_s: float
    # With an estimate of the headers below the streams.
    wire_kb_s: float
    object_calls_s: float


class IdleTargets:
    """One process in place of all targets; answers health checks only."""

    def __init__(self) -> None:
        """Prepare."""
        self.process: asyncio.subprocess.Process | None = None
        self.port = 0
        self.indexes: dict[int, Indexes] = {}

    async def async_start(self) -> None:
        """Start the process and learn its port."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bench.idle_targets',
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert self.process.stdout is not None
        self.port = int(await self.process.stdout.readline())

    async def async_stop(self) -> None:
        """End the process."""
        if self.process is not None:
            assert self.process.stdin is not None
            self.process.stdin.close()
            await self.process.wait()

    def build(self, deployment: Deployment, count: int) -> Indexes:
        """Return an index of so many targets, all at this listener."""
        spec = dataclasses.replace(
            deployment.index(INDEX), shards=count // 2, replicas=2
        )
        wide = dataclasses.replace(deployment, indexes=(spec,))
        indexes = build_indexes(wide, snapshots=(Snapshot(1), Snapshot(2)))
        for target in indexes.indexes[0].targets:
            target.port = self.port
        return indexes


class IdleFleet(TargetFleet):
    """Has the shape of a fleet; starts no target."""

    idle: IdleTargets

    async def async_start(
        self, *, host: str = HOST, proxied: bool = False
    ) -> None:
        """Start the one listener."""
        await self.idle.async_start()
        # Made before any instance runs: the largest takes seconds, in which
        # this loop and the proxies on it would stand still.
        for count in TARGETS:
            indexes = self.idle.build(self.deployment, count)
            self.idle.indexes[count] = indexes
        self.indexes = self.idle.indexes[TARGETS[0]]

    async def async_stop(self) -> None:
        """Stop the one listener."""
        await self.idle.async_stop()


class ControlBench:
    """A growing cluster whose cost is read at each size."""

    def __init__(self, *, options: Options) -> None:
        """Prepare."""
        deployment = load_deployment('atlas')
        deployment = dataclasses.replace(
            deployment,
            failure_domains=DOMAINS,
            indexes=(deployment.index(INDEX),),
        )
        fleet = IdleFleet(deployment=deployment, seed=options.seed)
        fleet.idle = IdleTargets()
        self.idle = fleet.idle
        self.cluster = Cluster(deployment=deployment, fleet=fleet, instances=0)
        self.network = PeerNetwork(cluster=self.cluster, one_way_s=0)
        self.objects = FaultProxy(host=HOST, port=0)
        self.cluster.objects_port_of = lambda name: self.objects.port
        self.settle_s = options.seconds(2.0, 90.0)
        self.window_s = options.seconds(3.5, 30.0)
        self.targets = TARGETS[0]

    async def async_start(self) -> None:
        """Put a proxy before the object API, which runs."""
        self.objects.server_port = self.cluster.objects.port
        await self.objects.async_start(host=HOST)

    async def async_stop(self) -> None:
        """Stop the proxies."""
        await self.network.async_stop()
        await self.objects.async_stop()

    async def async_grow(self, count: int) -> None:
        """Start instances up to a number."""
        present = len(self.cluster.instances)
        names = [f'i{number}' for number in range(present, count)]
        await asyncio.gather(*(self.cluster.async_add(it) for it in names))
        for name in names:
            await self.network.async_listen(name)
        await self.cluster.async_wait_ready()

    async def async_set_targets(self, count: int) -> None:
        """Configure so many targets."""
        self.targets = count
        await self.cluster.async_accept('indexes', self.idle.indexes[count])

    async def async_read(self) -> Reading:
        """Read the cost over a window in which nothing happens."""
        await asyncio.sleep(self.settle_s)
        before, started = self._counters(), time.monotonic()
        await asyncio.sleep(self.window_s)
        after, ended = self._counters(), time.monotonic()
        nodes = len(self.cluster.instances)
        per_node_s = nodes * (ended - started)
        cpu, peers, objects, reads, calls = (
            (new - old) / per_node_s
            for new, old in zip(after, before, strict=True)
        )
        return Reading(
            nodes=nodes,
            targets=self.targets,
            cores=round(cpu, 5),
            mb=round(sum(self._resident()) / nodes / MB, 2),
            kb_s=round((peers + objects) / KB, 3),
            wire_kb_s=round((peers + objects + reads * HEADERS_BYTES) / KB, 3),
            object_calls_s=round(calls, 3),
        )

    def _counters(self) -> tuple[float, ...]:
        """Return processor time, bytes, reads and calls of all instances.

        Each byte between two instances is sent by one and received by one.
        """
        proxies = self.network.proxies.values()
        cpu = 0.0
        for process in self._processes():
            times = process.cpu_times()
            cpu += times.user + times.system
        return (
            cpu,
            2 * sum(proxy.bytes for proxy in proxies),
            self.objects.bytes,
            2 * sum(proxy.reads for proxy in proxies) + self.objects.reads,
            self.cluster.objects.calls,
        )

    def _resident(self) -> list[int]:
        """Return the resident memory of each instance."""
        return [process.memory_info().rss for process in self._processes()]

    def _processes(self) -> list[psutil.Process]:
        """Return the processes of the instances."""
        return [
            psutil.Process(it.pid) for it in self.cluster.instances.values()
        ]


async def async_imports_mb() -> float:
    """Return the memory of an interpreter with just the same imports."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        IMPORTS,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    assert process.stdin is not None
    await process.stdout.readline()
    resident = psutil.Process(process.pid).memory_info().rss
    process.stdin.close()
    await process.wait()
    return resident / MB


async def async_run(options: Options) -> dict[str, object]:
    """Measure."""
    bench = ControlBench(options=options)
    by_nodes: list[Reading] = []
    by_targets: list[Reading] = []
    imports_mb = await async_imports_mb()
    async with running_cluster(bench.cluster):
        await bench.async_start()
        for size in SIZES:
            await bench.async_grow(size)
            by_nodes.append(await bench.async_read())
            print(by_nodes[-1], file=sys.stderr)
        for count in TARGETS[1:]:
            await bench.async_set_targets(count)
            by_targets.append(await bench.async_read())
            print(by_targets[-1], file=sys.stderr)
        by_targets.insert(0, by_nodes[-1])
        await bench.async_stop()
    return summarize(by_nodes, by_targets, imports_mb)


def summarize(
    by_nodes: list[Reading],
    by_targets: list[Reading],
    imports_mb: float,
) -> dict[str, object]:
    """Return the readings, the lines and the cost at the planned size."""
    figures: dict[str, object] = {
        'imports_mb': round(imports_mb, 2),
        'by_nodes': [dataclasses.asdict(it) for it in by_nodes],
        'by_targets': [dataclasses.asdict(it) for it in by_targets],
    }
    for name, bound in BOUNDS.items():
        nodes = fit(
            [it.nodes for it in by_nodes],
            [getattr(it, name) for it in by_nodes],
        )
        targets = fit(
            [it.targets for it in by_targets],
            [getattr(it, name) for it in by_targets],
        )
        more = TARGETS_PLANNED - TARGETS[0]
        planned = nodes.at(NODES_PLANNED) + targets.slope * more
        error = math.hypot(
            nodes.error_at(NODES_PLANNED),
            targets.error_at(TARGETS_PLANNED),
        )
        figures[f'{name}_at_440'] = round(planned, 4)
        figures[f'{name}_error'] = round(error, 4)
        figures[f'{name}_met'] = planned <= bound
        figures[f'{name}_lines'] = {
            'intercept': round(nodes.intercept, 5),
            'per_node': round(nodes.slope, 6),
            'per_target': round(targets.slope, 8),
        }
    figures['mb_above_imports_at_440'] = round(
        float(str(figures['mb_at_440'])) - imports_mb, 2
    )
    return figures
