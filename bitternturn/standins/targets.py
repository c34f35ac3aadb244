"""Emulates a target that `bitternturn serve` sends searches to."""

import asyncio
import random
import time
from typing import Final

from bitternturn.core.clock import MS_PER_SECOND, Clock, monotonic
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import (
    IndexName,
    RequestId,
    ShardId,
    Snapshot,
    TargetId,
)
from bitternturn.http import const as http
from bitternturn.http.models import Request, Response, make_json_response
from bitternturn.http.server import ServerLimits
from bitternturn.schema import config_pb2
from bitternturn.standins.connection_faults import (
    async_abort_connection,
    async_wait_forever,
)
from bitternturn.standins.samples import Corpus
from bitternturn.standins.target_behaviour import (
    ColdOverload,
    TargetBehaviour,
    TargetFaults,
    TargetState,
    make_service_times,
)
from bitternturn.standins.target_health import HealthReport, LaggingHealth
from bitternturn.standins.target_records import Run, RunState, TargetRecords
from bitternturn.standins.target_refusals import (
    Refusal,
    bad_request_refusal,
    cold_refusal,
    deadline_refusal,
    draining_refusal,
    shed_refusal,
    snapshot_gone_refusal,
    target_error_refusal,
)
from bitternturn.standins.target_search import (
    decode_query,
    make_confirmation,
    search,
)
from bitternturn.standins.timed_server import TimedServer

PATH_SEARCH = '/v1/search'
PATH_HEALTH = '/v1/health'


# Time for an answer that reports the cold start to reach the tier.
COLD_REPORT_DELAY_S: Final = 0.05


