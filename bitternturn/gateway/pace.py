"""Pace of the targets of an instance: what starts it, and what is reported."""

from collections.abc import Collection, Iterable, Mapping, Sequence
from operator import attrgetter
from typing import TYPE_CHECKING, Final

from bitternturn.core.ids import ServiceName
from bitternturn.gateway.decision_log import DecisionLog
from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.gateway.models import SendOutcome, TargetEntry, TargetLife
from bitternturn.gateway.send import Send
from bitternturn.policy.pace import (
    LATE_RATIO,
    MIN_STEP_S,
    PaceCause,
    PaceChange,
    TargetPace,
    find_open_targets,
)
from bitternturn.policy.rendezvous import hash_share

if TYPE_CHECKING:
    from bitternturn.gateway.target import Target

# Outcomes by which an overloaded target shows that it gets too much.
FLOOD_OUTCOMES = frozenset(
    (
        SendOutcome.NOT_RUN,
        SendOutcome.LOST,
        SendOutcome.UNREACHABLE,
        SendOutcome.DECLINED,
    )
)
# Share of the targets of a service that are not limited because of pauses, limits
# or failures: such events at most targets mean that the load is too high.
MIN_UNLIMITED_SHARE: Final = 0.5
# Causes for which all targets of a service may be limited at the same time: such
# targets do not bear their load, however much there is. The other causes also
# occur while all targets are overloaded, when limits would only move the load.
UNCONDITIONAL_CAUSES = frozenset(
    (PaceCause.NEW, PaceCause.COLD, PaceCause.RETURN)
)
# Returns the pace of a target.
PACE = attrgetter('pace')


class TargetPaces:
    """Starts and reports the pace of targets, and applies it to the selection."""

    def __init__(
        self,
        *,
        own_name: str,
        decisions: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        """Initialise without targets."""
        self.own_name = own_name
        self.decisions = decisions
        self.metrics = metrics
        # Targets that new requests may use.
        self.ready: dict[ServiceName, Sequence[Target]] = {}
        # Those of them that are limited, so that the selection costs nothing more
        # while there are none.
        self.limited: set[Target] = set()
        # Lives of targets that have been ready.
        self.seen: set[TargetLife] = set()

    def make(self, entry: TargetEntry) -> TargetPace:
        """Return the pace of a target, which is not limited."""
        return TargetPace(first_credit=hash_share(entry.id, self.own_name))

    @property
    def lowest_share(self) -> float:
        """Lowest share of a target, 1 if none is limited."""
        return min((target.pace.share for target in self.limited), default=1)

    def update_ready(
        self, changed: Mapping[ServiceName, Sequence['Target']], now: float
    ) -> None:
        """Limit targets that have become ready beside others of their service.

        `changed` are the targets of the services that were assigned again.
        Without others there is nothing to compare with, as at the start of this
        instance or after the loss of all entries.
        """
        for service, targets in changed.items():
            served = set(self.ready.pop(service, ()))
            if targets:
                self.ready[service] = targets
            self.limited.difference_update(served)
            for target in targets:
                if target not in served:
                    self._handle_ready(target, beside=served, now=now)
                if target.pace.limited:
                    self.limited.add(target)

    def _handle_ready(
        self, target: 'Target', *, beside: Collection['Target'], now: float
    ) -> None:
        """Limit a target that has become ready beside others."""
        life = target.entry.life
        if beside:
            returned = life in self.seen
            cause = PaceCause.RETURN if returned else PaceCause.NEW
            self.start(target, cause, now)
        self.seen.add(life)

    def forget(self, lives: Iterable[TargetLife]) -> None:
        """Forget lives that are no longer listed."""
        self.seen.difference_update(lives)

    def start(self, target: 'Target', cause: PaceCause, now: float) -> None:
        """Limit a target that has started or returned."""
        if not self._may_limit(target, cause):
            return
        change = target.pace.start(cause, now)
        if target in self.ready.get(target.entry.service, ()):
            self.limited.add(target)
        if change is not None:
            self._report(target, change)

    def record_outcome(
        self, send: Send, outcome: SendOutcome, latency_s: float, now: float
    ) -> None:
        """Record what the end of a send shows of the pace of its target."""
        target = send.target
        if target.pace.share >= 1:
            if target.record.is_ejected(now):
                self.start(target, PaceCause.FAILURES, now)
            return
        ratio = latency_s / send.latency_estimate.mean_s
        aborted = outcome is SendOutcome.LOST and send.aborted
        change = None
        if outcome is SendOutcome.ANSWERED:
            change = target.pace.record_answer(
                ratio, started_at=send.started_at, now=now
            )
        elif ratio > LATE_RATIO if aborted else outcome in FLOOD_OUTCOMES:
            change = target.pace.record_flooding(
                started_at=send.started_at, now=now
            )
        if change is not None:
            self._report(target, change)

    def limits_any(self, targets: Iterable['Target']) -> bool:
        """Return whether any of some targets is limited."""
        return bool(self.limited) and not self.limited.isdisjoint(targets)

    def find_open(
        self,
        targets: Sequence['Target'],
        now: float,
    ) -> Sequence['Target']:
        """Return the usable targets to which a request is within their shares."""
        for target in targets:
            pace = target.pace
            may_change = target.sends or now - pace.stepped_at >= MIN_STEP_S
            if pace.share < 1 and may_change:
                self._update(target, now)
        return find_open_targets(targets, get_pace=PACE)

    def _update(self, target: 'Target', now: float) -> None:
        """Record sends that are late already, or take a step that is due.

        The answers to delegated sends are reported together, so that the time
        without a report says nothing.
        """
        late_at = None
        if len(target.sends) > len(target.delegated):
            late_at = min(
                (
                    send.started_at
                    for send in target.sends - target.delegated
                    if now - send.started_at
                    > LATE_RATIO * send.latency_estimate.mean_s
                ),
                default=None,
            )
        if late_at is not None:
            change = target.pace.record_flooding(started_at=late_at, now=now)
        else:
            change = target.pace.step(now)
        if change is not None:
            self._report(target, change)

    def _may_limit(self, target: 'Target', cause: PaceCause) -> bool:
        """Return whether other targets can take what a target does not get."""
        peers = self.ready.get(target.entry.service, ())
        if target.pace.limited or cause in UNCONDITIONAL_CAUSES:
            return True
        open_count = sum(
            not peer.pace.limited for peer in peers if peer is not target
        )
        return open_count > 0 and open_count >= MIN_UNLIMITED_SHARE * len(peers)

    def _report(self, target: 'Target', change: PaceChange) -> None:
        """Log and count a change."""
        if change is PaceChange.COMPLETED:
            self.limited.discard(target)
        pace = target.pace
        self.metrics.increment(
            'pace_changes', change=change.value, cause=pace.cause.value
        )
        self.decisions.write(
            'target_pace',
            target=target.entry.id,
            service=target.entry.service,
            change=change.value,
            cause=pace.cause.value,
            share=round(pace.share, 3),
            latency_ratio=None if pace.ratio is None else round(pace.ratio, 2),
            falls=pace.fall_count,
        )
