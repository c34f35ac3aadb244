"""Times at which refused callers are told to return.

Guards against callers that are refused together and return together: with one
constant delay, the overload that refused them repeats itself, and the urgent ones
compete with all others. Returns are booked in slots of time, at most as many in
each as are expected to be answered there.
"""

import math
from collections import Counter, defaultdict
from typing import Final

# Shortest time after which a refused caller returns, in seconds: such load
# usually passes soon.
MIN_RETURN_S: Final = 0.1
# Longest time that is booked, in seconds; bounds the work of a decision.
MAX_RETURN_S: Final = 2.0
# Share of a caller's remaining time above which it ignores the stated time.
MAX_REMAINING_SHARE: Final = 1 / 3
# Length of a slot in seconds: about the time of a few answers.
SLOT_S: Final = 0.02
# Share of the answers that is expected to be available to returning callers. The
# other half goes to requests that arrive for the first time.
RETURN_SHARE: Final = 0.5
# Returns in a slot if nothing was answered of late.
MIN_SLOT_RETURNS: Final = 1
# Period over which answers and refusals are counted, in seconds. The rate is that of the
# current and the previous period.
RATE_PERIOD_S: Final = 0.5


class EventRate:
    """Rate of events in the current and the previous period."""

    __slots__ = ('count', 'period', 'previous_count')

    def __init__(self) -> None:
        """Initialise without events."""
        self.period = 0
        self.count = 0
        self.previous_count = 0

    def record(self, now: float) -> None:
        """Record an event."""
        self._advance(now)
        self.count += 1

    def per_s(self, now: float) -> float:
        """Return the recent events per second."""
        self._advance(now)
        elapsed_s = now - self.period * RATE_PERIOD_S
        return (self.count + self.previous_count) / (RATE_PERIOD_S + elapsed_s)

    def _advance(self, now: float) -> None:
        """Begin the period of a time."""
        period = int(now / RATE_PERIOD_S)
        if period <= self.period:
            return
        follows = period == self.period + 1
        self.previous_count = self.count if follows else 0
        self.count = 0
        self.period = period


class ReturnTimes:
    """Booked returns to the services that some requests share."""

    __slots__ = ('answers', 'booked', 'refusals')

    def __init__(self) -> None:
        """Initialise without answers and returns."""
        self.answers = EventRate()
        # Refusals by priority.
        self.refusals: defaultdict[int, EventRate] = defaultdict(EventRate)
        # Returns per slot, by priority. Slots are numbered from time 0.
        self.booked: dict[int, Counter[int]] = {}

    def record_answer(self, now: float) -> None:
        """Record that a request was answered."""
        self.answers.record(now)

    def book(self, *, priority: int, remaining_s: float, now: float) -> float:
        """Book the return of a refused caller; return the time until then.

        It gets the first slot with room beside the returns that are as urgent or
        more urgent, so that less urgent ones do not delay it. If no slot within
        its bound has room, it gets the one with the fewest of these. It is not
        known which of the later requests are returns, so a booking ends when
        its slot does.
        """
        longest_s = min(MAX_RETURN_S, remaining_s * MAX_REMAINING_SHARE)
        first = int((now + MIN_RETURN_S) / SLOT_S)
        last = max(first, int((now + longest_s) / SLOT_S))
        self._drop_before(first)
        capacity = max(
            MIN_SLOT_RETURNS,
            self.answers.per_s(now) * RETURN_SHARE * SLOT_S,
        )
        urgent_count = self._expect_urgent(priority, now)
        self.refusals[priority].record(now)
        slot, ahead = first, math.inf
        for candidate in range(first, last + 1):
            count = self._count_ahead(candidate, priority, urgent_count)
            if count <= ahead:
                slot, ahead = candidate, count
            if count < capacity:
                break
        self.booked.setdefault(slot, Counter())[priority] += 1
        # Returns are spread within the slot as well.
        offset = min(ahead, capacity) / (capacity + 1)
        return_s = (slot + offset) * SLOT_S - now
        if slot == first:
            return_s = MIN_RETURN_S + offset * SLOT_S
        return max(MIN_RETURN_S, min(return_s, longest_s))

    def _expect_urgent(self, priority: int, now: float) -> float:
        """Return how many more urgent returns a slot is expected to get.

        Those that will be refused until then are not booked yet.
        """
        per_s = sum(
            rate.per_s(now)
            for other, rate in self.refusals.items()
            if other < priority
        )
        return per_s * SLOT_S

    def _count_ahead(
        self, slot: int, priority: int, urgent_count: float
    ) -> float:
        """Return the returns in a slot that are not less urgent.

        `urgent_count` is how many more urgent ones are expected.
        """
        returns = self.booked.get(slot)
        if returns is None:
            return urgent_count
        urgent = sum(
            count for other, count in returns.items() if other < priority
        )
        return returns[priority] + max(urgent, urgent_count)

    def _drop_before(self, first: int) -> None:
        """Drop the slots that no return can be booked in any longer."""
        for slot in [slot for slot in self.booked if slot < first]:
            del self.booked[slot]
