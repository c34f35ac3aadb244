"""Exchange of the counts and beliefs about roll-outs between instances.

Each instance sends its counts to a few collectors, not to all instances: with
440 instances that would be 440 messages for each of them in every interval.
"""

import asyncio
import contextlib
from collections.abc import Sequence
from functools import partial
from typing import Final

from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.core.ids import ServiceName
from bitternturn.core.tasks import TaskSet, async_supervise
from bitternturn.gateway.gateway import Gateway
from bitternturn.gateway.rollouts import RolloutProgress, SenderReport
from bitternturn.policy.observation_spread import choose_receivers
from bitternturn.policy.rendezvous import hash_share
from bitternturn.policy.rollout import Phase
from bitternturn.policy.rollout_counts import Cell, CellKey, Tally, TargetTally
from bitternturn.policy.rollout_evidence import count_failures
from bitternturn.relay.delegation import Delegation
from bitternturn.relay.peer import Peer, PeerFailure
from bitternturn.schema import relay_pb2
from bitternturn.schema.relay_pb2 import (
    Frame,
    RolloutBelief,
    RolloutBeliefs,
    RolloutCell,
    RolloutReport,
    RolloutReports,
    RolloutTally,
    RolloutTarget,
)

# Instances that collect the counts of an order: two may be lost.
COLLECTORS: Final = 3
# Interval of the reports, and the number of them that a collector handles in a
# second at most.
REPORT_INTERVAL_S: Final = 0.5
REPORTS_PER_S: Final = 300.0
# Time after its last report for which an instance is waited for.
REPORTING_S: Final = 5.0
# Time after which a reply is not awaited any longer.
REPLY_TIMEOUT_S: Final = 2.0
# Processes whose reports are kept for one order.
MAX_SENDERS: Final = 4096
# Time until a job that has failed unexpectedly is started again.
RESTART_DELAY_S: Final = 0.5


PHASES: Final = {
    Phase.ACTIVE: relay_pb2.ROLLOUT_PHASE_ACTIVE,
    Phase.SWITCHING: relay_pb2.ROLLOUT_PHASE_SWITCHING,
    Phase.SUSPENDED: relay_pb2.ROLLOUT_PHASE_SUSPENDED,
    Phase.COMPLETED: relay_pb2.ROLLOUT_PHASE_COMPLETED,
    Phase.REVERTED: relay_pb2.ROLLOUT_PHASE_REVERTED,
}


