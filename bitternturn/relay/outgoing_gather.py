"""Passes requests over shards to stronger instances, which gather their parts."""

import asyncio
from collections.abc import Iterator, Mapping, Sequence
from enum import Enum, unique
from itertools import islice
from typing import Protocol

from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.core.ids import FailureDomain
from bitternturn.gateway.gateway import Gateway
from bitternturn.gateway.gatherers import GatherEnd, GatherRequest
from bitternturn.http.const import MAX_STATUS, STATUS_OK
from bitternturn.http.models import Response
from bitternturn.policy.delegate_selection import DelegateCandidate
from bitternturn.policy.gatherer_selection import rank_gatherers
from bitternturn.relay import const
from bitternturn.relay.outgoing_batch import encode_priority
from bitternturn.relay.peer import Peer, PeerFailure
from bitternturn.relay.target_notices import apply_notices, list_known
from bitternturn.schema.relay_pb2 import (
    Cancel,
    Frame,
    Gather,
    Gathered,
    Header,
    Receipt,
)


@unique
class GatherOutcome(Enum):
    """How a request that was passed to a peer has ended."""

    ANSWERED = 'answered'
    # The peer has not sent anything and will not.
    DECLINED = 'declined'
    # The peer may have sent parts, but its answer has not come in time.
    LOST = 'lost'


