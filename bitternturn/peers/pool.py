"""Pool of the links of one instance to its peers."""

import random
from collections.abc import Callable
from typing import NamedTuple

from bitternturn.core.clock import Clock, monotonic
from bitternturn.core.tasks import TaskSet
from bitternturn.peers.link import PeerLink
from bitternturn.peers.local import LocalLink
from bitternturn.peers.models import (
    DEFAULT_LINK_SETTINGS,
    LinkSettings,
    PeerHandlers,
)

Link = PeerLink | LocalLink


class PeerAddress(NamedTuple):
    """Address at which a peer listens."""

    host: str
    port: int


class PeerPool:
    """Holds one link per peer; the local link uses no connection."""

    def __init__(
        self,
        *,
        handlers: PeerHandlers,
        tasks: TaskSet,
        own_address: Callable[[], PeerAddress],
        now: Clock = monotonic,
        rng: random.Random | None = None,
        settings: LinkSettings = DEFAULT_LINK_SETTINGS,
    ) -> None:
        """Initialise with the local link only."""
        self.handlers = handlers
        self.tasks = tasks
        self.own_address = own_address
        self.now = now
        self.rng = rng or random.Random()
        self.settings = settings
        self.local = LocalLink(handlers=handlers, tasks=tasks)
        self.links: dict[PeerAddress, PeerLink] = {}

    def link(self, host: str, port: int) -> Link:
        """Return the link to a peer, creating it if needed."""
        address = PeerAddress(host, port)
        link = self.links.get(address)
        if link is not None:
            return link
        if address == self.own_address():
            return self.local
        self.links[address] = self._make_link(address)
        return self.links[address]

    async def async_close_unused(self, now: float) -> None:
        """Close links that have been idle for longer than the timeout."""
        for address, link in list(self.links.items()):
            unused = now - link.last_used_at > self.settings.idle_timeout_s
            if unused and not link.outbox.outstanding:
                self.links.pop(address)
                await link.async_close()

    async def async_stop(self) -> None:
        """Close every link."""
        links = list(self.links.values())
        self.links.clear()
        for link in links:
            await link.async_close()

    def _make_link(self, address: PeerAddress) -> PeerLink:
        """Return a new link."""
        return PeerLink(
            host=address.host,
            port=address.port,
            handlers=self.handlers,
            tasks=self.tasks,
            now=self.now,
            rng=self.rng,
            settings=self.settings,
        )
