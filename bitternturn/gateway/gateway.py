"""Gateway that routes callers' requests and sends them to targets."""

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable, Iterable, Sequence

from bitternturn.core.ids import RouteName, ServiceName
from bitternturn.gateway import const
from bitternturn.gateway.decision_log import DecisionLog
from bitternturn.gateway.execution import RequestExecution
from bitternturn.gateway.gatherers import (
    Gatherers,
    NoGatherers,
    async_ask_gatherer,
)
from bitternturn.gateway.identity import identify_request
from bitternturn.gateway.merge import merge_answers
from bitternturn.gateway.models import (
    CallerLimits,
    CallerRequest,
    Configuration,
    InstanceSettings,
    RefusalReason,
    RepeatPolicy,
    Route,
    SendOutcome,
)
from bitternturn.gateway.overload import Overload
from bitternturn.gateway.parts import (
    Deadlines,
    RequestResult,
    may_forward_failure,
)
from bitternturn.gateway.pool import TargetPool
from bitternturn.gateway.quotas import MIN_WAIT_S, Quotas
from bitternturn.gateway.reporting import (
    count_refusal,
    record_pause,
    record_refusal,
    record_request_end,
)
from bitternturn.gateway.returns import CallerReturns
from bitternturn.gateway.routes import RouteTable, WeightedRoundRobin
from bitternturn.gateway.send import Send
from bitternturn.gateway.tenants import TenantLabels, TenantTable
from bitternturn.gateway.wire import Wire
from bitternturn.gateway.work_log import Step, StepTimer
from bitternturn.http.models import Request, Response
from bitternturn.policy.answer_timing import (
    AnswerDelay,
    LatencyEstimate,
    Verdict,
)
from bitternturn.policy.crash_evidence import PROBE_S, probe_delay_s
from bitternturn.policy.return_times import MIN_RETURN_S


def _ignore_limits(limits: CallerLimits) -> None:
    """Ignore new caller limits."""


class RouteStats:
    """Statistics of one route at this instance."""

    def __init__(self, *, aim_s: float) -> None:
        """Initialise the statistics from the route's latency objective."""
        self.latency_estimate = LatencyEstimate(aim_s=aim_s)
        # Longest timeout that a caller has stated. Callers state less time when
        # they repeat a request, so this is the timeout of a first one.
        self.longest_timeout_s: float = 0


