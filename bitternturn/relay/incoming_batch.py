"""Makes sends on behalf of a peer and reports how they ended."""

import asyncio
from collections.abc import Sequence
from functools import partial

from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.core.ids import TargetId
from bitternturn.gateway.const import MAX_TIMER_LATENESS_S, MIN_SEND_TIME_S
from bitternturn.gateway.gateway import Gateway
from bitternturn.gateway.links import LinkState
from bitternturn.gateway.merge import RecordSelection, split_records
from bitternturn.gateway.models import CallerRequest, SendOutcome, TargetAnswer
from bitternturn.gateway.send import Send
from bitternturn.gateway.target import Target, start_directly
from bitternturn.gateway.work_log import Step, StepTimer
from bitternturn.policy.answer_timing import LatencyEstimate
from bitternturn.policy.delegate_selection import MAX_BUSY_SHARE
from bitternturn.policy.target_selection import should_decline
from bitternturn.relay import const
from bitternturn.relay.connection import RelayConnection
from bitternturn.relay.start_queue import StartQueue
from bitternturn.relay.target_notices import make_part
from bitternturn.schema import relay_pb2
from bitternturn.schema.relay_pb2 import Frame, Part, Parts, Receipt, Sends

# How one send ended, with its answer if there is one.
SendEnd = tuple[Part, TargetAnswer | None]


