"""Server side of one exchange stream."""

import asyncio
from functools import partial
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from bitternturn.core.clock import Clock
from bitternturn.core.errors import ErrorCode
from bitternturn.core.tasks import TaskSet
from bitternturn.peers import const
from bitternturn.peers.frames import async_receive
from bitternturn.peers.handshake import find_incompatibility
from bitternturn.peers.local import start_sub_request
from bitternturn.peers.models import PeerHandlers
from bitternturn.peers.results import in_doubt_result, not_run_result
from bitternturn.schema.peers_pb2 import (
    Hello,
    QueryFrame,
    QueryGroup,
    ResultFrame,
    SubQuery,
    SubResult,
)


class ExchangeSession:
    """Runs the sub-requests of one stream and sends back their results."""

    def __init__(
        self,
        *,
        stream: Any,
        handlers: PeerHandlers,
        tasks: TaskSet,
        now: Clock,
        peer: str,
    ) -> None:
        """Initialise; `async_run` serves the stream."""
        self.stream = stream
        self.handlers = handlers
        self.tasks = tasks
        self.now = now
        self.peer = peer
        self.hello = Hello()
        self.running: dict[int, asyncio.Future[SubResult]] = {}
        self.results: list[SubResult] = []
        self.last_received_at = now()
        self.ignored_count = 0
        self.draining = False
        self._frame_due = True
        self._writer_wakeup = asyncio.Event()
        self._reader: asyncio.Task[None] | None = None

    async def async_run(self) -> None:
        """Serve until the client ends the stream or the server drains."""
        first_frame = await async_receive(
            self.stream, QueryFrame.FromString, peer=self.peer
        )
        if first_frame is None:
            return
        self._check_hello(first_frame.hello)
        self._handle_frame(first_frame)
        reader = self.tasks.spawn(self._async_read(), name='session reader')
        self._reader = reader
        writer = self.tasks.spawn(self._async_write(), name='session writer')
        try:
            await asyncio.wait(
                {reader, writer},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if reader.done() and not reader.cancelled():
                await reader
            self.drain()
            await writer
        finally:
            reader.cancel()
            writer.cancel()
            self._cancel_all()

    def drain(self) -> None:
        """End the stream as soon as no sub-request is running."""
        self.draining = True
        self._writer_wakeup.set()

    def _check_hello(self, hello: Hello) -> None:
        """Reject a client of another cluster or with incompatible protocol."""
        refusal = find_incompatibility(own=self.handlers.hello(), other=hello)
        if refusal:
            raise GRPCError(
                Status.FAILED_PRECONDITION,
                f'{ErrorCode.PEER_REFUSED.value}: {refusal}',
            )
        self.hello = hello

    async def _async_read(self) -> None:
        """Handle received frames until the client ends its side."""
        while True:
            frame = await async_receive(
                self.stream,
                QueryFrame.FromString,
                peer=self.peer,
            )
            if frame is None:
                return
            self._handle_frame(frame)

    def _handle_frame(self, frame: QueryFrame) -> None:
        """Apply the cancellations of a frame and start its sub-requests."""
        self.last_received_at = self.now()
        self.handlers.observe(self.hello, frame.versions)
        self.handlers.observe_clock(frame.clock)
        for sub_id in frame.cancels:
            self._cancel_sub_request(sub_id)
        for group in frame.groups:
            for item in group.items:
                self._start_sub_request(group, item)
        if not frame.groups:
            self._frame_due = True
            self._writer_wakeup.set()

    def _start_sub_request(self, group: QueryGroup, item: SubQuery) -> None:
        """Start one sub-request; refuse it above the limit."""
        if len(self.running) >= const.DEFAULT_MAX_OUTSTANDING:
            self._queue_result(not_run_result(item.id, ErrorCode.OVERLOADED))
            return
        if item.id in self.running:
            self.ignored_count += 1
            return
        running = start_sub_request(
            self.handlers, group, item, tasks=self.tasks
        )
        self.running[item.id] = running
        running.add_done_callback(partial(self._handle_completion, item.id))

    def _cancel_sub_request(self, sub_id: int) -> None:
        """Cancel a sub-request; the client no longer expects its result."""
        running = self.running.pop(sub_id, None)
        if running is None:
            self.ignored_count += 1
        else:
            running.cancel()
            self._writer_wakeup.set()

    def _handle_completion(
        self, sub_id: int, running: asyncio.Future[SubResult]
    ) -> None:
        """Queue the result of a completed sub-request."""
        if self.running.get(sub_id) is not running:
            return
        self.running.pop(sub_id)
        if running.cancelled() or running.exception() is not None:
            result = in_doubt_result(sub_id, ErrorCode.INTERNAL)
        else:
            result = running.result()
        self._queue_result(result)

    def _queue_result(self, result: SubResult) -> None:
        """Queue a result for the next frame."""
        self.results.append(result)
        self._writer_wakeup.set()

    async def _async_write(self) -> None:
        """Send queued results as frames; return when drained."""
        hello: Hello | None = self.handlers.hello()
        while True:
            while self.results or self._frame_due:
                await self.stream.send_message(self._next_frame(hello))
                hello = None
            if self.draining and not self.running:
                self._stop_reading()
                return
            self._writer_wakeup.clear()
            await self._writer_wakeup.wait()

    def _stop_reading(self) -> None:
        """Stop reading, so that no further sub-request starts.

        The client takes a clean end of the stream to mean that none of the
        unanswered sub-requests has run.
        """
        if self._reader is not None:
            self._reader.cancel()

    def _next_frame(self, hello: Hello | None) -> ResultFrame:
        """Return a frame with queued results, limited in size."""
        self._frame_due = False
        size = 0
        count = 0
        for result in self.results:
            count += 1
            size += len(result.body)
            if size > const.SOFT_MAX_FRAME_BYTES:
                break
        frame = ResultFrame(
            versions=self.handlers.versions(),
            clock=self.handlers.clock(),
            hello=hello,
            results=self.results[:count],
        )
        self.results = self.results[count:]
        return frame

    def _cancel_all(self) -> None:
        """Cancel the running sub-requests; no client awaits their results."""
        running = list(self.running.values())
        self.running.clear()
        for future in running:
            future.cancel()
