"""Reader of the platform's instance list, which may lag."""

import asyncio
from collections.abc import Iterable

import logbook

from bitternturn.core.clock import MS_PER_SECOND, Clock
from bitternturn.core.errors import BitternturnError
from bitternturn.core.ids import InstanceId
from bitternturn.daemon import const
from bitternturn.platform.client import ObjectClient
from bitternturn.platform.instance_list import async_list_instances
from bitternturn.platform.models import ListedInstance
from bitternturn.schema.settings_pb2 import Address

LOGGER = logbook.Logger('daemon.hints')


class InstanceListReader:
    """Reads the instance list periodically.

    A listed instance need not be running. Only an instance that has been absent
    for longer than the maximum lag is known to be gone.
    """

    def __init__(
        self,
        *,
        objects: ObjectClient,
        interval_ms: int,
        now: Clock,
    ) -> None:
        """Initialise without a list."""
        self.objects = objects
        self.interval_s = interval_ms / MS_PER_SECOND
        self.now = now
        self.listed: tuple[ListedInstance, ...] = ()
        self.read_at: float | None = None
        self.first_read_at: float | None = None
        self.last_seen: dict[InstanceId, float] = {}

    async def async_run(self) -> None:
        """Read the list periodically."""
        while True:
            await self.async_read()
            await asyncio.sleep(self.interval_s)

    async def async_read(self) -> None:
        """Read the list once; on failure the last one is kept."""
        started_at = self.now()
        try:
            self.listed = await async_list_instances(self.objects)
        except BitternturnError as error:
            LOGGER.info('failed to read the instance list: {}', error)
            return
        self.read_at = started_at
        if self.first_read_at is None:
            self.first_read_at = started_at
        for instance in self.listed:
            self.last_seen[instance.id] = started_at

    def is_gone(self, instance: InstanceId, now: float) -> bool:
        """Return whether an instance was absent for longer than the maximum lag.

        False while the last list is too old to rely on.
        """
        if self.read_at is None or self.first_read_at is None:
            return False
        if now - self.read_at > self.interval_s * const.MAX_LIST_AGE_INTERVALS:
            return False
        seen_at = self.last_seen.get(instance, self.first_read_at)
        return self.read_at - seen_at > const.INSTANCE_LIST_LAG_S

    def iter_seed_addresses(self) -> Iterable[Address]:
        """Yield the peer addresses of the listed instances."""
        for instance in self.listed:
            host, _, port = instance.peer.rpartition(':')
            if host and port.isdecimal():
                yield Address(host=host, port=int(port))
