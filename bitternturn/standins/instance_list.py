"""Stand-in for the platform's lagging list of instances."""

from bitternturn.core.ids import InstanceId
from bitternturn.platform.models import InstanceList, ListedInstance

STATE_LIVE = 'live'
STATE_LEAVING = 'leaving'


class LaggingList:
    """Shows each change a while after it was made; times are in seconds."""

    def __init__(self, *, lag_s: float = 0) -> None:
        """Start empty."""
        self.lag_s = lag_s
        self.shown: dict[InstanceId, ListedInstance] = {}
        self._pending: list[
            tuple[float, InstanceId, ListedInstance | None]
        ] = []

    def set(self, instance: ListedInstance, now: float) -> None:
        """Add or change an instance."""
        self._pending.append((now + self.lag_s, instance.id, instance))

    def remove(self, instance_id: InstanceId, now: float) -> None:
        """Remove an instance."""
        self._pending.append((now + self.lag_s, instance_id, None))

    def read(self, now: float) -> InstanceList:
        """Return the list as it is shown now."""
        waiting = []
        for shown_at, instance_id, instance in self._pending:
            if shown_at > now:
                waiting.append((shown_at, instance_id, instance))
            elif instance is None:
                self.shown.pop(instance_id, None)
            else:
                self.shown[instance_id] = instance
        self._pending = waiting
        return InstanceList(instances=tuple(self.shown.values()))
