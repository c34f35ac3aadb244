"""Reports objects of the store that can't be decoded, each once."""

from typing import Final

from bitternturn.gateway.decision_log import DecisionLog
from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.platform.object_messages import UnreadableObject

# Reported objects that are remembered; the oldest are forgotten. An object is
# read again with each list of its kind.
MAX_REMEMBERED: Final = 1024
MAX_NAME_LENGTH: Final = 100


class UnreadableLog:
    """Writes one line for each kind, name and cause, and counts all objects."""

    def __init__(
        self, *, decisions: DecisionLog, metrics: GatewayMetrics
    ) -> None:
        """Initialise without reported objects."""
        self.decisions = decisions
        self.metrics = metrics
        self.reported: dict[UnreadableObject, None] = {}

    def record(self, unreadable: UnreadableObject) -> None:
        """Report an object that can't be decoded."""
        self.metrics.increment('unreadable_objects', of=unreadable.kind)
        if unreadable in self.reported:
            return
        while len(self.reported) >= MAX_REMEMBERED:
            del self.reported[next(iter(self.reported))]
        self.reported[unreadable] = None
        self.decisions.write(
            'object_unreadable',
            of=unreadable.kind,
            name=unreadable.name[:MAX_NAME_LENGTH],
            cause=unreadable.cause,
        )
