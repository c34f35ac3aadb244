"""Client of one other instance: connection, requests and backoff."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from enum import Enum, unique

from bitternturn.core.errors import BitternturnError
from bitternturn.core.ids import FailureDomain
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway.models import Address
from bitternturn.relay import const
from bitternturn.relay.connection import RelayConnection, async_open_connection
from bitternturn.relay.peer_link import PeerLink
from bitternturn.relay.traffic import RelayTraffic
from bitternturn.schema.relay_pb2 import Frame, Links


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
# Returns a request when it is written, None if it is no longer wanted.
FrameMaker = Callable[[], Frame | None]


class Peer:
    """Sends requests to one instance over one connection, opened on demand."""

    def __init__(
        self,
        *,
        name: str,
        address: Address,
        tasks: TaskSet,
        now: Callable[[], float],
        traffic: RelayTraffic,
        on_cut_off: CutOffListener,
    ) -> None:
        """Initialise without a connection."""
        self.on_cut_off = on_cut_off
        self.traffic = traffic
        self.name = name
        self.address = address
        self.tasks = tasks
        self.now = now
        self.connection: RelayConnection | None = None
        self.connecting = False
        self.send_queue: deque[tuple[int, FrameMaker]] = deque()
        self.handlers: dict[int, ReplyHandler] = {}
        self.last_number = 0
        self.links: dict[FailureDomain, PeerLink] = {}
        self.backoff_s = const.INITIAL_BACKOFF_S
        self.backoff_until: float = 0

    def is_available(self, now: float) -> bool:
        """Whether the backoff has elapsed."""
        return now >= self.backoff_until

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
        self.handlers[number] = on_reply
        if self.connection is not None and self.connection.usable:
            _write_request(self.connection, number, make_frame)
            return number
        self.send_queue.append((number, make_frame))
        if not self.connecting:
            self.connecting = True
            self.tasks.spawn(self._async_connect())
        return number

    def send_followup(self, number: int, frame: Frame) -> None:
        """Send a message that refers to an earlier request."""
        frame.number = number
        if self.connection is not None:
            self.connection.send(frame)

    def drop_handler(self, number: int) -> None:
        """Ignore further replies to a request."""
        self.handlers.pop(number, None)

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

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()

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
            self.send_queue.clear()
            self._fail(PeerFailure.NOT_SENT, list(self.handlers))
        finally:
            self.connecting = False
        connection = self.connection
        while connection is not None and self.send_queue:
            _write_request(connection, *self.send_queue.popleft())

    def _on_frame(self, connection: RelayConnection, frame: Frame) -> None:
        """Pass a reply to its handler; apply a leaving notice."""
        if frame.HasField('leaving'):
            self.backoff_until = self.now() + const.LEAVING_BACKOFF_S
            return
        if frame.HasField('links'):
            self._update_links(frame.links)
            return
        self.reset_backoff()
        on_reply = self.handlers.get(frame.number)
        if on_reply is not None:
            on_reply(frame)

    def _update_links(self, links: Links) -> None:
        """Apply which failure domains the peer is cut off from."""
        now = self.now()
        cut_off = [FailureDomain(domain) for domain in links.cut_off]
        for link in self.links.values():
            link.record_connected()
        for domain in cut_off:
            self.get_link(domain).record_cut_off(now)
        self.on_cut_off(cut_off)

    def _on_lost(self, connection: RelayConnection) -> None:
        """Fail the pending requests of a lost connection."""
        if connection is self.connection:
            self.connection = None
            for link in self.links.values():
                link.record_disconnected(self.now())
            # Queued requests wait for the next connection.
            queued = {number for number, _ in self.send_queue}
            self._fail(PeerFailure.LOST, self.handlers.keys() - queued)

    def _fail(self, failure: PeerFailure, numbers: Iterable[int]) -> None:
        """Fail pending requests."""
        handlers = [self.handlers.pop(number) for number in sorted(numbers)]
        if handlers:
            self.record_failure()
        for on_reply in handlers:
            on_reply(failure)


def _write_request(
    connection: RelayConnection,
    number: int,
    make_frame: FrameMaker,
) -> None:
    """Write a request unless it is no longer wanted."""
    frame = make_frame()
    if frame is not None:
        frame.number = number
        connection.send(frame)


async def async_request(
    peer: Peer,
    frame: Frame,
    timeout_s: float,
) -> Frame | PeerFailure:
    """Send a request; return its reply, or why there is none in time."""
    reply_future: asyncio.Future[Frame | PeerFailure] = (
        asyncio.get_running_loop().create_future()
    )

    def resolve(reply: Frame | PeerFailure) -> None:
        """Resolve the future with the first reply."""
        if not reply_future.done():
            reply_future.set_result(reply)

    number = peer.send_request(lambda: frame, resolve)
    try:
        async with asyncio.timeout(timeout_s):
            return await reply_future
    except TimeoutError:
        peer.record_failure()
        peer.close()
        return PeerFailure.LOST
    finally:
        peer.drop_handler(number)
