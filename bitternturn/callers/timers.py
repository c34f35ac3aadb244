"""Actions that a query runs at later times."""

import heapq
from collections.abc import Callable
from itertools import count

Action = Callable[[float], None]


class Timers:
    """Actions ordered by their times, in seconds on the monotonic clock."""

    def __init__(self) -> None:
        """Start with none."""
        self._heap: list[tuple[float, int, Action]] = []
        self._sequence = count()

    @property
    def next(self) -> float | None:
        """Time of the first action; None without one."""
        return self._heap[0][0] if self._heap else None

    def at(self, when: float, action: Action) -> None:
        """Run an action at a time."""
        heapq.heappush(self._heap, (when, next(self._sequence), action))

    def fire(self, now: float) -> None:
        """Run the actions that are due."""
        while self._heap and self._heap[0][0] <= now:
            _, _, action = heapq.heappop(self._heap)
            action(now)