class OutgoingGather:
    """One request that a peer gathers."""

    def __init__(
        self, *, peer: Peer, request: GatherRequest, gateway: Gateway
    ) -> None:
        """Initialise; `start` sends the request."""
        self.peer = peer
        self.request = request
        self.gateway = gateway
        self.number = 0
        self.confirmed = False
        self.received_bytes = 0
        self.started_at: float = 0
        self.timer: asyncio.TimerHandle | None = None
        self.end_future: asyncio.Future[
            tuple[GatherOutcome, Response | None]
        ] = asyncio.get_running_loop().create_future()

    def start(self) -> None:
        """Send the request."""
        self.received_bytes = self.peer.received_bytes()
        self.started_at = self.gateway.now()
        self._expect_message(const.GATHER_RECEIPT_TIMEOUT_S)
        self.number = self.peer.send_request(self.make_frame, self.handle_reply)

    def make_frame(self) -> Frame | None:
        """Return the request, None if it has ended."""
        if self.end_future.done():
            return None
        caller = self.request.caller
        deadlines = self.request.deadlines
        now = self.gateway.now()
        return Frame(
            gather=Gather(
                request_id=caller.id,
                method=caller.method,
                target=caller.request_target,
                path=caller.path,
                host=caller.host,
                headers=[
                    Header(name=name, value=content)
                    for name, content in caller.headers
                ],
                body=caller.body,
                tenant=caller.tenant,
                priority=encode_priority(caller.priority),
                aim_ms=_to_ms(deadlines.soft_deadline - now),
                left_ms=_to_ms(deadlines.deadline - now),
                route=self.request.route,
                version=self.request.version,
                outdated=self.request.outdated,
                notices=dict(list_known(self.gateway)),
            ),
        )

    def handle_reply(self, reply: Frame | PeerFailure) -> None:
        """Handle the receipt, the response or the failure of the peer."""
        if isinstance(reply, PeerFailure):
            sent = reply is not PeerFailure.NOT_SENT
            self._end(GatherOutcome.LOST if sent else GatherOutcome.DECLINED)
        elif reply.HasField('gathered'):
            self._handle_response(reply.gathered)
        else:
            self._handle_receipt()

    def cancel(self) -> None:
        """End the request at the peer, as its response is no longer wanted."""
        self.peer.send_followup(self.number, Frame(cancel=Cancel(indexes=[0])))
        self._end(GatherOutcome.LOST)

    def _handle_receipt(self) -> None:
        """Wait for the response.

        A second receipt says that too few parts are answered by the time that
        was aimed at, so that the request may take until its deadline.
        """
        deadlines = self.request.deadlines
        due_at = deadlines.deadline
        if not self.confirmed:
            aim_at = deadlines.soft_deadline + const.REPORT_GRACE_S
            due_at = min(due_at, aim_at)
        if not self.confirmed:
            # From now on the peer may use all targets that the route allows.
            self.peer.send_followup(self.number, Frame(receipt=Receipt()))
        self.confirmed = True
        self._expect_message(due_at - self.gateway.now())

    def _handle_response(self, gathered: Gathered) -> None:
        """End the request with the response of the peer, if it has one."""
        if not gathered.HasField('answer'):
            self.peer.record_busy(self.gateway.now())
            self._end(GatherOutcome.DECLINED)
            return
        apply_notices(self.gateway, gathered.notices, since=self.started_at)
        self.request.caller.maybe_run |= gathered.maybe_run
        answer = gathered.answer
        if not STATUS_OK <= answer.status <= MAX_STATUS:
            self._end(GatherOutcome.LOST)
            return
        self._end(
            GatherOutcome.ANSWERED,
            Response(
                status=answer.status,
                headers=dict(answer.headers),
                body=answer.body,
            ),
        )

    def _expect_message(self, delay_s: float) -> None:
        """Give the peer up unless a message comes within some seconds."""
        self._cancel_timer()
        self.timer = asyncio.get_running_loop().call_later(
            max(0, delay_s), self._on_timeout
        )

    def _on_timeout(self) -> None:
        """Give the peer up: it, or the connection, may be lost."""
        self.peer.record_failure()
        self.cancel()
        if self.peer.received_bytes() <= self.received_bytes:
            self.peer.replace_connection()

    def _cancel_timer(self) -> None:
        """Stop waiting for a message."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _end(
        self, outcome: GatherOutcome, response: Response | None = None
    ) -> None:
        """End the request, and ignore what comes of it later."""
        self._cancel_timer()
        self.peer.drop_handler(self.number)
        if not self.end_future.done():
            self.end_future.set_result((outcome, response))


class PeerDirectory(Protocol):
    """Instances that this one knows."""

    peers: dict[str, Peer]
    # Replaced with each change.
    members: Mapping[FailureDomain, Sequence[DelegateCandidate]]


class PeerGatherers:
    """Chooses the peers that gather for this instance."""

    def __init__(self, *, gateway: Gateway, directory: PeerDirectory) -> None:
        """Initialise without peers."""
        self.gateway = gateway
        self.directory = directory
        self.ranked: list[str] = []
        # Members and preferred domain for which they are ranked.
        self.ranked_members = directory.members
        self.ranked_domain = gateway.domains.preferred
        self.under_way: set[OutgoingGather] = set()

    def connect(self) -> bool:
        """Connect to the preferred peers; return whether there are any."""
        self._find_peer(self.gateway.now())
        return bool(self._rank())

    def _rank(self) -> list[str]:
        """Return the names of the peers that could gather, best first."""
        settings = self.gateway.settings
        members = self.directory.members
        preferred = self.gateway.domains.preferred
        current = self.ranked_members is members
        if not current or preferred != self.ranked_domain:
            self.ranked_members = members
            self.ranked_domain = preferred
            self.ranked = rank_gatherers(
                DelegateCandidate(
                    name=settings.name,
                    domain=settings.failure_domain,
                    cores=settings.cores,
                ),
                members,
                (preferred, settings.failure_domain),
            )
        return self.ranked

    async def async_gather(self, request: GatherRequest) -> GatherEnd:
        """Let a peer gather the parts of a request if there is one that can."""
        now = self.gateway.now()
        peer = self._find_peer(now)
        caller = request.caller
        if peer is None or not self._may_ask(request, now):
            return GatherEnd()
        gather = OutgoingGather(
            peer=peer, request=request, gateway=self.gateway
        )
        self.under_way.add(gather)
        gather.start()
        try:
            outcome, response = await gather.end_future
        except asyncio.CancelledError:
            gather.cancel()
            self._report(gather, 'caller_left', now)
            raise
        finally:
            self.under_way.discard(gather)
        self._report(gather, outcome.value, now)
        lost = outcome is GatherOutcome.LOST
        return GatherEnd(
            response=response,
            maybe_run=caller.maybe_run or lost,
            exhausted=lost and gather.confirmed,
        )

    def expire(self) -> None:
        """Give up the requests under way, since this instance stops."""
        for gather in list(self.under_way):
            gather.cancel()

    def _may_ask(self, request: GatherRequest, now: float) -> bool:
        """Return whether a peer may get a request and can answer it in time."""
        caller = request.caller
        left_s = request.deadlines.soft_deadline - now
        fits = len(caller.body) <= const.MAX_WHOLE_BODY_BYTES
        if not fits or left_s <= const.GATHER_RECEIPT_TIMEOUT_S:
            return False
        suspects = self.gateway.crash_suspects
        if suspects.refuses(caller, now) or suspects.doubted_services(caller):
            return False
        return self.gateway.quotas.may_write(caller, now)

    def _find_peer(self, now: float) -> Peer | None:
        """Return the first peer that is ready for requests.

        Connects to the first ones, so that no request waits for a connection.
        """
        available = self._list_available(now)
        found = list(islice(available, const.CONNECTED_GATHERERS))
        for peer in found:
            peer.greet()
        return next((peer for peer in found if peer.gathers), None)

    def _list_available(self, now: float) -> Iterator[Peer]:
        """Yield the peers that may get requests, the preferred ones first."""
        for name in self._rank():
            peer = self.directory.peers[name]
            if peer.is_available(now) and not peer.is_busy(now):
                yield peer

    def _report(
        self, gather: OutgoingGather, outcome: str, since: float
    ) -> None:
        """Count and log a request that was passed to a peer."""
        self.gateway.metrics.increment('gathered', outcome=outcome)
        now = self.gateway.now()
        self.gateway.decisions.write(
            'gathered',
            request_id=gather.request.caller.id,
            route=gather.request.route,
            via=gather.peer.name,
            outcome=outcome,
            ms=round((now - since) * MS_PER_SECOND, 1),
        )


def _to_ms(seconds: float) -> int:
    """Return seconds as whole milliseconds, 0 for a negative time."""
    return max(0, int(seconds * MS_PER_SECOND))
