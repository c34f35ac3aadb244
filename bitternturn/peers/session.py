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
from bitternturn.peers.handshake import find_refusal
from bitternturn.peers.local import start
from bitternturn.peers.models import PeerHandlers
from bitternturn.peers.results import in_doubt, not_run
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
        """Prepare; `async_run` serves the stream."""
        self.stream = stream
        self.handlers = handlers
        self.tasks = tasks
        self.now = now
        self.peer = peer
        self.hello = Hello()
        self.running: dict[int, asyncio.Future[SubResult]] = {}
        self.results: list[SubResult] = []
        self.heard_at = now()
        self.ignored = 0
        self.draining = False
        self._frame_due = True
        self._wake = asyncio.Event()
        self._reader: asyncio.Task[None] | None = None

    async def async_run(self) -> None:
        """Serve until the client ends the stream or the server drains."""
        first = await async_receive(
            self.stream, QueryFrame.FromString, peer=self.peer
        )
        if first is None:
            return
        self._check(first.hello)
        self._take(first)
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
        """End the stream at the first moment with nothing outstanding."""
        self.draining = True
        self._wake.set()

    def _check(self, hello: Hello) -> None:
        """Refuse another cluster and releases too far apart."""
        refusal = find_refusal(own=self.handlers.hello(), other=hello)
        if refusal:
            raise GRPCError(
                Status.FAILED_PRECONDITION,
                f'{ErrorCode.PEER_REFUSED.value}: {refusal}',
            )
        self.hello = hello

    async def _async_read(self) -> None:
        """Take frames until the client ends its side."""
        while True:
            frame = await async_receive(
                self.stream,
                QueryFrame.FromString,
                peer=self.peer,
            )
            if frame is None:
                return
            self._take(frame)

    def _take(self, frame: QueryFrame) -> None:
        """Start the sub-requests of a frame and cancel others."""
        self.heard_at = self.now()
        self.handlers.observe(self.hello, frame.versions)
        self.handlers.observe_clock(frame.clock)
        for sub_id in frame.cancels:
            self._cancel(sub_id)
        for group in frame.groups:
            for item in group.items:
                self._start(group, item)
        if not frame.groups:
            self._frame_due = True
            self._wake.set()

    def _start(self, group: QueryGroup, item: SubQuery) -> None:
        """Start one sub-request."""
        if len(self.running) >= const.DEFAULT_OUTSTANDING:
            self._answer(not_run(item.id, ErrorCode.OVERLOADED))
            return
        if item.id in self.running:
            self.ignored += 1
            return
        running = start(self.handlers, group, item, tasks=self.tasks)
        self.running[item.id] = running
        running.add_done_callback(partial(self._finish, item.id))

    def _cancel(self, sub_id: int) -> None:
        """Cancel a sub-request; the client has forgotten it already."""
        running = self.running.pop(sub_id, None)
        if running is None:
            self.ignored += 1
        else:
            running.cancel()
            self._wake.set()

    def _finish(self, sub_id: int, running: asyncio.Future[SubResult]) -> None:
        """Queue a result for the next frame."""
        if self.running.get(sub_id) is not running:
            return
        self.running.pop(sub_id)
        if running.cancelled() or running.exception() is not None:
            result = in_doubt(sub_id, ErrorCode.INTERNAL)
        else:
            result = running.result()
        self._answer(result)

    def _answer(self, result: SubResult) -> None:
        """Put a result into the next frame."""
        self.results.append(result)
        self._wake.set()

    async def _async_write(self) -> None:
        """Send one frame per tick of the loop; end when drained."""
        hello: Hello | None = self.handlers.hello()
        while True:
            while self.results or self._frame_due:
                await self.stream.send_message(self._next_frame(hello))
                hello = None
            if self.draining and not self.running:
                self._stop_reading()
                return
            self._wake.clear()
            await self._wake.wait()

    def _stop_reading(self) -> None:
        """Start nothing more: a clean end says that all the rest is not run."""
        if self._reader is not None:
            self._reader.cancel()

    def _next_frame(self, hello: Hello | None) -> ResultFrame:
        """Return a frame of the results that are there."""
        self._frame_due = False
        size = 0
        count = 0
        for result in self.results:
            count += 1
            size += len(result.body)
            if size > const.FRAME_BYTES:
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
        """Cancel what still runs: nobody waits for it."""
        running = list(self.running.values())
        self.running.clear()
        for future in running:
            future.cancel()
