"""One request over shards that this instance gathers for a peer."""

import asyncio

from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.core.ids import RouteName, TargetId
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway.gateway import Gateway
from bitternturn.gateway.gatherers import gatherer_deadlines
from bitternturn.gateway.models import CallerRequest, Route
from bitternturn.http.models import Response
from bitternturn.policy.gatherer_selection import may_gather
from bitternturn.relay.connection import RelayConnection
from bitternturn.relay.target_notices import (
    apply_notices,
    find_notice,
    list_heard,
)
from bitternturn.schema.relay_pb2 import (
    Answer,
    Frame,
    Gather,
    Gathered,
    Notices,
    Receipt,
)


class IncomingGather:
    """Gathers the parts of a request, and replies with the response."""

    def __init__(
        self,
        *,
        gateway: Gateway,
        connection: RelayConnection,
        number: int,
        request: Gather,
        tasks: TaskSet,
    ) -> None:
        """Initialise; `start` declines the request or gathers its parts."""
        self.gateway = gateway
        self.connection = connection
        self.number = number
        self.request = request
        self.tasks = tasks
        self.caller = CallerRequest(
            id=request.request_id,
            method=request.method,
            request_target=request.target,
            path=request.path,
            host=request.host,
            remaining_s=request.left_ms / MS_PER_SECOND,
            headers=[(it.name, it.value) for it in request.headers],
            body=request.body,
            from_peer=True,
            tenant=request.tenant,
            priority=request.priority,
            may_repeat=False,
            on_detached_end=self._handle_detached_end,
        )
        self.task: asyncio.Task[None] | None = None
        # Tells the peer that the request goes on after the time aimed at.
        self.aim_timer: asyncio.TimerHandle | None = None

    @property
    def finished(self) -> bool:
        """Whether the peer has the response."""
        return self.task is None or self.task.done()

    def start(self) -> None:
        """Decline the request, or begin to gather its parts."""
        now = self.gateway.now()
        route = self._find_route(now)
        if route is None:
            self._send(Frame(gathered=Gathered()))
            return
        self._confirm()
        apply_notices(self.gateway, self.request.notices, since=now)
        # A cancellation that has been received with the request, as after a pause
        # of this process, is handled before the task starts.
        self.task = self.tasks.spawn(self._async_gather(route, now))

    def cancel(self, index: int) -> None:
        """End the request, whose response is no longer wanted."""
        self.stop()

    def confirm(self) -> None:
        """Allow hedges and retries, as the peer has the receipt."""
        self.caller.may_repeat = True

    def stop(self) -> None:
        """End the request: the connection to the peer is lost."""
        self._stop_timer()
        if self.task is not None:
            self.task.cancel()

    def _find_route(self, now: float) -> Route | None:
        """Return the route of the request, None to decline it."""
        request = self.request
        gateway = self.gateway
        route = gateway.route_table.match(request.host, request.path)
        if route is None or not route.shards or gateway.draining:
            return None
        if route.name != RouteName(request.route):
            return None
        current = (
            gateway.fleet_state.complete and gateway.version >= request.version
        )
        able = may_gather(
            busy_share=gateway.pauses.load.read_share(now),
            outdated=gateway.fleet_state.is_outdated(now),
            sender_outdated=request.outdated,
        )
        available = gateway.count_available(route.shards)
        servable = available >= route.min_parts()
        return route if current and able and servable else None

    async def _async_gather(self, route: Route, arrived_at: float) -> None:
        """Gather the parts and reply with the response."""
        gateway = self.gateway
        # The remaining time is that at the sender. Without a pause of this
        # process, the message has arrived within milliseconds.
        age_s = gateway.pauses.message_age_s(arrived_at)
        deadlines = gatherer_deadlines(
            arrived_at=arrived_at - age_s,
            aim_s=self.request.aim_ms / MS_PER_SECOND,
            left_s=self.request.left_ms / MS_PER_SECOND,
            parts=len(route.shards),
            answer_delay=gateway.answer_delay,
        )
        self.aim_timer = asyncio.get_running_loop().call_later(
            max(0, deadlines.soft_deadline - gateway.now()), self._confirm
        )
        try:
            response = await gateway.async_gather_for_peer(
                self.caller, route, deadlines, arrived_at
            )
        finally:
            self._stop_timer()
        self._reply(response)

    def _reply(self, response: Response) -> None:
        """Send the response to the peer."""
        self._send(
            Frame(
                gathered=Gathered(
                    answer=Answer(
                        status=response.status,
                        headers=response.headers,
                        body=response.body,
                    ),
                    maybe_run=self.caller.maybe_run,
                    notices=dict(
                        list_heard(
                            self.gateway, self.caller, self.request.notices
                        )
                    ),
                )
            )
        )

    def _handle_detached_end(self, name: TargetId) -> None:
        """Pass on what a target has announced since the end of the request."""
        if not self.finished:
            # The response will state it.
            return
        notice = find_notice(self.gateway, name)
        if notice is not None:
            notices = Notices(by_target={name: notice})
            self.connection.send(Frame(notices=notices))

    def _confirm(self) -> None:
        """Tell the peer that this instance is at work on the request."""
        self._send(Frame(receipt=Receipt()))

    def _send(self, frame: Frame) -> None:
        """Send a message about the request."""
        frame.number = self.number
        self.connection.send(frame)

    def _stop_timer(self) -> None:
        """Say nothing more about the time aimed at."""
        if self.aim_timer is not None:
            self.aim_timer.cancel()
            self.aim_timer = None
