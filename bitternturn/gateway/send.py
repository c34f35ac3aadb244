"""One send of a request to one target."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from bitternturn.gateway import const
from bitternturn.gateway.links import SendLink
from bitternturn.gateway.models import (
    CallerRequest,
    SendOutcome,
    TargetAnswer,
)
from bitternturn.gateway.rate_limits import SendKind
from bitternturn.policy.answer_timing import LatencyEstimate
from bitternturn.policy.rollout_exposure import ExposureBudget

if TYPE_CHECKING:
    from bitternturn.gateway.target import Target

# Called with the send, its outcome and the answer, if there is one.
SendEndListener = Callable[['Send', SendOutcome, TargetAnswer | None], None]


class SendCarrier(Protocol):
    """Connection or delegated batch that carries a send."""

    def close(self) -> None:
        """Cancel the send."""


class Send:
    """One send of a request to one target."""

    __slots__ = (
        'aborted',
        'caller',
        'connection',
        'deadline',
        'declinable',
        'detach_timer',
        'direct',
        'ended',
        'exposure',
        'for_peer',
        'require_fresh_connection',
        'route',
        'is_further',
        'max_records',
        'on_end',
        'on_late',
        'on_silence',
        'peer_permit',
        'permitted_at',
        'relay_delay_s',
        'silent',
        'sponsored',
        'started_at',
        'target',
        'latency_estimate',
        'link',
        'via',
    )

    def __init__(
        self,
        *,
        caller: CallerRequest,
        target: 'Target',
        latency_estimate: LatencyEstimate,
        deadline: float,
        require_fresh_connection: bool,
        now: float,
        on_end: SendEndListener,
    ) -> None:
        """Initialise a send.

        A connection is fresh if it is new or was used a short time ago.
        """
        self.caller = caller
        self.target = target
        self.latency_estimate = latency_estimate
        self.deadline = deadline
        self.require_fresh_connection = require_fresh_connection
        self.started_at = now
        self.on_end: SendEndListener | None = on_end
        # Called if the delegate does not confirm that it has the send.
        self.on_silence: Callable[[], None] | None = None
        # Called with this send if the delegate reports that the answer is late.
        # A callback that held the send would form a cycle with it, which keeps
        # the answer until the next garbage collection.
        self.on_late: Callable[[Send], None] | None = None
        # Whether the delegate has not confirmed it in time.
        self.silent = False
        # Name of the peer that makes the send, None for a direct one, and the
        # link over which it goes.
        self.via: str | None = None
        self.link: SendLink = target.link
        self.connection: SendCarrier | None = None
        # Additional time until a peer reports the answer, 0 for a direct send.
        self.relay_delay_s: float = 0
        # Maximum number of records of a part, 0 for routes without shards.
        self.max_records = 0
        # Whether a peer may decline the send in favour of another target.
        self.declinable = False
        # Whether no peer may make the send.
        self.direct = False
        # Whether this is a hedge or retry, whose outcome a peer reports early.
        self.is_further = False
        # Whether another instance has asked for the send.
        self.for_peer = False
        # When the rate limit of the target has permitted the send, None if it
        # has not, and whether the instance that asked for it has the permit.
        self.permitted_at: float | None = None
        self.peer_permit = False
        # Name of the route, empty if another instance has asked for the send.
        self.route = ''
        # Counts of a roll-out in which the send is included, None without one.
        self.exposure: ExposureBudget | None = None
        # Whether the budget of the delegate has to allow this further send.
        self.sponsored = False
        self.detach_timer: asyncio.TimerHandle | None = None
        # Whether this instance or the requesting peer has aborted the send.
        self.aborted = False
        self.ended = False

    @property
    def kind(self) -> SendKind:
        """Why this instance makes the send."""
        if self.for_peer:
            return SendKind.DELEGATED
        return SendKind.FURTHER if self.is_further else SendKind.FIRST

    def report_silence(self) -> None:
        """Handle that the delegate has not confirmed the send in time."""
        if self.ended or self.on_end is None:
            return
        self.silent = True
        if self.on_silence is not None:
            self.on_silence()

    def report_late(self) -> None:
        """Handle that the delegate reports the answer as late."""
        if not self.ended and self.on_end is not None and self.on_late:
            self.on_late(self)

    def detach(self) -> None:
        """Ignore the outcome; abort the send if it does not end soon."""
        if self.ended:
            return
        self.on_end = None
        if self.connection is None:
            self.target.cancel_queued(self)
            return
        loop = asyncio.get_running_loop()
        self.detach_timer = loop.call_later(
            const.DETACHED_SEND_TIMEOUT_S, self.abort
        )

    def abort(self) -> None:
        """End a detached send without an answer."""
        if self.ended:
            return
        self.on_end = None
        self.aborted = True
        if self.connection is None:
            self.target.cancel_queued(self)
        else:
            self.connection.close()
