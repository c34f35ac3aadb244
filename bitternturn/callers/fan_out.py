"""Fan-out of one query over the shards of one snapshot."""

import asyncio
from collections.abc import Iterable
from functools import partial

from bitternturn.callers import const
from bitternturn.callers.hedge_scheduler import HedgeScheduler
from bitternturn.callers.models import (
    QueryLink,
    QueryRequest,
    QueryServices,
)
from bitternturn.callers.observed_state import ObservedState
from bitternturn.callers.results import (
    ERROR_CODES,
    decode_hits,
    get_result,
)
from bitternturn.callers.shard_progress import (
    ShardProgress,
    ShardRequest,
    ShardState,
)
from bitternturn.callers.timers import Timers
from bitternturn.core.errors import ErrorCode
from bitternturn.core.ids import ShardId, TargetId
from bitternturn.policy.const import MAX_ATTEMPTS
from bitternturn.policy.coverage import CoverageTracker
from bitternturn.policy.early_answer import Decision, decide_early_answer
from bitternturn.policy.merge import ShardHits, merge_hits
from bitternturn.policy.replicas import order_replicas
from bitternturn.policy.retries import may_retry, retry_delay_s
from bitternturn.policy.snapshot import SnapshotChoice
from bitternturn.schema.peers_pb2 import (
    OUTCOME_ANSWERED,
    OUTCOME_IN_DOUBT,
    OUTCOME_NOT_RUN,
    SubQuery,
    SubResult,
)
from bitternturn.timeline.models import EventKind


