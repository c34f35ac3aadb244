"""Log entries of the sends of one request."""

from collections.abc import Iterable
from typing import Any, Final

from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.gateway.models import SendOutcome
from bitternturn.gateway.parts import DIRECT, Part
from bitternturn.gateway.send import Send

# Maximum number of sends listed in the log line of a request.
MAX_LOGGED_SENDS: Final = 12


class SendLog:
    """Collects the failed, unanswered and further sends of a request."""

    def __init__(self) -> None:
        """Initialise without entries."""
        self.entries: list[dict[str, Any]] = []

    def add_unusual(
        self, part: Part, send: Send, outcome: SendOutcome, now: float
    ) -> None:
        """Add a send that has ended if it failed or was a further one."""
        if outcome is not SendOutcome.ANSWERED or part.send_count > 1:
            self._add(part, send, outcome.value, now)

    def add_open(self, parts: Iterable[Part], now: float) -> None:
        """Add the sends of open parts that are in flight."""
        for part in parts:
            if part.closed:
                continue
            for send in part.in_flight:
                self._add(part, send, 'unanswered', now)

    def _add(self, part: Part, send: Send, outcome: str, now: float) -> None:
        """Add one send unless there are too many."""
        if len(self.entries) >= MAX_LOGGED_SENDS:
            return
        self.entries.append(
            {
                'service': part.service,
                'target': send.target.entry.id,
                'via': send.via or DIRECT,
                'outcome': outcome,
                'at_ms': send.started_at,
                'took_ms': round((now - send.started_at) * MS_PER_SECOND, 1),
            },
        )
