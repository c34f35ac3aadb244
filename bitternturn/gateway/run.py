"""One request on its way: its parts, their sends and its end."""

import asyncio
import math
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.core.ids import ServiceName, TargetId
from bitternturn.gateway import const
from bitternturn.gateway.models import (
    CallerRequest,
    Outcome,
    Repeat,
    Route,
    TargetAnswer,
)
from bitternturn.gateway.parts import Part, Result, Times
from bitternturn.gateway.target import Send, Target
from bitternturn.policy.patience import Progress, UsualTimes, Verdict, judge
from bitternturn.policy.second_sends import SecondSends, SendReason

# Unusual sends of one request that are told in its log line.
MAX_REMEMBERED = 12
# Hedge delays that a request has to last until its targets count as silent.
SILENT_HEDGES = 2
# Ends after which the target has not run the request.
HARMLESS = frozenset(
    (
        Outcome.NOT_SENT,
        Outcome.UNREACHABLE,
        Outcome.DECLINED,
        Outcome.NOT_RUN,
        Outcome.MISDIRECTED,
    ),
)
# Ends of sends that no target has received.
UNSENT = frozenset((Outcome.NOT_SENT, Outcome.UNREACHABLE, Outcome.DECLINED))
# Ends after which every other target is tried first for the same part.
USELESS = frozenset((Outcome.UNREACHABLE, Outcome.MISDIRECTED))


class Surroundings(Protocol):
    """What a request needs of the gateway."""

    def now(self) -> float:
        """Return the present time in seconds; suspended time counts."""

    def choose(
        self,
        service: ServiceName,
        avoided: Sequence[TargetId],
        usual_s: float,
    ) -> Target | None:
        """Return the target to send to next, or None."""

    def second_sends(self, service: ServiceName) -> SecondSends:
        """Return the budget of a service."""

    def start(self, send: Send, now: float) -> None:
        """Send to a target, directly or through a peer."""

    def note_silence(self, targets: Sequence[TargetId], now: float) -> None:
        """Take in that targets leave a request without enough answers."""


