"""A tenth of the open connections goes silent at once, under load.

Connections between instances, to targets and to the object API all pass
through proxies; new connections work.
"""

import asyncio
import dataclasses
import random

from bench.cluster import Cluster
from bench.options import Options
from bench.phases import make_cluster, outcome, p99_ratio, warm_phases
from bench.processes import HOST, InstanceSpec
from bitternturn.standins.proxy import FaultProxy
from bitternturn.standins.proxy_faults import silence

SHARE = 0.1
SETTLE_S = 1.0


class Proxies:
    """A proxy before the object API and before each listener for peers."""

    def __init__(self, *, cluster: Cluster) -> None:
        """Take the cluster's ports over; call before it starts."""
        self.cluster = cluster
        self.objects: FaultProxy | None = None
        self.objects_port = 0
        self.peers: list[FaultProxy] = []
        self.starting: list[asyncio.Task[None]] = []
        cluster.adapt = self.adapt
        cluster.objects_port_of = self.port_of_objects
        cluster.proxied = True

    def adapt(self, spec: InstanceSpec) -> InstanceSpec:
        """Advertise a proxy in place of the listener."""
        proxy = FaultProxy(host=HOST, port=spec.peers_port)
        self.peers.append(proxy)
        return dataclasses.replace(spec, advertised_port=self._start(proxy))

    def port_of_objects(self, name: str) -> int:
        """Return the port of the proxy before the object API."""
        if self.objects is None:
            port = self.cluster.objects.port
            self.objects = FaultProxy(host=HOST, port=port)
            self.objects_port = self._start(self.objects)
        return self.objects_port

    def silence(self, rng: random.Random) -> dict[str, int]:
        """Silence a share of the open connections; return how many."""
        assert self.objects is not None
        groups = {
            'objects': [self.objects],
            'peers': self.peers,
            'targets': list(self.cluster.fleet.proxies.values()),
        }
        return {
            name: _silence_some(proxies, rng)
            for name, proxies in groups.items()
        }

    async def async_stop(self) -> None:
        """Stop the proxies that the fleet does not stop."""
        await asyncio.gather(*self.starting)
        for proxy in (self.objects, *self.peers):
            if proxy is not None:
                await proxy.async_stop()

    def _start(self, proxy: FaultProxy) -> int:
        """Begin to listen on a free port."""
        port = self.cluster.ports.take()
        start = proxy.async_start(host=HOST, port=port)
        self.starting.append(asyncio.create_task(start))
        return port


def _silence_some(proxies: list[FaultProxy], rng: random.Random) -> int:
    """Silence a share of the connections of some proxies, at least one."""
    connections = [it for proxy in proxies for it in proxy.connections]
    count = max(1, round(len(connections) * SHARE))
    for connection in rng.sample(connections, count):
        connection.faults = silence()
    return count


async def async_run(options: Options) -> dict[str, object]:
    """Measure."""
    silenced: dict[str, int] = {}
    seconds = options.seconds(6, 30)
    cluster = make_cluster(options)
    proxies = Proxies(cluster=cluster)

    async def async_silence() -> None:
        """Silence connections once and watch for a while."""
        await asyncio.sleep(SETTLE_S)
        silenced.update(proxies.silence(random.Random(options.seed)))
        await asyncio.sleep(seconds)

    async with warm_phases(options, cluster=cluster) as phases:
        before = await phases.async_load(seconds)
        during = await phases.async_load(0, during=async_silence())
        await proxies.async_stop()
        return {
            **outcome(before, 'before_'),
            **outcome(during),
            **phases.truth(),
            'p99_ratio': p99_ratio(during, before),
            'silenced': silenced,
        }
