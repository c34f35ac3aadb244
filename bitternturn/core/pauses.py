"""Detection of times in which this process did not run, or was busy."""

import asyncio
import math
import selectors
from collections.abc import Callable
from typing import Any, Final

from bitternturn.core.clock import Clock

# Longer gaps are pauses. A busy process handles events for some tens of
# milliseconds, and one whose processor quota is used up waits up to 100 ms.
MIN_PAUSE_S: Final = 0.3
# Shortest time over which the share of busy time is measured.
LOAD_WINDOW_S: Final = 0.25
# Longest time in which events that are already waiting are returned.
NO_WAIT_S: Final = 0.001


class LoopLoad:
    """Share of its time in which the event loop handles events.

    Unlike the processor time, it includes the time in which other processes have
    the processor.
    """

    __slots__ = ('busy_s', 'measured_at', 'share')

    def __init__(self, *, now: float) -> None:
        """Initialise as idle."""
        self.measured_at = now
        # Busy time since the last measurement.
        self.busy_s: float = 0
        self.share: float = 0

    def read_share(self, now: float) -> float:
        """Return the busy share since the last measurement, from 0 to 1."""
        elapsed_s = now - self.measured_at
        if elapsed_s >= LOAD_WINDOW_S:
            self.share = min(1, self.busy_s / elapsed_s)
            self.measured_at = now
            self.busy_s = 0
        return self.share


class PauseMonitor:
    """Records pauses of the event loop, before the messages after them.

    Guards against acting on what waited during a pause as if it were new:
    requests that are no longer wanted, and timeouts that only passed because
    nothing was handled.
    """

    def __init__(self, *, now: Clock) -> None:
        """Initialise without a pause; `now` includes suspended time."""
        self.now = now
        self.count = 0
        self.ended_at: float | None = None
        self.length_s: float = 0
        self.load = LoopLoad(now=now())
        # When the loop has last collected events.
        self.turn_started_at = math.inf
        # Whether what waited during the pause is still being handled.
        self.settling = False
        # Called with the length of each pause in seconds.
        self.on_pause: Callable[[float], None] | None = None

    def record_gap(self, gap_s: float, now: float) -> None:
        """Record a time in which no event was handled, if it is a pause."""
        if gap_s < MIN_PAUSE_S:
            return
        self.count += 1
        self.ended_at = now
        self.length_s = gap_s
        self.settling = True
        if self.on_pause is not None:
            self.on_pause(gap_s)

    def record_idle(self) -> None:
        """Record that none of the events that waited during a pause is left."""
        self.settling = False

    def message_age_s(self, now: float) -> float:
        """Return the greatest possible age of a message that is read now."""
        # The pause may be in the current turn, after events were collected.
        turn_s = now - self.turn_started_at
        age_s = turn_s if turn_s >= MIN_PAUSE_S else 0
        return max(age_s, self.length_s if self.settling else 0)

    def paused_since(self, started_at: float) -> bool:
        """Return whether the process was paused after a time."""
        return self.ended_at is not None and self.ended_at >= started_at


class PauseAwareSelector(selectors.DefaultSelector):
    """Selector of an event loop that measures how long the loop stood still."""

    def __init__(self, *, monitor: PauseMonitor) -> None:
        """Initialise with the monitor to report to."""
        super().__init__()
        self.monitor = monitor
        monitor.turn_started_at = monitor.now()

    def select(self, timeout: float | None = None) -> Any:
        """Wait for events; report how long none was handled beyond that."""
        called_at = self.monitor.now()
        turn_s = called_at - self.monitor.turn_started_at
        self.monitor.load.busy_s += turn_s
        self.monitor.record_gap(turn_s, called_at)
        events = super().select(timeout)
        returned_at = self.monitor.now()
        self.monitor.turn_started_at = returned_at
        waited_s = returned_at - called_at
        if not events or waited_s > NO_WAIT_S:
            self.monitor.record_idle()
        if timeout is not None:
            self.monitor.record_gap(waited_s - max(0, timeout), returned_at)
        return events


def make_pause_aware_loop(
    monitor: PauseMonitor,
) -> asyncio.SelectorEventLoop:
    """Return an event loop that reports its pauses to a monitor."""
    return asyncio.SelectorEventLoop(PauseAwareSelector(monitor=monitor))
