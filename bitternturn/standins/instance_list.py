"""Emulates the platform's instance list, which lags behind changes."""

from bitternturn.core.ids import InstanceId
from bitternturn.platform.models import InstanceList, ListedInstance

STATE_LIVE = 'live'
STATE_LEAVING = 'leaving'


class LaggingInstanceList:
    """Shows each change after a fixed lag; times are in seconds."""

    def __init__(self, *, lag_s: float = 0) -> None:
        """Initialise an empty list."""
        self.lag_s = lag_s
        self.visible: dict[InstanceId, ListedInstance] = {}
        self._pending: list[
            tuple[float, InstanceId, ListedInstance | None]
        ] = []

    def set(self, instance: ListedInstance, now: float) -> None:
        """Schedule the addition or update of an instance."""
        self._pending.append((now + self.lag_s, instance.id, instance))

    def remove(self, instance_id: InstanceId, now: float) -> None:
        """Schedule the removal of an instance."""
        self._pending.append((now + self.lag_s, instance_id, None))

    def read(self, now: float) -> InstanceList:
        """Apply the changes that are due and return the list."""
        pending = []
        for visible_at, instance_id, instance in self._pending:
            if visible_at > now:
                pending.append((visible_at, instance_id, instance))
            elif instance is None:
                self.visible.pop(instance_id, None)
            else:
                self.visible[instance_id] = instance
        self._pending = pending
        return InstanceList(instances=tuple(self.visible.values()))