class IncomingBatch:
    """Sends requested by one message of a peer."""

    def __init__(
        self,
        *,
        gateway: Gateway,
        connection: RelayConnection,
        number: int,
        request: Sends,
        starts: StartQueue,
    ) -> None:
        """Initialise; `start` begins the sends."""
        self.starts = starts
        self.gateway = gateway
        self.connection = connection
        self.number = number
        self.request = request
        self.latency_estimate = LatencyEstimate(aim_s=1)
        usual_s = max(1, request.usual_ms) / MS_PER_SECOND
        self.latency_estimate.mean_s = usual_s
        self.latency_estimate.median_s = usual_s
        self.caller = CallerRequest(
            id=request.request_id,
            method=request.method,
            request_target=request.target,
            path='',
            host='',
            remaining_s=None,
            headers=[(it.name, it.value) for it in request.headers],
            body=request.body,
            priority=request.priority,
        )
        if gateway.tenants.enabled:
            # A peer of an older build forwards the key.
            gateway.wire.withhold_forwarded_credentials(self.caller)
        self.sends: dict[int, Send] = {}
        # Targets of the sends that have not started, by index.
        self.waiting: dict[int, Target] = {}
        self.pending_count = len(request.items)
        self.started_at: float = 0
        self.deadline: float = 0
        self.first_report_sent = False
        # Ended sends that have not been reported.
        self.unreported: list[SendEnd] = []
        self.selection = RecordSelection(
            limit=request.limit, cumulative=request.cumulative
        )
        self.report_timer: asyncio.TimerHandle | None = None
        # Reports failures ahead of the first report.
        self.failure_timer: asyncio.TimerHandle | None = None
        # Records the sends that are late.
        self.overdue_timer: asyncio.TimerHandle | None = None

    @property
    def priority(self) -> int:
        """Priority of the request; an old build states none, which is 0."""
        return self.request.priority

    @property
    def finished(self) -> bool:
        """Whether every send has ended and been reported."""
        return not self.pending_count and not self.unreported

    def start(self) -> None:
        """Reject sends to unsuitable targets at once and start the others.

        The peer needs the rejections and the receipt early, to send elsewhere,
        while starting all sends takes many milliseconds of processor time.
        """
        now = self.gateway.now()
        self.started_at = now
        # The remaining time is that at the sender. Without a pause of this
        # process, the message has arrived within milliseconds.
        age_s = self.gateway.pauses.message_age_s(now)
        self.deadline = now + self.request.left_ms / MS_PER_SECOND - age_s
        rejected: list[SendEnd] = []
        for index, name in enumerate(self.request.items):
            target = self.gateway.targets.get(TargetId(name))
            rejection = self._rejection_outcome(index, target, now)
            if target is None or rejection is not None:
                outcome = rejection or SendOutcome.NOT_SENT
                rejected.append((make_part(index, outcome, target), None))
            else:
                self.waiting[index] = target
        self.pending_count -= len(rejected)
        if rejected:
            self._send(rejected)
        elif self.request.want_receipt:
            busy_share = self.gateway.pauses.load.read_share(now)
            receipt = Receipt(busy=busy_share > MAX_BUSY_SHARE)
            self.connection.send(Frame(number=self.number, receipt=receipt))
        if self.waiting:
            self._schedule_report(self.request.report_ms / MS_PER_SECOND)
            self.overdue_timer = asyncio.get_running_loop().call_later(
                self.latency_estimate.hedge_delay_s(), self._on_overdue
            )
            # Cancellations that have been received with the request, as after a
            # pause of this process, are handled before the sends start.
            self.starts.add(self)

    def start_some(self) -> None:
        """Start some of the waiting sends."""
        now = self.gateway.now()
        with StepTimer(metrics=self.gateway.metrics, step=Step.DELEGATED_SENDS):
            for index in list(self.waiting)[: const.SENDS_PER_TURN]:
                self._start_send(index, self.waiting.pop(index), now)

    def _start_send(self, index: int, target: Target, now: float) -> None:
        """Start the send to one target."""
        send = Send(
            caller=self.caller,
            target=target,
            latency_estimate=self.latency_estimate,
            deadline=self.deadline,
            require_fresh_connection=self.request.fresh_connection,
            now=now,
            on_end=partial(self._on_send_end, index),
        )
        send.on_silence = partial(self._on_silence, index, target)
        send.max_records = self.request.limit
        send.for_peer = True
        send.peer_permit = index in self.request.permitted
        self.sends[index] = send
        start_directly(send, now)

    def _rejection_outcome(
        self,
        index: int,
        target: Target | None,
        now: float,
    ) -> SendOutcome | None:
        """Return why not to send to a target, None to send."""
        if target is None or self.deadline - now < MIN_SEND_TIME_S:
            return SendOutcome.NOT_SENT
        if self.gateway.crash_suspects.refuses(self.caller, now):
            return SendOutcome.SUSPECTED
        if target.link.state is LinkState.CUT_OFF:
            return SendOutcome.NO_PATH
        if not target.announcement.allows_send(now):
            return SendOutcome.UNWANTED
        if target.displaced:
            # Not MISDIRECTED: that would make the requesting instance displace
            # the target again with each request.
            return SendOutcome.UNREACHABLE
        # The peer may not know that the target is out of use.
        permitted = target.in_service and (
            index in self.request.permitted
            or target.rate_limits.has_permit(
                target.entry, target.announcement.rate_limit, now
            )
        )
        if not permitted:
            return SendOutcome.UNWANTED
        candidate = target.as_candidate(self.latency_estimate.mean_s, now)
        if self.request.may_decline and should_decline(candidate, now):
            return SendOutcome.DECLINED
        allowed = not self.request.sponsored or self.gateway.sponsor(
            target.entry, now
        )
        return None if allowed else SendOutcome.OVER_BUDGET

    def cancel(self, index: int) -> None:
        """Cancel one send."""
        if self.waiting.pop(index, None) is not None:
            self.pending_count -= 1
            return
        send = self.sends.get(index)
        if send is None or send.ended:
            return
        self.pending_count -= 1
        send.abort()

    def stop(self) -> None:
        """Cancel all sends: the connection to the peer is lost."""
        for timer in (
            self.report_timer,
            self.failure_timer,
            self.overdue_timer,
        ):
            if timer is not None:
                timer.cancel()
        self.report_timer = self.failure_timer = self.overdue_timer = None
        for index in (*self.waiting, *self.sends):
            self.cancel(index)

    def _on_send_end(
        self,
        index: int,
        send: Send,
        outcome: SendOutcome,
        answer: TargetAnswer | None,
    ) -> None:
        """Handle the end of one send."""
        self._record_end(index, outcome, answer, send.target)

    def _record_end(
        self,
        index: int,
        outcome: SendOutcome,
        answer: TargetAnswer | None,
        target: Target,
    ) -> None:
        """Record the end of a send and schedule its report."""
        self.pending_count -= 1
        if self.request.whole_answers and _is_too_long(answer):
            outcome, answer = SendOutcome.LOST, None
        part = make_part(index, outcome, target)
        now = self.gateway.now()
        part.stamp = answer.stamp if answer else ''
        part.took_ms = round((now - self.started_at) * MS_PER_SECOND)
        if answer is not None and self.request.whole_answers:
            _add_answer(part, answer)
        self.unreported.append((part, answer))
        if self.pending_count:
            self._schedule_end_report(outcome)
            return
        if self.overdue_timer is not None:
            self.overdue_timer.cancel()
            self.overdue_timer = None
        self._report_ended()

    def _schedule_end_report(self, outcome: SendOutcome) -> None:
        """Schedule the report of a send that has ended before others."""
        if self.first_report_sent:
            self._schedule_report(const.REPORT_BATCH_DELAY_S)
        elif outcome is not SendOutcome.ANSWERED and self.failure_timer is None:
            loop = asyncio.get_running_loop()
            self.failure_timer = loop.call_later(
                const.REPORT_BATCH_DELAY_S,
                self._report_failures,
            )

    def _on_silence(self, index: int, target: Target) -> None:
        """Report that this instance is cut off from the target of a send."""
        part = make_part(index, SendOutcome.LOST, target)
        part.silent = True
        self.unreported.append((part, None))
        self._schedule_end_report(SendOutcome.LOST)

    def _on_overdue(self) -> None:
        """Record the sends that have not been answered within the usual time."""
        self.overdue_timer = None
        now = self.gateway.now()
        due_at = self.started_at + self.latency_estimate.hedge_delay_s()
        if now - due_at > MAX_TIMER_LATENESS_S:
            return
        for send in list(self.sends.values()):
            if not send.ended:
                self.gateway.record_overdue(send, now)

    def _schedule_report(self, delay_s: float) -> None:
        """Schedule a report, unless an earlier one is scheduled."""
        loop = asyncio.get_running_loop()
        due_at = loop.time() + delay_s
        if self.report_timer is not None:
            if self.report_timer.when() <= due_at:
                return
            self.report_timer.cancel()
        self.report_timer = loop.call_at(due_at, self._on_report_due)

    def _on_report_due(self) -> None:
        """Report even if no send has ended, to show that this peer is alive."""
        self.report_timer = None
        others_late = not self.first_report_sent
        self._report_ended(others_late=others_late)

    def _report_failures(self) -> None:
        """Report failures early, so that the peer can retry them elsewhere."""
        self.failure_timer = None
        failed = [end for end in self.unreported if not _is_answer(end)]
        if failed:
            self.unreported = [
                end for end in self.unreported if _is_answer(end)
            ]
            self._send(failed)

    def _report_ended(self, *, others_late: bool = False) -> None:
        """Report all ended sends that have not been reported.

        `others_late` is whether the sends that have not ended are late.
        """
        if self.report_timer is not None:
            self.report_timer.cancel()
            self.report_timer = None
        self.first_report_sent = True
        ends = self.unreported
        self.unreported = []
        self._send(ends, others_late=others_late)

    def _send(
        self, ends: Sequence[SendEnd], *, others_late: bool = False
    ) -> None:
        """Send a report with the top records of the answers."""
        record_bytes = self.gateway.wire.record_bytes
        records: list[tuple[bytes, int]] = []
        for place, (part, answer) in enumerate(ends):
            if answer is not None and _is_answer((part, answer)):
                records.extend(
                    (record, place)
                    for record in split_records(answer.body, record_bytes)
                )
        top_records = self.selection.select(records)
        self.connection.send(
            Frame(
                number=self.number,
                parts=Parts(
                    parts=[part for part, _ in ends],
                    records=b''.join(record for record, _ in top_records),
                    owners=[place for _, place in top_records],
                    cut=len(records) > len(top_records),
                    others_late=others_late,
                ),
            ),
        )


def _add_answer(part: Part, answer: TargetAnswer) -> None:
    """Add a whole answer to the report of a send."""
    part.answer.status = answer.status
    part.answer.headers.update(answer.headers)
    part.answer.body = answer.body


def _is_too_long(answer: TargetAnswer | None) -> bool:
    """Return whether an answer is too long for a message to the peer."""
    return answer is not None and len(answer.body) > const.MAX_WHOLE_BODY_BYTES


def _is_answer(end: SendEnd) -> bool:
    """Whether a send ended with a valid answer."""
    part, answer = end
    answered = part.outcome == relay_pb2.SEND_OUTCOME_ANSWERED
    return answer is not None and answered
