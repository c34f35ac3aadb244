"""Emulates the links of one instance to its targets, which can be cut."""

from collections.abc import Iterable, Mapping
from enum import Enum, unique

from bitternturn.core.ids import TargetId
from bitternturn.gateway.models import Address
from bitternturn.standins.platform_target import PlatformTarget
from bitternturn.standins.proxy import FaultProxy
from bitternturn.standins.proxy_faults import blackhole, no_faults

LOOPBACK = '127.0.0.1'


@unique
class Cut(Enum):
    """How links are cut."""

    # Open connections become silent, new ones hang.
    SILENT = 'silent'
    # Open connections are reset, new ones are refused.
    RESET = 'reset'
    # Open connections live on, new ones are refused.
    REFUSE = 'refuse'


class TargetLinks:
    """Links of one instance to targets, each over a proxy of its own."""

    def __init__(self, *, targets: Iterable[PlatformTarget]) -> None:
        """Initialise for running targets."""
        self.proxies: Mapping[TargetId, FaultProxy] = {
            TargetId(target.id): FaultProxy(host=target.host, port=target.port)
            for target in targets
        }

    async def async_start(self) -> None:
        """Start the proxies."""
        for proxy in self.proxies.values():
            await proxy.async_start(host=LOOPBACK)

    async def async_stop(self) -> None:
        """Stop the proxies."""
        for proxy in self.proxies.values():
            await proxy.async_stop()

    def find_address(self, target: TargetId) -> Address:
        """Return the address at which the instance reaches a target."""
        proxy = self.proxies[target]
        return Address(host=proxy.host, port=proxy.port)

    def cut(self, kind: Cut, targets: Iterable[TargetId] | None = None) -> None:
        """Cut the links to some targets, to all by default."""
        for target in self.proxies if targets is None else targets:
            proxy = self.proxies[target]
            if kind is Cut.SILENT:
                proxy.ignore_connections()
                proxy.set_faults(blackhole())
                continue
            proxy.refuse_connections()
            if kind is Cut.RESET:
                proxy.reset_connections()

    async def async_restore(
        self, targets: Iterable[TargetId] | None = None
    ) -> None:
        """Restore the links to some targets, to all by default.

        What was sent over open connections meanwhile is lost.
        """
        for target in self.proxies if targets is None else targets:
            proxy = self.proxies[target]
            proxy.reset_connections()
            proxy.set_faults(no_faults())
            await proxy.async_accept_connections()
