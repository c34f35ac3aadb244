"""Sends of one request that are delegated to one peer."""

import asyncio
from collections.abc import Sequence

from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.gateway.gateway import Gateway
from bitternturn.gateway.merge import split_records
from bitternturn.gateway.models import (
    REPLY_OUTCOMES,
    MergedRecords,
    SendOutcome,
    TargetAnswer,
)
from bitternturn.gateway.send import Send
from bitternturn.gateway.work_log import Step, StepTimer
from bitternturn.http.const import (
    MAX_STATUS,
    STATUS_MULTIPLE_CHOICES,
    STATUS_OK,
)
from bitternturn.relay import const
from bitternturn.relay.outcomes import decode_outcome
from bitternturn.relay.peer import Peer, PeerFailure
from bitternturn.relay.peer_link import PeerLink
from bitternturn.relay.target_notices import apply_notice
from bitternturn.schema import relay_pb2
from bitternturn.schema.relay_pb2 import (
    Cancel,
    Frame,
    Header,
    Part,
    Parts,
    Sends,
)


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
        # Whether the first report is wanted early, for hedges and retries.
        self.urgent = False
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
        self.sends = drop_unwanted(self.sends, self.gateway.now())
        self._reject_without_permit()
        if not self.sends:
            self._close()
            return None
        for index, send in enumerate(self.sends):
            send.connection = SendHandle(batch=self, index=index)
        first = self.sends[0]
        self.urgent = any(send.is_further for send in self.sends)
        report_delay_s = (
            const.REPORT_BATCH_DELAY_S
            if self.urgent
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
                    for name, content in self.gateway.wire.forwarded_headers(
                        first.caller
                    )
                ],
                body=first.caller.body,
                left_ms=max(1, int(left_s * MS_PER_SECOND)),
                report_ms=int(report_delay_s * MS_PER_SECOND),
                limit=first.max_records,
                items=[send.target.entry.id for send in self.sends],
                usual_ms=first.latency_estimate.mean_s * MS_PER_SECOND,
                may_decline=all(map(self._has_alternative, self.sends)),
                sponsored=first.sponsored,
                cumulative=True,
                want_receipt=True,
                whole_answers=not first.max_records,
                fresh_connection=first.require_fresh_connection,
                priority=encode_priority(first.caller.priority),
                permitted=[
                    index
                    for index, send in enumerate(self.sends)
                    if send.permitted_at is not None
                ],
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
            if reply.receipt.busy:
                self.peer.record_busy(self.gateway.now())
            return
        with StepTimer(metrics=self.gateway.metrics, step=Step.REPORT):
            self._handle_report(reply.parts)

    def _handle_report(self, report: Parts) -> None:
        """Apply the ends of sends that a report states."""
        answered = _find_answered(report)
        if not self._is_valid(report, answered):
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
        now = self.gateway.now()
        for place, part in enumerate(report.parts):
            self._finish_send(part, answer_indexes.get(place, 0), now)
        if all(send.ended for send in self.sends):
            self._close()
        elif report.others_late and not self.urgent:
            for send in self.sends:
                send.report_late()

    def _is_valid(self, report: Parts, answered: Sequence[int]) -> bool:
        """Return whether the indexes and records of a report are consistent."""
        records = len(report.records) // self.record_bytes
        return (
            records == len(report.owners)
            and set(report.owners).issubset(answered)
            and all(part.index < len(self.sends) for part in report.parts)
            and all(
                self._is_valid_answer(report.parts[place]) for place in answered
            )
        )

    def _is_valid_answer(self, part: Part) -> bool:
        """Return whether an answered send has what was asked for."""
        has_answer = bool(self.limit) or part.HasField('answer')
        return bool(part.stamp) and has_answer

    def _reject_without_permit(self) -> None:
        """End the sends if the permit of the quota has expired meanwhile."""
        now = self.gateway.now()
        sends = self.sends
        if sends and not self.gateway.quotas.may_write(sends[0].caller, now):
            self.sends = []
            for send in sends:
                send.target.end_send(send, SendOutcome.UNWANTED, None)

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

    def _finish_send(self, part: Part, answer_index: int, now: float) -> None:
        """Finish one send as reported."""
        send = self.sends[part.index]
        if part.silent:
            self._get_link(send).record_declined(now)
            send.report_silence()
            return
        outcome = decode_outcome(part.outcome)
        valid = _has_valid_status(part)
        if not valid:
            # A peer of an older build passes on any status; the request may
            # have run.
            outcome = SendOutcome.FAILED
        self._record_path(send, outcome, now)
        apply_notice(
            send.target,
            part,
            replied=outcome in REPLY_OUTCOMES,
            since=send.started_at,
        )
        limit = send.target.announcement.rate_limit
        limit.peer_full_until = now + part.limit_wait_ms / MS_PER_SECOND
        answer = None
        if outcome in REPLY_OUTCOMES and valid:
            answer = self._read_answer(send, part, answer_index)
        took_s = part.took_ms / MS_PER_SECOND
        send.target.end_send(send, outcome, answer, took_s)

    def _read_answer(
        self, send: Send, part: Part, answer_index: int
    ) -> TargetAnswer | None:
        """Return the answer in a report, None if it states only an outcome."""
        answered = part.outcome == relay_pb2.SEND_OUTCOME_ANSWERED
        whole = part.HasField('answer')
        if not answered and not whole:
            return None
        return TargetAnswer(
            status=part.answer.status if whole else STATUS_OK,
            stamp=part.stamp,
            request_id=send.caller.id,
            not_run=False,
            misdirected=False,
            leaving=part.leaving,
            pause_s=None,
            limit_per_s=None,
            encoded=False,
            idle_timeout_s=None,
            headers=dict(part.answer.headers) if whole else {},
            body=part.answer.body if whole else b'',
            merged=None if whole else self.merged,
            answer_index=answer_index,
        )

    def _get_link(self, send: Send) -> PeerLink:
        """Return the link that a send takes."""
        return self.peer.get_link(send.target.entry.failure_domain)

    def _record_path(
        self, send: Send, outcome: SendOutcome, now: float
    ) -> None:
        """Record whether the peer has reached the target of a send."""
        if outcome in REPLY_OUTCOMES:
            self._get_link(send).record_heard(now)
        elif outcome is SendOutcome.NO_PATH:
            self._get_link(send).record_declined(now)

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


def drop_unwanted(sends: Sequence[Send], now: float) -> list[Send]:
    """End the sends whose target is out of use; return those that go on."""
    for send in sends:
        target = send.target
        if not target.in_service or not target.announcement.allows_send(now):
            target.end_send(send, SendOutcome.UNWANTED, None)
    return [send for send in sends if not send.ended]


def _find_answered(report: Parts) -> list[int]:
    """Return the places of the answered sends in a report."""
    return [
        place
        for place, part in enumerate(report.parts)
        if part.outcome == relay_pb2.SEND_OUTCOME_ANSWERED
    ]


def _has_valid_status(part: Part) -> bool:
    """Return whether the status of a whole answer fits its outcome."""
    if not part.HasField('answer'):
        return True
    status = part.answer.status
    if part.outcome == relay_pb2.SEND_OUTCOME_ANSWERED:
        return STATUS_OK <= status < STATUS_MULTIPLE_CHOICES
    return STATUS_OK <= status <= MAX_STATUS


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


def encode_priority(priority: int) -> int:
    """Return a priority as it is sent; that of a route may be any number."""
    return max(0, min(const.MAX_PRIORITY, priority))
