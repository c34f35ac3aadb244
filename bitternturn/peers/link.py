"""The link to one peer: an exchange stream that reconnects, and calls."""

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
from bitternturn.peers.frames import abort, async_receive, ended_cleanly
from bitternturn.peers.handshake import find_refusal
from bitternturn.peers.models import (
    DEFAULT_LINK_SETTINGS,
    LinkSettings,
    PeerHandlers,
)
from bitternturn.peers.outbox import Outbox, refuse
from bitternturn.peers.server import CONFIGURATION
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

# Refusals that a server gives before it starts anything of a stream.
_REFUSALS = {
    ErrorCode.PEER_REFUSED.value: ErrorCode.PEER_REFUSED,
    ErrorCode.DRAINING.value: ErrorCode.DRAINING,
}


class PeerLink(PeerCalls):
    """Sends sub-requests to one peer, batched per tick of the loop."""

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
        """Prepare; the first sub-request connects."""
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
        self.used_at = now()
        self.outbox = Outbox(
            capacity=settings.outstanding,
            now=now,
            wake=self._set_wake,
        )
        self.failures = 0
        self.retry_at = 0.0
        self.refusal = ErrorCode.PEER_UNREACHABLE
        self._wake = asyncio.Event()
        self._runner: asyncio.Task[None] | None = None
        self._stream_channel: Channel | None = None
        self._greeted = False
        self._ping_due = False
        self._unanswered_since: float | None = None
        self._sent_at = 0.0

    def submit(
        self,
        head: QueryGroup,
        items: Sequence[SubQuery],
    ) -> list[asyncio.Future[SubResult]]:
        """Send sub-requests of one query; sets the items' ids.

        Each future ends with a result or by its own cancellation, which
        reaches the owner. While the link backs off all are refused at once.
        """
        self.used_at = self.now()
        if self._stream_channel is None and self.used_at < self.retry_at:
            return refuse(items, self.refusal)
        if self._runner is None or self._runner.done():
            self._runner = self.tasks.spawn(
                self._async_run(),
                name=f'link {self.peer}',
            )
        return self.outbox.submit(head, items)

    def cancel(self, sub_id: int) -> None:
        """Cancel a sub-request; an unknown id is ignored."""
        pending = self.outbox.outstanding.get(sub_id)
        if pending is not None:
            pending.cancel()

    async def async_close(self) -> None:
        """Fail what is outstanding and close the connections."""
        runner = self._runner
        self._runner = None
        if runner is not None:
            runner.cancel()
            await asyncio.wait({runner})
        self.drop()

    async def _async_run(self) -> None:
        """Serve streams one after another."""
        try:
            while True:
                await self._wake.wait()
                await self._async_connect_and_serve()
        finally:
            self.outbox.fail(ErrorCode.PEER_UNREACHABLE, ran=True)

    async def _async_connect_and_serve(self) -> None:
        """Serve one stream to its end; then fail what is outstanding."""
        code, ran = ErrorCode.PEER_UNREACHABLE, True
        channel = Channel(self.host, self.port, config=CONFIGURATION)
        self._stream_channel = channel
        self._greeted = False
        try:
            if await self._async_serve(channel):
                code, ran = ErrorCode.DRAINING, False
        except GRPCError as error:
            if not self._greeted:
                text = (error.message or '').partition(':')[0]
                code = _REFUSALS.get(text, code)
            LOGGER.warning('{} ended the stream: {}', self.peer, error)
        except BitternturnError as error:
            code = error.code
            LOGGER.warning('{}', error)
        except Exception as error:
            # grpclib lets OS, h2 and its own errors through as they are.
            LOGGER.info('stream to {} lost: {!r}', self.peer, error)
        finally:
            self._stream_channel = None
            abort(channel)
        self._back_off(code)
        self.outbox.fail(code, ran=ran)

    def _back_off(self, code: ErrorCode) -> None:
        """Set when the next stream may be tried."""
        self.refusal = code
        if self._greeted:
            self.failures = 0
        longest = min(
            self.settings.back_off_s * 2**self.failures,
            self.settings.max_back_off_s,
        )
        self.failures += 1
        self.retry_at = self.now() + longest * self.rng.uniform(0.5, 1)
        self._wake.clear()

    async def _async_serve(self, channel: Channel) -> bool:
        """Serve one stream; return whether the peer ended it cleanly."""
        async with PeerStub(channel).Exchange.open() as stream:
            async with asyncio.timeout(self.settings.connect_timeout_s):
                await stream.send_request()
            reader = asyncio.ensure_future(self._async_read(stream))
            writer = asyncio.ensure_future(self._async_write(stream))
            self._unanswered_since = self.now()
            ticker = asyncio.ensure_future(self._async_tick(channel))
            parts = {reader, writer, ticker}
            try:
                await asyncio.wait(parts, return_when=asyncio.FIRST_COMPLETED)
                # The reader knows why the stream ended.
                await asyncio.wait({reader}, timeout=self._grace(writer))
                clean = reader.done() and await reader
                abort(channel)
                return clean and ended_cleanly(stream)
            finally:
                for part in parts:
                    part.cancel()
                await asyncio.gather(*parts, return_exceptions=True)

    def _grace(self, writer: asyncio.Future[None]) -> float:
        """Return how long the reader may take to learn of an end."""
        return self.settings.keep_alive_s if writer.done() else 0

    async def _async_write(self, stream: Any) -> None:
        """Write one frame per tick of the loop with all that is queued.

        No sub-request goes out before the peer's hello has come, so that
        whatever ends the stream earlier leaves all of them surely not run.
        """
        await stream.send_message(self._make_frame(self.handlers.hello()))
        while True:
            if self._greeted and (self._ping_due or self.outbox.due):
                frame = self._make_frame(None)
                self.outbox.fill(frame)
                self._ping_due = False
                await stream.send_message(frame)
                self._sent_at = self.now()
            else:
                self._wake.clear()
                await self._wake.wait()

    def _make_frame(self, hello: Hello | None) -> QueryFrame:
        """Return a frame without sub-requests."""
        return QueryFrame(
            hello=hello,
            versions=self.handlers.versions(),
            clock=self.handlers.clock(),
        )

    async def _async_read(self, stream: Any) -> bool:
        """Take frames; return True when the peer ended the stream."""
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
                self._take(frame)

    def _take(self, frame: ResultFrame) -> None:
        """Check the peer and give out results."""
        self._unanswered_since = None
        if not self._greeted:
            self._greet(frame.hello)
        self.observe(self.peer_hello, frame.versions)
        self.handlers.observe_clock(frame.clock)
        for result in frame.results:
            self.outbox.take(result)

    def _greet(self, hello: Hello) -> None:
        """Refuse a peer of another cluster or of a release too far apart."""
        refusal = find_refusal(own=self.handlers.hello(), other=hello)
        if refusal:
            raise BitternturnError(
                refusal,
                code=ErrorCode.PEER_REFUSED,
                step=STEP_HELLO,
                peer=self.peer,
            )
        self.peer_hello = hello
        self._greeted = True
        self._wake.set()

    async def _async_tick(self, channel: Channel) -> None:
        """Send keep-alive frames; return when the stream is silent."""
        ticked_at = self.now()
        while True:
            await asyncio.sleep(self.settings.keep_alive_s)
            now = self.now()
            if now - ticked_at > 2 * self.settings.keep_alive_s:
                # This process stood still: answers may wait to be read.
                self._unanswered_since = now
            ticked_at = now
            since = self._unanswered_since
            if since is not None and now - since >= self.settings.silent_s:
                LOGGER.warning('stream to {} is silent', self.peer)
                # What went silent here may have done so there as well.
                self.drop()
                abort(channel)
                return
            self._ping_when_due(now)

    def _ping_when_due(self, now: float) -> None:
        """Ask for a frame when results are awaited or the link is idle."""
        idle = now - self._sent_at >= self.settings.idle_keep_alive_s
        if not self.outbox.outstanding and not idle:
            return
        if self._unanswered_since is None:
            self._unanswered_since = now
        self._ping_due = True
        self._wake.set()

    def _set_wake(self) -> None:
        """Let the writer run at the next tick of the loop."""
        self._wake.set()
