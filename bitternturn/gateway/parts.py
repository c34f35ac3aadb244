"""Parts of a request, and what came of them."""

from collections.abc import Sequence
from dataclasses import dataclass

from bitternturn.core.ids import ServiceName, TargetId
from bitternturn.gateway.models import Route, TargetAnswer
from bitternturn.gateway.target import Send
from bitternturn.http import const as http
from bitternturn.policy.patience import Verdict

# Statuses that promise that the request has not run.
PROMISES = frozenset(
    (
        http.STATUS_REQUEST_TIMEOUT,
        http.STATUS_MISDIRECTED,
        http.STATUS_TOO_MANY,
        http.STATUS_UNAVAILABLE,
    ),
)


@dataclass(kw_only=True, frozen=True, slots=True)
class Times:
    """When a request should be answered, and when it must be."""

    aim_at: float
    deadline: float


@dataclass(kw_only=True, frozen=True, slots=True)
class Result:
    """End of a request."""

    verdict: Verdict
    parts: 'Sequence[Part]'
    # Whether a target may have run it.
    maybe_run: bool
    # When the end was due, on the gateway's clock.
    decided_at: float

    @property
    def answers(self) -> list[TargetAnswer]:
        """Return the answers that count."""
        return [part.answer for part in self.parts if part.answer is not None]


class Part:
    """One shard of a request, or the whole of one that has no shards."""

    __slots__ = (
        'answer',
        'closed',
        'declined',
        'failure',
        'maybe_run',
        'reached',
        'sends',
        'service',
        'started_at',
        'under_way',
        'unreached',
        'unsent',
        'useless',
    )

    def __init__(self, *, service: ServiceName) -> None:
        """Start with nothing sent."""
        self.service = service
        self.sends = 0
        self.started_at: float = 0
        self.under_way: list[Send] = []
        # Targets that may have run the request.
        self.reached: set[TargetId] = set()
        # Targets that can't be reached or have ended.
        self.useless: set[TargetId] = set()
        # Sends that no target has received, and those of them for which the
        # target was not the reason.
        self.unreached = 0
        self.unsent = 0
        # Whether a peer has declined to send it; the next one has to.
        self.declined = False
        self.maybe_run = False
        self.answer: TargetAnswer | None = None
        # Last answer of a target that failed.
        self.failure: TargetAnswer | None = None
        self.closed = False

    @property
    def received(self) -> int:
        """Number of sends that a target may have received."""
        return self.sends - self.unreached


def may_pass_on(route: Route, failure: TargetAnswer) -> bool:
    """Return whether a target's failure is the answer to the request.

    A success without a signature is none. A status that promises that nothing
    has run is not passed on, since the request may have.
    """
    if route.shards or failure.not_run:
        return False
    unsigned = failure.status < http.STATUS_MULTIPLE
    return not unsigned and failure.status not in PROMISES
