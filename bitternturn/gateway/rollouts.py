"""Roll-outs at one instance: permits, counts of answers, phases of orders."""

import math
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from bitternturn.core.ids import FailureDomain, ServiceName
from bitternturn.gateway.decision_log import DecisionLog
from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.gateway.models import (
    RolloutBounds,
    SendOutcome,
    TargetEntry,
)
from bitternturn.gateway.send_results import is_fault_of_link
from bitternturn.policy.rendezvous import hash_share
from bitternturn.policy.rollout import (
    OrderState,
    OrderStatus,
    Phase,
    RolloutOrder,
    VersionRole,
    VersionRules,
)
from bitternturn.policy.rollout_counts import (
    Cell,
    CellKey,
    TargetTally,
    describe_cells,
    merge_cells,
)
from bitternturn.policy.rollout_evidence import (
    EvidenceJudge,
    Judgement,
    count_failures,
    count_ignored,
)
from bitternturn.policy.rollout_exposure import (
    CHOICE_MARGIN,
    ExposureBudget,
    has_random_rounding,
    initial_permits,
)

if TYPE_CHECKING:
    from bitternturn.gateway.send import Send
    from bitternturn.gateway.target import Target

# Outcomes that show something of the version: answers, and connections that
# ended without one.
VERSION_OUTCOMES: Final = frozenset(
    (SendOutcome.ANSWERED, SendOutcome.FAILED, SendOutcome.LOST)
)
# Targets of the version that a report names, which bounds its size.
MAX_TARGETS: Final = 8
# Time without a belief of a collector after which an instance judges by its own
# counts: several report intervals.
UNSUPERVISED_S: Final = 4.0
# Time after a pause of this process until it concludes anything: until it has
# got new reports.
PAUSE_SETTLE_S: Final = 2.0

# Size of the random number of a process.
LIFE_BITS: Final = 48

# Name of an instance and number of its process.
SenderKey = tuple[str, int]


@dataclass(slots=True)
class SenderReport:
    """Cumulative counts of one process about one order."""

    cells: dict[CellKey, Cell] = field(default_factory=dict)
    # Some targets of the version.
    targets: dict[str, TargetTally] = field(default_factory=dict)
    phase: Phase = Phase.ACTIVE
    # Requests in flight at other versions that may run only once.
    busy: int = 0
    # Time of the last report.
    reported_at: float = -math.inf

    def answers(self) -> int:
        """Return the number of answers, which only grows."""
        return sum(
            cell.candidate.answers + cell.baseline.answers
            for cell in self.cells.values()
        )


class RolloutProgress:
    """Order of one service with the counts of all senders."""

    def __init__(
        self,
        state: OrderState,
        *,
        own: SenderKey,
        share: float,
        rounding: float,
    ) -> None:
        """Initialise with the share of this instance in the exposure."""
        self.state = state
        self.budget = ExposureBudget(share=share, rounding=rounding)
        # Counts for the choice of targets to which delegates send.
        self.choices = ExposureBudget(
            share=share * CHOICE_MARGIN, rounding=rounding
        )
        # Whether this instance has initial permits.
        self.has_initial = False
        self.own = SenderReport()
        self.own_key = own
        self.reports: dict[SenderKey, SenderReport] = {own: self.own}
        self.judge = EvidenceJudge()
        # When a collector has told its belief last, and the failures it knows.
        self.supervised_at = -math.inf
        self.known_failures = 0

    def receive(self, key: SenderKey, report: SenderReport) -> None:
        """Apply a report unless a newer one of the same process is known."""
        known = self.reports.get(key)
        if key == self.own_key or (
            known is not None and report.answers() < known.answers()
        ):
            return
        self.reports[key] = report

    def cells(self) -> dict[CellKey, Cell]:
        """Return the counts of all senders."""
        return merge_cells(it.cells for it in self.reports.values())

    def targets(self) -> dict[str, TargetTally]:
        """Return the counts of targets of the version."""
        total: dict[str, TargetTally] = {}
        for report in self.reports.values():
            for target, tally in report.targets.items():
                known = total.setdefault(target, TargetTally())
                known.answers += tally.answers
                known.failures += tally.failures
        return total

    def is_quiet(self, names: Iterable[str]) -> bool:
        """Return whether some instances have left the old versions."""
        latest: dict[str, SenderReport] = {}
        for (name, _), report in self.reports.items():
            known = latest.get(name)
            if known is None or report.reported_at >= known.reported_at:
                latest[name] = report
        return all(
            name in latest
            and latest[name].phase >= Phase.SWITCHING
            and not latest[name].busy
            for name in names
        )