class FanOut:
    """Sends the sub-requests of one query and collects their results."""

    def __init__(
        self,
        *,
        request: QueryRequest,
        choice: SnapshotChoice,
        observed_state: ObservedState,
        services: QueryServices,
    ) -> None:
        """Initialise the state of each shard; sends nothing."""
        self.request = request
        self.choice = choice
        self.observed_state = observed_state
        self.services = services
        self.observed_index = observed_state.get_index(request.index)
        self.budgets = observed_state.get_budgets(request.profile)
        self.coverage = CoverageTracker(
            partition_map=choice.partition_map,
            shards=request.shards,
        )
        self.shards = self._make_shards()
        self.pending_shards = len(self.shards)
        self.failed_share: float = 0
        self.hedges = 0
        self.sent_at: float = 0
        self.retries = 0
        self.sub_requests = 0
        self.snapshot_gone = False
        self.completed: list[ShardRequest] = []
        self._loop = asyncio.get_running_loop()
        self._wake: asyncio.Future[None] | None = None
        self.timers = Timers()

    @property
    def may_have_run(self) -> bool:
        """Whether a target has run or may have run a sub-request."""
        return any(
            shard.may_have_run or shard.in_flight for shard in self.shards
        )

    async def async_run(self) -> Decision:
        """Send the sub-requests and return the decision on the query."""
        now = self.services.now()
        self.sent_at = now
        self._send_initial(now)
        HedgeScheduler(fan_out=self).schedule(now)
        try:
            return await self._async_run_until_decided()
        finally:
            if self.request.profile.repeatable:
                for shard in self.shards:
                    shard.cancel_in_flight()

    def merged_hits(self) -> list[dict[str, object]]:
        """Return the merged hits of the answered shards."""
        answered = [
            ShardHits(shard=shard.shard, hits=shard.hits)
            for shard in self.shards
            if shard.state is ShardState.ANSWERED
        ]
        return merge_hits(answered, self.request.limit)

    def apply_late_results(self, now: float) -> None:
        """Apply results that arrived after the run, without any retry."""
        for shard_request in self.completed:
            shard_request.shard.attempts = MAX_ATTEMPTS
        self._apply_results(now)

    def _make_shards(self) -> list[ShardProgress]:
        """Return the progress of each requested shard."""
        wanted = set(self.coverage.weights)
        return [
            ShardProgress(
                shard=ShardId(shard.id),
                targets=[TargetId(target) for target in shard.targets],
            )
            for shard in self.choice.partition_map.shards
            if shard.id in wanted
        ]

    async def _async_run_until_decided(self) -> Decision:
        """Apply results and run due timers until the query is decided."""
        while True:
            now = self.services.now()
            self._apply_results(now)
            self.timers.run_due(now)
            remaining_s = self.request.deadline - const.ANSWER_MARGIN_S - now
            decision = decide_early_answer(
                profile=self.request.profile,
                coverage=self.coverage.share,
                remaining_s=remaining_s,
                outstanding=self._pending_share(),
            )
            if decision is not Decision.WAIT:
                return decision
            if self._needs_new_snapshot():
                return Decision.REFUSE
            await self._async_wait(now, remaining_s)

    def _pending_share(self) -> float:
        """Return the share of the shards that may still answer."""
        if not self.pending_shards:
            return 0
        return max(0, 1 - self.coverage.share - self.failed_share)

    def _needs_new_snapshot(self) -> bool:
        """Return whether the snapshot can no longer give the wanted coverage.

        Only true once a target has reported that it dropped the snapshot.
        """
        return self.snapshot_gone and not (
            self.coverage.share + self._pending_share()
            >= self.request.profile.wanted_coverage
        )

    async def _async_wait(self, now: float, remaining_s: float) -> None:
        """Wait for a result, the next timer or the deadline."""
        if self.completed:
            return
        until = now + remaining_s
        if self.timers.next_due_at is not None:
            until = min(until, self.timers.next_due_at)
        self._wake = self._loop.create_future()
        handle = self._loop.call_later(max(0, until - now), self._wake_up)
        try:
            await self._wake
        finally:
            handle.cancel()
            self._wake = None

    def _wake_up(self) -> None:
        """Wake the waiting query."""
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    def _send_initial(self, now: float) -> None:
        """Send the first sub-request of every shard."""
        shard_requests: list[ShardRequest] = []
        for shard in self.shards:
            self.budgets.hedges.record_request()
            self.budgets.retries.record_request()
            shard_request = self.make_request(
                shard, self._rank_replicas(shard, now), now
            )
            if shard_request is not None:
                shard_requests.append(shard_request)
        self.submit(shard_requests, now)

    def _rank_replicas(
        self, shard: ShardProgress, now: float
    ) -> list[TargetId]:
        """Return the untried usable replicas of a shard, best first."""
        usable = [
            target
            for target in shard.targets
            if target not in shard.tried
            and self.observed_state.is_usable(
                self.observed_index, target, self.choice.snapshot
            )
        ]
        views = self.observed_state.make_views(self.observed_index, usable, now)
        return order_replicas(replicas=views, rng=self.services.rng)

    def make_request(
        self,
        shard: ShardProgress,
        targets: Iterable[TargetId],
        now: float,
        *,
        hedge: bool = False,
    ) -> ShardRequest | None:
        """Return a sub-request for the first target that has an owner.

        Fails the shard when there is none and no other sub-request is in
        flight.
        """
        for target in targets:
            link = self.services.owner_link(target)
            shard.tried.add(target)
            if link is not None:
                shard.attempts += 1
                return ShardRequest(
                    shard=shard,
                    target=target,
                    link=link,
                    sub_query=SubQuery(
                        shard=shard.shard,
                        target=target,
                        hedge=hedge,
                    ),
                    sent_at=now,
                )
        if not shard.in_flight:
            self._fail_shard(shard, shard.code or ErrorCode.NOT_OWNER.value)
        return None

    def submit(self, shard_requests: list[ShardRequest], now: float) -> None:
        """Send sub-requests, one group per link."""
        by_link: dict[QueryLink, list[ShardRequest]] = {}
        for shard_request in shard_requests:
            by_link.setdefault(shard_request.link, []).append(shard_request)
        for link, group in by_link.items():
            futures = link.submit(
                self.request.to_group(self.choice.snapshot, now),
                [shard_request.sub_query for shard_request in group],
            )
            for shard_request, future in zip(group, futures, strict=True):
                self._track(shard_request, future)

    def _track(
        self,
        shard_request: ShardRequest,
        future: 'asyncio.Future[SubResult]',
    ) -> None:
        """Register a sub-request that was sent."""
        self.sub_requests += 1
        shard_request.future = future
        shard_request.shard.in_flight.append(shard_request)
        observed_target = self.observed_index.targets[shard_request.target]
        observed_target.in_flight += 1
        self.services.event(
            EventKind.SUB_REQUEST_SENT,
            request_id=self.request.request_id,
            shard=shard_request.shard.shard,
            target=shard_request.target,
        )
        future.add_done_callback(partial(self._on_result, shard_request))

    def _on_result(
        self,
        shard_request: ShardRequest,
        future: 'asyncio.Future[SubResult]',
    ) -> None:
        """Queue a completed sub-request and wake the query."""
        self.observed_index.targets[shard_request.target].in_flight -= 1
        self.completed.append(shard_request)
        self._wake_up()

    def _apply_results(self, now: float) -> None:
        """Apply the results received so far and send the retries."""
        completed, self.completed = self.completed, []
        retry_requests: list[ShardRequest] = []
        for shard_request in completed:
            shard_request.done = True
            shard_request.shard.in_flight.remove(shard_request)
            self._apply_result(
                shard_request, get_result(shard_request), now, retry_requests
            )
        self.submit(retry_requests, now)

    def _apply_result(
        self,
        shard_request: ShardRequest,
        result: SubResult,
        now: float,
        retry_requests: list[ShardRequest],
    ) -> None:
        """Apply one result; appends a retry to `retry_requests`."""
        shard = shard_request.shard
        hits = None
        if result.outcome == OUTCOME_ANSWERED:
            hits = decode_hits(result.body)
            if hits is None:
                result.outcome = OUTCOME_IN_DOUBT
                result.code = ErrorCode.BAD_ANSWER.value
        self.observed_state.record_result(
            observed_index=self.observed_index,
            target=shard_request.target,
            result=result,
            latency_s=now - shard_request.sent_at,
            now=now,
        )
        shard.may_have_run = (
            shard.may_have_run or result.outcome != OUTCOME_NOT_RUN
        )
        if shard.state is not ShardState.PENDING:
            return
        if hits is not None:
            self._record_answer(shard_request, hits, now)
            return
        self._record_failure(shard_request, result)
        if not shard.in_flight:
            self._retry_or_fail(shard, result, now, retry_requests)

    def _record_answer(
        self,
        shard_request: ShardRequest,
        hits: list[dict[str, object]],
        now: float,
    ) -> None:
        """Record the answer of a shard and cancel its other sub-requests."""
        shard = shard_request.shard
        shard.state = ShardState.ANSWERED
        shard.hits = hits
        self.pending_shards -= 1
        self.coverage.add(shard.shard)
        shard.cancel_in_flight()
        self.services.event(
            EventKind.SUB_REQUEST_ANSWERED,
            request_id=self.request.request_id,
            shard=shard.shard,
            target=shard_request.target,
            duration_us=int(
                (now - shard_request.sent_at) * const.US_PER_SECOND
            ),
        )

    def _record_failure(
        self, shard_request: ShardRequest, result: SubResult
    ) -> None:
        """Record the failure of a sub-request."""
        shard = shard_request.shard
        shard.code = result.code
        shard.retry_after_ms = max(shard.retry_after_ms, result.retry_after_ms)
        if result.code == ErrorCode.SNAPSHOT_GONE.value:
            self.snapshot_gone = True
        self.services.event(
            EventKind.SUB_REQUEST_FAILED,
            request_id=self.request.request_id,
            shard=shard.shard,
            target=shard_request.target,
            detail=result.code,
        )

    def _retry_or_fail(
        self,
        shard: ShardProgress,
        result: SubResult,
        now: float,
        retry_requests: list[ShardRequest],
    ) -> None:
        """Retry a failed shard if allowed, else fail it.

        Untried replicas are preferred. With none left all replicas may be tried
        again, after a backoff.
        """
        order = self._rank_replicas(shard, now)
        allowed = may_retry(
            code=ERROR_CODES.get(result.code, ErrorCode.INTERNAL),
            outcome=result.outcome,
            repeatable=self.request.profile.repeatable,
            attempts=shard.attempts,
            remaining_s=self.request.deadline - const.ANSWER_MARGIN_S - now,
            budget=self.budgets.retries,
            untried=len(order),
        )
        if not allowed:
            self._fail_shard(shard, result.code)
            return
        self.retries += 1
        if not order:
            shard.tried.clear()
            delay_s = retry_delay_s(
                attempts=shard.attempts,
                rng=self.services.rng,
            )
            self.timers.schedule(
                now + delay_s, partial(self._send_delayed_retry, shard)
            )
            return
        shard_request = self.make_request(shard, order, now)
        if shard_request is not None:
            retry_requests.append(shard_request)

    def _send_delayed_retry(self, shard: ShardProgress, now: float) -> None:
        """Send a retry whose backoff has elapsed."""
        shard_request = self.make_request(
            shard, self._rank_replicas(shard, now), now
        )
        if shard_request is not None:
            self.submit([shard_request], now)

    def _fail_shard(self, shard: ShardProgress, code: str) -> None:
        """Mark a pending shard as failed."""
        if shard.state is not ShardState.PENDING:
            return
        shard.state = ShardState.FAILED
        shard.code = code
        self.pending_shards -= 1
        self.failed_share += self.coverage.share_of([shard.shard])
