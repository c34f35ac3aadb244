"""Client side of one peer: a reconnecting exchange stream and unary calls."""

import asyncio
import random
from collections.abc import Sequence
from typing import Any

import logbook
from grpclib.client import Channel
from grpclib.exceptions import GRPCError

from bitternturn.core.clock import Clock, monotonic
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.tasks import TaskSet
from bitternturn.peers.calls import PeerCalls
from bitternturn.peers.const import STEP_HELLO
from bitternturn.peers.frames import abort_channel, async_receive, ended_cleanly
from bitternturn.peers.handshake import find_incompatibility
from bitternturn.peers.models import (
    DEFAULT_LINK_SETTINGS,
    LinkSettings,
    PeerHandlers,
)
from bitternturn.peers.outbox import Outbox, refuse_all
from bitternturn.peers.server import GRPC_CONFIGURATION
from bitternturn.schema.peers_grpc import PeerStub
from bitternturn.schema.peers_pb2 import (
    Hello,
    QueryFrame,
    QueryGroup,
    ResultFrame,
    SubQuery,
    SubResult,
)

LOGGER = logbook.Logger('peers.link')

# Codes with which a server rejects a stream before it runs any sub-request.
_STREAM_REFUSALS = {
    ErrorCode.PEER_REFUSED.value: ErrorCode.PEER_REFUSED,
    ErrorCode.DRAINING.value: ErrorCode.DRAINING,
}