class RolloutExchange:
    """Reports counts to collectors, and judges those of all as one of them."""

    def __init__(
        self, *, gateway: Gateway, delegation: Delegation, tasks: TaskSet
    ) -> None:
        """Initialise and register for changes; `start` begins to report."""
        self.gateway = gateway
        self.rollouts = gateway.rollouts
        self.delegation = delegation
        self.tasks = tasks
        self.settled_at = gateway.now()
        self.rollouts.on_phase = self.push

    def start(self) -> None:
        """Report and judge in the background."""
        self.tasks.spawn(
            async_supervise(self._async_run, restart_delay_s=RESTART_DELAY_S)
        )

    async def _async_run(self) -> None:
        """Report and judge at intervals."""
        while True:
            await asyncio.sleep(self._interval_s())
            self.step()

    def _interval_s(self) -> float:
        """Return the interval of the reports, longer with more instances."""
        return max(REPORT_INTERVAL_S, len(self.rollouts.names) / REPORTS_PER_S)

    def step(self) -> None:
        """Report the counts of all open orders and judge them."""
        now = self.gateway.now()
        self.rollouts.settle(self.settled_at, now)
        self.settled_at = now
        reports: dict[str, list[RolloutReport]] = {}
        for progress in list(self.rollouts.progress.values()):
            if progress.state.concluded:
                continue
            self._refresh_own(progress, now)
            self.rollouts.step(
                progress, now, collector=self.own_rank(progress) < COLLECTORS
            )
            for name in self._ranked(progress, now)[:COLLECTORS]:
                reports.setdefault(name, []).append(
                    encode_report(progress, now)
                )
        for name, sent in reports.items():
            self._send_reports(self.delegation.peers[name], sent)

    # Ranks

    def own_rank(self, progress: RolloutProgress) -> int:
        """Return how many available instances precede this one."""
        order = progress.state.order
        key = f'{order.service}/{order.version}'
        own_hash = hash_share(key, self.gateway.settings.name)
        return sum(
            hash_share(key, name) > own_hash
            for name in self._available(self.gateway.now())
        )

    def _ranked(self, progress: RolloutProgress, now: float) -> Sequence[str]:
        """Return the available peers in the order of an order's collectors."""
        order = progress.state.order
        key = f'{order.service}/{order.version}'
        return sorted(
            self._available(now),
            key=partial(hash_share, key),
            reverse=True,
        )

    def _available(self, now: float) -> list[str]:
        """Return the names of the peers that may be sent to."""
        own_name = self.gateway.settings.name
        peers = self.delegation.peers
        return [
            name
            for name in self.rollouts.names
            if name != own_name
            and name in peers
            and peers[name].is_available(now)
        ]

    def _is_available(self, now: float, name: str) -> bool:
        """Return whether a member may be sent to."""
        return self.delegation.peers[name].is_available(now)

    def reporting_names(self, progress: RolloutProgress) -> set[str]:
        """Return the instances whose reports are waited for."""
        now = self.gateway.now()
        self._refresh_own(progress, now)
        return {
            name
            for (name, _), report in progress.reports.items()
            if now - report.reported_at < REPORTING_S
        }

    def _refresh_own(self, progress: RolloutProgress, now: float) -> None:
        """Update the report of this instance."""
        order = progress.state.order
        own = progress.own
        own.reported_at = now
        own.phase = progress.state.phase
        own.busy = sum(
            send.require_fresh_connection
            for target in self.gateway.targets.values()
            if target.entry.service == order.service
            and target.entry.version != order.version
            for send in target.sends
        )

    # Messages

    def _send_reports(
        self, peer: Peer, reports: Sequence[RolloutReport]
    ) -> None:
        """Send reports to a collector and apply its beliefs."""
        frame = Frame(rollout_reports=RolloutReports(reports=reports))

        def handle_reply(reply: Frame | PeerFailure) -> None:
            """Apply the beliefs in a reply."""
            peer.drop_handler(number)
            if isinstance(reply, Frame):
                self.receive_beliefs(reply.rollout_beliefs)

        number = peer.send_request(lambda: frame, handle_reply)
        asyncio.get_running_loop().call_later(
            REPLY_TIMEOUT_S, peer.drop_handler, number
        )

    def receive_reports(self, reports: RolloutReports) -> RolloutBeliefs:
        """Apply the counts of a peer; return what this instance believes."""
        now = self.gateway.now()
        beliefs = []
        for message in reports.reports:
            progress = self.rollouts.progress.get(ServiceName(message.service))
            if progress is None:
                continue
            if progress.state.order.version != message.version:
                continue
            key = (message.sender, message.life)
            if key in progress.reports or len(progress.reports) < MAX_SENDERS:
                progress.receive(key, decode_report(message, now))
            if message.HasField('age_ms'):
                progress.state.apply_age(message.age_ms / MS_PER_SECOND, now)
            beliefs.append(encode_belief(progress, now))
        return RolloutBeliefs(beliefs=beliefs)

    def receive_beliefs(self, beliefs: RolloutBeliefs) -> None:
        """Apply what a peer believes, and pass it on if it asks for that."""
        if beliefs.forward:
            domain = self.gateway.settings.failure_domain
            own_name = self.gateway.settings.name
            now = self.gateway.now()
            for member in self.delegation.members.get(domain, ()):
                peer = self.delegation.peers[member.name]
                if member.name != own_name and peer.is_available(now):
                    _send_beliefs(peer, RolloutBeliefs(beliefs=beliefs.beliefs))
        for belief in beliefs.beliefs:
            with contextlib.suppress(ValueError):
                self._apply_belief(belief)

    def _apply_belief(self, belief: RolloutBelief) -> None:
        """Apply a belief; raises ValueError if its phase is not known."""
        known = belief.HasField('age_ms')
        self.rollouts.apply_belief(
            ServiceName(belief.service),
            belief.version,
            phase=_decode_phase(belief.phase),
            reason=belief.reason,
            age_s=belief.age_ms / MS_PER_SECOND if known else None,
            failures=belief.failures,
        )

    def push(self, progress: RolloutProgress) -> None:
        """Send a new belief to all instances at once."""
        now = self.gateway.now()
        settings = self.gateway.settings
        belief = encode_belief(progress, now)
        for domain, members in self.delegation.members.items():
            receivers = choose_receivers(
                domain,
                members,
                own_name=settings.name,
                own_domain=settings.failure_domain,
                is_available=partial(self._is_available, now),
            )
            for name in receivers.names:
                _send_beliefs(
                    self.delegation.peers[name],
                    RolloutBeliefs(beliefs=[belief], forward=receivers.forward),
                )


