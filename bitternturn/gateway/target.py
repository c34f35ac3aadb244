"""One target: its sends in flight, statistics and announcements."""

import asyncio
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

import h11

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway import const
from bitternturn.gateway.announcements import Announcement
from bitternturn.gateway.answers import classify_answer, max_answer_bytes
from bitternturn.gateway.end_detection import EndDetector
from bitternturn.gateway.links import DomainLink, SendLink
from bitternturn.gateway.metrics import make_key
from bitternturn.gateway.models import (
    UNDELIVERED_OUTCOMES,
    Address,
    CallerRequest,
    SendOutcome,
    TargetAnswer,
    TargetEntry,
)
from bitternturn.gateway.rate_limits import RateLimits
from bitternturn.gateway.rollouts import Rollouts
from bitternturn.gateway.send import Send
from bitternturn.gateway.send_results import is_fault_of_link, record_outcome
from bitternturn.gateway.target_connections import TargetConnections
from bitternturn.gateway.wire import Wire
from bitternturn.http.client import ClientConnection
from bitternturn.http.models import Response
from bitternturn.http.response_size import BodyBuffers
from bitternturn.policy.cold_send_limit import ColdSendLimit
from bitternturn.policy.pace import TargetPace
from bitternturn.policy.send_order import SendQueue
from bitternturn.policy.target_selection import (
    Candidate,
    TargetStatistics,
)

# Called with the target, the outcome of a send, its latency in seconds and the
# bytes of its exchange, 0 if a peer made it.
SendRecorder = Callable[['Target', SendOutcome, float, int], None]


@dataclass(kw_only=True, frozen=True, slots=True)
class TargetHooks:
    """Functions of the pool that its targets call."""

    now: Callable[[], float]
    # Returns whether this process was paused after a time.
    paused_since: Callable[[float], bool]
    # Returns whether requests may be sent to the life of a target that an entry
    # describes, as far as this instance knows.
    is_in_service: Callable[[TargetEntry], bool]
    on_send_end: SendRecorder
    # Called with a send whose connection ended without an answer, and the error.
    on_send_lost: Callable[[Send, str], None]
    # Called with a target that has ended, the requests that were under way there
    # and when the first of them was lost.
    on_end: Callable[[TargetEntry, Sequence[CallerRequest], float], None]
    # Called with an answered send.
    on_answer: Callable[[Send], None]
    # Returns whether a request is not sent, as it crashes targets.
    crashes_targets: Callable[[CallerRequest, float], bool]
    # Called once a target has announced that it leaves.
    on_leaving: Callable[['Target'], None]
    # Called with a target and the length of the pause that it asks for, or if
    # that can't be read.
    on_pause: Callable[['Target', float], None]
    on_unread_pause: Callable[['Target'], None]
    # Says whether the version of a target may be used, and counts its answers.
    rollouts: Rollouts
    # Returns the pace of a target, which is not limited.
    make_pace: Callable[[TargetEntry], TargetPace]
    # Called with a send, its outcome and latency, if they show its target.
    on_outcome: Callable[[Send, SendOutcome, float], None]
    # Called once a target no longer names a rate limit.
    on_limit_lifted: Callable[['Target'], None]
    # Whether the quota of the tenant allows a request to be written now.
    may_write: Callable[[CallerRequest, float], bool] = lambda _caller, _now: (
        True
    )


