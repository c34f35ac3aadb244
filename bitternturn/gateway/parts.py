"""State of the parts of a request, and the result of the request."""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from bitternturn.core.ids import ServiceName, TargetId
from bitternturn.gateway.models import Route, TargetAnswer
from bitternturn.gateway.send import Send
from bitternturn.http import const as http
from bitternturn.policy.answer_timing import Verdict

# Stands for a target that only a lost peer knows.
UNKNOWN_TARGET: Final = TargetId('')
# Path of a send over a connection of this instance, in place of a peer's name.
DIRECT: Final = 'direct'
# Statuses by which a target guarantees that it has not run the request.
NOT_RUN_STATUSES = frozenset(
    (
        http.STATUS_REQUEST_TIMEOUT,
        http.STATUS_MISDIRECTED_REQUEST,
        http.STATUS_TOO_MANY_REQUESTS,
        http.STATUS_UNAVAILABLE,
    ),
)


@dataclass(kw_only=True, frozen=True, slots=True)
class Deadlines:
    """Deadlines of a request, on the clock of the gateway.

    Until the soft deadline, which the latency objective sets, all parts are
    awaited; from then on the minimum coverage is enough.
    """

    soft_deadline: float
    deadline: float


@dataclass(kw_only=True, frozen=True, slots=True)
class RequestResult:
    """Result of a request."""

    verdict: Verdict
    parts: 'Sequence[Part]'
    # Whether a target may have run the request.
    maybe_run: bool
    # When the decision was due, on the clock of the gateway.
    due_at: float

    @property
    def answers(self) -> list[TargetAnswer]:
        """Return the answers of all parts that have one."""
        return [part.answer for part in self.parts if part.answer is not None]


class PartCounts:
    """Numbers of the parts of a request, kept as they change."""

    __slots__ = ('answered', 'open')

    def __init__(self, *, total: int) -> None:
        """Initialise with all parts open."""
        self.open = total
        self.answered = 0


class Part:
    """One shard of a request, or the whole request if it has no shards."""

    __slots__ = (
        'answer',
        'answered_at',
        'answered_via',
        'closed',
        'counts',
        'declined',
        'failure',
        'in_flight',
        'maybe_run',
        'no_path_count',
        'not_sent_count',
        'send_count',
        'send_ends',
        'service',
        'started_at',
        'tried_targets',
        'undelivered_count',
        'unusable_targets',
    )

    def __init__(self, *, service: ServiceName, counts: PartCounts) -> None:
        """Initialise a part that has not been sent."""
        self.service = service
        self.counts = counts
        self.send_count = 0
        self.started_at: float = 0
        self.in_flight: list[Send] = []
        # How sends without an answer ended, as values of `SendOutcome`.
        self.send_ends: list[str] = []
        # Targets that may have run the request or still run it, with the number
        # of sends to each.
        self.tried_targets: Counter[TargetId] = Counter()
        # Targets that are unreachable or whose address another target has.
        self.unusable_targets: set[TargetId] = set()
        # Number of sends that did not reach a target.
        self.undelivered_count = 0
        # Number of those of which the target was not the cause, and of those
        # that no instance asked could make.
        self.not_sent_count = 0
        self.no_path_count = 0
        # Whether a peer has declined a send; later ones must not be declined.
        self.declined = False
        # Whether a target may have run the request.
        self.maybe_run = False
        self.answer: TargetAnswer | None = None
        self.answered_at: float = 0
        # Name of the peer that made the send, None for a direct one.
        self.answered_via: str | None = None
        # Last answer that reported a failure.
        self.failure: TargetAnswer | None = None
        # Whether the part is answered or given up, so that no send is awaited;
        # changed by `set_closed`.
        self.closed = False

    @property
    def delivered_count(self) -> int:
        """Number of sends that may have reached a target."""
        return self.send_count - self.undelivered_count

    def record_unknown_try(self) -> None:
        """Record that a peer may have sent the part to one of the targets."""
        self.send_count = 1
        self.maybe_run = True
        self.tried_targets[UNKNOWN_TARGET] = 1

    def set_closed(self, closed: bool) -> None:
        """Close the part, or open it again for a send that is in flight."""
        if closed != self.closed:
            self.closed = closed
            self.counts.open += -1 if closed else 1

    def set_answer(
        self, answer: TargetAnswer, now: float, *, via: str | None
    ) -> None:
        """Store the answer that came over a path, and close the part."""
        self.counts.answered += self.answer is None
        self.answer = answer
        self.answered_at = now
        self.answered_via = via
        self.set_closed(True)

    def withdraw_try(self, target: TargetId) -> None:
        """Record that a target has not run one of the sends to it."""
        self.tried_targets[target] -= 1
        if not self.tried_targets[target]:
            del self.tried_targets[target]

    def missing_cause(self) -> str:
        """Return how the sends of a part without an answer ended."""
        ends = [*self.send_ends, *('unanswered' for _ in self.in_flight)]
        return '+'.join(ends) or 'no_target'


def describe_arrivals(
    parts: Sequence[Part], *, min_parts: int, since: float
) -> Mapping[str, float]:
    """Return when parts of a wide request were answered, in seconds.

    Names the first and the median one of those that are answered, the one that
    completed the minimum, and the last one.
    """
    times = sorted(
        part.answered_at - since for part in parts if part.answer is not None
    )
    if len(parts) < 2 or not times:
        return {}
    arrivals = {'first': times[0], 'median': times[len(times) // 2]}
    if len(times) >= min_parts:
        arrivals['minimum'] = times[min_parts - 1]
    return {**arrivals, 'last': times[-1]}


def describe_paths(
    parts: Sequence[Part], *, since: float
) -> Mapping[str, tuple[int, float, float]]:
    """Return how the parts of a wide request came, by the name of the peer.

    For each path, the number of answers and when the first and the last one of
    them came, in seconds.
    """
    if len(parts) < 2:
        return {}
    times: defaultdict[str, list[float]] = defaultdict(list)
    for part in parts:
        if part.answer is not None:
            times[part.answered_via or DIRECT].append(part.answered_at - since)
    return {
        path: (len(found), min(found), max(found))
        for path, found in times.items()
    }


def may_forward_failure(route: Route, failure: TargetAnswer) -> bool:
    """Return whether a failed answer may be forwarded to the caller.

    A success status without a signature is not forwarded. Neither is a status
    that guarantees that the request has not run, since it may have.
    """
    if route.shards or failure.not_run:
        return False
    unsigned = failure.status < http.STATUS_MULTIPLE_CHOICES
    return not unsigned and failure.status not in NOT_RUN_STATUSES