class Gateway(TargetPool):
    """Serves requests by the configured routes over a pool of targets."""

    def __init__(
        self,
        *,
        settings: InstanceSettings,
        wire: Wire,
        decisions: DecisionLog,
        rng: random.Random,
        on_limits: Callable[[CallerLimits], None] = _ignore_limits,
    ) -> None:
        """Initialise without configuration and targets.

        `on_limits` is called with the caller limits of each configuration.
        """
        super().__init__(
            settings=settings,
            wire=wire,
            decisions=decisions,
            rng=rng,
            on_outcome=self._record_outcome,
        )
        self.overload = Overload(decisions=decisions, metrics=self.metrics)
        self.on_limits = on_limits
        self.quotas = Quotas(
            own_name=settings.name,
            bound=settings.quota_bound,
            now=self.now,
            decisions=decisions,
            rng=rng,
        )
        self.target_hooks = dataclasses.replace(
            self.target_hooks, may_write=self.quotas.may_write
        )
        self.route_table = RouteTable(routes=())
        self.tenants = TenantTable()
        self.tenant_labels = TenantLabels()
        self.round_robin = WeightedRoundRobin()
        self.route_stats: dict[RouteName, RouteStats] = {}
        # Whether new requests are refused, since the instance is draining.
        self.draining = False
        # When callers should have left, since the instance stops, and when the
        # requests in flight are ended.
        self.left_at = math.inf
        self.stop_at = math.inf
        self.executions: set[RequestExecution] = set()
        self.gatherers: Gatherers = NoGatherers()
        self.returns = CallerReturns()
        self.answer_delay = AnswerDelay(
            cores=settings.cores,
            link_mbps=settings.link_mbps,
        )
        self.configured_at = self.now()
        _register_gauges(self)

    @property
    def in_flight(self) -> int:
        """Number of requests that are being executed."""
        return len(self.executions)

    @property
    def version(self) -> int:
        """Version of the configuration, 0 before the first one."""
        configuration = self.fleet_state.configuration
        return configuration.version if configuration else 0

    def confirmed_age_s(self, now: float) -> float | None:
        """Return the time since the configuration was confirmed, if it was."""
        confirmed_at = self.fleet_state.confirmed_at
        return None if confirmed_at is None else round(now - confirmed_at, 1)

    def update_instances(self, instances: Sequence[str]) -> None:
        """Update the instances that share limits and quotas with this one."""
        super().update_instances(instances)
        self.quotas.update_members(self.rate_limits.names)

    # Configuration

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration if it is newer than the current one."""
        if not self.fleet_state.apply_configuration(configuration):
            return
        self.route_table = RouteTable(routes=configuration.routes)
        self.tenants = TenantTable(tenants=configuration.tenants)
        self.returns.clear()
        self.overload.enabled = self.tenants.enabled
        self.overload.reconfigure(
            configuration.services, configuration.tenants or ()
        )
        self.wide_services = _wide_services(configuration.routes)
        self.configured_at = self.now()
        if configuration.limits is not None:
            self.on_limits(configuration.limits)
        self.decisions.write(
            'configuration',
            version=configuration.version,
            routes=len(configuration.routes),
        )
        # Before the targets, so that no send which ends by their refresh is
        # retried under an old route.
        for execution in list(self.executions):
            self._apply_to_request(execution)
        self.quotas.update_tenants(configuration.tenants or ())
        self.refresh_targets()

    def _record_outcome(
        self, send: Send, outcome: SendOutcome, latency_s: float
    ) -> None:
        """Record what the end of a send shows of its target."""
        answered = outcome is SendOutcome.ANSWERED
        if answered and not (self.paces.limited or self.overload.enabled):
            return
        now = self.now()
        self.paces.record_outcome(send, outcome, latency_s, now)
        if self.overload.enabled:
            self.overload.record_outcome(send, outcome, latency_s, now)

    def handle_pause(self, length_s: float) -> None:
        """Handle that the process handled no event for some seconds."""
        self.rate_limits.void_permits(self.now())
        record_pause(self, length_s)

    # Requests

    async def async_handle(self, request: Request) -> Response:
        """Serve one request of a caller."""
        if self.pauses.settling:
            # Callers that have left during the pause are noticed meanwhile.
            await asyncio.sleep(const.PAUSE_SETTLE_S)
        arrived_at = self.now()
        caller = self.wire.read_request(request)
        route = self._admit(caller, arrived_at)
        if isinstance(route, Route) and (
            caller.tenant or self.crash_suspects.evidence
        ):
            refusal = await self._async_check_caller(caller)
            # The configuration may have changed meanwhile.
            route = refusal or self._admit(caller, arrived_at)
        if isinstance(route, Response):
            return route
        services = self._services(route)
        refusal = self._refuse_unserved(caller, route, services, arrived_at)
        if refusal is not None:
            return refusal
        deadlines = self._deadlines(caller, route, len(services), arrived_at)
        if route.shards:
            end = await async_ask_gatherer(self, caller, route, deadlines)
            if isinstance(end, Response):
                return end
            if isinstance(end, RefusalReason):
                return self._refuse(caller, end, None)
            route, services = end, end.shards
            # The instance may have begun to stop meanwhile.
            deadlines = dataclasses.replace(
                deadlines, deadline=min(deadlines.deadline, self.stop_at)
            )
        return await self.async_execute(
            caller, route, services, deadlines, arrived_at
        )

    async def async_gather_for_peer(
        self,
        caller: CallerRequest,
        route: Route,
        deadlines: Deadlines,
        arrived_at: float,
    ) -> Response:
        """Serve a request over shards that a peer has admitted."""
        refusal = self._refuse_unserved(caller, route, route.shards, arrived_at)
        if refusal is not None:
            return refusal
        return await self.async_execute(
            caller, route, route.shards, deadlines, arrived_at
        )

    def count_available(self, services: Iterable[ServiceName]) -> int:
        """Return the number of services that have a target."""
        return sum(bool(self.ready.get(service)) for service in services)

    def _refuse_unserved(
        self,
        caller: CallerRequest,
        route: Route,
        services: tuple[ServiceName, ...],
        arrived_at: float,
    ) -> Response | None:
        """Refuse a request that targets can't serve; None if they can."""
        if self.count_available(services) < route.min_parts():
            return self._refuse(
                caller,
                RefusalReason.NO_TARGET,
                const.UNAVAILABLE_RETRY_AFTER_S,
            )
        return_delay_s = self.return_delay_s(
            services, route.min_parts(), arrived_at
        )
        if return_delay_s > 0:
            reason = (
                RefusalReason.PAUSED_TARGETS
                if arrived_at < self.announcements.pauses_end_at
                else RefusalReason.LIMITED_TARGETS
            )
            return self._refuse(caller, reason, return_delay_s)
        busy = self._reject_overload(caller, route, services, arrived_at)
        if busy is not None:
            return busy
        if route.shards and not self.can_serve(services, route.min_parts()):
            return self._refuse(
                caller,
                RefusalReason.SILENT_TARGETS,
                const.SILENT_TARGETS_RETRY_AFTER_S,
            )
        return None

    def _admit(
        self, caller: CallerRequest, arrived_at: float
    ) -> Route | Response:
        """Return the route of a request, or its refusal.

        A request is refused that has no route, or no valid key for it.
        """
        if not self.fleet_state.complete and not self.draining:
            return self._refuse(
                caller,
                RefusalReason.NOT_READY,
                const.NOT_READY_RETRY_AFTER_S,
            )
        route = self.route_table.match(caller.host, caller.path)
        if self.draining or self._may_outlast_stop(caller, route, arrived_at):
            return self._refuse(caller, RefusalReason.DRAINING, 0)
        if route is None:
            return self._refuse(caller, RefusalReason.NO_ROUTE, None)
        reason = self._identify(caller, route)
        return route if reason is None else self._refuse(caller, reason, None)

    async def _async_check_caller(
        self, caller: CallerRequest
    ) -> Response | None:
        """Refuse a request above the quota, or one that crashes targets.

        Returns None if it may be sent.
        """
        over = await self.quotas.async_admit(caller)
        if over is not None:
            retry_after_s = max(MIN_WAIT_S, over.retry_at - self.now())
            return self._refuse(caller, over.reason, retry_after_s)
        if self.crash_suspects.evidence:
            return await self._async_check_suspicion(caller)
        return None

    def _identify(
        self, caller: CallerRequest, route: Route
    ) -> RefusalReason | None:
        """Determine the tenant of a request; return why to refuse it."""
        if self.tenants.enabled:
            self.wire.withhold_credentials(caller)
        return self.tenants.identify(caller, route)

    def _apply_to_request(self, execution: RequestExecution) -> None:
        """Apply a new configuration to a request in flight.

        One whose key is no longer valid is refused unless it has been sent.
        """
        caller = execution.caller
        route = self.route_table.match(caller.host, caller.path)
        execution.apply_route(route)
        if caller.from_peer:
            return
        reason = self._identify(caller, route or execution.route)
        if reason is not None:
            execution.refuse(reason)

    def _may_outlast_stop(
        self, caller: CallerRequest, route: Route | None, now: float
    ) -> bool:
        """Return whether the stop may leave a late request in doubt.

        Another instance can take one that may run only once.
        """
        if now < self.left_at or route is None:
            return False
        once = route.repeat_policy is RepeatPolicy.AT_MOST_ONCE
        return once and now + _timeout_s(caller, route) > self.stop_at

    def end_requests(self) -> None:
        """Answer the requests in flight, since the instance stops."""
        for execution in list(self.executions):
            execution.expire()
        self.gatherers.expire()

    async def _async_check_suspicion(
        self, caller: CallerRequest
    ) -> Response | None:
        """Refuse a request that crashes targets; let only one attempt try it.

        Returns None if it may be sent.
        """
        suspects = self.crash_suspects
        key = identify_request(caller)
        if key not in suspects.evidence:
            return None
        begun_at = self.now()
        probe_at = begun_at + probe_delay_s(
            key, self.settings.name, self.rate_limits.names
        )
        while True:
            now = self.now()
            refused_for_s = suspects.refused_for_s(caller, now)
            if refused_for_s > 0:
                return self._refuse(
                    caller, RefusalReason.CRASHES_TARGETS, refused_for_s
                )
            wait_until = max(probe_at, suspects.probe_ends_at(caller))
            if now >= wait_until or not suspects.doubted_services(caller):
                return None
            if now - begun_at >= PROBE_S:
                return self._refuse(
                    caller, RefusalReason.TRIED_ELSEWHERE, PROBE_S
                )
            await suspects.async_wait_for_change(wait_until - now)

    def _services(self, route: Route) -> tuple[ServiceName, ...]:
        """Return the shards of a route, or the next service of a split."""
        if route.shards:
            return route.shards
        service = self.round_robin.next_service(route)
        return () if service is None else (service,)

    def _reject_overload(
        self,
        caller: CallerRequest,
        route: Route,
        services: tuple[ServiceName, ...],
        arrived_at: float,
    ) -> Response | None:
        """Reject a request that overloaded targets have no room for.

        Returns None if it may be sent. Rejections have no log lines of their own.
        """
        now = self.now()
        elapsed_s = now - arrived_at
        timeout_s = _timeout_s(caller, route) - const.DEADLINE_MARGIN_S
        rejected = self.overload.rejects(
            caller, route, services, remaining_s=timeout_s - elapsed_s, now=now
        )
        if not rejected:
            return None
        retry_after_s = self.returns.book(
            caller,
            route,
            services[0],
            remaining_s=_wait_s(caller, route) - elapsed_s,
            now=now,
        )
        self.quotas.give_back(caller)
        count_refusal(self, caller, RefusalReason.BUSY)
        return self.wire.write_refusal(
            caller, RefusalReason.BUSY, retry_after_s
        )

    def _deadlines(
        self, caller: CallerRequest, route: Route, parts: int, arrived_at: float
    ) -> Deadlines:
        """Return the deadlines of a request of a caller."""
        route_stats = self._route_stats(route)
        wait_s = _wait_s(caller, route)
        route_stats.longest_timeout_s = max(
            route_stats.longest_timeout_s, wait_s
        )
        elapsed_s = route_stats.longest_timeout_s - wait_s
        reserve_s = self.answer_delay.reserve_s(
            first=caller.first_on_connection,
            parts=parts,
            round_trip_s=caller.round_trip_s,
        )
        return Deadlines(
            soft_deadline=arrived_at
            + route.latency_objective_s
            - elapsed_s
            - reserve_s,
            deadline=arrived_at
            + _timeout_s(caller, route)
            - const.DEADLINE_MARGIN_S,
        )

    async def async_execute(
        self,
        caller: CallerRequest,
        route: Route,
        services: Sequence[ServiceName],
        deadlines: Deadlines,
        arrived_at: float,
    ) -> Response:
        """Send a request to its services and return the response."""
        result_future: asyncio.Future[RequestResult] = (
            asyncio.get_running_loop().create_future()
        )
        execution = RequestExecution(
            caller=caller,
            route=route,
            services=services,
            latency_estimate=self._route_stats(route).latency_estimate,
            dispatcher=self,
            deadlines=deadlines,
            on_end=_make_result_setter(result_future),
            repeated=caller.maybe_run,
        )
        self.executions.add(execution)
        with StepTimer(metrics=self.metrics, step=Step.SEND_PARTS):
            execution.start()
        try:
            result = await result_future
        except asyncio.CancelledError:
            execution.cancel()
            record_request_end(self, execution, 'caller_left', arrived_at)
            raise
        finally:
            self.executions.discard(execution)
        caller.maybe_run |= result.maybe_run
        if not result.maybe_run:
            self.quotas.give_back(caller)
        with StepTimer(metrics=self.metrics, step=Step.ANSWER):
            response = self._answer(execution, result, arrived_at)
        self.answer_delay.record(self.now() - result.due_at)
        return response

    def _answer(
        self,
        execution: RequestExecution,
        result: RequestResult,
        arrived_at: float,
    ) -> Response:
        """Return the response to a request that has ended."""
        record_request_end(self, execution, result.verdict.value, arrived_at)
        answers = result.answers
        if result.verdict is Verdict.ANSWER:
            self.returns.record_answer(
                execution.route, execution.parts[0].service, self.now()
            )
            if not execution.route.shards:
                return self.wire.write_answer(answers[0])
            merged = merge_answers(
                answers,
                record_bytes=self.wire.record_bytes,
                limit=execution.route.max_records,
            )
            missing = len(execution.parts) - len(merged.answers)
            if len(merged.answers) >= execution.min_parts:
                return self.wire.write_merged(
                    execution.caller,
                    merged.answers,
                    missing,
                    merged.body,
                )
        if execution.refusal is not None:
            return self._refuse(execution.caller, execution.refusal, None)
        if not result.maybe_run:
            refused_for_s = self.crash_suspects.refused_for_s(
                execution.caller, self.now()
            )
            if refused_for_s > 0:
                return self.wire.write_refusal(
                    execution.caller,
                    RefusalReason.CRASHES_TARGETS,
                    refused_for_s,
                )
            return_delay_s = self.return_delay_s(
                [part.service for part in execution.parts],
                execution.min_parts,
                self.now(),
            )
            if return_delay_s <= 0:
                return_delay_s = self._book_return(execution, arrived_at)
            return self.wire.write_refusal(
                execution.caller,
                RefusalReason.NOT_RUN,
                max(MIN_RETURN_S, return_delay_s),
            )
        failure = result.parts[0].failure
        if failure is not None and may_forward_failure(
            execution.route, failure
        ):
            return self.wire.write_answer(failure)
        deadline_passed = self.now() >= execution.deadline
        reason = (
            RefusalReason.DEADLINE if deadline_passed else RefusalReason.FAILED
        )
        return self.wire.write_refusal(execution.caller, reason, None)

    def _book_return(
        self, execution: RequestExecution, arrived_at: float
    ) -> float:
        """Return after how long a caller should return that was not served."""
        now = self.now()
        wait_s = _wait_s(execution.caller, execution.route)
        return self.returns.book(
            execution.caller,
            execution.route,
            execution.parts[0].service,
            remaining_s=wait_s - (now - arrived_at),
            now=now,
        )

    def _refuse(
        self,
        caller: CallerRequest,
        reason: RefusalReason,
        retry_after_s: float | None,
    ) -> Response:
        """Record and return the refusal of a request that was not sent."""
        self.quotas.give_back(caller)
        record_refusal(self, caller, reason, retry_after_s)
        return self.wire.write_refusal(caller, reason, retry_after_s)

    def _route_stats(self, route: Route) -> RouteStats:
        """Return the statistics of a route, created at its first request."""
        route_stats = self.route_stats.get(route.name)
        if route_stats is None:
            route_stats = RouteStats(aim_s=route.latency_objective_s)
            self.route_stats[route.name] = route_stats
        route_stats.latency_estimate.aim_s = route.latency_objective_s
        return route_stats