class Target:
    """Connections and sends of one incarnation of a target."""

    def __init__(
        self,
        *,
        entry: TargetEntry,
        wire: Wire,
        tasks: TaskSet,
        buffers: BodyBuffers,
        announcement: Announcement,
        rate_limits: RateLimits,
        link: DomainLink,
        hooks: TargetHooks,
    ) -> None:
        """Initialise without connections; they are opened on demand."""
        self.entry = entry
        self.latency_key = make_key('send_latency', target=entry.id)
        self.wire = wire
        self.buffers = buffers
        self.announcement = announcement
        self.rate_limits = rate_limits
        self.pace = hooks.make_pace(entry)
        # Direct link to the failure domain of the target.
        self.link = link
        self.hooks = hooks
        self.now = hooks.now
        self.record = TargetStatistics()
        self.cold_until: float = 0
        self.cold_send_limit = ColdSendLimit()
        self.connections = TargetConnections(
            address=Address(host=entry.host, port=entry.port),
            tasks=tasks,
            now=hooks.now,
            on_open=self._handle_connected,
            on_failure=self._handle_connect_failure,
        )
        self.end_detector = EndDetector(
            connections=self.connections,
            verify_link=lambda since, on_verdict: self.link.verify(
                since, on_verdict
            ),
            on_end=partial(hooks.on_end, entry),
        )
        self.queued: SendQueue[Send] = SendQueue()
        self.sends: set[Send] = set()
        # Those of `sends` that peers make.
        self.delegated: set[Send] = set()
        self.closed = False
        # Timer that ends the exclusion of this target after another one has
        # answered at its address.
        self.displacement: asyncio.TimerHandle | None = None

    @property
    def displaced(self) -> bool:
        """Whether the target is excluded: another one has its address."""
        return self.displacement is not None

    @property
    def usable(self) -> bool:
        """Whether requests may be sent: neither displaced nor leaving."""
        return not self.displaced and not self.announcement.leaving

    @property
    def in_service(self) -> bool:
        """Whether requests may be written, by the present state of the fleet.

        Unlike the assigned targets, which are chosen when the state changes, this
        also holds for sends that were started before.
        """
        return self.usable and self.hooks.is_in_service(self.entry)

    def readmit(self) -> None:
        """End the exclusion of the target, if it is displaced."""
        if self.displacement is not None:
            self.displacement.cancel()
            self.displacement = None

    def as_candidate(self, typical_latency_s: float, now: float) -> Candidate:
        """Return the target's load and health as input to the selection."""
        oldest_s = 0.0
        if self.sends:
            oldest_s = now - min(send.started_at for send in self.sends)
        return Candidate(
            record=self.record,
            in_flight=len(self.sends),
            slots=self.entry.slots,
            oldest_ratio=oldest_s / typical_latency_s,
            domain_rank=self.link.rank,
            cold=now < self.cold_until,
            full=bool(self.queued.order) and not self.connections.opening_count,
            exceeded_share=self.pace.exceeded_share,
        )

    def within_cold_limit(self, now: float) -> bool:
        """Return whether a cold target's rate limit allows one more send."""
        return now >= self.cold_until or self.cold_send_limit.allows(now)

    def allows_send(self, now: float) -> bool:
        """Return whether the target accepts a request now."""
        announcement = self.announcement
        if now < self.cold_until and not self.cold_send_limit.allows(now):
            return False
        if not announcement.allows_send(now):
            return False
        limited = announcement.rate_limit.per_s is not None
        return not limited or self.is_within_rate_limit(now)

    def is_within_rate_limit(self, now: float) -> bool:
        """Return whether the limit that it has named allows a request."""
        return self.rate_limits.allows(
            self.entry, self.announcement.rate_limit, now
        )

    def has_spare(self, now: float) -> bool:
        """Return whether a send takes no permit that later ones need."""
        return self.rate_limits.has_spare(
            self.entry, self.announcement.rate_limit, now
        )

    def next_send_at(self, now: float) -> float:
        """Return when the target accepts a request again."""
        return max(
            self.announcement.paused_until,
            self.rate_limits.next_at(
                self.entry, self.announcement.rate_limit, now
            ),
        )

    def take_permit(self, send: Send, now: float) -> bool:
        """Take a permit of the rate limit for a send, unless it has one.

        Returns whether the send may be written now.
        """
        limit = self.announcement.rate_limit
        if limit.per_s is None:
            return True
        taken_at = send.started_at if send.peer_permit else send.permitted_at
        if taken_at is not None:
            return now - taken_at <= const.PERMIT_TIMEOUT_S
        if not self.rate_limits.try_take(self.entry, limit, now):
            return False
        send.permitted_at = now
        return True

    def start(self, send: Send, now: float) -> None:
        """Send over an idle connection, or queue the send for one."""
        self.sends.add(send)
        rejection = self._find_rejection(send, now)
        if rejection is not None:
            self.end_send(send, rejection, None)
            return
        connection = self.connections.take_idle(
            send.caller.id, now, fresh=send.require_fresh_connection
        )
        if connection is not None:
            self._write_request(send, connection)
            return
        self.queued.add(
            send, priority=send.caller.priority, deadline=send.deadline
        )
        self._open_connections()

    def _find_rejection(self, send: Send, now: float) -> SendOutcome | None:
        """Return why a send may not be written now, None if it may."""
        if self.hooks.crashes_targets(send.caller, now):
            return SendOutcome.SUSPECTED
        if not self.in_service or not self.hooks.may_write(send.caller, now):
            return SendOutcome.UNWANTED
        permitted = (
            self.announcement.allows_send(now)
            and self.hooks.rollouts.admits(send)
            and self.take_permit(send, now)
        )
        return None if permitted else SendOutcome.UNWANTED

    def register_delegated(
        self, send: Send, *, via: str, link: SendLink, relay_delay_s: float
    ) -> None:
        """Register a send that a peer makes."""
        send.via = via
        send.link = link
        self.sends.add(send)
        self.delegated.add(send)
        send.relay_delay_s = relay_delay_s

    def start_undelegated(self, send: Send, now: float) -> None:
        """Start a send that was registered as delegated over a connection."""
        self.delegated.discard(send)
        send.via = None
        send.link = self.link
        send.relay_delay_s = 0
        self.start(send, now)

    def cancel_queued(self, send: Send) -> None:
        """End a send that is queued for a connection."""
        self.end_send(send, SendOutcome.NOT_SENT, None)

    def close(self) -> None:
        """Close idle connections, and others once their sends have ended."""
        self.closed = True
        self.readmit()
        self.connections.close_idle()

    def _open_connections(self) -> None:
        """Open a connection for a queued send, within the limit."""
        self.connections.open(
            queued_count=len(self.queued), busy_count=self._busy_count()
        )

    def _busy_count(self) -> int:
        """Return the number of connections that carry a send."""
        return len(self.sends) - len(self.delegated) - len(self.queued)

    def _handle_connected(
        self, connection: ClientConnection, started_at: float
    ) -> None:
        """Use a new connection; the target has not ended."""
        self.link.record_heard(self.now())
        self.end_detector.record_connected(started_at)
        self._use_connection(connection)

    def _handle_connect_failure(self, started_at: float) -> None:
        """End the first queued send as unreachable, else record a failure.

        A failure during a pause of this process says nothing of the target.
        """
        paused = self.hooks.paused_since(started_at)
        if paused:
            self.end_detector.discard()
        else:
            self.link.record_unreachable(self.entry.id, self.now())
            self.end_detector.record_unreachable(self.now())
        outcome = SendOutcome.NOT_SENT
        if not paused:
            # While the link is in doubt, the send may take another path.
            linked = self.link.usable
            outcome = SendOutcome.UNREACHABLE if linked else SendOutcome.NO_PATH
        if self.queued:
            self.end_send(next(iter(self.queued)), outcome, None)
        elif outcome is SendOutcome.UNREACHABLE:
            self.record.record_failure(self.now())

    def _use_connection(self, connection: ClientConnection) -> None:
        """Use a new or free connection for a queued send, or keep it idle.

        Sends that the connection has carried before wait for another one; those
        that may no longer be written are ended.
        """
        for send in self.queued.candidates():
            if send.ended or not connection.carried_ids.allows(send.caller.id):
                continue
            rejection = self._find_rejection(send, self.now())
            if rejection is None:
                self.queued.take(send)
                self._write_request(send, connection)
                return
            self.end_send(send, rejection, None)
        if self.closed:
            connection.close()
            return
        self.connections.put_idle(connection)
        if self.queued.order:
            self.connections.close_surplus(busy_count=self._busy_count())
            self._open_connections()

    def _write_request(self, send: Send, connection: ClientConnection) -> None:
        """Write the request of a send to its connection."""
        send.connection = connection
        now = self.now()
        self.rate_limits.record_send(
            self.entry, self.announcement.rate_limit, send.kind, now
        )
        connection.buffers = self.buffers
        connection.carried_ids.add(send.caller.id)
        connection.size.max_body_bytes = max_answer_bytes(
            send.max_records, self.wire.record_bytes
        )
        remaining_s = max(const.MIN_SEND_TIME_S, send.deadline - now)
        try:
            connection.start_exchange(
                method=send.caller.method,
                path=send.caller.request_target,
                headers=self.wire.write_send_headers(
                    send.caller, self.entry, remaining_s
                ),
                body=send.caller.body,
                on_end=partial(self._handle_response, send),
            )
        except (BitternturnError, h11.LocalProtocolError):
            connection.close()
            self.end_send(send, SendOutcome.NOT_SENT, None)

    def _handle_response(
        self,
        send: Send,
        end: Response | BitternturnError,
    ) -> None:
        """End a send by the response or error of its exchange."""
        if isinstance(end, BitternturnError):
            self._handle_loss(send, end)
            return
        self.link.record_heard(self.now())
        answer = self.wire.read_answer(end)
        connection = send.connection
        assert isinstance(connection, ClientConnection)
        if answer.request_id != send.caller.id:
            # The response belongs to an earlier request, so responses can no
            # longer be matched to requests on this connection.
            connection.close()
            self.end_send(send, SendOutcome.LOST, None)
            return
        if not answer.misdirected:
            self._apply_announcement(answer, send.started_at)
        if answer.idle_timeout_s is not None:
            self.connections.idle_timeout_s = answer.idle_timeout_s
        outcome = classify_answer(answer)
        if outcome is SendOutcome.ANSWERED:
            self.hooks.on_answer(send)
        self.end_send(send, outcome, answer)
        if connection.usable:
            self._use_connection(connection)

    def _handle_loss(self, send: Send, error: BitternturnError) -> None:
        """End a send without an answer; find out whether the target ended."""
        if not send.aborted:
            self.hooks.on_send_lost(send, error.message)
        self.end_send(send, SendOutcome.LOST, None)
        if not send.aborted and error.code is ErrorCode.CONNECTION_LOST:
            self.end_detector.record_loss(
                send.caller, self.now(), busy_count=self._busy_count()
            )

    def _apply_announcement(
        self, answer: TargetAnswer, started_at: float
    ) -> None:
        """Apply what an answer says about the requests that are wanted.

        `started_at` is when its send started.
        """
        self.announce_rate_limit(answer.limit_per_s, started_at)
        if answer.leaving:
            self.announce_leaving()
        if answer.pause_s is None:
            return
        if math.isnan(answer.pause_s):
            self.hooks.on_unread_pause(self)
        else:
            self.announce_pause(answer.pause_s)

    def announce_rate_limit(
        self, per_s: float | None, started_at: float
    ) -> None:
        """Update the rate limit by the answer to a send.

        An answer to a send that is older than the limit does not lift it.
        """
        limit = self.announcement.rate_limit
        if per_s is None and started_at < limit.named_at:
            return
        now = self.now()
        if per_s is not None:
            self.announcement.announced_at = now
        was_limited = limit.per_s is not None
        self.rate_limits.update(self.entry, limit, per_s, now)
        if was_limited and limit.per_s is None:
            self.hooks.on_limit_lifted(self)

    def announce_pause(self, pause_s: float) -> None:
        """Send nothing to the target for as long as it asks, in seconds."""
        self.hooks.on_pause(self, pause_s)
        self.reject_queued()

    def announce_leaving(self) -> None:
        """Send nothing more to the target, which leaves.

        Sends in flight go on; connections without any are closed.
        """
        if not self.announcement.announce_leaving(self.now()):
            return
        self.close()
        self.hooks.on_leaving(self)
        self.reject_queued()

    def reject_queued(self) -> None:
        """End the sends that wait for a connection to this target."""
        for send in list(self.queued):
            self.end_send(send, SendOutcome.UNWANTED, None)

    def end_send(
        self,
        send: Send,
        outcome: SendOutcome,
        answer: TargetAnswer | None,
        took_s: float | None = None,
    ) -> None:
        """End a send: update the statistics and notify its listener.

        `took_s` is the latency that a peer reported, None for a direct send.
        """
        if send.ended:
            return
        send.ended = True
        self.sends.discard(send)
        self.delegated.discard(send)
        if send.detach_timer is not None:
            send.detach_timer.cancel()
        if send.connection is None and send in self.queued:
            self.queued.remove(send)
        if send.permitted_at is not None and outcome in UNDELIVERED_OUTCOMES:
            self.rate_limits.give_back(self.announcement.rate_limit)
        if outcome in UNDELIVERED_OUTCOMES:
            self.hooks.rollouts.withdraw(send)
        self._record_end(send, outcome, took_s)
        if send.on_end is not None:
            send.on_end(send, outcome, answer)
        elif send.caller.on_detached_end is not None:
            send.caller.on_detached_end(self.entry.id)
        if self.queued.order:
            self._open_connections()

    def _record_end(
        self,
        send: Send,
        outcome: SendOutcome,
        took_s: float | None,
    ) -> None:
        """Record the outcome and latency of a send."""
        now = self.now()
        latency_s = now - send.started_at if took_s is None else took_s
        if not is_fault_of_link(send, outcome):
            record_outcome(self.record, send, outcome, latency_s, now)
            self.hooks.on_outcome(send, outcome, latency_s)
        self.hooks.rollouts.record_end(send, outcome, latency_s)
        connection = send.connection
        exchange_bytes = 0
        if isinstance(connection, ClientConnection):
            exchange_bytes = connection.exchange_bytes
        self.hooks.on_send_end(self, outcome, latency_s, exchange_bytes)

    def leave_link(self) -> None:
        """Let other paths take the sends of a link that is cut off.

        Those that wait for a connection have not been sent; those in flight may
        still be answered.
        """
        for send in list(self.queued):
            self.end_send(send, SendOutcome.NO_PATH, None)
        for send in self.sends - self.delegated:
            send.report_silence()
        self.record.forgive()


def start_directly(send: Send, now: float) -> None:
    """Start a send over a connection of this instance."""
    send.target.start(send, now)
