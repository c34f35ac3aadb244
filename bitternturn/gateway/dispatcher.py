"""What the execution of a request needs of its instance."""

from collections.abc import Iterable, Sequence
from typing import Protocol

from bitternturn.core.ids import ServiceName, TargetId
from bitternturn.gateway.crash_suspects import CrashSuspects
from bitternturn.gateway.links import TargetLinks
from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.gateway.parts import Part
from bitternturn.gateway.send import Send
from bitternturn.gateway.target import Target, start_directly
from bitternturn.policy.further_send_budget import FurtherSendBudget


class Sender(Protocol):
    """Makes sends over connections of this instance or through peers."""

    def dispatch(self, send: Send, now: float) -> None:
        """Start a send, or let it wait for others to the same peer."""

    def flush(self) -> None:
        """Start the sends that wait."""

    def group_parts(self, parts: Sequence[Part]) -> Iterable[Sequence[Part]]:
        """Divide the parts of a request into groups for the same peers."""


class DirectSender:
    """Makes all sends over connections of this instance."""

    def dispatch(self, send: Send, now: float) -> None:
        """Start a send."""
        start_directly(send, now)

    def flush(self) -> None:
        """Do nothing: no send waits."""

    def group_parts(self, parts: Sequence[Part]) -> Iterable[Sequence[Part]]:
        """Return all parts as one group."""
        return (parts,)


class Dispatcher(Protocol):
    """Clock, target selection, retry budgets and sends for a request."""

    # Evidence that requests crash targets.
    crash_suspects: CrashSuspects
    # Counts the steps of the instance.
    metrics: GatewayMetrics
    # Makes the sends, or lets peers make them.
    sender: Sender
    # Direct links to targets; what has ended is known once they are verified.
    links: TargetLinks

    def now(self) -> float:
        """Return the current time in seconds, including suspended time."""

    def select_target(
        self,
        service: ServiceName,
        avoided: Sequence[TargetId],
        typical_latency_s: float,
    ) -> Target | None:
        """Return the best available target of a service, None without one."""

    def retry_budget(self, service: ServiceName) -> FurtherSendBudget:
        """Return the retry budget of a service."""

    def may_sponsor(self, target: Target, now: float) -> bool:
        """Return whether a delegate may allow a send above the own budget."""

    def start_send(self, send: Send, now: float) -> None:
        """Start a send, directly or through a peer."""

    def is_limited(self, service: ServiceName, now: float) -> bool:
        """Return whether rate limits alone keep all targets of a service."""

    def may_hedge(self, target: Target, now: float) -> bool:
        """Return whether a hedge takes no permit that a first send needs."""

    def record_unanswered(self, sends: Sequence[Send], now: float) -> None:
        """Record that targets have not answered a request in time."""

    def record_overdue(self, send: Send, now: float) -> None:
        """Record that a send has not been answered within the usual time."""