def _wait_s(caller: CallerRequest, route: Route) -> float:
    """Return how long a caller waits, in seconds."""
    if caller.remaining_s is not None:
        return caller.remaining_s
    return route.timeout_s or const.DEFAULT_TIMEOUT_S


def _timeout_s(caller: CallerRequest, route: Route) -> float:
    """Return how long a request may take, in seconds."""
    wait_s = _wait_s(caller, route)
    return min(wait_s, route.timeout_s or wait_s)


def _make_result_setter(
    result_future: asyncio.Future[RequestResult],
) -> Callable[[RequestResult], None]:
    """Return a callback that sets the result of a future."""

    def set_result(result: RequestResult) -> None:
        """Set the result unless the future is done or cancelled."""
        if not result_future.done():
            result_future.set_result(result)

    return set_result


def _wide_services(routes: Iterable[Route]) -> frozenset[ServiceName]:
    """Return the shards of all routes whose sends are delegated."""
    return frozenset(
        service
        for route in routes
        if len(route.shards) >= const.MIN_WIDE_ROUTE_SHARDS
        for service in route.shards
    )


def _register_gauges(gateway: Gateway) -> None:
    """Register the gauges of an instance."""
    gauges: dict[str, Callable[[], float]] = {
        'in_flight': lambda: gateway.in_flight,
        'configuration_version': lambda: gateway.version,
        'configuration_age': lambda: gateway.now() - gateway.configured_at,
        'configuration_confirmed_age': lambda: (
            gateway.confirmed_age_s(gateway.now()) or 0
        ),
        'targets': lambda: len(gateway.targets),
        'sends_under_way': lambda: sum(
            len(target.sends) for target in gateway.targets.values()
        ),
        'sends_waiting': lambda: sum(
            len(target.queued) for target in gateway.targets.values()
        ),
        'instances': lambda: gateway.instance_count,
        'further_sends': lambda: sum(
            budget.further_sends for budget in gateway.retry_budgets.values()
        ),
        'suspected_requests': lambda: len(gateway.crash_suspects.crashing),
        'limited_targets': lambda: len(gateway.rate_limits.limited),
        'limit_share': lambda: sum(
            target.announcement.rate_limit.share_per_s
            for target in gateway.targets.values()
        ),
        'paced_targets': lambda: len(gateway.paces.limited),
        'lowest_pace_share': lambda: gateway.paces.lowest_share,
        'quotas_held': lambda: gateway.quotas.count_held(),
        'log_lines_dropped': lambda: gateway.decisions.writer.dropped,
    }
    for name, read in gauges.items():
        gateway.metrics.register_gauge(name, read)