class PeerLink(PeerCalls):
    """Sends sub-requests to one peer, batched per event loop iteration."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        handlers: PeerHandlers,
        tasks: TaskSet,
        now: Clock = monotonic,
        rng: random.Random | None = None,
        settings: LinkSettings = DEFAULT_LINK_SETTINGS,
    ) -> None:
        """Initialise without connecting; the first sub-request does."""
        super().__init__(
            host=host,
            port=port,
            hello=handlers.hello,
            versions=handlers.versions,
            observe=handlers.observe,
        )
        self.handlers = handlers
        self.tasks = tasks
        self.now = now
        self.rng = rng or random.Random()
        self.settings = settings
        self.last_used_at = now()
        self.outbox = Outbox(
            capacity=settings.max_outstanding,
            now=now,
            notify_writer=self._notify_writer,
        )
        self.failures = 0
        self.reconnect_at = 0.0
        self.backoff_code = ErrorCode.PEER_UNREACHABLE
        self._work_pending = asyncio.Event()
        self._runner: asyncio.Task[None] | None = None
        self._stream_channel: Channel | None = None
        self._handshake_done = False
        self._ping_due = False
        self._unanswered_since: float | None = None
        self._sent_at = 0.0

    def submit(
        self,
        header: QueryGroup,
        items: Sequence[SubQuery],
    ) -> list[asyncio.Future[SubResult]]:
        """Queue the sub-requests of one query; sets the ids of the items.

        `header` holds the fields that they share. Each future completes with a
        result, or is cancelled by the caller; the cancellation is forwarded
        to the peer. During the reconnect backoff all are refused at once.
        """
        self.last_used_at = self.now()
        if (
            self._stream_channel is None
            and self.last_used_at < self.reconnect_at
        ):
            return refuse_all(items, self.backoff_code)
        if self._runner is None or self._runner.done():
            self._runner = self.tasks.spawn(
                self._async_run(),
                name=f'link {self.peer}',
            )
        return self.outbox.submit(header, items)

    def cancel(self, sub_id: int) -> None:
        """Cancel a sub-request; ignore an unknown id."""
        pending = self.outbox.outstanding.get(sub_id)
        if pending is not None:
            pending.cancel()

    async def async_close(self) -> None:
        """Fail the outstanding sub-requests and close the connections."""
        runner = self._runner
        self._runner = None
        if runner is not None:
            runner.cancel()
            await asyncio.wait({runner})
        self.discard_connection()

    async def _async_run(self) -> None:
        """Open streams, one at a time, whenever there is work."""
        try:
            while True:
                await self._work_pending.wait()
                await self._async_connect_and_run()
        finally:
            self.outbox.fail_all(ErrorCode.PEER_UNREACHABLE, may_have_run=True)

    async def _async_connect_and_run(self) -> None:
        """Run one stream, then fail the sub-requests still outstanding."""
        code, may_have_run = ErrorCode.PEER_UNREACHABLE, True
        channel = Channel(self.host, self.port, config=GRPC_CONFIGURATION)
        self._stream_channel = channel
        self._handshake_done = False
        try:
            if await self._async_run_stream(channel):
                code, may_have_run = ErrorCode.DRAINING, False
        except GRPCError as error:
            if not self._handshake_done:
                code_text = (error.message or '').partition(':')[0]
                code = _STREAM_REFUSALS.get(code_text, code)
            LOGGER.warning('{} closed the stream: {}', self.peer, error)
        except BitternturnError as error:
            code = error.code
            LOGGER.warning('{}', error)
        except Exception as error:
            # grpclib does not wrap OS and h2 errors.
            LOGGER.info('stream to {} lost: {!r}', self.peer, error)
        finally:
            self._stream_channel = None
            abort_channel(channel)
        self._schedule_reconnect(code)
        self.outbox.fail_all(code, may_have_run=may_have_run)

    def _schedule_reconnect(self, code: ErrorCode) -> None:
        """Schedule the next connection attempt, with exponential backoff."""
        self.backoff_code = code
        if self._handshake_done:
            self.failures = 0
        max_delay_s = min(
            self.settings.min_backoff_s * 2**self.failures,
            self.settings.max_backoff_s,
        )
        self.failures += 1
        self.reconnect_at = self.now() + max_delay_s * self.rng.uniform(0.5, 1)
        self._work_pending.clear()

    async def _async_run_stream(self, channel: Channel) -> bool:
        """Run one stream; return whether the peer ended it with status OK."""
        async with PeerStub(channel).Exchange.open() as stream:
            async with asyncio.timeout(self.settings.connect_timeout_s):
                await stream.send_request()
            reader = asyncio.ensure_future(self._async_read(stream))
            writer = asyncio.ensure_future(self._async_write(stream))
            self._unanswered_since = self.now()
            keep_alive = asyncio.ensure_future(self._async_keep_alive(channel))
            stream_tasks = {reader, writer, keep_alive}
            try:
                await asyncio.wait(
                    stream_tasks, return_when=asyncio.FIRST_COMPLETED
                )
                # The reader raises the error that tells why the stream ended.
                await asyncio.wait(
                    {reader}, timeout=self._reader_timeout_s(writer)
                )
                ended_by_peer = reader.done() and await reader
                abort_channel(channel)
                return ended_by_peer and ended_cleanly(stream)
            finally:
                for stream_task in stream_tasks:
                    stream_task.cancel()
                await asyncio.gather(*stream_tasks, return_exceptions=True)

    def _reader_timeout_s(self, writer: asyncio.Future[None]) -> float:
        """Return how long to wait for the reader to see the stream's end."""
        return self.settings.keep_alive_interval_s if writer.done() else 0

    async def _async_write(self, stream: Any) -> None:
        """Write everything queued as one frame per event loop iteration.

        Sub-requests are sent only after the peer's hello was received. If
        the stream ends before that, none of them has run.
        """
        await stream.send_message(self._make_frame(self.handlers.hello()))
        while True:
            if self._handshake_done and (
                self._ping_due or self.outbox.has_queued
            ):
                frame = self._make_frame(None)
                self.outbox.fill_frame(frame)
                self._ping_due = False
                await stream.send_message(frame)
                self._sent_at = self.now()
            else:
                self._work_pending.clear()
                await self._work_pending.wait()

    def _make_frame(self, hello: Hello | None) -> QueryFrame:
        """Return a frame without sub-requests."""
        return QueryFrame(
            hello=hello,
            versions=self.handlers.versions(),
            clock=self.handlers.clock(),
        )

    async def _async_read(self, stream: Any) -> bool:
        """Handle received frames; return True when the peer ends the stream."""
        await stream.recv_initial_metadata()
        with stream._wrapper:
            while True:
                frame = await async_receive(
                    stream,
                    ResultFrame.FromString,
                    peer=self.peer,
                )
                if frame is None:
                    await stream._stream.recv_trailers()
                    return True
                self._handle_frame(frame)

    def _handle_frame(self, frame: ResultFrame) -> None:
        """Check the peer's hello and deliver the results of a frame."""
        self._unanswered_since = None
        if not self._handshake_done:
            self._check_hello(frame.hello)
        self.observe(self.peer_hello, frame.versions)
        self.handlers.observe_clock(frame.clock)
        for result in frame.results:
            self.outbox.deliver(result)

    def _check_hello(self, hello: Hello) -> None:
        """Reject a peer of another cluster or with an incompatible protocol."""
        refusal = find_incompatibility(own=self.handlers.hello(), other=hello)
        if refusal:
            raise BitternturnError(
                refusal,
                code=ErrorCode.PEER_REFUSED,
                step=STEP_HELLO,
                peer=self.peer,
            )
        self.peer_hello = hello
        self._handshake_done = True
        self._work_pending.set()

    async def _async_keep_alive(self, channel: Channel) -> None:
        """Send keep-alive frames; return when the peer stops answering."""
        last_checked_at = self.now()
        while True:
            await asyncio.sleep(self.settings.keep_alive_interval_s)
            now = self.now()
            if now - last_checked_at > 2 * self.settings.keep_alive_interval_s:
                # This process was suspended: replies may be waiting unread.
                self._unanswered_since = now
            last_checked_at = now
            unanswered_since = self._unanswered_since
            if (
                unanswered_since is not None
                and now - unanswered_since >= self.settings.silence_timeout_s
            ):
                LOGGER.warning('stream to {} timed out', self.peer)
                # The connection for unary calls may be dead as well.
                self.discard_connection()
                abort_channel(channel)
                return
            self._ping_if_due(now)

    def _ping_if_due(self, now: float) -> None:
        """Request a reply when results are pending or the link is idle."""
        idle = now - self._sent_at >= self.settings.idle_keep_alive_interval_s
        if not self.outbox.outstanding and not idle:
            return
        if self._unanswered_since is None:
            self._unanswered_since = now
        self._ping_due = True
        self._work_pending.set()

    def _notify_writer(self) -> None:
        """Wake the writer in the next event loop iteration."""
        self._work_pending.set()
