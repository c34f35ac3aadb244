"""Serves the requests of callers from targets that it sends to directly."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence

from bitternturn.core.ids import RouteName, ServiceName
from bitternturn.gateway import const
from bitternturn.gateway.decisions import Decisions
from bitternturn.gateway.merge import merge_answers
from bitternturn.gateway.models import (
    CallerLimits,
    CallerRequest,
    Configuration,
    InstanceSettings,
    RefusalReason,
    Route,
)
from bitternturn.gateway.parts import Result, Times, may_pass_on
from bitternturn.gateway.pool import TargetPool
from bitternturn.gateway.reporting import (
    note_end,
    note_refusal,
    show_gauges,
)
from bitternturn.gateway.routes import RouteTable, SplitTurns
from bitternturn.gateway.run import Run
from bitternturn.gateway.wire import Wire
from bitternturn.http.models import Request, Response
from bitternturn.policy.patience import AnswerDelay, UsualTimes, Verdict


def _ignore_limits(limits: CallerLimits) -> None:
    """Take no notice of the limits of callers."""


class RouteTimes:
    """What an instance has learnt of one route."""

    def __init__(self, *, aim_s: float) -> None:
        """Start with nothing learnt."""
        self.usual = UsualTimes(aim_s=aim_s)
        # The longest time that a caller stated: that of a first attempt.
        self.longest_s: float = 0


class Gateway(TargetPool):
    """Routes and requests of one instance, over its targets."""

    def __init__(
        self,
        *,
        settings: InstanceSettings,
        wire: Wire,
        decisions: Decisions,
        rng: random.Random,
        on_limits: Callable[[CallerLimits], None] = _ignore_limits,
    ) -> None:
        """Start with nothing known."""
        super().__init__(
            settings=settings,
            wire=wire,
            decisions=decisions,
            rng=rng,
        )
        self.on_limits = on_limits
        self.table = RouteTable(routes=())
        self.turns = SplitTurns()
        self.times: dict[RouteName, RouteTimes] = {}
        # Set when requests are no longer taken.
        self.refusing = False
        self.answer_delay = AnswerDelay(
            cores=settings.cores,
            link_mbps=settings.link_mbps,
        )
        self.configured_at = self.now()
        self.in_flight = 0
        show_gauges(self)

    @property
    def version(self) -> int:
        """Version of the configuration, 0 without one."""
        configuration = self.knowledge.configuration
        return configuration.version if configuration else 0

    # Knowledge

    def take_configuration(self, fresh: Configuration) -> None:
        """Serve by a version from now on, unless a later one is in force."""
        if not self.knowledge.take_configuration(fresh):
            return
        self.table = RouteTable(routes=fresh.routes)
        self.wide_services = _wide_services(fresh.routes)
        self.configured_at = self.now()
        if fresh.limits is not None:
            self.on_limits(fresh.limits)
        self.decisions.note(
            'configuration',
            version=fresh.version,
            routes=len(fresh.routes),
        )
        self.refresh_targets()

    # Requests

    async def async_handle(self, request: Request) -> Response:
        """Serve one request of a caller."""
        arrived_at = self.now()
        caller = self.wire.read_caller(request)
        if self.refusing:
            return self._refuse(caller, RefusalReason.DRAINING, 0)
        if not self.knowledge.complete:
            return self._refuse(
                caller,
                RefusalReason.NOT_READY,
                const.UNREADY_RETRY_S,
            )
        route = self.table.match(caller.host, caller.path)
        if route is None:
            return self._refuse(caller, RefusalReason.NO_ROUTE, None)
        services = self._services(route)
        served = sum(bool(self.ready.get(service)) for service in services)
        if served < route.least_parts():
            return self._refuse(
                caller,
                RefusalReason.NO_TARGET,
                const.UNAVAILABLE_RETRY_S,
            )
        if route.shards and not self.may_serve(services, route.least_parts()):
            return self._refuse(
                caller,
                RefusalReason.SILENT_TARGETS,
                const.SILENT_RETRY_S,
            )
        self.in_flight += 1
        try:
            return await self._async_run(caller, route, services, arrived_at)
        finally:
            self.in_flight -= 1

    def _services(self, route: Route) -> Sequence[ServiceName]:
        """Return the services that a request has to reach."""
        if route.shards:
            return route.shards
        service = self.turns.take(route)
        return () if service is None else (service,)

    async def _async_run(
        self,
        caller: CallerRequest,
        route: Route,
        services: Sequence[ServiceName],
        arrived_at: float,
    ) -> Response:
        """Send a request on and return the answer."""
        times = self._route_times(route)
        wait_s = caller.remaining_s
        if wait_s is None:
            wait_s = route.timeout_s or const.DEFAULT_TIMEOUT_S
        times.longest_s = max(times.longest_s, wait_s)
        spent_s = times.longest_s - wait_s
        reserve_s = self.answer_delay.reserve_s(
            first=caller.first,
            parts=len(services),
        )
        ended: asyncio.Future[Result] = (
            asyncio.get_running_loop().create_future()
        )
        run = Run(
            caller=caller,
            route=route,
            services=services,
            usual=times.usual,
            around=self,
            times=Times(
                aim_at=arrived_at + route.aim_s - spent_s - reserve_s,
                deadline=arrived_at
                + min(wait_s, route.timeout_s or wait_s)
                - const.DEADLINE_MARGIN_S,
            ),
            on_end=_settler(ended),
        )
        run.start()
        try:
            result = await ended
        except asyncio.CancelledError:
            run.abandon()
            note_end(self, run, 'caller_left', arrived_at)
            raise
        response = self._answer(run, result, arrived_at)
        self.answer_delay.note(self.now() - result.decided_at)
        return response

    def _answer(self, run: Run, result: Result, arrived_at: float) -> Response:
        """Return the response for the end of a request."""
        note_end(self, run, result.verdict.value, arrived_at)
        answers = result.answers
        if result.verdict is Verdict.ANSWER:
            if not run.route.shards:
                return self.wire.write_answer(answers[0])
            merged = merge_answers(
                answers,
                record_bytes=self.wire.record_bytes,
                limit=run.route.max_records,
            )
            missing = len(run.parts) - len(merged.answers)
            if len(merged.answers) >= run.least:
                return self.wire.write_merged(
                    run.caller,
                    merged.answers,
                    missing,
                    merged.body,
                )
        if not result.maybe_run:
            retry_s = const.BUSY_RETRY_S
            return self.wire.write_refusal(
                run.caller,
                RefusalReason.NOT_RUN,
                retry_s,
            )
        failure = result.parts[0].failure
        if failure is not None and may_pass_on(run.route, failure):
            return self.wire.write_answer(failure)
        late = self.now() >= run.deadline
        reason = RefusalReason.DEADLINE if late else RefusalReason.FAILED
        return self.wire.write_refusal(run.caller, reason, None)

    def _refuse(
        self,
        caller: CallerRequest,
        reason: RefusalReason,
        retry_s: float | None,
    ) -> Response:
        """Refuse a request that has not been sent to any target."""
        note_refusal(self, caller, reason, retry_s)
        return self.wire.write_refusal(caller, reason, retry_s)

    def _route_times(self, route: Route) -> RouteTimes:
        """Return what is learnt of a route."""
        times = self.times.get(route.name)
        if times is None:
            times = RouteTimes(aim_s=route.aim_s)
            self.times[route.name] = times
        times.usual.aim_s = route.aim_s
        return times


def _settler(ended: asyncio.Future[Result]) -> Callable[[Result], None]:
    """Return a function that ends the wait for a result."""

    def settle(result: Result) -> None:
        """Hand over the result unless nobody waits for it."""
        if not ended.done():
            ended.set_result(result)

    return settle


def _wide_services(routes: Iterable[Route]) -> frozenset[ServiceName]:
    """Return the shards of routes that have many of them."""
    return frozenset(
        service
        for route in routes
        if len(route.shards) >= const.WIDE_SHARDS
        for service in route.shards
    )
