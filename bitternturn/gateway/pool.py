"""The targets of an instance, its shares of their limits, and its choice."""

import asyncio
import random
import time
import zlib
from collections.abc import Callable, Sequence

from bitternturn.core.ids import ServiceName, TargetId
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway import const
from bitternturn.gateway.decisions import Decisions
from bitternturn.gateway.knowledge import Knowledge
from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.gateway.models import (
    InstanceSettings,
    Outcome,
    Service,
    TargetEntry,
)
from bitternturn.gateway.reporting import note_send
from bitternturn.gateway.target import Send, Target, start_directly
from bitternturn.gateway.wire import Wire
from bitternturn.policy.second_sends import SecondSends
from bitternturn.policy.silence import SilentTargets
from bitternturn.policy.subsets import (
    connections_each,
    count_usable,
    split_replicas,
)
from bitternturn.policy.target_record import choose_target

# Factors by which the costs of targets vary, so that equal ones take turns.
JITTER = (0.9, 1.1)
# Ends of sends that show that a target answers.
REPLIES = frozenset((Outcome.ANSWERED, Outcome.FAILED, Outcome.NOT_RUN))


class TargetPool:
    """Targets, budgets and what is known of them."""

    def __init__(
        self,
        *,
        settings: InstanceSettings,
        wire: Wire,
        decisions: Decisions,
        rng: random.Random,
    ) -> None:
        """Start with nothing known."""
        self.settings = settings
        self.wire = wire
        self.rng = rng
        self.tasks = TaskSet()
        self.decisions = decisions
        self.metrics = GatewayMetrics()
        self.knowledge = Knowledge()
        self.dispatch: Callable[[Send, float], None] = start_directly
        # Whether peers send for this instance.
        self.delegates = False
        self.targets: dict[TargetId, Target] = {}
        # Targets for new work, and those that are used when these fail.
        self.ready: dict[ServiceName, Sequence[Target]] = {}
        self.standby: dict[ServiceName, Sequence[Target]] = {}
        # How many instances share the limits, and the place of this one.
        self.instances = max(1, len(settings.failure_domains))
        self.position = 0
        # Services of routes over so many shards that peers share the sends.
        self.wide_services: frozenset[ServiceName] = frozenset()
        # Failure domain whose targets are preferred.
        self.near_domain = settings.failure_domain
        self.silent = SilentTargets()
        self.budgets: dict[ServiceName, SecondSends] = {}
        # When this process took the place of one that has ended, if it did.
        self.restarted_at = None if settings.first_start else self.now()

    def now(self) -> float:
        """Return seconds on a clock that also counts suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def set_instances(self, instances: Sequence[str]) -> None:
        """Share the budgets with these instances, this one among them."""
        self.knowledge.instances_known = True
        ordered = sorted({*instances, self.settings.name})
        position = ordered.index(self.settings.name)
        if (len(ordered), position) == (self.instances, self.position):
            return
        self.instances = len(ordered)
        self.position = position
        self.decisions.note('instances', count=len(ordered))
        for budget in self.budgets.values():
            budget.slack = self._slack()
        self.refresh_targets()

    def refresh_targets(self) -> None:
        """Follow what is known of the targets."""
        entries = self.knowledge.entries
        for target_id in list(self.targets):
            entry = entries.get(target_id)
            if entry is None or _moved(self.targets[target_id].entry, entry):
                self.targets.pop(target_id).close()
        for entry in entries.values():
            self._refresh_target(entry)
        self._choose_near()
        self.ready = {}
        self.standby = {}
        for service, ready in self.knowledge.ready_by_service().items():
            reachable = [
                entry for entry in ready if not self.targets[entry.id].displaced
            ]
            self._share_out(service, reachable)

    def _refresh_target(self, entry: TargetEntry) -> None:
        """Make or update one target."""
        target = self.targets.get(entry.id)
        if target is None:
            target = Target(
                entry=entry,
                wire=self.wire,
                tasks=self.tasks,
                now=self.now,
                note=self._note_end,
                near=False,
            )
            self.targets[entry.id] = target
            target.cold_until = self.now() + entry.cold_left_s
        elif entry.cold_left_s > target.entry.cold_left_s:
            target.cold_until = self.now() + entry.cold_left_s
        if entry != target.entry:
            target.readmit()
        target.entry = entry
        target.near = entry.failure_domain == self.near_domain

    def _note_end(
        self,
        target: Target,
        outcome: Outcome,
        latency_s: float,
    ) -> None:
        """Count the end of a send; leave a target alone that has ended."""
        note_send(self, target, outcome, latency_s)
        if outcome is Outcome.MISDIRECTED:
            self.displace(target)
        elif outcome is Outcome.UNREACHABLE:
            self.silent.note_silence([target.entry.id], self.now())
        elif outcome in REPLIES:
            self.silent.note_answer(target.entry.id)

    def displace(self, target: Target) -> None:
        """Leave a target alone for one window of the budget of repeats.

        Each refusal counts as a repeat at the target that has the address. An
        answer of 421 may also be a fault, so that the target is tried again.
        """
        if target.displaced:
            return
        target.displacement = asyncio.get_running_loop().call_later(
            self.settings.bounds.retry_window_s,
            self._readmit,
            target,
        )
        self.refresh_targets()

    def _readmit(self, target: Target) -> None:
        """Let a target be tried again."""
        target.readmit()
        self.refresh_targets()

    def _choose_near(self) -> None:
        """Prefer the own failure domain, or one by turns if it has no targets.

        Only the targets of wide services count.
        """
        domains = {
            entry.failure_domain
            for entry in self.knowledge.entries.values()
            if entry.service in self.wide_services
        }
        own = self.settings.failure_domain
        if own in domains or not domains or not self.delegates:
            self.near_domain = own
        else:
            self.near_domain = sorted(domains)[self.position % len(domains)]

    def _share_out(
        self,
        name: ServiceName,
        ready: Sequence[TargetEntry],
    ) -> None:
        """Choose the targets of a service that this instance connects to."""
        service = self._service(name)
        allowed = service.max_connections if service else 1
        connections = max(1, int(allowed * const.CONNECTION_SHARE))
        ordered = sorted(ready, key=_by_id)
        usable = count_usable(
            replicas=len(ordered),
            instances=self.instances,
            connections=connections,
        )
        mine, others = split_replicas(
            ordered,
            service=name,
            position=self.position,
            usable=usable,
        )
        each = connections_each(
            replicas=len(ordered),
            instances=self.instances,
            usable=usable,
            connections=connections,
        )
        if self.delegates and name in self.wide_services:
            mine, others = ordered, []
            each = _delegate_connections(connections, ordered)
        self.ready[name] = [self.targets[entry.id] for entry in mine]
        self.standby[name] = [self.targets[entry.id] for entry in others]
        bounds = self.settings.bounds
        for target in self.ready[name]:
            target.max_connections = each
        for target in (*self.ready[name], *self.standby[name]):
            target.cold_share.set_limit(
                rate=service.cold_rate if service else 0,
                factor=bounds.cold_factor,
                slack=bounds.cold_slack,
                instances=self.instances,
                rank=self._rank_at(target.entry.id),
            )

    def _rank_at(self, target: TargetId) -> int:
        """Return the place of this instance among all for a target."""
        offset = zlib.crc32(target.encode())
        return (self.position + offset) % self.instances

    def _service(self, name: ServiceName) -> Service | None:
        """Return a service of the configuration."""
        configuration = self.knowledge.configuration
        if configuration is None:
            return None
        return configuration.services.get(name)

    def _slack(self) -> float:
        """Return this instance's share of the budget that is always there."""
        return self.settings.bounds.retry_slack / self.instances

    def note_silence(self, targets: Sequence[TargetId], now: float) -> None:
        """Take in that targets leave a request without enough answers."""
        self.silent.note_silence(targets, now)

    def may_serve(self, services: Sequence[ServiceName], least: int) -> bool:
        """Return whether enough services have a target that answers."""
        if not self.silent.since:
            return True
        return self.silent.may_serve(
            [
                [target.entry.id for target in self.ready.get(service, ())]
                for service in services
            ],
            least=least,
            now=self.now(),
        )

    def choose(
        self,
        service: ServiceName,
        avoided: Sequence[TargetId],
        usual_s: float,
    ) -> Target | None:
        """Return the target to send to next, or None."""
        mine = self.ready.get(service, ())
        chosen = self._choose_among(mine, avoided, usual_s)
        if chosen is not None:
            return chosen
        return self._choose_among(
            self.standby.get(service, ()),
            avoided,
            usual_s,
        )

    def _choose_among(
        self,
        targets: Sequence[Target],
        avoided: Sequence[TargetId],
        usual_s: float,
    ) -> Target | None:
        """Return the cheapest of some targets."""
        now = self.now()
        return choose_target(
            (
                target
                for target in targets
                if target.entry.id not in avoided and target.bears(now)
            ),
            describe=lambda target: target.describe(usual_s, now),
            jitter=lambda: self.rng.uniform(*JITTER),
            now=now,
        )

    def start(self, send: Send, now: float) -> None:
        """Send to a target, through a peer if one does so for this."""
        send.target.cold_share.note(now)
        self.dispatch(send, now)

    def second_sends(self, service: ServiceName) -> SecondSends:
        """Return the budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = SecondSends(
                ratio=bounds.retry_ratio,
                slack=self._slack(),
                window_s=bounds.retry_window_s,
                restarted_at=self.restarted_at,
            )
            self.budgets[service] = budget
        return budget


def _delegate_connections(
    connections: int,
    targets: Sequence[TargetEntry],
) -> int:
    """Return the connections of an instance that sends for others."""
    slots = max((target.slots for target in targets), default=1)
    return max(1, min(connections // 4, slots * 3))


def _by_id(entry: TargetEntry) -> TargetId:
    """Return the sort key of targets."""
    return entry.id


def _moved(present: TargetEntry, entry: TargetEntry) -> bool:
    """Return whether an entry is of another start or at another address."""
    return (
        present.born_ms != entry.born_ms
        or present.host != entry.host
        or present.port != entry.port
        or present.service != entry.service
    )
