"""Sends the parts of wide requests through peers near the targets."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.core.ids import FailureDomain
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway.gateway import Gateway
from bitternturn.gateway.merge import split_records
from bitternturn.gateway.models import (
    Address,
    MergedRecords,
    Outcome,
    TargetAnswer,
)
from bitternturn.gateway.target import Send, start_directly
from bitternturn.policy.delegates import (
    Member,
    count_groups,
    group_of,
    rank_members,
)
from bitternturn.relay import const
from bitternturn.relay.outcomes import decode_outcome
from bitternturn.relay.peer import Peer, PeerEnd
from bitternturn.schema import relay_pb2
from bitternturn.schema.relay_pb2 import (
    Cancel,
    Frame,
    Header,
    Part,
    Sends,
)

STATUS_OK = 200


@dataclass(kw_only=True, frozen=True, slots=True)
class MemberEntry:
    """One instance as it describes itself in the store."""

    name: str
    address: Address
    domain: FailureDomain
    cores: float


class Batch:
    """Sends of one request that one peer was asked to make."""

    def __init__(
        self,
        *,
        peer: Peer,
        sends: Sequence[Send],
        record_bytes: int,
    ) -> None:
        """Hold the sends; their places are their indexes."""
        self.record_bytes = record_bytes
        self.peer = peer
        self.sends = sends
        self.number = 0
        self.heard = False
        self.watchdog: asyncio.TimerHandle | None = None

    def ask(self, frame: Frame, report_s: float) -> None:
        """Send the message; a peer that does not report in time has failed."""
        self.number = self.peer.ask(frame, self.take)
        loop = asyncio.get_running_loop()
        self.watchdog = loop.call_later(
            report_s + const.REPORT_SLACK_S,
            self._miss_report,
        )

    def take(self, answer: Frame | PeerEnd) -> None:
        """Take ends of sends, or the end of the peer."""
        if isinstance(answer, PeerEnd):
            self._end_all(answer)
            return
        self.heard = True
        told = answer.parts
        merged = MergedRecords(
            records=split_records(told.records, self.record_bytes),
            places=told.owners,
            cut=told.cut,
            answered=sum(
                part.outcome == relay_pb2.SEND_OUTCOME_ANSWERED
                for part in told.parts
            ),
        )
        for place, part in enumerate(told.parts):
            self._end_one(part, place, merged)
        if all(send.ended for send in self.sends):
            self._close()

    def cancel(self, index: int) -> None:
        """Want no more of one send."""
        self.peer.tell(self.number, Frame(cancel=Cancel(indexes=[index])))
        send = self.sends[index]
        send.target.finish(send, Outcome.LOST, None)
        if all(one.ended for one in self.sends):
            self._close()

    def _end_one(self, part: Part, place: int, merged: MergedRecords) -> None:
        """Take the end of one send."""
        send = self.sends[part.index]
        outcome = decode_outcome(part.outcome)
        answer = None
        if outcome is Outcome.ANSWERED:
            answer = TargetAnswer(
                status=STATUS_OK,
                stamp=part.stamp,
                request_id=send.caller.id,
                not_run=False,
                misdirected=False,
                encoded=False,
                idle_s=None,
                headers={},
                body=b'',
                merged=merged,
                place=place,
            )
        took_s = part.took_ms / MS_PER_SECOND
        send.target.finish(send, outcome, answer, took_s)

    def _end_all(self, end: PeerEnd) -> None:
        """End every send that is open."""
        outcome = Outcome.LOST
        if end is PeerEnd.NOT_SENT:
            outcome = Outcome.NOT_SENT
        self._close()
        for send in self.sends:
            send.target.finish(send, outcome, None, 0)

    def _miss_report(self) -> None:
        """Ask the peer nothing for a while: it may be frozen or cut off."""
        self.watchdog = None
        if not self.heard:
            self.peer.note_failure()

    def _close(self) -> None:
        """Expect nothing more."""
        self.peer.forget(self.number)
        if self.watchdog is not None:
            self.watchdog.cancel()
            self.watchdog = None


class Carrier:
    """One send of a batch; closing it cancels the send at the peer."""

    __slots__ = ('batch', 'index')

    def __init__(self, *, batch: Batch, index: int) -> None:
        """Hold the place of the send."""
        self.batch = batch
        self.index = index

    def close(self) -> None:
        """Want no more of the send."""
        self.batch.cancel(self.index)


class Delegation:
    """Chooses peers for sends and asks each of them once per request."""

    def __init__(self, *, gateway: Gateway, tasks: TaskSet) -> None:
        """Take over the dispatch of sends."""
        self.gateway = gateway
        self.tasks = tasks
        self.peers: dict[str, Peer] = {}
        self.members: Mapping[FailureDomain, Sequence[Member]] = {}
        self.ranks: dict[tuple[FailureDomain, int], list[str]] = {}
        # Sends that wait for the end of the present step, by peer and request.
        self.outbox: dict[tuple[str, str], list[Send]] = {}
        gateway.dispatch = self.dispatch
        gateway.delegates = True

    def take_members(self, entries: Sequence[MemberEntry]) -> None:
        """Follow the instances that there are."""
        domains: dict[FailureDomain, list[Member]] = {}
        for entry in entries:
            domains.setdefault(entry.domain, []).append(
                Member(name=entry.name, domain=entry.domain, cores=entry.cores),
            )
            present = self.peers.get(entry.name)
            if present is None or present.address != entry.address:
                self.peers[entry.name] = Peer(
                    name=entry.name,
                    address=entry.address,
                    tasks=self.tasks,
                    now=self.gateway.now,
                )
        self.members = domains
        self.ranks.clear()

    def peer_at(self, address: Address) -> Peer:
        """Return the peer at an address, also one that is not registered."""
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
            ),
        )

    def dispatch(self, send: Send, now: float) -> None:
        """Send directly, or put a send into the message to a peer."""
        peer = self._peer_for(send, now)
        if peer is None:
            start_directly(send, now)
            return
        key = (peer.name, send.caller.id)
        waiting = self.outbox.get(key)
        if waiting is None:
            waiting = []
            self.outbox[key] = waiting
            asyncio.get_running_loop().call_soon(self._flush, key)
        waiting.append(send)
        send.target.delegate(send, _Waiting(), const.REPORT_TRAVEL_S)

    def _peer_for(self, send: Send, now: float) -> Peer | None:
        """Return the peer that sends to a target, None for this instance."""
        wide = self.gateway.wide_services
        entry = send.target.entry
        if not send.limit or entry.service not in wide:
            return None
        groups = count_groups(len(wide), const.SHARDS_PER_PEER)
        group = group_of(entry.service, groups)
        for name in self._rank(entry.failure_domain, group):
            if name == self.gateway.settings.name:
                return None
            peer = self.peers[name]
            if peer.willing(now):
                return peer
        return None

    def _rank(self, domain: FailureDomain, group: int) -> Sequence[str]:
        """Return the instances of a domain by preference for a group."""
        key = (domain, group)
        ranked = self.ranks.get(key)
        if ranked is None:
            ranked = rank_members(group, self.members.get(domain, ()))
            self.ranks[key] = ranked
        return ranked

    def _has_alternative(self, send: Send) -> bool:
        """Return whether a send may be declined in favour of another target."""
        ready = self.gateway.ready.get(send.target.entry.service, ())
        return send.declinable and len(ready) > 1

    def _flush(self, key: tuple[str, str]) -> None:
        """Ask a peer for the sends that have come together."""
        waiting = self.outbox.pop(key)
        sends = [send for send in waiting if not send.ended]
        if not sends:
            return
        first = sends[0]
        batch = Batch(
            peer=self.peers[key[0]],
            sends=sends,
            record_bytes=self.gateway.wire.record_bytes,
        )
        for index, send in enumerate(sends):
            send.connection = Carrier(batch=batch, index=index)
        report_s = first.usual.hedge_delay_s()
        hurried = any(send.hurried for send in sends)
        first_report_s = const.LATE_REPORT_S if hurried else report_s
        left_s = first.deadline - self.gateway.now()
        batch.ask(
            Frame(
                sends=Sends(
                    request_id=first.caller.id,
                    method=first.caller.method,
                    target=first.caller.target,
                    headers=[
                        Header(name=name, value=content)
                        for name, content in first.caller.headers
                    ],
                    left_ms=max(1, int(left_s * MS_PER_SECOND)),
                    report_ms=int(first_report_s * MS_PER_SECOND),
                    limit=first.limit,
                    items=[send.target.entry.id for send in sends],
                    usual_ms=first.usual.mean_s * MS_PER_SECOND,
                    may_decline=all(map(self._has_alternative, sends)),
                ),
            ),
            report_s,
        )


class _Waiting:
    """Carrier of a send that is not in a message yet."""

    def close(self) -> None:
        """Do nothing: a send that has ended is left out of the message."""
