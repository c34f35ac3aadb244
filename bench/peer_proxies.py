"""Proxies that delay the traffic between instances."""

import dataclasses

from bench.cluster import Cluster
from bench.processes import HOST, InstanceSpec
from bitternturn.standins.proxy import FaultProxy
from bitternturn.standins.proxy_faults import delay_both_directions


class PeerProxies:
    """Proxies before the peer listener of each instance."""

    def __init__(self, *, cluster: Cluster, one_way_delay_s: float) -> None:
        """Set `cluster.adapt_spec`; must precede the start of the cluster."""
        self.cluster = cluster
        self.one_way_delay_s = one_way_delay_s
        self.proxies: dict[str, FaultProxy] = {}
        cluster.adapt_spec = self.adapt_spec

    def adapt_spec(self, spec: InstanceSpec) -> InstanceSpec:
        """Return a spec that advertises a proxy instead of the listener."""
        proxy = FaultProxy(host=HOST, port=spec.peers_port)
        proxy.set_faults(delay_both_directions(self.one_way_delay_s))
        self.proxies[spec.name] = proxy
        return dataclasses.replace(
            spec,
            advertised_port=self.cluster.ports.allocate(),
        )

    async def async_listen(self, name: str) -> None:
        """Start the proxy of an instance."""
        spec = self.cluster.instances[name].spec
        await self.proxies[name].async_start(
            host=HOST,
            port=spec.advertised_port,
        )

    async def async_stop(self) -> None:
        """Stop all proxies."""
        for proxy in self.proxies.values():
            await proxy.async_stop()
