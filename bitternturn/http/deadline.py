"""Timeout that is restarted often."""

import asyncio
import math
from collections.abc import Callable


class Deadline:
    """Calls back once a timeout has passed.

    A timer that is due earlier is kept and set again when it is due: each
    request restarts the timeout of its connection several times, and setting a
    timer takes about as long as parsing a header.
    """

    __slots__ = ('due_at', 'on_due', 'timer')

    def __init__(self, *, on_due: Callable[[], None]) -> None:
        """Initialise without a timeout."""
        self.on_due = on_due
        # On the clock of the event loop.
        self.due_at = math.inf
        self.timer: asyncio.TimerHandle | None = None

    def start(self, timeout_s: float) -> None:
        """Start or restart the timeout."""
        loop = asyncio.get_running_loop()
        self.due_at = loop.time() + timeout_s
        if self.timer is not None and self.timer.when() > self.due_at:
            self.stop_timer()
        if self.timer is None:
            self.timer = loop.call_at(self.due_at, self._on_timer)

    def clear(self) -> None:
        """Remove the timeout; its timer is kept for the next one."""
        self.due_at = math.inf

    def stop_timer(self) -> None:
        """Cancel the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _on_timer(self) -> None:
        """Call back if the timeout is due, or wait for the rest of it."""
        self.timer = None
        loop = asyncio.get_running_loop()
        if self.due_at <= loop.time():
            self.due_at = math.inf
            self.on_due()
        elif self.due_at < math.inf:
            self.timer = loop.call_at(self.due_at, self._on_timer)
