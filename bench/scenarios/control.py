"""Cost of the control plane per idle instance, by instances and targets.

The cost at the planned cluster size is extrapolated by fitted lines. Bytes are
those of the TCP streams, counted by proxies before each listener.
"""

import asyncio
import dataclasses
import math
import sys
import time
from dataclasses import dataclass

import psutil

from bench.cluster import Cluster, running_cluster
from bench.line_fit import fit_line
from bench.options import Options
from bench.peer_proxies import PeerProxies
from bench.processes import HOST
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
INSTANCE_COUNTS = (2, 4, 8, 16, 32)
TARGET_COUNTS = (40, 400, 2400)
PLANNED_INSTANCES = 440
PLANNED_TARGETS = 2400
# Bounds of the cost per instance at the planned size, by field of a reading.
COST_BOUNDS = {'cores': 0.023, 'mb': 128.0, 'kb_s': 23.0}
MB = 1e6
KB = 1e3
# IP and TCP headers with timestamps of a segment and of its ACK.
SEGMENT_HEADERS_BYTES = 2 * 52
IMPORTS_SCRIPT = (
    'import sys, bitternturn.cli.serve, bitternturn.daemon.lifecycle;'
    "print('ready', flush=True);"
    'sys.stdin.read()'
)


@dataclass(kw_only=True, frozen=True)
class CostReading:
    """Mean cost of one instance, in processor cores, MB, kB/s and calls/s."""

    nodes: int
    targets: int
    cores: float
    mb: float
    kb_s: float
    # Includes an estimate of the IP and TCP headers.
    wire_kb_s: float
    object_calls_s: float


class IdleTargets:
    """Process that answers the health checks of all targets."""

    def __init__(self) -> None:
        """Initialise; `async_start` starts the process."""
        self.process: asyncio.subprocess.Process | None = None
        self.port = 0
        self.indexes: dict[int, Indexes] = {}

    async def async_start(self) -> None:
        """Start the process and read its port."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bench.idle_target_worker',
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert self.process.stdout is not None
        self.port = int(await self.process.stdout.readline())

    async def async_stop(self) -> None:
        """Stop the process."""
        if self.process is not None:
            assert self.process.stdin is not None
            self.process.stdin.close()
            await self.process.wait()

    def make_indexes(self, deployment: Deployment, count: int) -> Indexes:
        """Return an index with `count` targets, all at this listener."""
        spec = dataclasses.replace(
            deployment.index(INDEX), shards=count // 2, replicas=2
        )
        deployment_at_size = dataclasses.replace(deployment, indexes=(spec,))
        indexes = build_indexes(
            deployment_at_size, snapshots=(Snapshot(1), Snapshot(2))
        )
        for target in indexes.indexes[0].targets:
            target.port = self.port
        return indexes


class IdleFleet(TargetFleet):
    """Fleet whose targets share one idle listener."""

    idle_targets: IdleTargets

    async def async_start(
        self, *, host: str = HOST, proxied: bool = False
    ) -> None:
        """Start the listener and build the indexes of all sizes."""
        await self.idle_targets.async_start()
        # Built before any instance starts: the largest takes seconds, during
        # which the event loop and the proxies on it would be blocked.
        for count in TARGET_COUNTS:
            indexes = self.idle_targets.make_indexes(self.deployment, count)
            self.idle_targets.indexes[count] = indexes
        self.indexes = self.idle_targets.indexes[TARGET_COUNTS[0]]

    async def async_stop(self) -> None:
        """Stop the listener."""
        await self.idle_targets.async_stop()


class ControlBench:
    """Growing cluster whose cost is measured at each size."""

    def __init__(self, *, options: Options) -> None:
        """Create a cluster without instances and the proxies."""
        deployment = load_deployment('atlas')
        deployment = dataclasses.replace(
            deployment,
            failure_domains=DOMAINS,
            indexes=(deployment.index(INDEX),),
        )
        fleet = IdleFleet(deployment=deployment, seed=options.seed)
        fleet.idle_targets = IdleTargets()
        self.idle_targets = fleet.idle_targets
        self.cluster = Cluster(deployment=deployment, fleet=fleet, instances=0)
        self.peer_proxies = PeerProxies(cluster=self.cluster, one_way_delay_s=0)
        self.objects_proxy = FaultProxy(host=HOST, port=0)
        self.cluster.get_objects_port = lambda name: self.objects_proxy.port
        self.settle_s = options.choose_seconds(2.0, 90.0)
        self.window_s = options.choose_seconds(3.5, 30.0)
        self.target_count = TARGET_COUNTS[0]

    async def async_start(self) -> None:
        """Start a proxy before the object API, which is running already."""
        self.objects_proxy.server_port = self.cluster.objects.port
        await self.objects_proxy.async_start(host=HOST)

    async def async_stop(self) -> None:
        """Stop the proxies."""
        await self.peer_proxies.async_stop()
        await self.objects_proxy.async_stop()

    async def async_add_instances(self, count: int) -> None:
        """Start instances until `count` of them run."""
        current = len(self.cluster.instances)
        names = [f'i{number}' for number in range(current, count)]
        await asyncio.gather(
            *(self.cluster.async_add_instance(it) for it in names)
        )
        for name in names:
            await self.peer_proxies.async_listen(name)
        await self.cluster.async_wait_ready()

    async def async_set_targets(self, count: int) -> None:
        """Put an index with `count` targets."""
        self.target_count = count
        await self.cluster.async_put_configuration(
            'indexes', self.idle_targets.indexes[count]
        )

    async def async_measure(self) -> CostReading:
        """Measure the cost over a window without load or changes."""
        await asyncio.sleep(self.settle_s)
        before, started = self._read_counters(), time.monotonic()
        await asyncio.sleep(self.window_s)
        after, ended = self._read_counters(), time.monotonic()
        instance_count = len(self.cluster.instances)
        instance_seconds = instance_count * (ended - started)
        cpu, peer_bytes, object_bytes, reads, calls = (
            (new - old) / instance_seconds
            for new, old in zip(after, before, strict=True)
        )
        return CostReading(
            nodes=instance_count,
            targets=self.target_count,
            cores=round(cpu, 5),
            mb=round(sum(self._read_resident_bytes()) / instance_count / MB, 2),
            kb_s=round((peer_bytes + object_bytes) / KB, 3),
            wire_kb_s=round(
                (peer_bytes + object_bytes + reads * SEGMENT_HEADERS_BYTES)
                / KB,
                3,
            ),
            object_calls_s=round(calls, 3),
        )

    def _read_counters(self) -> tuple[float, ...]:
        """Return processor time, bytes, reads and calls of all instances.

        Bytes and reads between instances count twice, for the sender and for
        the receiver.
        """
        proxies = self.peer_proxies.proxies.values()
        cpu = 0.0
        for process in self._processes():
            times = process.cpu_times()
            cpu += times.user + times.system
        return (
            cpu,
            2 * sum(proxy.byte_count for proxy in proxies),
            self.objects_proxy.byte_count,
            2 * sum(proxy.read_count for proxy in proxies)
            + self.objects_proxy.read_count,
            self.cluster.objects.call_count,
        )

    def _read_resident_bytes(self) -> list[int]:
        """Return the resident memory of each instance in bytes."""
        return [process.memory_info().rss for process in self._processes()]

    def _processes(self) -> list[psutil.Process]:
        """Return the processes of the instances."""
        return [
            psutil.Process(it.pid) for it in self.cluster.instances.values()
        ]


async def async_measure_imports_mb() -> float:
    """Return the memory of an interpreter with the same imports in MB."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        IMPORTS_SCRIPT,
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
    """Run the scenario and return its results."""
    bench = ControlBench(options=options)
    by_instance_count: list[CostReading] = []
    by_target_count: list[CostReading] = []
    imports_mb = await async_measure_imports_mb()
    async with running_cluster(bench.cluster):
        await bench.async_start()
        for size in INSTANCE_COUNTS:
            await bench.async_add_instances(size)
            by_instance_count.append(await bench.async_measure())
            print(by_instance_count[-1], file=sys.stderr)
        for count in TARGET_COUNTS[1:]:
            await bench.async_set_targets(count)
            by_target_count.append(await bench.async_measure())
            print(by_target_count[-1], file=sys.stderr)
        by_target_count.insert(0, by_instance_count[-1])
        await bench.async_stop()
    return summarize(by_instance_count, by_target_count, imports_mb)


