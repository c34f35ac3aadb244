"""Detection that a target has ended, after connections to it were lost."""

from collections.abc import Callable, Sequence
from typing import Final

from bitternturn.gateway.models import CallerRequest
from bitternturn.gateway.target_connections import TargetConnections

# Time after the loss of a connection within which a failure to connect again
# shows that the target has ended by then.
MAX_CHECK_S: Final = 3.0
# Requests that are kept for one end.
MAX_LOST_REQUESTS: Final = 64


class EndDetector:
    """Tells the end of a target from the loss of single connections.

    A lost connection may have been reset on the way. Only if a new one can't be
    opened either, the target counts as ended, with the requests of all
    connections that were lost shortly before.
    """

    def __init__(
        self,
        *,
        connections: TargetConnections,
        on_end: Callable[[Sequence[CallerRequest]], None],
    ) -> None:
        """Initialise without lost requests."""
        self.connections = connections
        self.on_end = on_end
        # Requests whose connection was lost, and when.
        self.lost: list[tuple[CallerRequest, float]] = []

    def record_loss(
        self, caller: CallerRequest, now: float, *, busy_count: int
    ) -> None:
        """Record the loss of a request's connection, and try to connect.

        `busy_count` is the number of connections that carry a send.
        """
        if len(self.lost) < MAX_LOST_REQUESTS:
            self.lost.append((caller, now))
        self.connections.open(queued_count=1, busy_count=busy_count)

    def record_connected(self, started_at: float) -> None:
        """Record that an attempt to connect, which began at a time, succeeded."""
        self.lost = [
            (caller, lost_at)
            for caller, lost_at in self.lost
            if lost_at > started_at
        ]

    def record_unreachable(self, now: float) -> None:
        """Record that an attempt to connect has failed."""
        requests = [
            caller
            for caller, lost_at in self.lost
            if now - lost_at <= MAX_CHECK_S
        ]
        self.lost.clear()
        if requests:
            self.on_end(requests)

    def discard(self) -> None:
        """Forget the lost requests, of which nothing can be found out."""
        self.lost.clear()
