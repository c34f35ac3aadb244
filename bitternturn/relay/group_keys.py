"""Keys by which the delegates of the shards of wide routes are ranked."""

from collections.abc import Set

from bitternturn.core.ids import ServiceName
from bitternturn.policy.delegate_selection import assign_group, count_groups
from bitternturn.relay import const


class GroupKeys:
    """Keeps the group key of each service until the wide services change."""

    def __init__(self) -> None:
        """Initialise without services."""
        self.wide_services: Set[ServiceName] = frozenset()
        self.keys: dict[ServiceName, str] = {}

    def find(
        self, service: ServiceName, wide_services: Set[ServiceName]
    ) -> str:
        """Return the key of the shard group of a service of a wide route."""
        if wide_services is not self.wide_services:
            self.wide_services = wide_services
            self.keys.clear()
        key = self.keys.get(service)
        if key is None:
            groups = count_groups(len(wide_services), const.SHARDS_PER_PEER)
            key = str(assign_group(service, groups))
            self.keys[service] = key
        return key

    def list_keys(self, wide_services: Set[ServiceName]) -> list[str]:
        """Return the keys of all groups."""
        if not wide_services:
            return []
        groups = count_groups(len(wide_services), const.SHARDS_PER_PEER)
        return [str(group) for group in range(groups)]