def summarize(
    by_instance_count: list[CostReading],
    by_target_count: list[CostReading],
    imports_mb: float,
) -> dict[str, object]:
    """Return the readings, the fitted lines and the cost at planned size."""
    figures: dict[str, object] = {
        'imports_mb': round(imports_mb, 2),
        'by_nodes': [dataclasses.asdict(it) for it in by_instance_count],
        'by_targets': [dataclasses.asdict(it) for it in by_target_count],
    }
    for name, bound in COST_BOUNDS.items():
        instance_line = fit_line(
            [it.nodes for it in by_instance_count],
            [getattr(it, name) for it in by_instance_count],
        )
        target_line = fit_line(
            [it.targets for it in by_target_count],
            [getattr(it, name) for it in by_target_count],
        )
        additional_targets = PLANNED_TARGETS - TARGET_COUNTS[0]
        planned = (
            instance_line.estimate(PLANNED_INSTANCES)
            + target_line.slope * additional_targets
        )
        error = math.hypot(
            instance_line.standard_error(PLANNED_INSTANCES),
            target_line.standard_error(PLANNED_TARGETS),
        )
        figures[f'{name}_at_440'] = round(planned, 4)
        figures[f'{name}_error'] = round(error, 4)
        figures[f'{name}_met'] = planned <= bound
        figures[f'{name}_lines'] = {
            'intercept': round(instance_line.intercept, 5),
            'per_node': round(instance_line.slope, 6),
            'per_target': round(target_line.slope, 8),
        }
    figures['mb_above_imports_at_440'] = round(
        float(str(figures['mb_at_440'])) - imports_mb, 2
    )
    return figures
