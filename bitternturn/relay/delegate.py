"""Makes sends that a peer asked for, and tells how they ended."""

import asyncio
from collections.abc import Sequence
from functools import partial

from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.core.ids import TargetId
from bitternturn.gateway.gateway import Gateway
from bitternturn.gateway.merge import split_records
from bitternturn.gateway.models import CallerRequest, Outcome, TargetAnswer
from bitternturn.gateway.target import Send, Target, start_directly
from bitternturn.policy.patience import UsualTimes
from bitternturn.policy.target_record import declines
from bitternturn.relay import const
from bitternturn.relay.connection import RelayConnection
from bitternturn.relay.outcomes import encode_outcome
from bitternturn.schema import relay_pb2
from bitternturn.schema.relay_pb2 import Frame, Part, Parts, Sends

# How one send ended, with its answer if there is one.
End = tuple[Part, TargetAnswer | None]


class Delegate:
    """The sends of one message of a peer."""

    def __init__(
        self,
        *,
        gateway: Gateway,
        connection: RelayConnection,
        number: int,
        asked: Sends,
    ) -> None:
        """Hold what was asked; `start` sends."""
        self.gateway = gateway
        self.connection = connection
        self.number = number
        self.asked = asked
        self.usual = UsualTimes(aim_s=1)
        self.usual.mean_s = max(1, asked.usual_ms) / MS_PER_SECOND
        self.sends: dict[int, Send] = {}
        self.open = len(asked.items)
        self.started_at: float = 0
        self.reported = False
        # Ends that are not told yet, with their answers.
        self.ended: list[End] = []
        self.timer: asyncio.TimerHandle | None = None
        # Tells failures before the report.
        self.early: asyncio.TimerHandle | None = None

    @property
    def done(self) -> bool:
        """Whether everything has been told."""
        return not self.open and not self.ended

    def start(self) -> None:
        """Send to each target that is known here."""
        now = self.gateway.now()
        self.started_at = now
        caller = CallerRequest(
            id=self.asked.request_id,
            method=self.asked.method,
            target=self.asked.target,
            path='',
            host='',
            remaining_s=None,
            headers=[(it.name, it.value) for it in self.asked.headers],
            body=b'',
        )
        self._arm(self.asked.report_ms / MS_PER_SECOND)
        for index, name in enumerate(self.asked.items):
            target = self.gateway.targets.get(TargetId(name))
            unsent = self._reason_against(target, now)
            if target is None or unsent is not None:
                self._note(index, unsent or Outcome.NOT_SENT, None, now)
                continue
            send = Send(
                caller=caller,
                target=target,
                usual=self.usual,
                deadline=now + self.asked.left_ms / MS_PER_SECOND,
                fresh=False,
                now=now,
                on_end=partial(self._take_end, index),
            )
            self.sends[index] = send
            start_directly(send, now)

    def _reason_against(
        self,
        target: Target | None,
        now: float,
    ) -> Outcome | None:
        """Return why nothing is sent to a target, None if it is sent to."""
        if target is None:
            return Outcome.NOT_SENT
        if target.displaced:
            # Not misdirected: the other instance would displace the target
            # anew with each question.
            return Outcome.UNREACHABLE
        if not self.asked.may_decline:
            return None
        view = target.describe(self.usual.mean_s, now)
        return Outcome.DECLINED if declines(view, now) else None

    def cancel(self, index: int) -> None:
        """Stop one send."""
        send = self.sends.get(index)
        if send is None or send.ended:
            return
        self.open -= 1
        send.on_end = None
        if send.connection is None:
            send.target.drop(send)
        else:
            send.connection.close()

    def stop(self) -> None:
        """Stop all sends: the peer is gone."""
        for timer in (self.timer, self.early):
            if timer is not None:
                timer.cancel()
        self.timer = self.early = None
        for index in self.sends:
            self.cancel(index)

    def _take_end(
        self,
        index: int,
        send: Send,
        outcome: Outcome,
        answer: TargetAnswer | None,
    ) -> None:
        """Take the end of one send."""
        self._note(index, outcome, answer, self.gateway.now())

    def _note(
        self,
        index: int,
        outcome: Outcome,
        answer: TargetAnswer | None,
        now: float,
    ) -> None:
        """Keep an end until it is told."""
        self.open -= 1
        part = Part(
            index=index,
            outcome=encode_outcome(outcome),
            stamp=answer.stamp if answer else '',
            took_ms=round((now - self.started_at) * MS_PER_SECOND),
        )
        self.ended.append((part, answer))
        if not self.open:
            self._tell()
        elif self.reported:
            self._arm(const.LATE_REPORT_S)
        elif outcome is not Outcome.ANSWERED and self.early is None:
            loop = asyncio.get_running_loop()
            self.early = loop.call_later(
                const.LATE_REPORT_S,
                self._tell_failures,
            )

    def _arm(self, delay_s: float) -> None:
        """Tell what has ended after a while, or sooner if that was planned."""
        loop = asyncio.get_running_loop()
        due = loop.time() + delay_s
        if self.timer is not None:
            if self.timer.when() <= due:
                return
            self.timer.cancel()
        self.timer = loop.call_at(due, self._report)

    def _report(self) -> None:
        """Tell what has ended, also when nothing has: this instance lives."""
        self.timer = None
        self._tell()

    def _tell_failures(self) -> None:
        """Tell the failures before the report, so that others are asked."""
        self.early = None
        failed = [end for end in self.ended if not _is_answer(end)]
        if failed:
            self.ended = [end for end in self.ended if _is_answer(end)]
            self._send(failed)

    def _tell(self) -> None:
        """Tell the ends that are not told yet."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.reported = True
        ended = self.ended
        self.ended = []
        self._send(ended)

    def _send(self, ended: Sequence[End]) -> None:
        """Send the message about some ends."""
        record_bytes = self.gateway.wire.record_bytes
        records: list[tuple[bytes, int]] = []
        for place, (part, answer) in enumerate(ended):
            if answer is not None and _is_answer((part, answer)):
                records.extend(
                    (record, place)
                    for record in split_records(answer.body, record_bytes)
                )
        records.sort(reverse=True)
        kept = records[: self.asked.limit]
        self.connection.send(
            Frame(
                number=self.number,
                parts=Parts(
                    parts=[part for part, _ in ended],
                    records=b''.join(record for record, _ in kept),
                    owners=[place for _, place in kept],
                    cut=len(records) > len(kept),
                ),
            ),
        )


def _is_answer(end: End) -> bool:
    """Return whether a send ended with a valid answer."""
    part, answer = end
    answered = part.outcome == relay_pb2.SEND_OUTCOME_ANSWERED
    return answer is not None and answered
