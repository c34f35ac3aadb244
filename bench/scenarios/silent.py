"""A tenth of the open connections goes silent at once under load.

Connections between instances, to targets and to the object API all pass
through proxies. New connections are not affected.
"""

import asyncio
import dataclasses
import random

from bench.cluster import Cluster
from bench.options import Options
from bench.phases import make_cluster, p99_ratio, running_phases, summarize_load
from bench.processes import HOST, InstanceSpec
from bitternturn.standins.proxy import FaultProxy
from bitternturn.standins.proxy_faults import blackhole

SILENCED_SHARE = 0.1
SETTLE_S = 1.0


class ConnectionProxies:
    """Proxies before the object API and each peer listener."""

    def __init__(self, *, cluster: Cluster) -> None:
        """Set the hooks of the cluster; must precede its start."""
        self.cluster = cluster
        self.objects_proxy: FaultProxy | None = None
        self.objects_port = 0
        self.peer_proxies: list[FaultProxy] = []
        self.starting: list[asyncio.Task[None]] = []
        cluster.adapt_spec = self.adapt_spec
        cluster.get_objects_port = self.get_proxied_objects_port
        cluster.proxied = True

    def adapt_spec(self, spec: InstanceSpec) -> InstanceSpec:
        """Return a spec that advertises a proxy instead of the listener."""
        proxy = FaultProxy(host=HOST, port=spec.peers_port)
        self.peer_proxies.append(proxy)
        return dataclasses.replace(spec, advertised_port=self._start(proxy))

    def get_proxied_objects_port(self, name: str) -> int:
        """Return the port of the proxy before the object API."""
        if self.objects_proxy is None:
            port = self.cluster.objects.port
            self.objects_proxy = FaultProxy(host=HOST, port=port)
            self.objects_port = self._start(self.objects_proxy)
        return self.objects_port

    def silence_connections(self, rng: random.Random) -> dict[str, int]:
        """Silence a share of the open connections; return the counts."""
        assert self.objects_proxy is not None
        groups = {
            'objects': [self.objects_proxy],
            'peers': self.peer_proxies,
            'targets': list(self.cluster.fleet.proxies.values()),
        }
        return {
            name: _silence_some(proxies, rng)
            for name, proxies in groups.items()
        }

    async def async_stop(self) -> None:
        """Stop the proxies that the fleet does not stop."""
        await asyncio.gather(*self.starting)
        for proxy in (self.objects_proxy, *self.peer_proxies):
            if proxy is not None:
                await proxy.async_stop()

    def _start(self, proxy: FaultProxy) -> int:
        """Start a proxy on a free port in the background; return the port."""
        port = self.cluster.ports.allocate()
        start = proxy.async_start(host=HOST, port=port)
        self.starting.append(asyncio.create_task(start))
        return port


def _silence_some(proxies: list[FaultProxy], rng: random.Random) -> int:
    """Silence a share, at least one, of the connections of some proxies."""
    connections = [it for proxy in proxies for it in proxy.connections]
    count = max(1, round(len(connections) * SILENCED_SHARE))
    for connection in rng.sample(connections, count):
        connection.faults = blackhole()
    return count


async def async_run(options: Options) -> dict[str, object]:
    """Run the scenario and return its results."""
    silenced: dict[str, int] = {}
    seconds = options.choose_seconds(6, 30)
    cluster = make_cluster(options)
    proxies = ConnectionProxies(cluster=cluster)

    async def async_silence() -> None:
        """Silence connections once and wait for the rest of the phase."""
        await asyncio.sleep(SETTLE_S)
        silenced.update(
            proxies.silence_connections(random.Random(options.seed))
        )
        await asyncio.sleep(seconds)

    async with running_phases(options, cluster=cluster) as phases:
        before = await phases.async_load(seconds)
        during = await phases.async_load(0, during=async_silence())
        await proxies.async_stop()
        return {
            **summarize_load(before, 'before_'),
            **summarize_load(during),
            **phases.summarize_checks(),
            'p99_ratio': p99_ratio(during, before),
            'silenced': silenced,
        }
