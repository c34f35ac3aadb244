"""Pool of targets: selection, shares of their limits, retry budgets."""

import asyncio
import random
from collections.abc import Callable, Collection, Sequence
from functools import partial
from operator import attrgetter

from bitternturn.core.clock import boot_time
from bitternturn.core.ids import ServiceName, TargetId
from bitternturn.core.pauses import PauseMonitor
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway import const
from bitternturn.gateway.announcements import Announcements
from bitternturn.gateway.crash_suspects import CrashSuspects
from bitternturn.gateway.decision_log import DecisionLog
from bitternturn.gateway.dispatcher import DirectSender, Sender
from bitternturn.gateway.fleet_changes import AssignmentTerms, Changes
from bitternturn.gateway.fleet_domains import FleetDomains
from bitternturn.gateway.fleet_state import FleetState
from bitternturn.gateway.links import DomainLink, TargetLinks
from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.gateway.models import (
    REPLY_OUTCOMES,
    CallerRequest,
    InstanceSettings,
    SendOutcome,
    TargetEntry,
    TargetState,
)
from bitternturn.gateway.pace import TargetPaces
from bitternturn.gateway.rate_limits import RateLimits
from bitternturn.gateway.rollouts import Rollouts
from bitternturn.gateway.send import Send
from bitternturn.gateway.send_reporting import (
    record_lost_send,
    record_send_end,
)
from bitternturn.gateway.target import Target, TargetHooks
from bitternturn.gateway.target_assignments import TargetAssignments
from bitternturn.gateway.wire import Wire
from bitternturn.gateway.work_log import Step, StepTimer
from bitternturn.http.response_size import BodyBuffers
from bitternturn.policy.further_send_budget import (
    FurtherSendBudget,
    instance_slack,
)
from bitternturn.policy.pace import PaceCause
from bitternturn.policy.target_pauses import (
    MAX_PAUSE_S,
    choose_return_at,
    find_soonest_return,
    spread_return,
)
from bitternturn.policy.target_selection import choose_target
from bitternturn.policy.unresponsive_targets import UnresponsiveTargets

OutcomeRecorder = Callable[[Send, SendOutcome, float], None]
SponsorDecision = Callable[[TargetEntry, float], bool]

# Lowest random factor on the cost of targets, and the range of factors. They
# spread the sends over targets of equal cost.
MIN_COST_FACTOR = 0.9
COST_FACTOR_RANGE = 0.2
# Returns the rank of a target's failure domain.
RANK = attrgetter('link.rank')


