"""Delayed actions of one query."""

import heapq
from collections.abc import Callable
from itertools import count

Action = Callable[[float], None]


class Timers:
    """Actions ordered by due time, in seconds on the monotonic clock."""

    def __init__(self) -> None:
        """Initialise without actions."""
        self._heap: list[tuple[float, int, Action]] = []
        self._sequence = count()

    @property
    def next_due_at(self) -> float | None:
        """Due time of the next action, or None without actions."""
        return self._heap[0][0] if self._heap else None

    def schedule(self, due_at: float, action: Action) -> None:
        """Schedule an action."""
        heapq.heappush(self._heap, (due_at, next(self._sequence), action))

    def run_due(self, now: float) -> None:
        """Run the actions that are due."""
        while self._heap and self._heap[0][0] <= now:
            _, _, action = heapq.heappop(self._heap)
            action(now)
