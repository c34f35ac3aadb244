"""Detection that a target has ended, after connections to it were lost."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from bitternturn.gateway.links import LinkVerdict
from bitternturn.gateway.models import CallerRequest
from bitternturn.gateway.target_connections import TargetConnections

# Time after the loss of a connection within which it is due to the end of the
# target if the target turns out to have ended.
MAX_CHECK_S: Final = 3.0
# Requests that are kept for one end.
MAX_LOST_REQUESTS: Final = 64

# Called with the requests that were under way when a target ended, and when the
# first of their connections was lost.
EndListener = Callable[[Sequence[CallerRequest], float], None]
# Finds out whether the link to a target has worked after a time.
LinkCheck = Callable[[float, LinkVerdict], None]


@dataclass(kw_only=True, slots=True)
class LostRequest:
    """A request whose connection was lost before its answer."""

    caller: CallerRequest
    lost_at: float
    # Whether the address has accepted a connection since.
    reconnected: bool = False


class EndDetector:
    """Tells the end of a target from the loss of single connections.

    A lost connection may have been reset on the way. The target counts as ended
    if no connection can be opened either, although other targets in its failure
    domain can be reached, or if another one has its address.
    """

    def __init__(
        self,
        *,
        connections: TargetConnections,
        verify_link: LinkCheck,
        on_end: EndListener,
    ) -> None:
        """Initialise without lost requests."""
        self.connections = connections
        self.verify_link = verify_link
        self.on_end = on_end
        self.lost: list[LostRequest] = []

    def record_loss(
        self, caller: CallerRequest, now: float, *, busy_count: int
    ) -> None:
        """Record the loss of a request's connection, and try to connect.

        `busy_count` is the number of connections that carry a send.
        """
        self._drop_old(now)
        if len(self.lost) < MAX_LOST_REQUESTS:
            self.lost.append(LostRequest(caller=caller, lost_at=now))
        self.connections.open(queued_count=1, busy_count=busy_count)

    def record_connected(self, started_at: float) -> None:
        """Record that an attempt to connect, which began at a time, succeeded."""
        for request in self.lost:
            if request.lost_at <= started_at:
                request.reconnected = True

    def record_unreachable(self, now: float) -> None:
        """Record that an attempt to connect has failed."""
        self._drop_old(now)
        if self.lost:
            first_lost_at = min(it.lost_at for it in self.lost)
            self.verify_link(first_lost_at, self._handle_link_verdict)

    def _handle_link_verdict(self, connected: bool) -> None:
        """Report the end of the target unless its link is cut off."""
        if connected:
            self._end([it for it in self.lost if not it.reconnected])
        else:
            self.discard()

    def record_replaced(self, now: float) -> None:
        """Record that another target, or another life of it, has its address."""
        self._drop_old(now)
        self._end(self.lost)

    def discard(self) -> None:
        """Forget the lost requests, of which nothing can be found out."""
        self.lost = []

    def _drop_old(self, now: float) -> None:
        """Forget losses that have another cause than an end that is found now."""
        self.lost = [it for it in self.lost if now - it.lost_at <= MAX_CHECK_S]

    def _end(self, requests: Sequence[LostRequest]) -> None:
        """Report the end of the target, if requests were under way there."""
        self.lost = []
        if requests:
            self.on_end(
                [it.caller for it in requests],
                min(it.lost_at for it in requests),
            )
