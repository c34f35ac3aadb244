"""Budget of the hedges and retries of one service.

Guards against retry storms while many targets are slow or failing: the hedges
and retries of all instances must not add more load than the budget of the
service, of which each instance uses a share.
"""

from collections import deque
from enum import Enum, unique
from typing import Final

# Safety factor of the share of an instance: requests are spread unevenly over
# the instances, and a restarted one begins with an empty window.
SAFETY_FACTOR: Final = 0.8
# Share of the budget that hedges may use; the rest is reserved for retries.
HEDGE_SHARE: Final = 0.75
# Share of its slack that an instance uses in the first window after a restart.
# What the previous process has sent is unknown; if it was all that the safety
# factor allows, both processes together make up the slack.
RESTART_SLACK_SHARE: Final = 0.25
# Share of the slack of a service that its delegates spend on behalf of other
# instances, and how those of one failure domain divide it by their rank.
DELEGATE_SLACK_SHARE: Final = 0.2
DELEGATE_RANK_SHARES: Final = (0.7, 0.3)
# Steps per sliding window.
STEPS_PER_WINDOW: Final = 20


@unique
class SendReason(Enum):
    """Reason of a further send of a request."""

    HEDGE = 'hedge'
    RETRY = 'retry'


def instance_slack(slack: float, *, instances: int, delegated: bool) -> float:
    """Return the share of each instance in the slack of a service.

    `delegated` is whether delegates spend a part of it.
    """
    own_share = 1 - DELEGATE_SLACK_SHARE if delegated else 1
    return slack * own_share / instances


def delegate_slack(slack: float, *, domains: int, rank: int) -> float:
    """Return the share of a delegate in the slack of a service.

    Guards against hedges that are denied in a large fleet although the budget
    of the service is hardly used: an instance sees few requests, all hedges of
    one request are due at once, and its share allows one hedge per window. The
    delegates of the service see the hedges of all instances.

    `domains` is the number of failure domains with targets of the service,
    `rank` that of the delegate among the instances of its domain.
    """
    if rank >= len(DELEGATE_RANK_SHARES):
        return 0
    share = DELEGATE_SLACK_SHARE * DELEGATE_RANK_SHARES[rank]
    return slack * share / max(1, domains)


class FurtherSendBudget:
    """Sliding-window budget of the further sends of one service.

    Further sends are hedges and retries.
    """

    __slots__ = (
        'further_sends',
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
        """Initialise with an empty window.

        `slack` is the share of this instance in the slack of the service.
        `restarted_at` is the start time of a process that replaced an earlier
        one, or None.
        """
        self.restarted_at = restarted_at
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        # Start time, requests and further sends of each step, oldest first.
        self.steps: deque[tuple[float, int, int]] = deque()
        self.requests = 0
        self.further_sends = 0

    def record_request(self, now: float) -> None:
        """Record the first send of a request."""
        self._add(now, 1, 0)

    def try_spend(self, reason: SendReason, now: float) -> bool:
        """Record a further send and return True if the budget allows it."""
        self._drop_expired(now)
        limit = (
            self.ratio * self.requests + self._current_slack(now)
        ) * SAFETY_FACTOR
        if reason is SendReason.HEDGE:
            limit *= HEDGE_SHARE
        if self.further_sends + 1 > limit:
            return False
        self._add(now, 0, 1)
        return True

    def _current_slack(self, now: float) -> float:
        """Return the current budget on top of the ratio of requests."""
        restarted_at = self.restarted_at
        if restarted_at is None or now - restarted_at >= self.window_s:
            return self.slack
        return self.slack * RESTART_SLACK_SHARE

    def _add(self, now: float, requests: int, further: int) -> None:
        """Add to the counts of the current step."""
        self._drop_expired(now)
        step_s = self.window_s / STEPS_PER_WINDOW
        started_at = now
        if self.steps and now - self.steps[-1][0] < step_s:
            started_at, step_requests, step_further = self.steps.pop()
            self.steps.append(
                (
                    started_at,
                    step_requests + requests,
                    step_further + further,
                ),
            )
        else:
            self.steps.append((started_at, requests, further))
        self.requests += requests
        self.further_sends += further

    def _drop_expired(self, now: float) -> None:
        """Drop the steps that ended before the window."""
        oldest = now - self.window_s * (1 + 1 / STEPS_PER_WINDOW)
        while self.steps and self.steps[0][0] < oldest:
            _, requests, further = self.steps.popleft()
            self.requests -= requests
            self.further_sends -= further
