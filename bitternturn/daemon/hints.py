"""What the platform's lagging instance list hints at."""

import asyncio
from collections.abc import Iterable

import logbook

from bitternturn.core.clock import MS_PER_SECOND, Clock
from bitternturn.core.errors import BitternturnError
from bitternturn.core.ids import InstanceId
from bitternturn.daemon import const
from bitternturn.platform.client import ObjectClient
from bitternturn.platform.instances import async_list_instances
from bitternturn.platform.models import ListedInstance
from bitternturn.schema.settings_pb2 import Address

LOGGER = logbook.Logger('daemon.hints')


class InstanceHints:
    """Follows the instance list; never proof but for the gone."""

    def __init__(
        self,
        *,
        objects: ObjectClient,
        interval_ms: int,
        now: Clock,
    ) -> None:
        """Start with no list read."""
        self.objects = objects
        self.interval_s = interval_ms / MS_PER_SECOND
        self.now = now
        self.listed: tuple[ListedInstance, ...] = ()
        self.read_at: float | None = None
        self.first_read_at: float | None = None
        self.last_seen: dict[InstanceId, float] = {}

    async def async_follow(self) -> None:
        """Read the list again and again."""
        while True:
            await self.async_read()
            await asyncio.sleep(self.interval_s)

    async def async_read(self) -> None:
        """Read the list once; a failure leaves the last one."""
        started = self.now()
        try:
            self.listed = await async_list_instances(self.objects)
        except BitternturnError as error:
            LOGGER.info('instance list is out of reach: {}', error)
            return
        self.read_at = started
        if self.first_read_at is None:
            self.first_read_at = started
        for instance in self.listed:
            self.last_seen[instance.id] = started

    def is_gone(self, instance: InstanceId, now: float) -> bool:
        """Whether the list has lacked an instance for longer than it lags."""
        if self.read_at is None or self.first_read_at is None:
            return False
        if now - self.read_at > self.interval_s * const.FRESH_INTERVALS:
            return False
        seen = self.last_seen.get(instance, self.first_read_at)
        return self.read_at - seen > const.INSTANCE_LIST_LAG_S

    def seeds(self) -> Iterable[Address]:
        """Return the peers' addresses in the last list."""
        for instance in self.listed:
            host, _, port = instance.peer.rpartition(':')
            if host and port.isdecimal():
                yield Address(host=host, port=int(port))
