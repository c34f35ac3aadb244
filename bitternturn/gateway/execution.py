"""Execution of one request: sends its parts, retries, hedges and ends it."""

import asyncio
import math
from collections.abc import Callable, Collection, Sequence
from functools import partial

from bitternturn.core.ids import ServiceName
from bitternturn.gateway import const
from bitternturn.gateway.dispatcher import Dispatcher
from bitternturn.gateway.models import (
    REPLY_OUTCOMES,
    UNDELIVERED_OUTCOMES,
    CallerRequest,
    RefusalReason,
    RepeatPolicy,
    Route,
    SendOutcome,
    TargetAnswer,
)
from bitternturn.gateway.parts import Deadlines, Part, PartCounts, RequestResult
from bitternturn.gateway.probing import ProbedParts
from bitternturn.gateway.send import Send
from bitternturn.gateway.send_log import SendLog
from bitternturn.gateway.target import Target
from bitternturn.gateway.work_log import Step, StepTimer
from bitternturn.policy.answer_timing import (
    LatencyEstimate,
    Progress,
    Verdict,
    evaluate_progress,
)
from bitternturn.policy.further_send_budget import SendReason

# Time in which an instance finds out, and tells its peers, that targets have
# ended after connections to them were lost.
END_CHECK_S = 0.02
# Log entry of a part for which rate limits left no target.
LIMITED_PART = 'limited'
# Number of hedge delays after which targets that have not answered a request
# count as unresponsive.
UNRESPONSIVE_HEDGE_DELAYS = 2
# Number of peers that could not make a send after which it is made directly.
MAX_UNSUCCESSFUL_PEERS = 2
# Outcomes that guarantee that the target has not run the request.
NOT_RUN_OUTCOMES = frozenset(
    (
        SendOutcome.NOT_SENT,
        SendOutcome.NO_PATH,
        SendOutcome.UNREACHABLE,
        SendOutcome.DECLINED,
        SendOutcome.OVER_BUDGET,
        SendOutcome.UNWANTED,
        SendOutcome.SUSPECTED,
        SendOutcome.NOT_RUN,
        SendOutcome.MISDIRECTED,
    ),
)
# Outcomes after which the target is used for the same part only if no other
# target is left.
UNUSABLE_TARGET_OUTCOMES = frozenset(
    (
        SendOutcome.UNREACHABLE,
        SendOutcome.NO_PATH,
        SendOutcome.MISDIRECTED,
        SendOutcome.UNWANTED,
    )
)


