"""One target: its connections, the sends under way and its record."""

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

import h11

from bitternturn.core.errors import BitternturnError
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway import const
from bitternturn.gateway.models import (
    CallerRequest,
    Outcome,
    TargetAnswer,
    TargetEntry,
)
from bitternturn.gateway.wire import Wire
from bitternturn.http import const as http
from bitternturn.http.client import ClientConnection, async_connect
from bitternturn.http.models import Response
from bitternturn.policy.cold_share import ColdShare
from bitternturn.policy.patience import UsualTimes
from bitternturn.policy.target_record import (
    DECLINED_SLOWNESS,
    Candidate,
    TargetRecord,
)

# Takes the target, how a send ended, and after how many seconds.
NoteEnd = Callable[['Target', Outcome, float], None]
OnEnd = Callable[['Send', Outcome, TargetAnswer | None], None]


class Closable(Protocol):
    """What carries a send and can be told that it is wanted no more."""

    def close(self) -> None:
        """Stop the send."""


class Send:
    """One send of a request to one target."""

    __slots__ = (
        'caller',
        'connection',
        'deadline',
        'declinable',
        'ended',
        'fresh',
        'hurried',
        'limit',
        'linger',
        'on_end',
        'started_at',
        'target',
        'travel_s',
        'usual',
    )

    def __init__(
        self,
        *,
        caller: CallerRequest,
        target: 'Target',
        usual: UsualTimes,
        deadline: float,
        fresh: bool,
        now: float,
        on_end: OnEnd,
    ) -> None:
        """Prepare a send; `fresh` asks for a connection just used or new."""
        self.caller = caller
        self.target = target
        self.usual = usual
        self.deadline = deadline
        self.fresh = fresh
        self.started_at = now
        self.on_end: OnEnd | None = on_end
        self.connection: Closable | None = None
        # Longer time until an answer is heard of, for a send through a peer.
        self.travel_s: float = 0
        # Records wanted of a part of a request over shards, 0 for others.
        self.limit = 0
        # Whether a peer may decline it in favour of another target.
        self.declinable = False
        # Whether it is one more send of a part, whose answer is waited for.
        self.hurried = False
        self.linger: asyncio.TimerHandle | None = None
        self.ended = False

    def detach(self) -> None:
        """Want no answer any more; one under way may go on for a while."""
        if self.ended:
            return
        self.on_end = None
        if self.connection is None:
            self.target.drop(self)
            return
        loop = asyncio.get_running_loop()
        self.linger = loop.call_later(const.LINGER_S, self._cut)

    def _cut(self) -> None:
        """Close the connection of a send that lingers."""
        if self.connection is not None and not self.ended:
            self.connection.close()