class Run:
    """Sends a request to its parts until it can be answered or given up."""

    def __init__(
        self,
        *,
        caller: CallerRequest,
        route: Route,
        services: Sequence[ServiceName],
        usual: UsualTimes,
        around: Surroundings,
        times: Times,
        on_end: Callable[[Result], None],
    ) -> None:
        """Hold the request; `start` sends it."""
        self.caller = caller
        self.route = route
        self.usual = usual
        self.around = around
        self.aim_at = times.aim_at
        self.deadline = times.deadline
        self.least = route.least_parts()
        self.parts = [Part(service=service) for service in services]
        self.on_end: Callable[[Result], None] | None = on_end
        self.timer: asyncio.TimerHandle | None = None
        self.repeatable = route.repeat is Repeat.IDEMPOTENT
        self.hedges = 0
        # When the timer is due, on the gateway's clock.
        self.wake_at: float = 0
        # Sends that were not the first of a part or ended without an answer.
        self.unusual: list[dict[str, Any]] = []
        self.retries = 0
        # When targets that have not answered yet count as silent.
        self.silent_from = math.inf

    def start(self) -> None:
        """Send each part once."""
        now = self.around.now()
        if len(self.parts) > 1:
            hedged_s = SILENT_HEDGES * self.usual.hedge_delay_s()
            self.silent_from = max(self.aim_at, now + hedged_s)
        for part in self.parts:
            part.started_at = now
            self._send(part, now)
        self._review(now)

    def abandon(self) -> None:
        """End without an answer: the caller has left."""
        self.on_end = None
        self._stop()

    def _send(self, part: Part, now: float) -> bool:
        """Send a part to the best target; return whether there is one."""
        target = self._find_target(part)
        if target is None or self.deadline - now < const.MIN_SEND_S:
            part.closed = not part.under_way
            return False
        if not part.sends:
            self.around.second_sends(part.service).note_request(now)
        part.sends += 1
        part.reached.add(target.entry.id)
        send = Send(
            caller=self.caller,
            target=target,
            usual=self.usual,
            deadline=self.deadline,
            fresh=not self.repeatable,
            now=now,
            on_end=lambda send, outcome, answer: self._take_end(
                part, send, outcome, answer
            ),
        )
        send.limit = self.route.max_records
        send.declinable = not part.declined
        send.hurried = part.sends > 1
        part.under_way.append(send)
        self.around.start(send, now)
        return True

    def _find_target(self, part: Part) -> Target | None:
        """Return where a part may go next: to a target not tried yet, first."""
        if part.received >= self.route.attempts + const.SENDS_BEYOND:
            return None
        if part.unsent > const.MAX_UNSENT:
            return None
        usual_s = self.usual.mean_s
        target: Target | None = None
        if len(part.reached) < self.route.attempts:
            avoided = [*part.reached, *part.useless]
            target = self.around.choose(part.service, avoided, usual_s)
        if target is not None:
            return target
        if part.unreached > const.MAX_UNSENT:
            return None
        busy = [send.target.entry.id for send in part.under_way]
        again = self.around.choose(part.service, busy, usual_s)
        if again is None:
            return None
        known = again.entry.id in part.reached | part.useless
        return again if known else None

    def _take_end(
        self,
        part: Part,
        send: Send,
        outcome: Outcome,
        answer: TargetAnswer | None,
    ) -> None:
        """Take the end of one send."""
        if send in part.under_way:
            part.under_way.remove(send)
        harmless = outcome in HARMLESS
        part.maybe_run = part.maybe_run or not harmless
        if part.closed or self.on_end is None:
            return
        now = self.around.now()
        self._remember(part, send, outcome, now)
        if outcome is Outcome.ANSWERED:
            self._close(part, answer)
        else:
            part.failure = answer or part.failure
            if harmless:
                part.reached.discard(send.target.entry.id)
            if outcome in USELESS:
                part.useless.add(send.target.entry.id)
            part.declined |= outcome is Outcome.DECLINED
            part.unsent += outcome is Outcome.NOT_SENT
            part.unreached += outcome in UNSENT
            self._repeat(part, outcome, now)
        self._review(now)

    def _remember(
        self,
        part: Part,
        send: Send,
        outcome: Outcome,
        now: float,
    ) -> None:
        """Keep what an engineer wants to know of an unusual send."""
        if outcome is not Outcome.ANSWERED or part.sends > 1:
            self._remember_send(part, send, outcome.value, now)

    def _remember_open(self, now: float) -> None:
        """Keep the sends that a request ends without."""
        for part in self.parts:
            if part.closed:
                continue
            for send in part.under_way:
                self._remember_send(part, send, 'unanswered', now)

    def _remember_send(
        self,
        part: Part,
        send: Send,
        outcome: str,
        now: float,
    ) -> None:
        """Keep one send, up to a number."""
        if len(self.unusual) >= MAX_REMEMBERED:
            return
        self.unusual.append(
            {
                'service': part.service,
                'target': send.target.entry.id,
                'outcome': outcome,
                'at_ms': send.started_at,
                'took_ms': round((now - send.started_at) * MS_PER_SECOND, 1),
            },
        )

    def _close(self, part: Part, answer: TargetAnswer | None) -> None:
        """Want no more of a part."""
        part.closed = True
        part.answer = answer
        for send in part.under_way:
            send.detach()

    def _repeat(self, part: Part, outcome: Outcome, now: float) -> None:
        """Send a part again after a failure, if it may be."""
        if self.repeatable or outcome in HARMLESS:
            budget = self.around.second_sends(part.service)
            free = outcome in UNSENT
            if free or budget.try_spend(SendReason.RETRY, now):
                self.retries += 1
                if self._send(part, now):
                    return
        part.closed = not part.under_way

    def _hedge(self, now: float) -> None:
        """Ask another target for each part that is late."""
        delay_s = self.usual.hedge_delay_s()
        for part in self.parts:
            if part.closed or not part.under_way:
                continue
            newest = part.under_way[-1]
            late = now - newest.started_at >= delay_s + newest.travel_s
            if late and len(part.reached) < self.route.attempts:
                self._hedge_part(part, now)

    def _hedge_part(self, part: Part, now: float) -> None:
        """Ask another target for a part if the budget has room."""
        other = self.around.choose(
            part.service,
            [*part.reached, *part.useless],
            self.usual.mean_s,
        )
        if other is None:
            return
        budget = self.around.second_sends(part.service)
        if budget.try_spend(SendReason.HEDGE, now):
            self.hedges += 1
            self._send(part, now)

    def _review(self, now: float, *, due: float | None = None) -> None:
        """End the request if it is time, else look again later.

        `due` is when the look was wanted, if that was by a timer.
        """
        if self.on_end is None:
            return
        progress = self.progress()
        verdict = judge(
            progress,
            now=now,
            aim_at=self.aim_at,
            deadline=self.deadline,
        )
        if verdict is Verdict.WAIT:
            if now >= self.silent_from:
                self._note_silence(now)
            self._arm(now)
            return
        on_end = self.on_end
        self.on_end = None
        self._remember_open(now)
        self._stop()
        on_end(
            Result(
                verdict=verdict,
                parts=self.parts,
                decided_at=now if due is None else due,
                maybe_run=any(part.maybe_run for part in self.parts),
            ),
        )

    def _note_silence(self, now: float) -> None:
        """Tell once which targets keep the request from being answered."""
        self.silent_from = math.inf
        latest = now - self.usual.hedge_delay_s()
        self.around.note_silence(
            [
                send.target.entry.id
                for part in self.parts
                for send in part.under_way
                if send.started_at <= latest
            ],
            now,
        )

    def progress(self) -> Progress:
        """Return how many parts have arrived and may arrive."""
        arrived = sum(1 for part in self.parts if part.answer is not None)
        waiting = sum(1 for part in self.parts if not part.closed)
        return Progress(
            wanted=len(self.parts),
            arrived=arrived,
            open=waiting,
            least=self.least,
        )

    def _arm(self, now: float) -> None:
        """Look again when a part becomes late or time runs out."""
        if self.timer is not None:
            return
        wake = self.deadline
        if len(self.parts) > 1:
            wake = min(wake, self.silent_from)
            if now < self.aim_at:
                wake = min(wake, self.aim_at)
        if self.repeatable:
            wake = min(wake, self._next_hedge(now))
        self.wake_at = wake
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(
            max(const.LEAST_PAUSE_S, wake - now), self._tick
        )

    def _next_hedge(self, now: float) -> float:
        """Return when the next part becomes late."""
        delay_s = self.usual.hedge_delay_s()
        wake = math.inf
        for part in self.parts:
            if part.closed or not part.under_way:
                continue
            if len(part.reached) < self.route.attempts:
                newest = part.under_way[-1]
                due = newest.started_at + delay_s + newest.travel_s
                # One that is due already found no room; it is tried later.
                wake = min(wake, due if due > now else now + delay_s)
        return wake

    def _tick(self) -> None:
        """Hedge and look at the time."""
        self.timer = None
        if self.on_end is None:
            return
        now = self.around.now()
        if self.repeatable:
            self._hedge(now)
        self._review(now, due=min(now, self.wake_at))

    def _stop(self) -> None:
        """Stop the timer and want no more of any part."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        for part in self.parts:
            part.closed = True
            for send in part.under_way:
                sent = send.connection is not None
                part.maybe_run = part.maybe_run or sent
                send.detach()
