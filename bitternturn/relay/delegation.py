"""Delegates sends of wide requests to peers near the targets."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.core.ids import FailureDomain, ServiceName
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway.gateway import Gateway
from bitternturn.gateway.merge import split_records
from bitternturn.gateway.models import (
    Address,
    MergedRecords,
    SendOutcome,
    TargetAnswer,
    TargetEntry,
)
from bitternturn.gateway.target import Send, start_directly
from bitternturn.policy.delegate_selection import (
    DelegateCandidate,
    assign_group,
    count_groups,
    rank_delegates,
)
from bitternturn.policy.further_send_budget import (
    FurtherSendBudget,
    SendReason,
    delegate_slack,
)
from bitternturn.policy.relay_selection import RELAYS_PER_DOMAIN, rank_relays
from bitternturn.relay import const
from bitternturn.relay.outcomes import decode_outcome
from bitternturn.relay.peer import Peer, PeerFailure
from bitternturn.relay.traffic import RelayTraffic
from bitternturn.schema import relay_pb2
from bitternturn.schema.relay_pb2 import (
    Cancel,
    Frame,
    Header,
    Part,
    Parts,
    Sends,
)

STATUS_OK = 200
# Name of the peer, id of the request, and whether the peer's budget has to allow
# the sends.
OutboxKey = tuple[str, str, bool]


@dataclass(kw_only=True, frozen=True, slots=True)
class MemberEntry:
    """One instance as registered in the store."""

    name: str
    address: Address
    domain: FailureDomain
    cores: float


class OutgoingBatch:
    """Sends of one request that are delegated to one peer.

    The sends are started when the request is written to the peer. Until then,
    none of them can have run.
    """

    def __init__(
        self,
        *,
        peer: Peer,
        sends: Sequence[Send],
        gateway: Gateway,
    ) -> None:
        """Initialise; a send's position is its index on the wire."""
        self.gateway = gateway
        self.record_bytes = gateway.wire.record_bytes
        self.peer = peer
        self.sends = sends
        self.limit = sends[0].max_records
        self.merged = MergedRecords()
        self.number = 0
        self.reported = False
        self.watchdog: asyncio.TimerHandle | None = None
        self.receipt_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Send the request and start the timeout for the first report."""
        report_delay_s = self.sends[0].latency_estimate.hedge_delay_s()
        loop = asyncio.get_running_loop()
        self.watchdog = loop.call_later(
            report_delay_s + const.REPORT_GRACE_S,
            self._on_report_timeout,
        )
        self.receipt_timer = loop.call_later(
            const.RECEIPT_TIMEOUT_S, self._on_receipt_timeout
        )
        self.number = self.peer.send_request(self.make_frame, self.handle_reply)

    def make_frame(self) -> Frame | None:
        """Return the request with all sends that have not ended."""
        self.sends = [send for send in self.sends if not send.ended]
        if not self.sends:
            self._close()
            return None
        for index, send in enumerate(self.sends):
            send.connection = SendHandle(batch=self, index=index)
        first = self.sends[0]
        urgent = any(send.is_further for send in self.sends)
        report_delay_s = (
            const.REPORT_BATCH_DELAY_S
            if urgent
            else first.latency_estimate.hedge_delay_s()
        )
        left_s = first.deadline - self.gateway.now()
        return Frame(
            sends=Sends(
                request_id=first.caller.id,
                method=first.caller.method,
                target=first.caller.request_target,
                headers=[
                    Header(name=name, value=content)
                    for name, content in first.caller.headers
                ],
                left_ms=max(1, int(left_s * MS_PER_SECOND)),
                report_ms=int(report_delay_s * MS_PER_SECOND),
                limit=first.max_records,
                items=[send.target.entry.id for send in self.sends],
                usual_ms=first.latency_estimate.mean_s * MS_PER_SECOND,
                may_decline=all(map(self._has_alternative, self.sends)),
                sponsored=first.sponsored,
                cumulative=True,
                want_receipt=True,
            ),
        )

    def _has_alternative(self, send: Send) -> bool:
        """Return whether a peer may decline a send: another target exists."""
        ready = self.gateway.ready.get(send.target.entry.service, ())
        return send.declinable and len(ready) > 1

    def handle_reply(self, reply: Frame | PeerFailure) -> None:
        """Handle a report, or the failure of the peer."""
        if isinstance(reply, PeerFailure):
            self._finish_all(reply)
            return
        self._cancel_receipt_timer()
        if reply.HasField('receipt'):
            return
        report = reply.parts
        if not _is_valid_report(report, len(self.sends), self.record_bytes):
            self._finish_all(PeerFailure.LOST)
            return
        self.reported = True
        if any(
            part.outcome == relay_pb2.SEND_OUTCOME_NOT_SENT
            for part in report.parts
        ):
            self.peer.avoid(const.OUTDATED_BACKOFF_S)
        # Index of the first answer of this report among those of all reports.
        first_index = self.merged.answer_count
        answered = [
            place
            for place, part in enumerate(report.parts)
            if part.outcome == relay_pb2.SEND_OUTCOME_ANSWERED
        ]
        answer_indexes = {
            place: first_index + offset for offset, place in enumerate(answered)
        }
        self.merged.answer_count += len(answered)
        self.merged.add_report(
            split_records(report.records, self.record_bytes),
            [answer_indexes[place] for place in report.owners],
            truncated=report.cut,
            limit=self.limit,
        )
        for place, part in enumerate(report.parts):
            self._finish_send(part, answer_indexes.get(place, 0))
        if all(send.ended for send in self.sends):
            self._close()

    def cancel(self, index: int) -> None:
        """Cancel one send at the peer."""
        self.peer.send_followup(
            self.number,
            Frame(cancel=Cancel(indexes=[index])),
        )
        send = self.sends[index]
        send.target.end_send(send, SendOutcome.LOST, None)
        if all(other.ended for other in self.sends):
            self._close()

    def _finish_send(self, part: Part, answer_index: int) -> None:
        """Finish one send as reported."""
        send = self.sends[part.index]
        outcome = decode_outcome(part.outcome)
        answer = None
        if outcome is SendOutcome.ANSWERED:
            answer = TargetAnswer(
                status=STATUS_OK,
                stamp=part.stamp,
                request_id=send.caller.id,
                not_run=False,
                misdirected=False,
                encoded=False,
                idle_timeout_s=None,
                headers={},
                body=b'',
                merged=self.merged,
                answer_index=answer_index,
            )
        took_s = part.took_ms / MS_PER_SECOND
        send.target.end_send(send, outcome, answer, took_s)

    def _finish_all(self, failure: PeerFailure) -> None:
        """Finish every pending send after a failure of the peer."""
        outcome = SendOutcome.PEER_LOST
        if failure is PeerFailure.NOT_SENT:
            outcome = SendOutcome.NOT_SENT
        self._close()
        for send in self.sends:
            send.target.end_send(send, outcome, None, 0)

    def _on_receipt_timeout(self) -> None:
        """Record a failure and let all sends be hedged at once.

        The sends go on: a peer that is only slow still reports their answers.
        """
        self.receipt_timer = None
        self.peer.record_failure()
        for send in self.sends:
            send.report_silence()

    def _cancel_receipt_timer(self) -> None:
        """Stop waiting for the receipt."""
        if self.receipt_timer is not None:
            self.receipt_timer.cancel()
            self.receipt_timer = None

    def _on_report_timeout(self) -> None:
        """Record a failure: the peer may be frozen or unreachable."""
        self.watchdog = None
        if not self.reported:
            self.peer.record_failure()

    def _close(self) -> None:
        """Stop waiting for reports."""
        self.peer.drop_handler(self.number)
        self._cancel_receipt_timer()
        if self.watchdog is not None:
            self.watchdog.cancel()
            self.watchdog = None


def _is_valid_report(report: Parts, send_count: int, record_bytes: int) -> bool:
    """Return whether the indexes and records of a report are consistent."""
    records = len(report.records) // record_bytes
    answered = {
        place
        for place, part in enumerate(report.parts)
        if part.outcome == relay_pb2.SEND_OUTCOME_ANSWERED
    }
    return (
        records == len(report.owners)
        and all(owner in answered for owner in report.owners)
        and all(part.index < send_count for part in report.parts)
        and all(
            part.stamp
            for part in report.parts
            if part.outcome == relay_pb2.SEND_OUTCOME_ANSWERED
        )
    )


class SendHandle:
    """Handle of a delegated send; `close` cancels it at the peer."""

    __slots__ = ('batch', 'index')

    def __init__(self, *, batch: OutgoingBatch, index: int) -> None:
        """Initialise with the index of the send in its batch."""
        self.batch = batch
        self.index = index

    def close(self) -> None:
        """Cancel the send."""
        self.batch.cancel(self.index)


class Delegation:
    """Chooses peers for sends and batches them per peer and request."""

    def __init__(self, *, gateway: Gateway, tasks: TaskSet) -> None:
        """Initialise and register as the gateway's dispatcher."""
        self.gateway = gateway
        self.tasks = tasks
        self.traffic = RelayTraffic(
            metrics=gateway.metrics, domain=gateway.settings.failure_domain
        )
        self.peers: dict[str, Peer] = {}
        self.members: Mapping[FailureDomain, Sequence[DelegateCandidate]] = {}
        self.rankings: dict[tuple[FailureDomain, str], list[str]] = {}
        # Sends queued until the next event loop iteration.
        self.outbox: dict[OutboxKey, list[Send]] = {}
        # Budgets of further sends that other instances ask for.
        self.sponsor_budgets: dict[ServiceName, FurtherSendBudget] = {}
        gateway.dispatch = self.dispatch
        gateway.find_sponsor = self.find_sponsor
        gateway.sponsor = self.sponsor
        gateway.delegation_enabled = True

    def update_members(self, entries: Sequence[MemberEntry]) -> None:
        """Update the peers from the registered instances."""
        domains: dict[FailureDomain, list[DelegateCandidate]] = {}
        for entry in entries:
            domains.setdefault(entry.domain, []).append(
                DelegateCandidate(
                    name=entry.name, domain=entry.domain, cores=entry.cores
                ),
            )
            known = self.peers.get(entry.name)
            if known is None or known.address != entry.address:
                self.peers[entry.name] = Peer(
                    name=entry.name,
                    address=entry.address,
                    tasks=self.tasks,
                    now=self.gateway.now,
                    traffic=self.traffic,
                )
        self.traffic.domains = {
            entry.address.host: entry.domain for entry in entries
        }
        self.members = domains
        self.rankings.clear()

    def find_relays(self, domain: FailureDomain, now: float) -> list[Peer]:
        """Return the available relays of a failure domain, best first."""
        names = rank_relays(domain, self.members.get(domain, ()))
        available = [
            name
            for name in names
            if name == self.gateway.settings.name
            or self.peers[name].is_available(now)
        ]
        return [self.peers[name] for name in available[:RELAYS_PER_DOMAIN]]

    def get_or_add_peer(self, address: Address) -> Peer:
        """Return the peer at an address; add it if it is not registered."""
        for peer in self.peers.values():
            if peer.address == address:
                return peer
        name = f'{address.host}:{address.port}'
        return self.peers.setdefault(
            name,
            Peer(
                name=name,
                address=address,
                tasks=self.tasks,
                now=self.gateway.now,
                traffic=self.traffic,
            ),
        )

    def dispatch(self, send: Send, now: float) -> None:
        """Start a send directly, or queue it for a peer."""
        peer = self._choose_peer(send, now)
        if peer is None:
            start_directly(send, now)
            return
        key = (peer.name, send.caller.id, send.sponsored)
        queued = self.outbox.get(key)
        if queued is None:
            queued = []
            self.outbox[key] = queued
            asyncio.get_running_loop().call_soon(self._flush, key)
        queued.append(send)
        send.target.register_delegated(send, const.REPORT_LATENCY_S)

    def _choose_peer(self, send: Send, now: float) -> Peer | None:
        """Return the peer to delegate a send to, None to send directly."""
        domain = send.target.entry.failure_domain
        key = self._delegate_key(send)
        if key is None:
            return None
        for name in self._ranked_members(domain, key):
            if name == self.gateway.settings.name:
                return None
            peer = self.peers[name]
            if peer.is_available(now):
                return peer
        return None

    def _delegate_key(self, send: Send) -> str | None:
        """Return the key that ranks the delegates, None to send directly."""
        entry = send.target.entry
        if send.direct or not send.max_records:
            return None
        if entry.service in self.gateway.wide_services:
            return self._group_key(entry)
        settings = self.gateway.settings
        if send.is_further or entry.failure_domain == settings.failure_domain:
            return None
        return settings.name

    def _ranked_members(
        self,
        domain: FailureDomain,
        key: str,
    ) -> Sequence[str]:
        """Return the instances of a domain, ranked for a key."""
        ranked = self.rankings.get((domain, key))
        if ranked is None:
            ranked = rank_delegates(key, self.members.get(domain, ()))
            self.rankings[(domain, key)] = ranked
        return ranked

    def find_sponsor(self, entry: TargetEntry, now: float) -> bool:
        """Return whether a further send to a target may exceed the own budget.

        Asks the budget of this instance if it is the delegate; a peer decides
        when it receives the send.
        """
        if entry.service not in self.gateway.wide_services:
            return False
        for name in self._ranked_members(
            entry.failure_domain, self._group_key(entry)
        ):
            if name == self.gateway.settings.name:
                return self.sponsor(entry, now)
            if self.peers[name].is_available(now):
                return True
        return False

    def sponsor(self, entry: TargetEntry, now: float) -> bool:
        """Spend the delegate's budget for a further send if it allows it."""
        budget = self.sponsor_budgets.get(entry.service)
        global_limits = self.gateway.settings.global_limits
        if budget is None:
            budget = FurtherSendBudget(
                ratio=0,
                slack=0,
                window_s=global_limits.retry_window_s,
                restarted_at=self.gateway.restarted_at,
            )
            self.sponsor_budgets[entry.service] = budget
        ranked = self._ranked_members(
            entry.failure_domain, self._group_key(entry)
        )
        own_name = self.gateway.settings.name
        budget.slack = delegate_slack(
            global_limits.retry_slack,
            domains=self._count_domains(entry.service),
            rank=ranked.index(own_name) if own_name in ranked else len(ranked),
        )
        return budget.try_spend(SendReason.RETRY, now)

    def _count_domains(self, service: ServiceName) -> int:
        """Return the number of failure domains with targets of a service."""
        ready = self.gateway.ready.get(service, ())
        return len({target.entry.failure_domain for target in ready})

    def _group_key(self, entry: TargetEntry) -> str:
        """Return the key of the shard group of a target of a wide route."""
        groups = count_groups(
            len(self.gateway.wide_services), const.SHARDS_PER_PEER
        )
        return str(assign_group(entry.service, groups))

    def _flush(self, key: OutboxKey) -> None:
        """Send the queued sends of one request to a peer, or directly."""
        queued = self.outbox.pop(key)
        sends = [send for send in queued if not send.ended]
        if not sends:
            return
        wide = sends[0].target.entry.service in self.gateway.wide_services
        if not wide and len(sends) < const.MIN_DELEGATED_PARTS:
            now = self.gateway.now()
            for send in sends:
                send.target.start_undelegated(send, now)
            return
        OutgoingBatch(
            peer=self.peers[key[0]],
            sends=sends,
            gateway=self.gateway,
        ).start()
