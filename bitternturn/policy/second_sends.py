"""Share of a budget of further sends that all instances draw on.

Answers the load pattern in which many targets are slow or failing at once:
hedges and retries must not add more load than the budget of the service.
"""

from collections import deque
from enum import Enum, unique
from typing import Final

# Part of an instance's share that it uses: requests spread unevenly over the
# instances and restarted ones start with an empty window.
SAFE_SHARE: Final = 0.8
# Part of that which hedges may use; the rest is kept for retries.
HEDGE_SHARE: Final = 0.75
# Part of its slack that an instance uses in the first window after a restart:
# what the process before it has sent is unknown, and with the whole of that
# share this makes up the slack.
RESTARTED_SHARE: Final = 0.25
# Steps into which a window is cut.
STEPS: Final = 20


@unique
class SendReason(Enum):
    """Why a request is sent once more."""

    HEDGE = 'hedge'
    RETRY = 'retry'


class SecondSends:
    """Counts the requests and the further sends of one service."""

    __slots__ = (
        'further',
        'ratio',
        'requests',
        'restarted_at',
        'slack',
        'steps',
        'window_s',
    )

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_s: float,
        restarted_at: float | None = None,
    ) -> None:
        """Start empty; `slack` is the share of this instance alone.

        `restarted_at` is when the process took the place of one that ended.
        """
        self.restarted_at = restarted_at
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        # Start, requests and further sends of each step, oldest first.
        self.steps: deque[tuple[float, int, int]] = deque()
        self.requests = 0
        self.further = 0

    def note_request(self, now: float) -> None:
        """Count the first send of a request."""
        self._add(now, 1, 0)

    def try_spend(self, reason: SendReason, now: float) -> bool:
        """Count a further send if the budget has room for it."""
        self._forget(now)
        limit = (self.ratio * self.requests + self._slack(now)) * SAFE_SHARE
        if reason is SendReason.HEDGE:
            limit *= HEDGE_SHARE
        if self.further + 1 > limit:
            return False
        self._add(now, 0, 1)
        return True

    def _slack(self, now: float) -> float:
        """Return the part of the budget that does not depend on requests."""
        restarted_at = self.restarted_at
        if restarted_at is None or now - restarted_at >= self.window_s:
            return self.slack
        return self.slack * RESTARTED_SHARE

    def _add(self, now: float, requests: int, further: int) -> None:
        """Add to the present step."""
        self._forget(now)
        step_s = self.window_s / STEPS
        started = now
        if self.steps and now - self.steps[-1][0] < step_s:
            started, earlier_requests, earlier_further = self.steps.pop()
            self.steps.append(
                (
                    started,
                    earlier_requests + requests,
                    earlier_further + further,
                ),
            )
        else:
            self.steps.append((started, requests, further))
        self.requests += requests
        self.further += further

    def _forget(self, now: float) -> None:
        """Drop the steps that ended before the window."""
        oldest = now - self.window_s * (1 + 1 / STEPS)
        while self.steps and self.steps[0][0] < oldest:
            _, requests, further = self.steps.popleft()
            self.requests -= requests
            self.further -= further