class RequestExecution:
    """Sends the parts of a request until it is answered or given up."""

    def __init__(
        self,
        *,
        caller: CallerRequest,
        route: Route,
        services: Sequence[ServiceName],
        latency_estimate: LatencyEstimate,
        dispatcher: Dispatcher,
        deadlines: Deadlines,
        on_end: Callable[[RequestResult], None],
        repeated: bool = False,
    ) -> None:
        """Initialise the request; `start` sends its parts.

        `repeated` is whether a peer may have sent them before.
        """
        self.caller = caller
        self.route = route
        self.latency_estimate = latency_estimate
        self.dispatcher = dispatcher
        self.soft_deadline = deadlines.soft_deadline
        self.deadline = deadlines.deadline
        self.min_parts = route.min_parts()
        self.counts = PartCounts(total=len(services))
        self.parts = [
            Part(service=service, counts=self.counts) for service in services
        ]
        for part in self.parts if repeated else ():
            part.record_unknown_try()
        # Services to which the current configuration lets the request go.
        self.allowed_services: Collection[ServiceName] = services
        self.on_end: Callable[[RequestResult], None] | None = on_end
        self.timer: asyncio.TimerHandle | None = None
        self.repeatable = route.repeat_policy is RepeatPolicy.IDEMPOTENT
        self.hedges = 0
        # Hedges that the budget did not allow.
        self.denied_hedges = 0
        # When the timer is due, on the clock of `Dispatcher.now`.
        self.timer_due_at: float = 0
        self.send_log = SendLog()
        self.retries = 0
        # Order of the parts if the request may crash targets.
        self.probed: ProbedParts | None = None
        # Number of sends that were lost, and parts that are retried once it is
        # known whether targets have ended.
        self.lost_count = 0
        # Why the request is refused that nothing has been sent of, if it is.
        self.refusal: RefusalReason | None = None
        self.suspended: list[Part] = []
        # Time from which targets that have not answered count as unresponsive.
        self.unresponsive_at = math.inf
        # When the first sends of all parts were handed on.
        self.sent_at: float = 0

    def start(self) -> None:
        """Start the first send of each part."""
        now = self.dispatcher.now()
        if len(self.parts) > 1:
            unresponsive_delay_s = (
                UNRESPONSIVE_HEDGE_DELAYS
                * self.latency_estimate.hedge_delay_s()
            )
            self.unresponsive_at = max(
                self.soft_deadline, now + unresponsive_delay_s
            )
        doubted = self.dispatcher.crash_suspects.doubted_services(self.caller)
        if doubted:
            self._start_probing(self.parts, doubted, now)
        else:
            self._send_parts(self.parts, now)
        self.sent_at = self.dispatcher.now()
        self._evaluate(now)

    def _start_probing(
        self,
        parts: Sequence[Part],
        doubted: Collection[ServiceName],
        now: float,
    ) -> None:
        """Send one of some parts; the others wait until it has ended."""
        self.dispatcher.crash_suspects.begin_probe(self.caller, now)
        self.probed = ProbedParts(parts=parts, doubted=doubted)
        self._send_probe(self.probed, now)

    def _send_parts(self, parts: Sequence[Part], now: float) -> None:
        """Send parts that have not been sent, or whose send was lost.

        Those that peers send leave group by group: the peers are at work while
        the targets of the other parts are chosen.
        """
        sender = self.dispatcher.sender
        for group in sender.group_parts(parts):
            for part in group:
                self._send_or_retry(part, now)
            sender.flush()
            if self.on_end is None:
                return

    def _send_or_retry(self, part: Part, now: float) -> bool:
        """Send a part that is not under way; return whether it was sent."""
        if part.send_count:
            return self._send_again(part, now)
        part.started_at = now
        return self._send_part(part, now)

    def _send_probe(self, probed: ProbedParts, now: float) -> None:
        """Send the next part alone; skip those that can't be sent."""
        part = probed.next_probe()
        while part is not None:
            if self._send_or_retry(part, now):
                return
            part = probed.next_probe()

    def _handle_probe_end(
        self, probed: ProbedParts, part: Part, now: float, *, not_run: bool
    ) -> None:
        """Send the other parts if the probe was answered, else give them up.

        `not_run` is whether the probe has not reached a target.
        """
        if part.answer is not None:
            self._send_parts(probed.release(), now)
        elif not_run:
            self._send_probe(probed, now)
        else:
            for held in probed.release():
                held.set_closed(True)

    def apply_route(self, route: Route | None) -> None:
        """Apply the route of the request in a new configuration, if it has one.

        Sends that have not been written end if it does not allow their service;
        those in flight go on, and nothing follows them.
        """
        self.allowed_services = (
            () if route is None else route.allowed_services()
        )
        if route is not None:
            idempotent = route.repeat_policy is RepeatPolicy.IDEMPOTENT
            self.repeatable = self.repeatable and idempotent
        for part in self.parts:
            if part.service in self.allowed_services:
                continue
            for send in list(part.in_flight):
                if send.connection is None:
                    send.target.end_send(send, SendOutcome.UNWANTED, None)

    def expire(self) -> None:
        """End the request now, with the parts that are answered."""
        now = self.dispatcher.now()
        self.deadline = min(self.deadline, now)
        self._evaluate(now)

    def refuse(self, reason: RefusalReason) -> None:
        """Refuse the request, unless any of it may have been sent."""
        sent = any(
            part.maybe_run
            or part.answer is not None
            or any(send.connection is not None for send in part.in_flight)
            for part in self.parts
        )
        if not sent and self.on_end is not None:
            self.refusal = reason
            self.expire()

    def cancel(self) -> None:
        """Cancel the request because its caller has disconnected."""
        self.on_end = None
        self._detach_sends()

    def _send_part(
        self, part: Part, now: float, *, sponsored: bool = False
    ) -> bool:
        """Send a part to the best target; return whether it was sent.

        `sponsored` is whether a delegate has to allow the send.
        """
        target = self._find_target(part)
        sent = target is not None and self._start_send(
            part, target, now, sponsored=sponsored
        )
        if not sent:
            part.set_closed(not part.in_flight)
        if target is None and self.dispatcher.is_limited(part.service, now):
            part.send_ends.append(LIMITED_PART)
        return sent

    def _start_send(
        self, part: Part, target: Target, now: float, *, sponsored: bool
    ) -> bool:
        """Send a part to a target; return whether it was sent."""
        if self.deadline - now < const.MIN_SEND_TIME_S:
            return False
        if self.dispatcher.crash_suspects.refuses(self.caller, now):
            return False
        direct = part.not_sent_count >= MAX_UNSUCCESSFUL_PEERS
        if sponsored and (
            direct or not self.dispatcher.may_sponsor(target, now)
        ):
            return False
        if not part.send_count:
            self.dispatcher.retry_budget(part.service).record_request(now)
        part.send_count += 1
        part.tried_targets[target.entry.id] += 1
        send = Send(
            caller=self.caller,
            target=target,
            latency_estimate=self.latency_estimate,
            deadline=self.deadline,
            require_fresh_connection=not self.repeatable,
            now=now,
            on_end=lambda send, outcome, answer: self._handle_send_end(
                part, send, outcome, answer
            ),
        )
        send.on_silence = partial(self._handle_silence, part)
        send.on_late = partial(self._handle_late, part)
        send.max_records = self.route.max_records
        send.route = self.route.name
        send.declinable = not part.declined
        send.is_further = part.send_count > 1
        send.sponsored = sponsored
        send.direct = direct
        part.in_flight.append(send)
        if self.caller.from_peer:
            self.caller.replies.setdefault(target.entry.id, False)
        self.dispatcher.start_send(send, now)
        return True

    def _find_target(self, part: Part) -> Target | None:
        """Return the target of the next send, preferably one not tried yet."""
        if part.service not in self.allowed_services:
            return None
        if part.delivered_count >= self.route.max_targets + const.EXTRA_SENDS:
            return None
        if (
            part.not_sent_count > const.MAX_UNDELIVERED_SENDS
            or part.no_path_count > const.MAX_PATHS
        ):
            return None
        typical_latency_s = self.latency_estimate.mean_s
        if not part.tried_targets and not part.unusable_targets:
            return self.dispatcher.select_target(
                part.service, (), typical_latency_s
            )
        target: Target | None = None
        # Targets that may be used again.
        repeated = set(part.tried_targets)
        max_targets = self.route.max_targets if self.caller.may_repeat else 1
        if len(part.tried_targets) < max_targets:
            repeated |= part.unusable_targets
            avoided = [*part.tried_targets, *part.unusable_targets]
            target = self.dispatcher.select_target(
                part.service, avoided, typical_latency_s
            )
        if target is not None:
            return target
        undelivered_count = part.undelivered_count - part.no_path_count
        if undelivered_count > const.MAX_UNDELIVERED_SENDS:
            return None
        avoided = [
            *(
                send.target.entry.id
                for send in part.in_flight
                if not send.silent
            ),
            *(part.unusable_targets - repeated),
        ]
        retried = self.dispatcher.select_target(
            part.service, avoided, typical_latency_s
        )
        if retried is None or retried.entry.id not in repeated:
            return None
        return retried

    def _handle_send_end(
        self,
        part: Part,
        send: Send,
        outcome: SendOutcome,
        answer: TargetAnswer | None,
    ) -> None:
        """Handle the end of one send."""
        if send in part.in_flight:
            part.in_flight.remove(send)
        if self.caller.from_peer and outcome in REPLY_OUTCOMES:
            self.caller.replies[send.target.entry.id] = True
        not_run = outcome in NOT_RUN_OUTCOMES
        part.maybe_run = part.maybe_run or not not_run
        self.caller.maybe_run |= part.maybe_run
        if part.closed or self.on_end is None:
            return
        now = self.dispatcher.now()
        self.send_log.add_unusual(part, send, outcome, now)
        if outcome is SendOutcome.ANSWERED:
            self._close_part(part, answer, via=send.via)
        else:
            part.send_ends.append(outcome.value)
            part.failure = answer or part.failure
            if not_run:
                part.withdraw_try(send.target.entry.id)
            if outcome in UNUSABLE_TARGET_OUTCOMES:
                part.unusable_targets.add(send.target.entry.id)
            part.declined |= outcome is SendOutcome.DECLINED
            part.not_sent_count += outcome is SendOutcome.NOT_SENT
            part.no_path_count += outcome is SendOutcome.NO_PATH
            part.undelivered_count += outcome in UNDELIVERED_OUTCOMES
            self.lost_count += outcome is SendOutcome.LOST
            if outcome is SendOutcome.OVER_BUDGET:
                self.denied_hedges += 1
                part.set_closed(not part.in_flight)
            elif self._suspends_retry(part, outcome):
                self._suspend_retry(part)
            else:
                self._retry_part(part, send, outcome, now)
        if part.closed and self.probed is not None and self._is_probe(part):
            self._handle_probe_end(self.probed, part, now, not_run=not_run)
        self._evaluate(now)

    def _suspends_retry(self, part: Part, outcome: SendOutcome) -> bool:
        """Return whether to find out first if targets have ended.

        If several parts are lost before any is answered, the request may have
        ended their targets, and would end the others as well.
        """
        if outcome is not SendOutcome.LOST or self.lost_count < 2:
            return False
        if part.in_flight or self._is_probe(part):
            return False
        several = self.repeatable and len(self.parts) > 1
        return several and not self._has_answer()

    def _has_answer(self) -> bool:
        """Return whether a part has been answered."""
        return any(part.answer is not None for part in self.parts)

    def _suspend_retry(self, part: Part) -> None:
        """Retry a part once it is known whether targets have ended."""
        if not self.suspended:
            loop = asyncio.get_running_loop()
            loop.call_later(END_CHECK_S, self._resume_retries)
        self.suspended.append(part)

    def _resume_retries(self) -> None:
        """Retry the suspended parts, one at first if targets have ended."""
        parts = [part for part in self.suspended if not part.closed]
        self.suspended = []
        if self.on_end is None or not parts:
            return
        now = self.dispatcher.now()
        if self.dispatcher.links.is_verifying():
            for part in parts:
                self._suspend_retry(part)
            return
        doubted = self.dispatcher.crash_suspects.doubted_services(self.caller)
        if self.probed is not None and self.probed.probe is not None:
            self.probed.held.extend(parts)
        elif doubted and not self._has_answer():
            self._start_probing(parts, doubted, now)
        else:
            self._send_parts(parts, now)
        self._evaluate(now)

    def _is_probe(self, part: Part) -> bool:
        """Return whether a part is sent alone and only once."""
        return self.probed is not None and self.probed.is_probe(part)

    def _handle_silence(self, part: Part) -> None:
        """Hedge a part at once, as the delegate of its send may be lost."""
        if part.closed or self.on_end is None or not self.repeatable:
            return
        now = self.dispatcher.now()
        if all(send.silent for send in part.in_flight):
            self._hedge_part(part, now)
        self._evaluate(now)

    def _handle_late(self, part: Part, send: Send) -> None:
        """Hedge a part whose delegate has found its newest send late.

        The delegate measures the age without the way to it and back, so the
        hedge does not wait for the time that this takes at most.
        """
        if part.closed or self.on_end is None or not self.repeatable:
            return
        tried_all = len(part.tried_targets) >= self.route.max_targets
        newest = bool(part.in_flight) and part.in_flight[-1] is send
        if (
            newest
            and not tried_all
            and not _is_timer_early(send, self.soft_deadline)
        ):
            self._hedge_part(part, self.dispatcher.now())

    def _close_part(
        self, part: Part, answer: TargetAnswer | None, *, via: str | None
    ) -> None:
        """Store the answer of a part and detach its remaining sends."""
        if answer is None:
            part.set_closed(True)
        else:
            part.set_answer(answer, self.dispatcher.now(), via=via)
        for send in part.in_flight:
            send.detach()

    def _retry_part(
        self, part: Part, send: Send, outcome: SendOutcome, now: float
    ) -> None:
        """Retry a part after a failure if safe and within the budget.

        An undelivered send is replaced without further budget, but that of a
        sponsored one has not been spent.
        """
        repeatable = self.repeatable and not self._is_probe(part)
        if repeatable or outcome in NOT_RUN_OUTCOMES:
            undelivered = outcome in UNDELIVERED_OUTCOMES
            free = undelivered and not send.sponsored
            if self._send_again(part, now, free=free):
                return
        part.set_closed(not part.in_flight)

    def _send_again(
        self, part: Part, now: float, *, free: bool = False
    ) -> bool:
        """Send a part again within the budget; return whether it was sent.

        `free` is whether the send needs no budget.
        """
        budget = self.dispatcher.retry_budget(part.service)
        paid = free or budget.try_spend(SendReason.RETRY, now)
        self.retries += paid
        return self._send_part(part, now, sponsored=not paid)

    def _handle_late_parts(self, now: float) -> None:
        """Report the sends that are late, and hedge their parts.

        On a busy host answers may wait to be read when the timer fires late.
        """
        delay_s = self.latency_estimate.hedge_delay_s()
        on_time = now - self.timer_due_at < const.MAX_TIMER_LATENESS_S
        for part in self.parts:
            if part.closed or not part.in_flight:
                continue
            newest = part.in_flight[-1]
            late = now - newest.started_at >= delay_s + newest.relay_delay_s
            if late and on_time:
                self.dispatcher.record_overdue(newest, now)
            tried_all = len(part.tried_targets) >= self.route.max_targets
            if late and self.repeatable and not tried_all:
                self._hedge_part(part, now)

    def _hedge_part(self, part: Part, now: float) -> None:
        """Send a hedge for a part if there is a target and budget for it."""
        target = None if self._is_probe(part) else self._find_target(part)
        if target is None or not self.dispatcher.may_hedge(target, now):
            return
        budget = self.dispatcher.retry_budget(part.service)
        paid = budget.try_spend(SendReason.HEDGE, now)
        if self._start_send(part, target, now, sponsored=not paid):
            self.hedges += 1
        else:
            self.denied_hedges += 1

    def _evaluate(self, now: float, *, due: float | None = None) -> None:
        """End the request if it is decided, else schedule the timer.

        `due` is when the timer was due, None if no timer made the call.
        """
        if self.on_end is None:
            return
        progress = self.progress()
        verdict = evaluate_progress(
            progress,
            now=now,
            soft_deadline=self.soft_deadline,
            deadline=self.deadline,
        )
        if verdict is Verdict.WAIT:
            if now >= self.unresponsive_at:
                self._report_unanswered(now)
            self._schedule_timer(now)
            return
        on_end = self.on_end
        self.on_end = None
        self.send_log.add_open(self.parts, now)
        self._detach_sends()
        on_end(
            RequestResult(
                verdict=verdict,
                parts=self.parts,
                due_at=now if due is None else due,
                maybe_run=any(part.maybe_run for part in self.parts),
            ),
        )

    def _report_unanswered(self, now: float) -> None:
        """Report, once per request, the targets that have not answered."""
        self.unresponsive_at = math.inf
        started_before = now - self.latency_estimate.hedge_delay_s()
        self.dispatcher.record_unanswered(
            [
                send
                for part in self.parts
                for send in part.in_flight
                if send.started_at <= started_before
            ],
            now,
        )

    def progress(self) -> Progress:
        """Return the numbers of parts that are answered and still open."""
        return Progress(
            total=len(self.parts),
            answered=self.counts.answered,
            pending=self.counts.open,
            min_parts=self.min_parts,
        )

    def _schedule_timer(self, now: float) -> None:
        """Schedule the next hedge or deadline check, whichever is first."""
        if self.timer is not None:
            return
        due_at = self.deadline
        if len(self.parts) > 1:
            due_at = min(due_at, self.unresponsive_at)
            if now < self.soft_deadline:
                due_at = min(due_at, self.soft_deadline)
        due_at = min(due_at, self._next_hedge_at(now))
        self.timer_due_at = due_at
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(
            max(const.MIN_TIMER_DELAY_S, due_at - now), self._handle_timer
        )

    def _next_hedge_at(self, now: float) -> float:
        """Return when the next part is late enough for a hedge."""
        delay_s = self.latency_estimate.hedge_delay_s()
        due_at = math.inf
        for part in self.parts:
            if part.closed or not part.in_flight:
                continue
            newest = part.in_flight[-1]
            due = newest.started_at + delay_s + newest.relay_delay_s
            if due > now:
                due_at = min(due_at, due)
            elif len(part.tried_targets) < self.route.max_targets:
                # A hedge that is overdue found no target or budget; it is
                # tried again after another hedge delay.
                due_at = min(due_at, now + delay_s)
        return due_at

    def _handle_timer(self) -> None:
        """Hedge late parts and check the deadlines."""
        self.timer = None
        if self.on_end is None:
            return
        now = self.dispatcher.now()
        with StepTimer(metrics=self.dispatcher.metrics, step=Step.TIMER):
            self._handle_late_parts(now)
            self._evaluate(now, due=min(now, self.timer_due_at))

    def _detach_sends(self) -> None:
        """Cancel the timer, close all parts and detach their sends."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        for part in self.parts:
            part.set_closed(True)
            for send in part.in_flight:
                sent = send.connection is not None
                part.maybe_run = part.maybe_run or sent
                send.detach()


def _is_timer_early(send: Send, soft_deadline: float) -> bool:
    """Return whether a hedge by the timer is answered in time as well.

    Fewer parts are late by then, so that it costs fewer hedges.
    """
    delay_s = send.latency_estimate.hedge_delay_s() + send.relay_delay_s
    return send.started_at + 2 * delay_s <= soft_deadline