class Target:
    """Connections and sends of one incarnation of a target."""

    def __init__(
        self,
        *,
        entry: TargetEntry,
        wire: Wire,
        tasks: TaskSet,
        now: Callable[[], float],
        note: 'NoteEnd',
        near: bool,
    ) -> None:
        """Hold the entry; connections are opened when needed."""
        self.entry = entry
        self.wire = wire
        self.tasks = tasks
        self.now = now
        self.note = note
        self.near = near
        self.record = TargetRecord()
        self.max_connections = 1
        self.cold_until: float = 0
        self.cold_share = ColdShare()
        # Idle connections and since when, the last used one last.
        self.idle: list[tuple[ClientConnection, float]] = []
        self.idle_s = const.DEFAULT_IDLE_S
        self.opening = 0
        self.waiting: deque[Send] = deque()
        self.sends: set[Send] = set()
        # Those of them that go through peers.
        self.delegated: set[Send] = set()
        self.closed = False
        # Ends the time in which this target is left alone because another one
        # has answered at its address.
        self.displacement: asyncio.TimerHandle | None = None

    @property
    def displaced(self) -> bool:
        """Whether another target has answered at the address lately."""
        return self.displacement is not None

    def readmit(self) -> None:
        """Let the target be sent to again."""
        if self.displacement is not None:
            self.displacement.cancel()
            self.displacement = None

    def describe(self, usual_s: float, now: float) -> Candidate:
        """Return the target as a candidate for a send."""
        oldest_s = 0.0
        if self.sends:
            oldest_s = now - min(send.started_at for send in self.sends)
        return Candidate(
            record=self.record,
            outstanding=len(self.sends),
            slots=self.entry.slots,
            oldest=oldest_s / usual_s,
            near=self.near,
            cold=now < self.cold_until,
            full=bool(self.waiting) and not self.opening,
        )

    def bears(self, now: float) -> bool:
        """Return whether a send would not be too much for a cold target."""
        return now >= self.cold_until or self.cold_share.allows(now)

    def start(self, send: Send, now: float) -> None:
        """Send over an idle connection, or wait for one."""
        self.sends.add(send)
        connection = self._take_idle(now, fresh=send.fresh)
        if connection is not None:
            self._begin(send, connection)
            return
        self.waiting.append(send)
        self._open_more()

    def delegate(self, send: Send, carrier: Closable, travel_s: float) -> None:
        """Count a send that a peer makes."""
        self.sends.add(send)
        self.delegated.add(send)
        send.connection = carrier
        send.travel_s = travel_s

    def drop(self, send: Send) -> None:
        """Take back a send that waits for a connection."""
        self.finish(send, Outcome.NOT_SENT, None)

    def close(self) -> None:
        """Take no sends any more and close what is idle."""
        self.closed = True
        self.readmit()
        self.close_idle()

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection, _ in self.idle:
            connection.close()
        self.idle.clear()

    def _take_idle(
        self,
        now: float,
        *,
        fresh: bool,
    ) -> ClientConnection | None:
        """Return an idle connection that the target still keeps open."""
        longest_s = self.idle_s * const.IDLE_SHARE
        if fresh:
            longest_s = min(longest_s, const.FRESH_IDLE_S)
        while self.idle:
            connection, since = self.idle[-1]
            if fresh and now - since > longest_s:
                return None
            self.idle.pop()
            if connection.usable and now - since <= longest_s:
                return connection
            connection.close()
        return None

    def _open_more(self) -> None:
        """Open connections for those that wait, within the limit."""
        own = len(self.sends) - len(self.delegated)
        busy = own - len(self.waiting)
        held = busy + self.opening
        if self.opening >= len(self.waiting) or held >= self.max_connections:
            return
        # An idle connection that is not fresh makes room for a new one.
        if held + len(self.idle) >= self.max_connections and self.idle:
            self.idle.pop(0)[0].close()
        self.opening += 1
        self.tasks.spawn(self._async_open())

    async def _async_open(self) -> None:
        """Open one connection and give it to a send that waits."""
        failed = False
        try:
            async with asyncio.timeout(const.CONNECT_TIMEOUT_S):
                connection = await async_connect(
                    host=self.entry.host,
                    port=self.entry.port,
                )
        except (TimeoutError, BitternturnError):
            failed = True
        self.opening -= 1
        if failed:
            self._fail_opening()
        else:
            self._offer(connection)

    def _fail_opening(self) -> None:
        """End the first send that waits: the target can't be reached."""
        if self.waiting:
            self.finish(self.waiting[0], Outcome.UNREACHABLE, None)
        else:
            self.record.note_failure(self.now())

    def _offer(self, connection: ClientConnection) -> None:
        """Use a free connection, or keep it."""
        if self.waiting:
            self._begin(self.waiting.popleft(), connection)
        elif self.closed:
            connection.close()
        else:
            self.idle.append((connection, self.now()))

    def _begin(self, send: Send, connection: ClientConnection) -> None:
        """Write the request."""
        send.connection = connection
        left_s = max(const.MIN_SEND_S, send.deadline - self.now())
        try:
            connection.start_exchange(
                method=send.caller.method,
                path=send.caller.target,
                headers=self.wire.write_send(send.caller, self.entry, left_s),
                body=send.caller.body,
                on_end=partial(self._take_end, send),
            )
        except (BitternturnError, h11.LocalProtocolError):
            connection.close()
            self.finish(send, Outcome.NOT_SENT, None)

    def _take_end(
        self,
        send: Send,
        end: Response | BitternturnError,
    ) -> None:
        """Take the end of an exchange."""
        if isinstance(end, BitternturnError):
            self.finish(send, Outcome.LOST, None)
            return
        answer = self.wire.read_answer(end)
        connection = send.connection
        assert isinstance(connection, ClientConnection)
        if answer.request_id not in {'', send.caller.id}:
            # A late answer to an earlier request: the order is lost.
            connection.close()
            self.finish(send, Outcome.LOST, None)
            return
        if answer.idle_s is not None:
            self.idle_s = answer.idle_s
        self.finish(send, _classify(answer), answer)
        if connection.usable:
            self._offer(connection)

    def finish(
        self,
        send: Send,
        outcome: Outcome,
        answer: TargetAnswer | None,
        took_s: float | None = None,
    ) -> None:
        """Account for the end of a send and tell who waits for it.

        `took_s` is the time that the target took by the word of a peer.
        """
        if send.ended:
            return
        send.ended = True
        self.sends.discard(send)
        self.delegated.discard(send)
        if send.linger is not None:
            send.linger.cancel()
        if send.connection is None and send in self.waiting:
            self.waiting.remove(send)
        self._note(send, outcome, took_s)
        if send.on_end is not None:
            send.on_end(send, outcome, answer)
        if self.waiting:
            self._open_more()

    def _note(
        self,
        send: Send,
        outcome: Outcome,
        took_s: float | None,
    ) -> None:
        """Put the end of a send into the record."""
        now = self.now()
        latency_s = now - send.started_at if took_s is None else took_s
        if outcome is Outcome.ANSWERED:
            self.record.note_success(now)
            self.record.note_latency(latency_s / send.usual.mean_s, now)
            send.usual.note(latency_s)
        elif outcome is Outcome.LOST and send.on_end is None:
            # Cut while lingering: it would have taken at least this long.
            self.record.note_latency(latency_s / send.usual.mean_s, now)
        elif outcome is Outcome.DECLINED:
            self.record.note_latency(DECLINED_SLOWNESS, now)
        elif outcome is not Outcome.NOT_SENT:
            self.record.note_failure(now)
        self.note(self, outcome, latency_s)


def _classify(answer: TargetAnswer) -> Outcome:
    """Return what an answer says of its request."""
    if answer.misdirected:
        return Outcome.MISDIRECTED
    if answer.not_run:
        return Outcome.NOT_RUN
    good = http.STATUS_OK <= answer.status < http.STATUS_MULTIPLE
    if good and answer.stamp and not answer.encoded:
        return Outcome.ANSWERED
    return Outcome.FAILED


def start_directly(send: Send, now: float) -> None:
    """Send to a target over a connection of this instance."""
    send.target.start(send, now)
