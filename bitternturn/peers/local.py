"""Link of an instance to itself: direct calls without a connection."""

import asyncio
from collections.abc import Awaitable, Sequence

import logbook

from bitternturn.core.errors import ErrorCode
from bitternturn.core.tasks import TaskSet
from bitternturn.peers.const import DEFAULT_CALL_TIMEOUT_S
from bitternturn.peers.models import PeerHandlers
from bitternturn.peers.results import in_doubt_result
from bitternturn.schema import peers_pb2

LOGGER = logbook.Logger('peers.local')


def start_sub_request(
    handlers: PeerHandlers,
    group: peers_pb2.QueryGroup,
    item: peers_pb2.SubQuery,
    *,
    tasks: TaskSet,
) -> asyncio.Future[peers_pb2.SubResult]:
    """Start a sub-request; its future never raises unless cancelled."""
    try:
        running = handlers.run_sub_request(group, item)
    except Exception:
        LOGGER.exception('sub-request {} failed to start', item.id)
        failed = asyncio.get_running_loop().create_future()
        failed.set_result(in_doubt_result(item.id, ErrorCode.INTERNAL))
        return failed
    if isinstance(running, asyncio.Future):
        return running
    return tasks.spawn(_async_run_handler(running, item.id))


async def _async_run_handler(
    running: Awaitable[peers_pb2.SubResult],
    sub_id: int,
) -> peers_pb2.SubResult:
    """Await a handler; convert an exception to an in-doubt result."""
    try:
        return await running
    except Exception:
        LOGGER.exception('sub-request {} failed', sub_id)
        return in_doubt_result(sub_id, ErrorCode.INTERNAL)


class LocalLink:
    """Offers the interface of PeerLink and calls the handlers directly."""

    def __init__(self, *, handlers: PeerHandlers, tasks: TaskSet) -> None:
        """Initialise with the handlers of this instance."""
        self.handlers = handlers
        self.tasks = tasks
        self.outstanding: dict[int, asyncio.Future[peers_pb2.SubResult]] = {}
        self.last_id = 0

    def submit(
        self,
        header: peers_pb2.QueryGroup,
        items: Sequence[peers_pb2.SubQuery],
    ) -> list[asyncio.Future[peers_pb2.SubResult]]:
        """Start the sub-requests; sets the ids of the items."""
        return [self._start_sub_request(header, item) for item in items]

    def cancel(self, sub_id: int) -> None:
        """Cancel a sub-request; ignore an unknown id."""
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
        """Answer a probe with the local handler."""
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
        """Take over the ownership of targets."""
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
        """Return timeline events."""
        return await self.handlers.timeline(request)

    def _start_sub_request(
        self,
        header: peers_pb2.QueryGroup,
        item: peers_pb2.SubQuery,
    ) -> asyncio.Future[peers_pb2.SubResult]:
        """Start one sub-request under a new id."""
        self.last_id += 1
        sub_id = self.last_id
        item.id = sub_id
        running = start_sub_request(
            self.handlers, header, item, tasks=self.tasks
        )
        self.outstanding[sub_id] = running
        running.add_done_callback(
            lambda _: self.outstanding.pop(sub_id, None),
        )
        return running