class TargetPool:
    """Targets that an instance knows, with their limits and retry budgets."""

    # Returns the current time in seconds, including suspended time.
    now = staticmethod(boot_time)

    def __init__(
        self,
        *,
        settings: InstanceSettings,
        wire: Wire,
        decisions: DecisionLog,
        rng: random.Random,
        on_outcome: OutcomeRecorder,
    ) -> None:
        """Initialise an empty pool.

        `on_outcome` is called with each send, its outcome and latency, if they
        show its target.
        """
        self.settings = settings
        self.wire = wire
        self.rng = rng
        self.tasks = TaskSet()
        self.pauses = PauseMonitor(now=self.now)
        self.decisions = decisions
        self.metrics = GatewayMetrics()
        self.fleet_state = FleetState()
        self.answer_buffers = BodyBuffers(
            max_bytes=int(
                settings.memory_mb
                * const.BYTES_PER_MEGABYTE
                * const.ANSWER_MEMORY_SHARE
            ),
        )
        self.sender: Sender = DirectSender()
        # Whether a delegate may allow a further send to a target above the own
        # budget, and whether this instance allows one as the delegate.
        self.find_sponsor: SponsorDecision = sponsor_nothing
        self.sponsor: SponsorDecision = sponsor_nothing
        self.targets: dict[TargetId, Target] = {}
        self.announcements = Announcements()
        self.rate_limits = RateLimits(
            own_name=settings.name,
            decisions=decisions,
            metrics=self.metrics,
            rng=rng,
        )
        self.paces = TargetPaces(
            own_name=settings.name,
            decisions=decisions,
            metrics=self.metrics,
        )
        self.crash_suspects = CrashSuspects(
            decisions=decisions, metrics=self.metrics
        )
        self.links = TargetLinks(
            now=self.now,
            list_entries=lambda: [it.entry for it in self.targets.values()],
            tasks=self.tasks,
            decisions=decisions,
            metrics=self.metrics,
            rng=rng,
        )
        self.links.on_cut_off = self._handle_cut_off
        self.domains = FleetDomains(settings=settings, links=self.links)
        self.target_hooks = TargetHooks(
            now=self.now,
            paused_since=lambda since: self.pauses.paused_since(since),
            is_in_service=partial(_is_in_service, self.fleet_state),
            on_send_end=self._record_send_end,
            on_send_lost=self._record_lost_send,
            on_end=self._handle_target_end,
            on_answer=self._handle_answer,
            crashes_targets=self.crash_suspects.refuses,
            on_leaving=self._handle_leaving,
            on_pause=self._handle_pause,
            on_unread_pause=self._handle_unread_pause,
            make_pace=self.paces.make,
            on_outcome=on_outcome,
            on_limit_lifted=lambda target: self.paces.start(
                target, PaceCause.LIMIT, self.now()
            ),
            rollouts=Rollouts(
                own_name=settings.name,
                own_domain=settings.failure_domain,
                bounds=settings.rollout_bounds,
                decisions=decisions,
                metrics=self.metrics,
                rng=rng,
                now=self.now,
                first_start=settings.first_start,
            ),
        )
        self.rollouts.on_roles = self.refresh_targets
        self.fleet_state.orders_known = self.rollouts.known
        self.assignments = TargetAssignments(
            limits=settings.global_limits,
            targets=self.targets,
            split=self.rollouts.split,
        )
        # Targets of each service that new requests use.
        self.ready = self.assignments.ready
        # Number of instances that share the limits, and the index of this one
        # in the sorted list of their names.
        self.instance_count = max(1, len(settings.failure_domains))
        self.instance_index = 0
        # Services of routes with so many shards that sends are delegated.
        self.wide_services: frozenset[ServiceName] = frozenset()
        self.unresponsive_targets = UnresponsiveTargets()
        self.retry_budgets: dict[ServiceName, FurtherSendBudget] = {}
        # Start of this process; None if the cluster starts for the first time,
        # so that no earlier process can have spent retry budget.
        self.restarted_at = None if settings.first_start else self.now()

    @property
    def delegation_enabled(self) -> bool:
        """Whether sends may be delegated to peers."""
        return not isinstance(self.sender, DirectSender)

    @property
    def rollouts(self) -> Rollouts:
        """Versions that may be used, and the counts of their answers."""
        return self.target_hooks.rollouts

    def update_instances(self, instances: Sequence[str]) -> None:
        """Update the instances that share budgets and limits with this one."""
        self.fleet_state.instances_known = True
        ordered = sorted({*instances, self.settings.name})
        self.rate_limits.update_instances(ordered)
        self.rollouts.names = ordered
        instance_index = ordered.index(self.settings.name)
        if (len(ordered), instance_index) == (
            self.instance_count,
            self.instance_index,
        ):
            return
        self.instance_count = len(ordered)
        self.instance_index = instance_index
        self.decisions.write('instances', count=len(ordered))
        for service, budget in self.retry_budgets.items():
            budget.slack = self._retry_slack(service)
        self.refresh_targets()

    def refresh_targets(self) -> None:
        """Update targets and their assignment from the known entries."""
        with StepTimer(metrics=self.metrics, step=Step.REFRESH):
            entries = self.fleet_state.entries
            terms = self._assignment_terms()
            changes = self.fleet_state.changes.collect(
                entries,
                terms,
                everything=self.rollouts.enabled,
            )
            closed = self._update_targets(changes)
            self.domains.update(changes, entries.values(), terms)
            ready = self.fleet_state.ready_by_service(changes.services)
            self.paces.update_ready(
                self.assignments.update(
                    changes, self.rollouts.keep_usable(ready), terms
                ),
                self.now(),
            )
            # Last, since the sends that end here are retried at once.
            for target in (*closed, *self._list_targets(changes.services)):
                self._reject_unwanted(target)

    def _list_targets(
        self, services: Collection[ServiceName] | None
    ) -> list[Target]:
        """Return the targets of some services, None for all."""
        if services is None:
            return list(self.targets.values())
        known = self.fleet_state.services
        return [
            self.targets[name]
            for service in services
            for name in known.get(service, ())
        ]

    def _assignment_terms(self) -> AssignmentTerms:
        """Return what the assignment of all targets depends on."""
        configuration = self.fleet_state.configuration
        return AssignmentTerms(
            services=configuration.services if configuration else {},
            wide_services=self.wide_services,
            domains_out=self.fleet_state.domains_out,
            instances=self.instance_count,
            position=self.instance_index,
            delegated=self.delegation_enabled,
        )

    def _update_targets(self, changes: Changes) -> list[Target]:
        """Create and update the targets whose entries have changed.

        Returns the targets that were closed.
        """
        entries = self.fleet_state.entries
        closed: list[Target] = []
        for earlier in changes.replaced:
            entry = entries.get(earlier.id)
            if entry is not None and not _is_replaced(earlier, entry):
                continue
            target = self.targets.pop(earlier.id)
            if entry is not None:
                target.end_detector.record_replaced(self.now())
            target.close()
            self.rate_limits.limited.discard(earlier.id)
            closed.append(target)
        for entry in changes.entries:
            self._update_target(entry)
        listed = {entry.life for entry in changes.entries}
        gone = {target.entry.life for target in closed} - listed
        self.announcements.forget_old(gone, self.now())
        self.paces.forget(gone)
        return closed

    def _reject_unwanted(self, target: Target) -> None:
        """End the sends that wait for a target which may not get them."""
        if target.queued and not (
            target.in_service and self.rollouts.may_use(target.entry)
        ):
            target.reject_queued()

    def _update_target(self, entry: TargetEntry) -> None:
        """Create or update one target."""
        target = self.targets.get(entry.id)
        known_cold_s: float = 0
        if target is None:
            target = Target(
                entry=entry,
                wire=self.wire,
                tasks=self.tasks,
                buffers=self.answer_buffers,
                announcement=self.announcements.get(entry.life),
                rate_limits=self.rate_limits,
                link=self.links.get(entry.failure_domain),
                hooks=self.target_hooks,
            )
            self.targets[entry.id] = target
            if target.announcement.rate_limit.per_s is not None:
                self.rate_limits.limited.add(entry.id)
        else:
            known_cold_s = target.entry.cold_remaining_s
        if entry.cold_remaining_s > known_cold_s:
            target.cold_until = self.now() + entry.cold_remaining_s
            self.paces.start(target, PaceCause.COLD, self.now())
        if entry != target.entry:
            target.readmit()
        target.entry = entry
        target.link = self.links.get(entry.failure_domain)

    def _handle_cut_off(self, link: DomainLink) -> None:
        """Let other paths take the sends of a link that is cut off.

        The failures of these sends are not those of the targets.
        """
        targets = [it for it in self.targets.values() if it.link is link]
        self.unresponsive_targets.forget(it.entry.id for it in targets)
        for target in targets:
            target.leave_link()

    def _record_send_end(
        self,
        target: Target,
        outcome: SendOutcome,
        latency_s: float,
        exchange_bytes: int,
    ) -> None:
        """Record the end of a send and displace a misdirected target."""
        record_send_end(
            target,
            outcome,
            latency_s,
            exchange_bytes,
            own_domain=self.settings.failure_domain,
            metrics=self.metrics,
            decisions=self.decisions,
        )
        if outcome is SendOutcome.MISDIRECTED:
            target.end_detector.record_replaced(self.now())
            self.displace(target)
        elif outcome is SendOutcome.UNREACHABLE and target.link.usable:
            self.unresponsive_targets.record_unanswered(
                [target.entry.id], self.now()
            )
        elif outcome in REPLY_OUTCOMES:
            self.unresponsive_targets.record_answer(target.entry.id)

    def _record_lost_send(self, send: Send, error: str) -> None:
        """Log a send whose connection ended without an answer."""
        record_lost_send(send, error, decisions=self.decisions)

    def _handle_target_end(
        self,
        entry: TargetEntry,
        callers: Sequence[CallerRequest],
        ended_at: float,
    ) -> None:
        """Record the end of a target with some requests under way."""
        self.crash_suspects.record_end(
            entry, callers, ended_at=ended_at, now=self.now()
        )

    def _handle_answer(self, send: Send) -> None:
        """Record that a target has answered a request."""
        self.crash_suspects.record_answer(
            send.caller, send.target.entry.service, self.now()
        )

    def _handle_leaving(self, target: Target) -> None:
        """Stop using a target that has announced that it leaves."""
        self.announcements.sources.add(target.entry.id)
        self.decisions.write(
            'target_leaving',
            target=target.entry.id,
            service=target.entry.service,
        )
        self.fleet_state.changes.mark(target.entry.service)
        self.refresh_targets()

    def _handle_pause(self, target: Target, pause_s: float) -> None:
        """Do not use a target for as long as it asks."""
        now = self.now()
        self.announcements.sources.add(target.entry.id)
        until = choose_return_at(pause_s, now=now, uniform=self.rng.uniform)
        was_paused = now < target.announcement.paused_until
        self.announcements.announce_pause(target.announcement, until, now)
        self.paces.start(target, PaceCause.PAUSE, until)
        if was_paused:
            return
        self.decisions.write(
            'target_paused',
            target=target.entry.id,
            service=target.entry.service,
            asked_s=min(pause_s, MAX_PAUSE_S),
            until_s=round(until - now, 3),
        )

    def _handle_unread_pause(self, target: Target) -> None:
        """Log, once per target, a pause whose length can't be read."""
        if not target.announcement.unread:
            target.announcement.unread = True
            self.decisions.write(
                'pause_unread',
                target=target.entry.id,
                service=target.entry.service,
            )

    def return_delay_s(
        self, services: Sequence[ServiceName], min_services: int, now: float
    ) -> float:
        """Return after how long enough services have a target, 0 if they do.

        Waits for permits are spread over the callers; those for the end of a
        pause are already spread over the instances.
        """
        if (
            now >= self.announcements.pauses_end_at
            and not self.rate_limits.limited
        ):
            return 0
        wait_s = self._wanted_at(services, min_services, now) - now
        if now < self.announcements.pauses_end_at:
            return wait_s
        return spread_return(wait_s, uniform=self.rng.uniform)

    def _wanted_at(
        self, services: Sequence[ServiceName], min_services: int, now: float
    ) -> float:
        """Return when enough services have a target that wants requests."""
        returns = [
            min(
                target.next_send_at(now)
                for target in (
                    *self.ready[service],
                    *self.assignments.standby.get(service, ()),
                )
            )
            for service in services
            if self.ready.get(service)
        ]
        return find_soonest_return(returns, needed=min_services) or now

    def displace(self, target: Target) -> None:
        """Exclude a target whose address another target has taken over.

        The new target counts each misdirected request as a retry, so the
        exclusion lasts one window of the retry budget. Status 421 may also be
        a fault of the target itself, so it is tried again afterwards.
        """
        if target.displaced:
            return
        target.displacement = asyncio.get_running_loop().call_later(
            self.settings.global_limits.retry_window_s,
            self._readmit,
            target,
        )
        self.fleet_state.changes.mark(target.entry.service)
        self.refresh_targets()

    def _readmit(self, target: Target) -> None:
        """End the exclusion of a displaced target."""
        target.readmit()
        self.fleet_state.changes.mark(target.entry.service)
        self.refresh_targets()

    def _retry_slack(self, service: ServiceName) -> float:
        """Return this instance's share of the retry budget's fixed part."""
        return instance_slack(
            self.settings.global_limits.retry_slack,
            instances=self.instance_count,
            delegated=self.delegation_enabled and service in self.wide_services,
        )

    def record_unanswered(self, sends: Sequence[Send], now: float) -> None:
        """Record that targets have not answered a request in time.

        Sends that no peer has confirmed, or whose link is cut off, show nothing
        of their targets.
        """
        self.unresponsive_targets.record_unanswered(
            [
                send.target.entry.id
                for send in sends
                if not send.silent
                and (send.via is not None or send.target.link.usable)
            ],
            now,
        )

    def record_overdue(self, send: Send, now: float) -> None:
        """Record that a send has not been answered within the usual time."""
        if not self.pauses.paused_since(send.started_at):
            usual_s = send.latency_estimate.hedge_delay_s()
            send.link.record_overdue(send.target.entry.id, usual_s, now)

    def can_serve(
        self, services: Sequence[ServiceName], min_services: int
    ) -> bool:
        """Return whether enough services have a responsive target.

        One request in each probe interval is allowed regardless.
        """
        if not self.unresponsive_targets.detected_at:
            return True
        return self.unresponsive_targets.may_serve(
            [
                [target.entry.id for target in self.ready.get(service, ())]
                for service in services
            ],
            min_services=min_services,
            now=self.now(),
        )

    def select_target(
        self,
        service: ServiceName,
        avoided: Sequence[TargetId],
        typical_latency_s: float,
    ) -> Target | None:
        """Return the best assigned target, else the best standby target."""
        for targets in self.rollouts.order_targets(
            service,
            (
                self.ready.get(service, ()),
                self.assignments.standby.get(service, ()),
            ),
            first=not avoided,
            wide=service in self.wide_services,
        ):
            chosen = self._select_among(targets, avoided, typical_latency_s)
            if chosen is not None:
                return chosen
        return None

    def _select_among(
        self,
        targets: Sequence[Target],
        avoided: Sequence[TargetId],
        typical_latency_s: float,
    ) -> Target | None:
        """Return the available target with the lowest expected cost."""
        now = self.now()
        random_share = self.rng.random

        def is_available(target: Target) -> bool:
            """Return whether a target may be chosen."""
            return target.entry.id not in avoided and target.allows_send(now)

        within_limits = None
        if self.rate_limits.limited or self.paces.limits_any(targets):
            within_limits = self._find_within_limits(
                list(filter(is_available, targets)), now
            )
        return choose_target(
            targets if within_limits is None else within_limits,
            rank=RANK,
            describe=lambda target: (
                target.as_candidate(typical_latency_s, now)
                if within_limits is not None or is_available(target)
                else None
            ),
            jitter=lambda: MIN_COST_FACTOR + COST_FACTOR_RANGE * random_share(),
            min_jitter=MIN_COST_FACTOR,
            now=now,
        )

    def _find_within_limits(
        self, available: Sequence[Target], now: float
    ) -> Sequence[Target]:
        """Return the targets to which a send is within their limits, else all.

        A target near its rate limit keeps its permits for parts that have no
        other target.
        """
        within_limits = available
        if self.rate_limits.limited:
            spare = [target for target in available if target.has_spare(now)]
            within_limits = spare or available
        return self.paces.find_open(within_limits, now) or within_limits

    def is_limited(self, service: ServiceName, now: float) -> bool:
        """Return whether rate limits alone keep all targets of a service."""
        wanted = [
            target
            for target in self.ready.get(service, ())
            if target.announcement.allows_send(now)
        ]
        return bool(wanted) and not any(
            target.is_within_rate_limit(now) for target in wanted
        )

    def may_hedge(self, target: Target, now: float) -> bool:
        """Return whether a hedge takes no permit that a first send needs."""
        return target.has_spare(now) or any(
            other.announcement.rate_limit.per_s is None
            for other in self.ready[target.entry.service]
        )

    def start_send(self, send: Send, now: float) -> None:
        """Start a send, directly or through a peer."""
        send.target.cold_send_limit.record_send(now)
        send.target.pace.record_send()
        self.rollouts.record_choice(send)
        self.sender.dispatch(send, now)

    def may_sponsor(self, target: Target, now: float) -> bool:
        """Return whether a delegate may allow a send above the own budget."""
        return self.find_sponsor(target.entry, now)

    def retry_budget(self, service: ServiceName) -> FurtherSendBudget:
        """Return the retry budget of a service, created at its first use."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            global_limits = self.settings.global_limits
            budget = FurtherSendBudget(
                ratio=global_limits.retry_ratio,
                slack=self._retry_slack(service),
                window_s=global_limits.retry_window_s,
                restarted_at=self.restarted_at,
            )
            self.retry_budgets[service] = budget
        return budget


def sponsor_nothing(entry: TargetEntry, now: float) -> bool:
    """Sponsor no further send: without delegation there is no delegate."""
    return False


def _is_in_service(fleet_state: FleetState, entry: TargetEntry) -> bool:
    """Return whether a life of a target may get requests.

    It is listed as ready, and its failure domain is in service. Entries that are
    missing during an outage of the store are still listed.
    """
    known = fleet_state.entries.get(entry.id)
    return (
        known is not None
        and known.state is TargetState.READY
        and known.failure_domain not in fleet_state.domains_out
        and (known is entry or not _is_replaced(entry, known))
    )


def _is_replaced(current: TargetEntry, entry: TargetEntry) -> bool:
    """Return whether an entry has another start, address or service."""
    return (
        current.started_at_ms != entry.started_at_ms
        or current.host != entry.host
        or current.port != entry.port
        or current.service != entry.service
    )