class TargetServer:
    """Serves searches on sample data, limited by its slots."""

    def __init__(
        self,
        *,
        target: config_pb2.Target,
        index: config_pb2.Index,
        corpus: Corpus,
        behaviour: TargetBehaviour | None = None,
        rng: random.Random | None = None,
        now: Clock = monotonic,
        wall_s: Clock = time.time,
    ) -> None:
        """Initialise a ready target that holds the newest snapshots."""
        self.target = target
        self.corpus = corpus
        self.behaviour = behaviour or TargetBehaviour()
        self.faults = TargetFaults()
        self.now = now
        self.wall_s = wall_s
        self.state = TargetState.READY
        self.records = TargetRecords()
        self.maps = {Snapshot(it.snapshot): it for it in index.maps}
        self.held_snapshots: list[Snapshot] = []
        self.slots = asyncio.Semaphore(target.slots)
        self.outage_until: float | None = None
        self.cold_answers = 0
        self.cold_reported_at: float | None = None
        self.last_response: Response | None = None
        self.draw_service_s = make_service_times(
            self.behaviour,
            rng or random.Random(target.id),
        )
        self.health = LaggingHealth()
        self.server = TimedServer(
            handler=self.async_handle,
            limits=ServerLimits(max_connections=target.connections),
            now=now,
            on_connect=self._count_connection,
        )
        self._keep_newest_snapshots()

    async def async_start(self, *, host: str = '', port: int = 0) -> None:
        """Start the listener; a restart uses the same port.

        A port of 0 in the configuration of the target is set to this port.
        """
        await self.server.async_start(
            host=host or self.target.host,
            port=port or self.server.port or self.target.port,
        )
        self.target.port = self.target.port or self.server.port

    async def async_stop(self) -> None:
        """Stop without draining, as if the process were killed."""
        await self.server.async_stop()

    async def async_start_cold(self) -> None:
        """Restart in cold start after a stop."""
        self.outage_until = None
        self.enter_cold_start()
        await self.async_start()

    def drain(self) -> None:
        """Refuse new requests; those in flight are still answered."""
        self._record_health()
        self.state = TargetState.DRAINING

    def enter_cold_start(self) -> None:
        """Enter cold start, without notice to the tier."""
        self._record_health()
        self.state = TargetState.COLD
        self.cold_answers = 0
        self.cold_reported_at = None

    def end_cold_start(self) -> None:
        """End the cold start at once."""
        self.state = TargetState.READY
        self.outage_until = None

    def add_map(self, partition_map: config_pb2.PartitionMap) -> None:
        """Add a snapshot, possibly with other shards."""
        self.maps[Snapshot(partition_map.snapshot)] = partition_map
        self._keep_newest_snapshots()

    async def async_handle(self, request: Request) -> Response:
        """Handle a health check or a search."""
        if request.path == PATH_HEALTH:
            return self._make_health_response()
        if request.path != PATH_SEARCH or request.method != 'POST':
            return make_json_response({}, status=http.STATUS_NOT_FOUND)
        run = self._record_arrival(request)
        self._count_in_flight(1)
        try:
            return await self._async_answer(request, run)
        except Refusal as refusal:
            run.state = refusal.state
            run.code = refusal.code.value
            return self._respond(refusal.response(self.target), run)
        except asyncio.CancelledError:
            if run.state is not RunState.DONE:
                run.state = RunState.CANCELLED
            raise
        finally:
            self._count_in_flight(-1)

    async def _async_answer(self, request: Request, run: Run) -> Response:
        """Admit and run a request; return its answer."""
        await self._async_wait_connect_cost(request)
        self._start_outage_if_overloaded()
        await self._async_apply_outage(request)
        self._admit(run)
        async with self.slots:
            service_s = self.draw_service_s()
            self._check_deadline(request)
            run.started_s = self.wall_s()
            run.state = RunState.RUNNING
            await asyncio.sleep(service_s)
        await self._async_apply_outage(request)
        hits = self._execute(request, run)
        run.state = RunState.DONE
        self._count_cold_answer()
        await self._async_withhold_answer(request)
        return self._respond(make_json_response(hits), run)

    def _admit(self, run: Run) -> None:
        """Raise a refusal if the target cannot accept a request."""
        if self.state is TargetState.DRAINING:
            raise draining_refusal()
        if run.snapshot not in self.held_snapshots:
            raise snapshot_gone_refusal()
        if (
            self.records.in_flight
            > self.target.slots + self.behaviour.queue_capacity
        ):
            raise shed_refusal()
        if run.shard not in self._held_shards(run.snapshot):
            raise bad_request_refusal()

    def _start_outage_if_overloaded(self) -> None:
        """Start an outage if a cold target is over its cold limit.

        Depending on the behaviour, raises a refusal instead.
        """
        over = self.records.in_flight > self.target.cold_limit
        if self.state is not TargetState.COLD or not over:
            return
        if self.behaviour.cold_overload is ColdOverload.REFUSE:
            raise cold_refusal()
        self.records.overload_outages += 1
        self.outage_until = self.now() + self.behaviour.overload_outage_s

    async def _async_apply_outage(self, request: Request) -> None:
        """Fail a request during an overload outage.

        A request that gets no answer has its connection aborted at the end of
        the outage, so that it no longer counts as in flight.
        """
        if self.outage_until is None:
            return
        remaining_s = self.outage_until - self.now()
        if remaining_s <= 0:
            self.outage_until = None
        elif self.behaviour.cold_overload is ColdOverload.SILENCE:
            await asyncio.sleep(remaining_s)
            await async_abort_connection(self.server, request)
        else:
            raise target_error_refusal()

    def _check_deadline(self, request: Request) -> None:
        """Raise a refusal if the request would likely miss its deadline."""
        header = request.headers.get('x-deadline-ms')
        remaining_ms = float(header or 'inf')
        if remaining_ms < self.behaviour.service_s * MS_PER_SECOND:
            raise deadline_refusal()

    def _execute(self, request: Request, run: Run) -> dict[str, object]:
        """Run a search or reservation; return the body of the answer."""
        if self.faults.errors:
            self.faults.errors -= 1
            raise target_error_refusal()
        query = decode_query(request.body)
        if query.reserve is not None:
            reservation_id = run.idempotency_key or run.request_id
            hits = make_confirmation(
                query.reserve, reservation_id, run.snapshot
            )
        else:
            documents = self.corpus.shard(self.maps[run.snapshot], run.shard)
            hits = search(query, documents, run.snapshot)
        if self.faults.incomplete:
            self.faults.incomplete -= 1
            return {'hits': hits[: len(hits) // 2], 'complete': False}
        return {'hits': hits, 'complete': True}

    async def _async_withhold_answer(self, request: Request) -> None:
        """Withhold the answer to a request that ran, if a fault says so."""
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            await async_abort_connection(self.server, request)
        if self.faults.silent:
            self.faults.silent -= 1
            await async_wait_forever()

    async def _async_wait_connect_cost(self, request: Request) -> None:
        """Wait until the connection has been open for its set-up time."""
        accepted_at = self.server.accepted_at.get(request.peer, 0)
        await asyncio.sleep(accepted_at + self.behaviour.connect_s - self.now())

    def _respond(self, response: Response, run: Run) -> Response:
        """Add the headers that all answers have."""
        if self.state is TargetState.COLD and self.cold_reported_at is None:
            self.cold_reported_at = self.now()
        response.headers = {
            **response.headers,
            'x-request-id': run.request_id,
            'x-index': run.index,
            'x-shard': run.shard,
            'x-snapshot': str(run.snapshot),
            'x-held-snapshots': ','.join(str(it) for it in self.held_snapshots),
            'x-state': self.state.value,
        }
        return self._apply_crossed_fault(response)

    def _apply_crossed_fault(self, response: Response) -> Response:
        """Return the response to an earlier request if a fault says so."""
        earlier_response = self.last_response
        if self.faults.crossed and earlier_response is not None:
            self.faults.crossed -= 1
            return earlier_response
        self.last_response = response
        return response

    def _record_arrival(self, request: Request) -> Run:
        """Record a request; raises BAD_REQUEST for malformed headers."""
        headers = request.headers
        try:
            run = Run(
                target=TargetId(self.target.id),
                request_id=RequestId(headers['x-request-id']),
                idempotency_key=headers.get('idempotency-key', ''),
                index=IndexName(headers['x-index']),
                shard=ShardId(headers['x-shard']),
                snapshot=Snapshot(int(headers['x-snapshot'])),
                arrived_s=self.wall_s(),
                cold=self.state is TargetState.COLD,
            )
        except (KeyError, ValueError) as error:
            raise BitternturnError(
                str(error),
                code=ErrorCode.BAD_REQUEST,
                step='read headers',
                peer=request.peer,
            ) from error
        self.records.runs.append(run)
        return run

    def _count_in_flight(self, change: int) -> None:
        """Update the number of requests in flight and its peaks."""
        records = self.records
        records.in_flight += change
        self._record_health()
        records.peak_in_flight = max(records.peak_in_flight, records.in_flight)
        if change > 0 and self.state is TargetState.COLD:
            records.peak_in_flight_cold = max(
                records.peak_in_flight_cold,
                records.in_flight,
            )
            if self._was_cold_reported():
                records.peak_in_flight_reported_cold = max(
                    records.peak_in_flight_reported_cold,
                    records.in_flight,
                )

    def _was_cold_reported(self) -> bool:
        """Return whether the tier can know of the cold start by now."""
        reported_at = self.cold_reported_at
        return (
            reported_at is not None
            and self.now() - reported_at > COLD_REPORT_DELAY_S
        )

    def _count_connection(self) -> None:
        """Update the number of connections and its peak."""
        self.records.connections += 1
        self.records.peak_connections = max(
            self.records.peak_connections,
            len(self.server.connections),
        )

    def _count_cold_answer(self) -> None:
        """Count an answer in cold start; end it after enough of them."""
        if self.state is not TargetState.COLD:
            return
        self.cold_answers += 1
        if self.cold_answers == self.behaviour.warm_after_answers:
            self.state = TargetState.READY

    def _make_health_response(self) -> Response:
        """Return the delayed health report, with its state overridden if set."""
        self._record_health()
        report = self.health.read()
        if self.behaviour.health_state_override is not None:
            report = report.with_state(self.behaviour.health_state_override)
        return make_json_response(report)

    def _record_health(self) -> None:
        """Record the current health for a later report."""
        report = HealthReport(
            state=self.state,
            slots=self.target.slots,
            in_flight=self.records.in_flight,
            cold_limit=self.target.cold_limit,
            held_snapshots=tuple(self.held_snapshots),
        )
        lag_s = self.behaviour.health_lag_s
        self.health.record(report, self.now(), lag_s=lag_s)

    def _held_shards(self, snapshot: Snapshot) -> set[str]:
        """Return the shards of a snapshot that this target holds."""
        return {
            shard.id
            for shard in self.maps[snapshot].shards
            if self.target.id in shard.targets
        }

    def _keep_newest_snapshots(self) -> None:
        """Discard all but the newest snapshots."""
        self.held_snapshots = sorted(self.maps)[
            -self.behaviour.held_snapshots :
        ]
