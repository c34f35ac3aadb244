"""Stand-in for a target of the search service."""

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
from bitternturn.standins.connections import async_drop, async_hang
from bitternturn.standins.samples import Corpus
from bitternturn.standins.searching import confirm, decode_query, search
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
    bad_request,
    cold,
    deadline,
    draining,
    shed,
    snapshot_gone,
    target_error,
)
from bitternturn.standins.timed_server import TimedServer

PATH_SEARCH = '/v1/search'
PATH_HEALTH = '/v1/health'


# Time in which an answer reaches the tier.
TOLD_S: Final = 0.05


class TargetServer:
    """Answers searches from sample data within its slots."""

    def __init__(
        self,
        *,
        target: config_pb2.Target,
        index: config_pb2.Index,
        corpus: Corpus,
        behaviour: TargetBehaviour | None = None,
        rng: random.Random | None = None,
        now: Clock = monotonic,
        wall: Clock = time.time,
    ) -> None:
        """Prepare a ready target that holds the newest snapshots."""
        self.target = target
        self.corpus = corpus
        self.behaviour = behaviour or TargetBehaviour()
        self.faults = TargetFaults()
        self.now = now
        self.wall = wall
        self.state = TargetState.READY
        self.records = TargetRecords()
        self.maps = {Snapshot(it.snapshot): it for it in index.maps}
        self.held: list[Snapshot] = []
        self.slots = asyncio.Semaphore(target.slots)
        self.fallen_until: float | None = None
        self.answers_cold = 0
        self.told_cold_at: float | None = None
        self.last_answer: Response | None = None
        self.service_s = make_service_times(
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
        self._hold_newest()

    async def async_start(self, *, host: str = '', port: int = 0) -> None:
        """Listen, at a later start on the same port again.

        A port of 0 in the target's configuration is replaced by this one.
        """
        await self.server.async_start(
            host=host or self.target.host,
            port=port or self.server.port or self.target.port,
        )
        self.target.port = self.target.port or self.server.port

    async def async_stop(self) -> None:
        """Close at once, as an instance that dies."""
        await self.server.async_stop()

    async def async_start_cold(self) -> None:
        """Come back after a stop, in cold start."""
        self.fallen_until = None
        self.go_cold()
        await self.async_start()

    def drain(self) -> None:
        """Refuse new work; what runs is answered."""
        self._note_health()
        self.state = TargetState.DRAINING

    def go_cold(self) -> None:
        """Fall back into cold start, without warning."""
        self._note_health()
        self.state = TargetState.COLD
        self.answers_cold = 0
        self.told_cold_at = None

    def warm_up(self) -> None:
        """Be ready at once."""
        self.state = TargetState.READY
        self.fallen_until = None

    def add_map(self, partition_map: config_pb2.PartitionMap) -> None:
        """Move on to a snapshot, perhaps with other shards."""
        self.maps[Snapshot(partition_map.snapshot)] = partition_map
        self._hold_newest()

    async def async_handle(self, request: Request) -> Response:
        """Answer one request."""
        if request.path == PATH_HEALTH:
            return self._answer_health()
        if request.path != PATH_SEARCH or request.method != 'POST':
            return make_json_response({}, status=http.STATUS_NOT_FOUND)
        run = self._note_arrival(request)
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
        """Admit a request, run it and answer it."""
        await self._async_pay_connect(request)
        self._fall_if_overloaded()
        await self._async_check_fallen(request)
        self._admit(run)
        async with self.slots:
            service_s = self.service_s()
            self._check_deadline(request)
            run.started_s = self.wall()
            run.state = RunState.RUNNING
            await asyncio.sleep(service_s)
        await self._async_check_fallen(request)
        hits = self._run(request, run)
        run.state = RunState.DONE
        self._count_answer()
        await self._async_spoil(request)
        return self._respond(make_json_response(hits), run)

    def _admit(self, run: Run) -> None:
        """Raise a refusal for what this target can't take."""
        if self.state is TargetState.DRAINING:
            raise draining()
        if run.snapshot not in self.held:
            raise snapshot_gone()
        if self.records.in_flight > self.target.slots + self.behaviour.queue:
            raise shed()
        if run.shard not in self._shards(run.snapshot):
            raise bad_request()

    def _fall_if_overloaded(self) -> None:
        """Fall over in cold start when more than it bears is in flight."""
        over = self.records.in_flight > self.target.cold_limit
        if self.state is not TargetState.COLD or not over:
            return
        if self.behaviour.cold_overload is ColdOverload.REFUSE:
            raise cold()
        self.records.falls += 1
        self.fallen_until = self.now() + self.behaviour.fall_s

    async def _async_check_fallen(self, request: Request) -> None:
        """Fail a request while this target is fallen over.

        One that got no answer loses its connection at the end of the fall,
        so that it does not count as in flight any longer.
        """
        if self.fallen_until is None:
            return
        left_s = self.fallen_until - self.now()
        if left_s <= 0:
            self.fallen_until = None
        elif self.behaviour.cold_overload is ColdOverload.SILENCE:
            await asyncio.sleep(left_s)
            await async_drop(self.server, request)
        else:
            raise target_error()

    def _check_deadline(self, request: Request) -> None:
        """Raise a refusal when the work would likely end too late."""
        text = request.headers.get('x-deadline-ms')
        remaining_ms = float(text or 'inf')
        if remaining_ms < self.behaviour.service_s * MS_PER_SECOND:
            raise deadline()

    def _run(self, request: Request, run: Run) -> dict[str, object]:
        """Search or reserve; return the JSON form of the answer."""
        if self.faults.errors:
            self.faults.errors -= 1
            raise target_error()
        query = decode_query(request.body)
        if query.reserve is not None:
            reservation_id = run.idempotency_key or run.request_id
            hits = confirm(query.reserve, reservation_id, run.snapshot)
        else:
            documents = self.corpus.shard(self.maps[run.snapshot], run.shard)
            hits = search(query, documents, run.snapshot)
        if self.faults.incomplete:
            self.faults.incomplete -= 1
            return {'hits': hits[: len(hits) // 2], 'complete': False}
        return {'hits': hits, 'complete': True}

    async def _async_spoil(self, request: Request) -> None:
        """Keep an answer back after the work, if that is due."""
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            await async_drop(self.server, request)
        if self.faults.silent:
            self.faults.silent -= 1
            await async_hang()

    async def _async_pay_connect(self, request: Request) -> None:
        """Wait out the cost of a connection, counted from its accepting."""
        accepted = self.server.accepted.get(request.peer, 0)
        await asyncio.sleep(accepted + self.behaviour.connect_s - self.now())

    def _respond(self, response: Response, run: Run) -> Response:
        """Add the headers that every answer carries."""
        if self.state is TargetState.COLD and self.told_cold_at is None:
            self.told_cold_at = self.now()
        response.headers = {
            **response.headers,
            'x-request-id': run.request_id,
            'x-index': run.index,
            'x-shard': run.shard,
            'x-snapshot': str(run.snapshot),
            'x-held-snapshots': ','.join(str(it) for it in self.held),
            'x-state': self.state.value,
        }
        return self._cross(response)

    def _cross(self, response: Response) -> Response:
        """Return the answer to an earlier request, if that is due."""
        earlier = self.last_answer
        if self.faults.crossed and earlier is not None:
            self.faults.crossed -= 1
            return earlier
        self.last_answer = response
        return response

    def _note_arrival(self, request: Request) -> Run:
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
                arrived_s=self.wall(),
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
        """Count requests in flight and their peaks."""
        records = self.records
        records.in_flight += change
        self._note_health()
        records.most_in_flight = max(records.most_in_flight, records.in_flight)
        if change > 0 and self.state is TargetState.COLD:
            records.most_in_flight_cold = max(
                records.most_in_flight_cold,
                records.in_flight,
            )
            if self._is_told():
                records.most_in_flight_told = max(
                    records.most_in_flight_told,
                    records.in_flight,
                )

    def _is_told(self) -> bool:
        """Whether an answer has told of the cold start a while ago."""
        told_at = self.told_cold_at
        return told_at is not None and self.now() - told_at > TOLD_S

    def _count_connection(self) -> None:
        """Count connections and their peak."""
        self.records.connections += 1
        self.records.most_connections = max(
            self.records.most_connections,
            len(self.server.connections),
        )

    def _count_answer(self) -> None:
        """Warm up after enough answers in cold start."""
        if self.state is not TargetState.COLD:
            return
        self.answers_cold += 1
        if self.answers_cold == self.behaviour.warm_after:
            self.state = TargetState.READY

    def _answer_health(self) -> Response:
        """Tell the health of a while ago, or something else."""
        self._note_health()
        report = self.health.read()
        if self.behaviour.health_lie is not None:
            report = report.with_state(self.behaviour.health_lie)
        return make_json_response(report)

    def _note_health(self) -> None:
        """Note the health as it is, to be told later."""
        report = HealthReport(
            state=self.state,
            slots=self.target.slots,
            in_flight=self.records.in_flight,
            cold_limit=self.target.cold_limit,
            held_snapshots=tuple(self.held),
        )
        lag_s = self.behaviour.health_lag_s
        self.health.note(report, self.now(), lag_s=lag_s)

    def _shards(self, snapshot: Snapshot) -> set[str]:
        """Return the shards of a snapshot that this target holds."""
        return {
            shard.id
            for shard in self.maps[snapshot].shards
            if self.target.id in shard.targets
        }

    def _hold_newest(self) -> None:
        """Let go of all but the newest snapshots."""
        self.held = sorted(self.maps)[-self.behaviour.held_snapshots :]
