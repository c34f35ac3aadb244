"""Client of one other instance: connection, requests and backoff."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum, unique

from bitternturn.core.errors import BitternturnError
from bitternturn.core.ids import FailureDomain
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway.models import Address
from bitternturn.relay import const
from bitternturn.relay.connection import RelayConnection, async_open_connection
from bitternturn.relay.peer_link import PeerLink
from bitternturn.relay.traffic import RelayTraffic
from bitternturn.schema.relay_pb2 import (
    Frame,
    Links,
    Notices,
    Receipt,
)


@unique
class PeerFailure(Enum):
    """Why a request gets no reply."""

    # The request has not left this instance.
    NOT_SENT = 'not_sent'
    # The request may have reached the peer.
    LOST = 'lost'


# Called with a reply, or with the reason why there is none.
ReplyHandler = Callable[[Frame | PeerFailure], None]
# Called with the failure domains from which a peer is cut off.
CutOffListener = Callable[[Sequence[FailureDomain]], None]
# Called with what targets have announced to a peer.
NoticesListener = Callable[[Notices], None]
# Returns a request when it is written, None if it is no longer wanted.
FrameMaker = Callable[[], Frame | None]


@dataclass(kw_only=True, slots=True)
class PendingRequest:
    """One request whose replies are awaited."""

    on_reply: ReplyHandler
    # Over which it was written, None until then.
    connection: RelayConnection | None = None


class Peer:
    """Sends requests to one instance over one connection, opened on demand.

    Replies to requests under way may also come over an earlier connection.
    """

    def __init__(
        self,
        *,
        name: str,
        address: Address,
        tasks: TaskSet,
        now: Callable[[], float],
        traffic: RelayTraffic,
        on_cut_off: CutOffListener,
        on_notices: NoticesListener,
    ) -> None:
        """Initialise without a connection."""
        self.on_cut_off = on_cut_off
        self.on_notices = on_notices
        self.traffic = traffic
        self.name = name
        self.address = address
        self.tasks = tasks
        self.now = now
        self.connection: RelayConnection | None = None
        self.connecting = False
        self.send_queue: deque[tuple[int, FrameMaker]] = deque()
        self.pending: dict[int, PendingRequest] = {}
        self.last_number = 0
        self.links: dict[FailureDomain, PeerLink] = {}
        self.backoff_s = const.INITIAL_BACKOFF_S
        self.backoff_until: float = 0
        # Until when others are preferred, as the peer is busy.
        self.busy_until: float = 0
        # Whether the peer has said over the present connection that it gathers
        # the parts of requests, and whether it was asked.
        self.gathers = False
        self.greeted = False

    def is_available(self, now: float) -> bool:
        """Whether the backoff has elapsed."""
        return now >= self.backoff_until

    def is_busy(self, now: float) -> bool:
        """Whether the peer has said a short time ago that it is busy."""
        return now < self.busy_until

    def record_busy(self, now: float) -> None:
        """Prefer others for some time, as the peer is busy."""
        self.busy_until = now + const.BUSY_BACKOFF_S

    def greet(self) -> None:
        """Ask what the peer does for others, over a new connection if needed."""
        if not self.greeted:
            self.greeted = True
            self.drop_handler(self.send_request(_make_greeting, _ignore_reply))

    def get_link(self, domain: FailureDomain) -> PeerLink:
        """Return the link over this peer to a failure domain."""
        link = self.links.get(domain)
        if link is None:
            link = PeerLink()
            self.links[domain] = link
        return link

    def send_request(
        self,
        make_frame: FrameMaker,
        on_reply: ReplyHandler,
    ) -> int:
        """Send a request, return its number; the callback gets each reply.

        Without a connection the request is made once there is one.
        """
        self.last_number += 1
        number = self.last_number
        self.pending[number] = PendingRequest(on_reply=on_reply)
        if self.connection is not None and self.connection.usable:
            self._write_request(self.connection, number, make_frame)
            return number
        self.send_queue.append((number, make_frame))
        if not self.connecting:
            self.connecting = True
            self.tasks.spawn(self._async_connect())
        return number

    def send_followup(self, number: int, frame: Frame) -> None:
        """Send a message that refers to an earlier request."""
        frame.number = number
        request = self.pending.get(number)
        connection = request.connection if request else self.connection
        if connection is not None:
            connection.send(frame)

    def drop_handler(self, number: int) -> None:
        """Ignore further replies to a request."""
        request = self.pending.pop(number, None)
        if request is not None and request.connection is not self.connection:
            self._close_unused(request.connection)

    def record_failure(self) -> None:
        """Start a backoff unless one is in progress; double the next one."""
        now = self.now()
        if now < self.backoff_until:
            return
        self.backoff_until = now + self.backoff_s
        self.backoff_s = min(const.MAX_BACKOFF_S, self.backoff_s * 2)

    def avoid(self, duration_s: float) -> None:
        """Send no requests for some time, without counting a failure."""
        self.backoff_until = max(self.backoff_until, self.now() + duration_s)

    def reset_backoff(self) -> None:
        """Reset the backoff."""
        self.backoff_s = const.INITIAL_BACKOFF_S

    def received_bytes(self) -> int:
        """Return how much has been received over the present connection."""
        return self.connection.received_bytes if self.connection else 0

    def replace_connection(self) -> None:
        """Send further requests over a new connection.

        The present one stays open for the replies to the requests under way.
        """
        connection = self.connection
        self._forget_connection()
        self._close_unused(connection)

    def close(self) -> None:
        """Close all connections."""
        connections = {it.connection for it in self.pending.values()}
        for connection in connections | {self.connection}:
            if connection is not None:
                connection.close()

    def _close_unused(self, connection: RelayConnection | None) -> None:
        """Close an earlier connection if no reply to a request is awaited."""
        if connection is None:
            return
        if all(it.connection is not connection for it in self.pending.values()):
            connection.close()

    def _forget_connection(self) -> None:
        """Open another connection for the next request."""
        self.connection = None
        self.gathers = False
        self.greeted = False
        for link in self.links.values():
            link.record_disconnected(self.now())

    async def _async_connect(self) -> None:
        """Open a connection and send the queued messages."""
        try:
            self.connection = await async_open_connection(
                self.address,
                on_frame=self._on_frame,
                on_lost=self._on_lost,
                traffic=self.traffic,
            )
        except BitternturnError:
            self.record_failure()
            self.greeted = False
            queued = [number for number, _ in self.send_queue]
            self.send_queue.clear()
            self._fail(PeerFailure.NOT_SENT, queued)
        finally:
            self.connecting = False
        connection = self.connection
        while connection is not None and self.send_queue:
            self._write_request(connection, *self.send_queue.popleft())

    def _write_request(
        self,
        connection: RelayConnection,
        number: int,
        make_frame: FrameMaker,
    ) -> None:
        """Write a request unless it is no longer wanted."""
        frame = make_frame()
        if frame is None:
            return
        frame.number = number
        request = self.pending.get(number)
        if request is not None:
            request.connection = connection
        connection.send(frame)

    def _on_frame(self, connection: RelayConnection, frame: Frame) -> None:
        """Pass a reply to its handler; apply what the peer states."""
        if frame.HasField('leaving'):
            self.backoff_until = self.now() + const.LEAVING_BACKOFF_S
            return
        if frame.HasField('links'):
            self._update_links(frame.links)
            return
        if frame.HasField('notices'):
            self.on_notices(frame.notices)
            return
        self.reset_backoff()
        request = self.pending.get(frame.number)
        if request is not None:
            request.on_reply(frame)

    def _update_links(self, links: Links) -> None:
        """Apply which failure domains the peer is cut off from."""
        now = self.now()
        self.gathers = links.gathers
        cut_off = [FailureDomain(domain) for domain in links.cut_off]
        for link in self.links.values():
            link.record_connected()
        for domain in cut_off:
            self.get_link(domain).record_cut_off(now)
        self.on_cut_off(cut_off)

    def _on_lost(self, connection: RelayConnection) -> None:
        """Fail the pending requests of a lost connection."""
        if connection is self.connection:
            self._forget_connection()
        written = [
            number
            for number, request in self.pending.items()
            if request.connection is connection
        ]
        self._fail(PeerFailure.LOST, written)

    def _fail(self, failure: PeerFailure, numbers: Iterable[int]) -> None:
        """Fail pending requests."""
        requests = [
            self.pending.pop(number)
            for number in numbers
            if number in self.pending
        ]
        if requests:
            self.record_failure()
        for request in requests:
            request.on_reply(failure)


def _make_greeting() -> Frame:
    """Return the first message on a connection without a request."""
    return Frame(receipt=Receipt())


def _ignore_reply(reply: Frame | PeerFailure) -> None:
    """Ignore that a greeting was lost: the loss of its connection is noticed."""


async def async_request(
    peer: Peer,
    frame: Frame,
    timeout_s: float,
) -> Frame | PeerFailure:
    """Send a request; return its reply, or why there is none in time.

    If nothing has come over the connection in this time, another one is tried.
    A peer that is only busy goes on with the requests under way.
    """
    reply_future: asyncio.Future[Frame | PeerFailure] = (
        asyncio.get_running_loop().create_future()
    )

    def resolve(reply: Frame | PeerFailure) -> None:
        """Resolve the future with the first reply."""
        if not reply_future.done():
            reply_future.set_result(reply)

    received_bytes = peer.received_bytes()
    number = peer.send_request(lambda: frame, resolve)
    try:
        async with asyncio.timeout(timeout_s):
            return await reply_future
    except TimeoutError:
        peer.record_failure()
        if peer.received_bytes() <= received_bytes:
            peer.replace_connection()
        return PeerFailure.LOST
    finally:
        peer.drop_handler(number)
