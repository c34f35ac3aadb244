"""Rejection of requests at arrival while targets are overloaded.

Passes the ends of sends and the arrivals to the decision, and reports what was
rejected.
"""

from collections import Counter
from collections.abc import Container, Iterable
from typing import TYPE_CHECKING, Final

from bitternturn.core.ids import ServiceName
from bitternturn.gateway.decision_log import DecisionLog
from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.gateway.models import (
    CallerRequest,
    Route,
    SendOutcome,
    Tenant,
)
from bitternturn.gateway.send import Send
from bitternturn.policy.overload import OverloadControl, Rejection

if TYPE_CHECKING:
    from bitternturn.gateway.target import Target

# Interval of the log lines about rejections, in seconds: a line for each would take
# the time that the requests are to be saved.
LOG_INTERVAL_S: Final = 1.0
# Tenants and services that a log line names.
LOGGED_NAMES: Final = 5
# Priorities from which on requests are counted together.
COUNTED_PRIORITIES: Final = 10


class Overload:
    """Overload of the targets as an instance sees it, and its rejections."""

    def __init__(
        self, *, decisions: DecisionLog, metrics: GatewayMetrics
    ) -> None:
        """Initialise without overload."""
        self.decisions = decisions
        self.metrics = metrics
        self.control = OverloadControl()
        # Whether requests are rejected: callers who compete are told apart only
        # where tenants are configured.
        self.enabled = False
        # Rejections since the last log line.
        self.unlogged: Counter[tuple[Rejection, int, str]] = Counter()
        self.logged_at: float = 0

    def reconfigure(
        self, services: Container[ServiceName], tenants: Iterable[Tenant]
    ) -> None:
        """Apply a new configuration.

        Tenants of one priority share the room by the rates that they are allowed,
        those without a limit like the mean of the others.
        """
        rates = {it.name: it.rate_per_s for it in tenants}
        limited = [rate for rate in rates.values() if rate > 0]
        usual_rate = sum(limited) / len(limited) if limited else 1
        weights = {name: rate or usual_rate for name, rate in rates.items()}
        # Public routes have no tenant.
        weights[''] = usual_rate
        self.control.reconfigure(services, weights)

    def record_outcome(
        self, send: Send, outcome: SendOutcome, latency_s: float, now: float
    ) -> None:
        """Record the end of a send.

        Failures and lost connections do not show that a target has no room, nor
        do sends that have waited for a connection: others may hang on theirs.
        """
        entry = send.target.entry
        if outcome is SendOutcome.ANSWERED:
            load = self.control.loads[entry.service]
            # The answer to a detached send is not that of the request.
            own = not send.for_peer and send.on_end is not None
            load.record_answer(entry.id, latency_s, now, own=own)
        elif outcome is SendOutcome.NOT_RUN:
            if not _rejects_for_own_reason(send.target, now):
                self.control.loads[entry.service].record_shed(entry.id, now)

    def rejects(
        self,
        caller: CallerRequest,
        route: Route,
        services: tuple[ServiceName, ...],
        *,
        remaining_s: float,
        now: float,
    ) -> bool:
        """Return whether to reject a request that arrives; report it."""
        if not self.enabled:
            return False
        rejection = self.control.decide(
            services,
            min_parts=route.min_parts(),
            request_class=(caller.priority, caller.tenant),
            remaining_s=remaining_s,
            now=now,
        )
        if rejection is not None:
            self._report(rejection, caller)
        if self.unlogged and now - self.logged_at >= LOG_INTERVAL_S:
            self._log(now)
        return rejection is not None

    def _report(self, rejection: Rejection, caller: CallerRequest) -> None:
        """Count a rejection."""
        priority = str(caller.priority)
        if caller.priority >= COUNTED_PRIORITIES:
            priority = f'{COUNTED_PRIORITIES}+'
        self.metrics.increment(
            'overload_rejections', reason=rejection.value, priority=priority
        )
        self.unlogged[(rejection, caller.priority, caller.tenant)] += 1

    def _log(self, now: float) -> None:
        """Log the rejections since the last line."""
        reasons: Counter[str] = Counter()
        priorities: Counter[int] = Counter()
        tenants: Counter[str] = Counter()
        for (rejection, priority, tenant), count in self.unlogged.items():
            reasons[rejection.value] += count
            priorities[priority] += count
            tenants[tenant] += count
        named = tenants.most_common(LOGGED_NAMES)
        fullest = sorted(
            self.control.loaded.items(), key=lambda it: it[1].room_share
        )
        self.decisions.write(
            'overload',
            rejected=reasons.total(),
            reasons=reasons,
            priorities=dict(priorities.most_common(LOGGED_NAMES)),
            tenants=dict(named),
            other_tenants=tenants.total() - sum(count for _, count in named),
            loaded=len(fullest),
            room_per_s={
                service: round(load.room_per_s, 1)
                for service, load in fullest[:LOGGED_NAMES]
                if load.overloaded
            },
        )
        self.unlogged.clear()
        self.logged_at = now


def _rejects_for_own_reason(target: 'Target', now: float) -> bool:
    """Return whether a target rejects requests for another reason than load.

    It leaves, has asked for a pause, has named a limit or is cold.
    """
    announcement = target.announcement
    return (
        announcement.leaving
        or now < announcement.paused_until
        or announcement.rate_limit.per_s is not None
        or now < target.cold_until
    )
