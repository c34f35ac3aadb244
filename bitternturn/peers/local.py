"""The link of an instance to itself: calls without a connection."""

import asyncio
from collections.abc import Awaitable, Sequence

import logbook

from bitternturn.core.errors import ErrorCode
from bitternturn.core.tasks import TaskSet
from bitternturn.peers.const import DEFAULT_CALL_TIMEOUT_S
from bitternturn.peers.models import PeerHandlers
from bitternturn.peers.results import in_doubt
from bitternturn.schema import peers_pb2

LOGGER = logbook.Logger('peers.local')


def start(
    handlers: PeerHandlers,
    group: peers_pb2.QueryGroup,
    item: peers_pb2.SubQuery,
    *,
    tasks: TaskSet,
) -> asyncio.Future[peers_pb2.SubResult]:
    """Begin a sub-request; only cancellation makes the future raise."""
    try:
        running = handlers.run(group, item)
    except Exception:
        LOGGER.exception('sub-request {} failed to start', item.id)
        failed = asyncio.get_running_loop().create_future()
        failed.set_result(in_doubt(item.id, ErrorCode.INTERNAL))
        return failed
    if isinstance(running, asyncio.Future):
        return running
    return tasks.spawn(_async_guard(running, item.id))


async def _async_guard(
    running: Awaitable[peers_pb2.SubResult],
    sub_id: int,
) -> peers_pb2.SubResult:
    """Return a failure of the handler as a result."""
    try:
        return await running
    except Exception:
        LOGGER.exception('sub-request {} failed', sub_id)
        return in_doubt(sub_id, ErrorCode.INTERNAL)


class LocalLink:
    """Has the shape of PeerLink and calls the handlers directly."""

    def __init__(self, *, handlers: PeerHandlers, tasks: TaskSet) -> None:
        """Hold the handlers of this instance."""
        self.handlers = handlers
        self.tasks = tasks
        self.outstanding: dict[int, asyncio.Future[peers_pb2.SubResult]] = {}
        self.last_id = 0

    def submit(
        self,
        head: peers_pb2.QueryGroup,
        items: Sequence[peers_pb2.SubQuery],
    ) -> list[asyncio.Future[peers_pb2.SubResult]]:
        """Run the sub-requests; sets the items' ids."""
        return [self._start(head, item) for item in items]

    def cancel(self, sub_id: int) -> None:
        """Cancel a sub-request; an unknown id is ignored."""
        running = self.outstanding.get(sub_id)
        if running is not None:
            running.cancel()

    async def async_close(self) -> None:
        """Do nothing: there is no connection."""

    async def async_probe(
        self,
        request: peers_pb2.ProbeRequest,
        *,
        timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
    ) -> peers_pb2.ProbeReply:
        """Answer a probe."""
        return await self.handlers.probe(request)

    async def async_fetch(
        self,
        request: peers_pb2.FetchRequest,
        *,
        timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
    ) -> peers_pb2.FetchReply:
        """Return newer configuration objects."""
        return await self.handlers.fetch(request)

    async def async_handover(
        self,
        request: peers_pb2.HandoverRequest,
        *,
        timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
    ) -> peers_pb2.HandoverReply:
        """Take targets over."""
        return await self.handlers.handover(request)

    async def async_claim(
        self,
        request: peers_pb2.ClaimRequest,
        *,
        timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
    ) -> peers_pb2.ClaimReply:
        """Claim an idempotency key."""
        return await self.handlers.claim(request)

    async def async_timeline(
        self,
        request: peers_pb2.TimelineRequest,
        *,
        timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
    ) -> peers_pb2.TimelineReply:
        """Return events."""
        return await self.handlers.timeline(request)

    def _start(
        self,
        head: peers_pb2.QueryGroup,
        item: peers_pb2.SubQuery,
    ) -> asyncio.Future[peers_pb2.SubResult]:
        """Run one sub-request under a new id."""
        self.last_id += 1
        sub_id = self.last_id
        item.id = sub_id
        running = start(self.handlers, head, item, tasks=self.tasks)
        self.outstanding[sub_id] = running
        running.add_done_callback(
            lambda _: self.outstanding.pop(sub_id, None),
        )
        return running
