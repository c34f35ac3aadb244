"""Delays of the network between instances, by a proxy before each one."""

import dataclasses

from bench.cluster import Cluster
from bench.processes import HOST, InstanceSpec
from bitternturn.standins.proxy import FaultProxy
from bitternturn.standins.proxy_faults import delays


class PeerNetwork:
    """A proxy before the peers' listener of each instance."""

    def __init__(self, *, cluster: Cluster, one_way_s: float) -> None:
        """Take the cluster's specs over; call before it starts."""
        self.cluster = cluster
        self.one_way_s = one_way_s
        self.proxies: dict[str, FaultProxy] = {}
        cluster.adapt = self.adapt

    def adapt(self, spec: InstanceSpec) -> InstanceSpec:
        """Advertise the proxy in place of the listener."""
        proxy = FaultProxy(host=HOST, port=spec.peers_port)
        proxy.set_faults(delays(self.one_way_s))
        self.proxies[spec.name] = proxy
        return dataclasses.replace(
            spec,
            advertised_port=self.cluster.ports.take(),
        )

    async def async_listen(self, name: str) -> None:
        """Start the proxy of an instance."""
        spec = self.cluster.instances[name].spec
        await self.proxies[name].async_start(
            host=HOST,
            port=spec.advertised_port,
        )

    async def async_stop(self) -> None:
        """Stop every proxy."""
        for proxy in self.proxies.values():
            await proxy.async_stop()