def _send_beliefs(peer: Peer, beliefs: RolloutBeliefs) -> None:
    """Send beliefs to a peer, which does not reply."""
    frame = Frame(rollout_beliefs=beliefs)
    number = peer.send_request(lambda: frame, _ignore_reply)
    peer.drop_handler(number)


def _ignore_reply(reply: Frame | PeerFailure) -> None:
    """Ignore a reply."""


def encode_belief(progress: RolloutProgress, now: float) -> RolloutBelief:
    """Return what this instance believes of an order."""
    state = progress.state
    belief = RolloutBelief(
        service=state.order.service,
        version=state.order.version,
        phase=PHASES[state.phase],
        reason=state.reason,
        failures=count_failures(progress.cells()),
    )
    if state.age_known:
        belief.age_ms = _to_age_ms(state.started_at, now)
    return belief


def encode_report(progress: RolloutProgress, now: float) -> RolloutReport:
    """Return the counts of this instance as a message."""
    state = progress.state
    own = progress.own
    name, life = progress.own_key
    report = RolloutReport(
        service=state.order.service,
        version=state.order.version,
        sender=name,
        life=life,
        cells=[
            RolloutCell(
                route=key.route,
                near=key.near,
                candidate=_encode_tally(cell.candidate),
                baseline=_encode_tally(cell.baseline),
            )
            for key, cell in own.cells.items()
        ],
        targets={
            target: RolloutTarget(
                answers=tally.answers, failures=tally.failures
            )
            for target, tally in own.targets.items()
        },
        phase=PHASES[own.phase],
        busy=own.busy,
    )
    if state.age_known:
        report.age_ms = _to_age_ms(state.started_at, now)
    return report


def decode_report(message: RolloutReport, now: float) -> SenderReport:
    """Return the counts in a message; an unknown phase is the first one."""
    phase = Phase.ACTIVE
    with contextlib.suppress(ValueError):
        phase = _decode_phase(message.phase)
    return SenderReport(
        cells={
            CellKey(cell.route, cell.near): Cell(
                candidate=_decode_tally(cell.candidate),
                baseline=_decode_tally(cell.baseline),
            )
            for cell in message.cells
        },
        targets={
            target: TargetTally(tally.answers, tally.failures)
            for target, tally in message.targets.items()
        },
        phase=phase,
        busy=message.busy,
        reported_at=now,
    )


def _decode_phase(number: int) -> Phase:
    """Return the phase with a number; raises ValueError if it is unknown."""
    return Phase(int(number))


def _encode_tally(tally: Tally) -> RolloutTally:
    """Return counts as a message."""
    return RolloutTally(
        answers=tally.answers,
        failures=tally.failures,
        timed=tally.timed,
        log_sum=tally.log_sum,
        log_square=tally.log_square,
    )


def _decode_tally(message: RolloutTally) -> Tally:
    """Return the counts in a message."""
    return Tally(
        answers=message.answers,
        failures=message.failures,
        timed=message.timed,
        log_sum=message.log_sum,
        log_square=message.log_square,
    )


def _to_age_ms(at: float, now: float) -> int:
    """Return the age of an event in whole milliseconds."""
    return max(0, round((now - at) * MS_PER_SECOND))