class Rollouts:
    """Orders of all services and what they mean for sends."""

    def __init__(
        self,
        *,
        own_name: str,
        own_domain: FailureDomain,
        bounds: RolloutBounds,
        decisions: DecisionLog,
        metrics: GatewayMetrics,
        rng: random.Random,
        now: Callable[[], float],
        first_start: bool,
    ) -> None:
        """Initialise without orders."""
        self.own_name = own_name
        self.own_domain = own_domain
        self.bounds = bounds
        self.decisions = decisions
        self.metrics = metrics
        self.rng = rng
        self.now = now
        # Number that tells this process from earlier ones of the instance.
        self.life = rng.getrandbits(LIFE_BITS) if bounds.enabled else 0
        self.enabled = bounds.enabled
        # Whether the orders have been read.
        self.known = not bounds.enabled
        self.first_start = first_start
        self.names: Sequence[str] = (own_name,)
        self.rules: dict[ServiceName, VersionRules] = {}
        self.progress: dict[ServiceName, RolloutProgress] = {}
        self.roles: dict[ServiceName, Mapping[str, VersionRole]] = {}
        self.ready_targets: Counter[tuple[ServiceName, str]] = Counter()
        # Called after a change of roles, and of a phase.
        self.on_roles: Callable[[], None] = _ignore
        self.on_phase: Callable[[RolloutProgress], None] = _ignore_progress

    # Orders

    def replace_orders(
        self, orders: Mapping[ServiceName, RolloutOrder]
    ) -> None:
        """Apply all orders of a list."""
        for service in self.progress.keys() - orders.keys():
            self.remove_order(service)
        for order in orders.values():
            self.apply_order(order)
        self.known = True

    def apply_order(self, order: RolloutOrder) -> None:
        """Apply a new order, or the change of a known one."""
        now = self.now()
        progress = self.progress.get(order.service)
        if progress is None or progress.state.order.version != order.version:
            self._begin(order, now)
            return
        state = progress.state
        state.order = order
        if state.apply_status(order.status, now):
            self._handle_phase(progress)

    def _begin(self, order: RolloutOrder, now: float) -> None:
        """Begin to follow an order."""
        rules = self.rules.setdefault(order.service, VersionRules())
        seen_begin = self.known or self.first_start
        state = OrderState(order, now=now, seen_begin=seen_begin)
        again = order.version in rules.rejected
        rules.replace_order(state)
        self.progress[order.service] = RolloutProgress(
            state,
            own=(self.own_name, self.life),
            share=self.bounds.canary_share,
            rounding=self._rounding(),
        )
        self.progress[order.service].has_initial = seen_begin and not again
        self._release(self.progress[order.service], now)
        self.decisions.write(
            'rollout',
            service=order.service,
            version=order.version,
            duration_s=order.duration_s,
            phase=state.phase.name.lower(),
            status=order.status.value if order.status else None,
            seen_begin=seen_begin,
        )
        self.on_roles()

    def _rounding(self) -> float:
        """Return the rounding of the share of this instance."""
        slack = self.bounds.canary_slack
        random = has_random_rounding(slack, len(self.names))
        return self.rng.random() if random else 0

    def _release(self, progress: RolloutProgress, now: float) -> None:
        """Update the initial permits, which are released over time."""
        if not progress.has_initial:
            return
        state = progress.state
        order = state.order
        evidence_s = max(1, state.switch_at - state.started_at)
        permits = initial_permits(
            self.bounds.canary_slack,
            instances=len(self.names),
            rank=self.rank(order.service, order.version, self.names),
            elapsed_part=(now - state.started_at) / evidence_s,
        )
        progress.budget.initial = progress.choices.initial = permits

    def rank(
        self, service: ServiceName, version: str, names: Iterable[str]
    ) -> int:
        """Return the rank of this instance among some for an order."""
        key = f'{service}/{version}'
        own_hash = hash_share(key, self.own_name)
        return sum(hash_share(key, name) > own_hash for name in names)

    def remove_order(self, service: ServiceName) -> None:
        """Withdraw the order of a service."""
        progress = self.progress.pop(service, None)
        if progress is None:
            return
        self.rules[service].replace_order(None)
        self.decisions.write(
            'rollout_removed',
            service=service,
            version=progress.state.order.version,
            phase=progress.state.phase.name.lower(),
        )
        self.on_roles()

    # Roles of versions

    def keep_usable(
        self, ready: Mapping[ServiceName, Sequence[TargetEntry]]
    ) -> dict[ServiceName, Sequence[TargetEntry]]:
        """Return the ready targets whose version may be used."""
        if not self.enabled:
            return dict(ready)
        now = self.now()
        usable: dict[ServiceName, Sequence[TargetEntry]] = {}
        self.ready_targets = Counter(
            (service, entry.version)
            for service, entries in ready.items()
            for entry in entries
        )
        for service, entries in ready.items():
            versions = {entry.version for entry in entries}
            rules = self.rules.setdefault(service, VersionRules())
            rules.observe(versions, now)
            rules.conclude()
            self.roles[service] = rules.roles(versions, now)
            usable[service] = [
                entry for entry in entries if self.may_use(entry)
            ]
        return usable

    def may_use(self, entry: TargetEntry) -> bool:
        """Return whether a target gets any requests."""
        return self.role(entry) is not VersionRole.BLOCKED

    def role(self, entry: TargetEntry) -> VersionRole:
        """Return which requests a target gets."""
        roles = self.roles.get(entry.service)
        if roles is None:
            return VersionRole.NORMAL
        return roles.get(entry.version, VersionRole.NORMAL)

    def split(
        self, service: ServiceName, entries: Sequence[TargetEntry]
    ) -> list[Sequence[TargetEntry]]:
        """Split ready targets into those with the same role."""
        progress = self.progress.get(service)
        if progress is None or progress.state.phase is not Phase.ACTIVE:
            return [entries]
        version = progress.state.order.version
        groups = (
            [entry for entry in entries if entry.version != version],
            [entry for entry in entries if entry.version == version],
        )
        return [group for group in groups if group] or [()]

    def settle(self, since: float, now: float) -> None:
        """Use the versions that were held back until a time after `since`."""
        if any(rules.ends_hold(since, now) for rules in self.rules.values()):
            self.on_roles()

    # Sends

    def order_targets(
        self,
        service: ServiceName,
        lists: Sequence[Sequence['Target']],
        *,
        first: bool,
        wide: bool,
    ) -> Iterable[Sequence['Target']]:
        """Return lists of targets in the order in which they are tried.

        Only a `first` send goes to the version under test if others are left.
        """
        progress = self.progress.get(service)
        if progress is None or progress.state.phase is not Phase.ACTIVE:
            return lists
        version = progress.state.order.version
        old = [_with_version(it, version, same=False) for it in lists]
        budget = progress.choices if wide else progress.budget
        if not budget.allows():
            return old
        new = [_with_version(it, version, same=True) for it in lists]
        return [*new, *old] if first else [*old, *new]

    def record_choice(self, send: 'Send') -> None:
        """Count the choice of a target to which a delegate may send."""
        progress = self.progress.get(send.target.entry.service)
        if progress is not None:
            progress.choices.record(
                canary=self._is_candidate(progress, send),
                counted=not send.is_further,
            )

    def admits(self, send: 'Send') -> bool:
        """Return whether a send may be written; take a permit for it."""
        if not self.enabled:
            return True
        entry = send.target.entry
        role = self.role(entry)
        if role is VersionRole.BLOCKED:
            return False
        progress = self.progress.get(entry.service)
        if progress is None or send.exposure is not None:
            return True
        canary = self._is_candidate(progress, send)
        limited = canary and role is VersionRole.CANARY
        if limited and not progress.budget.allows():
            self.metrics.increment('canary_rejections', service=entry.service)
            return False
        progress.budget.record(canary=canary, counted=not send.is_further)
        if canary:
            self.metrics.increment('canary_requests', service=entry.service)
        send.exposure = progress.budget
        return True

    def withdraw(self, send: 'Send') -> None:
        """Return the permit of a send of which nothing was written."""
        budget = send.exposure
        if budget is None or send.connection is not None:
            return
        send.exposure = None
        progress = self.progress.get(send.target.entry.service)
        if progress is not None and progress.budget is budget:
            budget.withdraw(
                canary=self._is_candidate(progress, send),
                counted=not send.is_further,
            )

    def _is_candidate(self, progress: RolloutProgress, send: 'Send') -> bool:
        """Return whether a send goes to the version under test."""
        return send.target.entry.version == progress.state.order.version

    def record_end(
        self, send: 'Send', outcome: SendOutcome, latency_s: float
    ) -> None:
        """Count the answer to a send that this instance has chosen."""
        progress = self.progress.get(send.target.entry.service)
        if progress is None or send.for_peer:
            return
        if outcome not in VERSION_OUTCOMES or is_fault_of_link(send, outcome):
            return
        entry = send.target.entry
        failed = outcome is not SendOutcome.ANSWERED and not send.aborted
        log_ratio = None
        warm = self.now() >= send.target.cold_until
        if not failed and warm and latency_s > 0:
            log_ratio = math.log(latency_s / send.latency_estimate.mean_s)
        key = CellKey(send.route, entry.failure_domain == self.own_domain)
        cell = progress.own.cells.setdefault(key, Cell())
        canary = self._is_candidate(progress, send)
        tally = cell.candidate if canary else cell.baseline
        tally.record(failed=failed, log_ratio=log_ratio)
        if canary:
            _record_target(progress.own.targets, entry.id, failed=failed)
        if failed:
            self.metrics.increment(
                'rollout_failures', service=entry.service, version=entry.version
            )

    # Phases

    def step(
        self, progress: RolloutProgress, now: float, *, collector: bool
    ) -> None:
        """Judge the evidence of an order that is not concluded."""
        self._release(progress, now)
        state = progress.state
        unsupervised = now - progress.supervised_at >= UNSUPERVISED_S
        if state.phase > Phase.SWITCHING or not (collector or unsupervised):
            self._check_failures(progress, now)
            return
        cells = progress.cells()
        version = state.order.version
        targets = self.ready_targets[(state.order.service, version)]
        ignored = count_ignored(progress.targets())
        open_phase = state.phase is Phase.ACTIVE
        judgement = progress.judge.step(
            cells, now, ignored=ignored, switched=not open_phase
        )
        due = open_phase and now >= state.switch_at
        if due and judgement is Judgement.OPEN:
            judgement = progress.judge.judge_finally(cells, ignored=ignored)
        if state.apply_judgement(
            judgement, now, may_switch=collector and targets > 0
        ):
            self._handle_phase(progress, spread=True)

    def _check_failures(self, progress: RolloutProgress, now: float) -> None:
        """Stop using a version after too many failures that are known."""
        known = max(progress.known_failures, count_failures(progress.cells()))
        if known >= self.bounds.max_failures and (
            progress.state.apply_judgement(
                Judgement.FAILING, now, may_switch=False
            )
        ):
            self._handle_phase(progress, spread=True)

    def apply_belief(
        self,
        service: ServiceName,
        version: str,
        *,
        phase: Phase,
        reason: str,
        age_s: float | None,
        failures: int,
    ) -> None:
        """Apply what a collector believes of an order."""
        progress = self.progress.get(service)
        if progress is None or progress.state.order.version != version:
            return
        now = self.now()
        progress.supervised_at = now
        progress.known_failures = max(progress.known_failures, failures)
        if age_s is not None:
            progress.state.apply_age(age_s, now)
        if progress.state.apply_belief(phase, reason, now):
            self._handle_phase(progress)

    def _handle_phase(
        self, progress: RolloutProgress, *, spread: bool = False
    ) -> None:
        """Log a change of phase with its evidence, and apply it.

        `spread` is whether other instances do not know it yet.
        """
        state = progress.state
        self.decisions.write(
            'rollout_phase',
            service=state.order.service,
            version=state.order.version,
            phase=state.phase.name.lower(),
            reason=state.reason,
            route=progress.judge.route,
            left_s=round(state.deadline - self.now(), 1),
            **describe_cells(progress.cells()),
        )
        self.metrics.increment(
            'rollout_phases',
            service=state.order.service,
            phase=state.phase.name.lower(),
        )
        self.rules[state.order.service].conclude()
        self.on_roles()
        if spread:
            self.on_phase(progress)

    def wanted_status(
        self, progress: RolloutProgress, names: Collection[str], now: float
    ) -> OrderStatus | None:
        """Return the status to write for an order, None if it is there.

        `names` are the instances that have to leave the old versions first.
        """
        state = progress.state
        wanted = state.wanted_status(now, quiet=progress.is_quiet(names))
        return None if wanted is state.order.status else wanted


def _record_target(
    targets: dict[str, TargetTally], name: str, *, failed: bool
) -> None:
    """Count an answer of a target, unless too many are counted."""
    if name in targets or len(targets) < MAX_TARGETS:
        tally = targets.setdefault(name, TargetTally())
        tally.answers += 1
        tally.failures += failed


def _with_version(
    targets: Sequence['Target'], version: str, *, same: bool
) -> Sequence['Target']:
    """Return the targets with, or without, a version."""
    return [it for it in targets if (it.entry.version == version) is same]


def _ignore() -> None:
    """Do nothing: no targets are known."""


def _ignore_progress(progress: RolloutProgress) -> None:
    """Do nothing: there is no other instance to notify."""
