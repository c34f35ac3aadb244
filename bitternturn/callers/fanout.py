"""Fan-out of one query over its shards at one snapshot."""

import asyncio
from collections.abc import Iterable
from functools import partial

from bitternturn.callers import const
from bitternturn.callers.hedges import Hedging
from bitternturn.callers.knowledge import EntryKnowledge
from bitternturn.callers.models import (
    EntryServices,
    QueryLink,
    QueryRequest,
)
from bitternturn.callers.progress import Attempt, ShardProgress, ShardState
from bitternturn.callers.results import (
    ERROR_CODES,
    decode_hits,
    result_of,
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
    """Sends the sub-requests of one query and takes in their results."""

    def __init__(
        self,
        *,
        request: QueryRequest,
        choice: SnapshotChoice,
        knowledge: EntryKnowledge,
        services: EntryServices,
    ) -> None:
        """Prepare the shards; nothing is sent yet."""
        self.request = request
        self.choice = choice
        self.knowledge = knowledge
        self.services = services
        self.known = knowledge.of_index(request.index)
        self.budgets = knowledge.of_profile(request.profile)
        self.coverage = CoverageTracker(
            partition_map=choice.partition_map,
            shards=request.shards,
        )
        self.shards = self._prepare()
        self.open = len(self.shards)
        self.failed_share: float = 0
        self.hedges = 0
        self.sent_at: float = 0
        self.retries = 0
        self.sub_requests = 0
        self.snapshot_gone = False
        self.arrived: list[Attempt] = []
        self._loop = asyncio.get_running_loop()
        self._wake: asyncio.Future[None] | None = None
        self.timers = Timers()

    @property
    def ran(self) -> bool:
        """Whether some target ran or may have run something."""
        return any(shard.ran or shard.live for shard in self.shards)

    async def async_run(self) -> Decision:
        """Run until the query is to be answered or refused."""
        now = self.services.now()
        self.sent_at = now
        self._send_all(now)
        Hedging(fan_out=self).arm(now)
        try:
            return await self._follow()
        finally:
            if self.request.profile.repeatable:
                for shard in self.shards:
                    shard.cancel_live()

    def merged(self) -> list[dict[str, object]]:
        """Return the merged hits of the answered shards."""
        answered = [
            ShardHits(shard=shard.shard, hits=shard.hits)
            for shard in self.shards
            if shard.state is ShardState.ANSWERED
        ]
        return merge_hits(answered, self.request.limit)

    def take_late(self, now: float) -> None:
        """Take in results that came after the run; nothing is sent again."""
        for attempt in self.arrived:
            attempt.shard.attempts = MAX_ATTEMPTS
        self._take_arrived(now)

    def _prepare(self) -> list[ShardProgress]:
        """Return the shards asked for with their replicas."""
        wanted = set(self.coverage.weights)
        return [
            ShardProgress(
                shard=ShardId(shard.id),
                targets=[TargetId(target) for target in shard.targets],
            )
            for shard in self.choice.partition_map.shards
            if shard.id in wanted
        ]

    async def _follow(self) -> Decision:
        """Take in results and timers until a decision falls."""
        while True:
            now = self.services.now()
            self._take_arrived(now)
            self.timers.fire(now)
            remaining_s = self.request.deadline - const.ANSWER_MARGIN_S - now
            decision = decide_early_answer(
                profile=self.request.profile,
                coverage=self.coverage.share,
                remaining_s=remaining_s,
                outstanding=self._outstanding(),
            )
            if decision is not Decision.WAIT:
                return decision
            if self._can_replan():
                return Decision.REFUSE
            await self._wait(now, remaining_s)

    def _outstanding(self) -> float:
        """Return the share of the shards that may still answer."""
        if not self.open:
            return 0
        return max(0, 1 - self.coverage.share - self.failed_share)

    def _can_replan(self) -> bool:
        """Return whether a moved-on target makes this snapshot pointless."""
        return self.snapshot_gone and not (
            self.coverage.share + self._outstanding()
            >= self.request.profile.wanted_coverage
        )

    async def _wait(self, now: float, remaining_s: float) -> None:
        """Wait for a result, a timer or the deadline."""
        if self.arrived:
            return
        until = now + remaining_s
        if self.timers.next is not None:
            until = min(until, self.timers.next)
        self._wake = self._loop.create_future()
        handle = self._loop.call_later(max(0, until - now), self._rouse)
        try:
            await self._wake
        finally:
            handle.cancel()
            self._wake = None

    def _rouse(self) -> None:
        """End the wait."""
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    def _send_all(self, now: float) -> None:
        """Send the first sub-request of every shard."""
        attempts: list[Attempt] = []
        for shard in self.shards:
            self.budgets.hedges.record_request()
            self.budgets.retries.record_request()
            attempt = self.attempt(shard, self._order(shard, now), now)
            if attempt is not None:
                attempts.append(attempt)
        self.submit(attempts, now)

    def _order(self, shard: ShardProgress, now: float) -> list[TargetId]:
        """Return the untried replicas of a shard, best first."""
        usable = [
            target
            for target in shard.targets
            if target not in shard.tried
            and self.knowledge.usable(self.known, target, self.choice.snapshot)
        ]
        views = self.knowledge.views(self.known, usable, now)
        return order_replicas(replicas=views, rng=self.services.rng)

    def attempt(
        self,
        shard: ShardProgress,
        targets: Iterable[TargetId],
        now: float,
        *,
        hedge: bool = False,
    ) -> Attempt | None:
        """Make a sub-request for the first target that has an owner."""
        for target in targets:
            link = self.services.owner_link(target)
            shard.tried.add(target)
            if link is not None:
                shard.attempts += 1
                return Attempt(
                    shard=shard,
                    target=target,
                    link=link,
                    item=SubQuery(
                        shard=shard.shard,
                        target=target,
                        hedge=hedge,
                    ),
                    started=now,
                )
        if not shard.live:
            self._fail(shard, shard.code or ErrorCode.NOT_OWNER.value)
        return None

    def submit(self, attempts: list[Attempt], now: float) -> None:
        """Send sub-requests, one group for each link."""
        by_link: dict[QueryLink, list[Attempt]] = {}
        for attempt in attempts:
            by_link.setdefault(attempt.link, []).append(attempt)
        for link, group in by_link.items():
            futures = link.submit(
                self.request.to_group(self.choice.snapshot, now),
                [attempt.item for attempt in group],
            )
            for attempt, future in zip(group, futures, strict=True):
                self._track(attempt, future)

    def _track(
        self,
        attempt: Attempt,
        future: 'asyncio.Future[SubResult]',
    ) -> None:
        """Follow a sub-request that was sent."""
        self.sub_requests += 1
        attempt.future = future
        attempt.shard.live.append(attempt)
        of_target = self.known.targets[attempt.target]
        of_target.outstanding += 1
        self.services.event(
            EventKind.SUB_REQUEST_SENT,
            request_id=self.request.request_id,
            shard=attempt.shard.shard,
            target=attempt.target,
        )
        future.add_done_callback(partial(self._on_done, attempt))

    def _on_done(
        self,
        attempt: Attempt,
        future: 'asyncio.Future[SubResult]',
    ) -> None:
        """Note a result; it is taken in on the query's next turn."""
        self.known.targets[attempt.target].outstanding -= 1
        self.arrived.append(attempt)
        self._rouse()

    def _take_arrived(self, now: float) -> None:
        """Take in the results that have come."""
        arrived, self.arrived = self.arrived, []
        again: list[Attempt] = []
        for attempt in arrived:
            attempt.settled = True
            attempt.shard.live.remove(attempt)
            self._take(attempt, result_of(attempt), now, again)
        self.submit(again, now)

    def _take(
        self,
        attempt: Attempt,
        result: SubResult,
        now: float,
        again: list[Attempt],
    ) -> None:
        """Take in one result."""
        shard = attempt.shard
        hits = None
        if result.outcome == OUTCOME_ANSWERED:
            hits = decode_hits(result.body)
            if hits is None:
                result.outcome = OUTCOME_IN_DOUBT
                result.code = ErrorCode.BAD_ANSWER.value
        self.knowledge.on_result(
            known=self.known,
            target=attempt.target,
            result=result,
            latency_s=now - attempt.started,
            now=now,
        )
        shard.ran = shard.ran or result.outcome != OUTCOME_NOT_RUN
        if shard.state is not ShardState.OPEN:
            return
        if hits is not None:
            self._answer(attempt, hits, now)
            return
        self._note_failure(attempt, result)
        if not shard.live:
            self._retry(shard, result, now, again)

    def _answer(
        self,
        attempt: Attempt,
        hits: list[dict[str, object]],
        now: float,
    ) -> None:
        """Count the whole answer of a shard."""
        shard = attempt.shard
        shard.state = ShardState.ANSWERED
        shard.hits = hits
        self.open -= 1
        self.coverage.add(shard.shard)
        shard.cancel_live()
        self.services.event(
            EventKind.SUB_REQUEST_ANSWERED,
            request_id=self.request.request_id,
            shard=shard.shard,
            target=attempt.target,
            duration_us=int((now - attempt.started) * const.US_PER_SECOND),
        )

    def _note_failure(self, attempt: Attempt, result: SubResult) -> None:
        """Keep why a sub-request failed."""
        shard = attempt.shard
        shard.code = result.code
        shard.retry_after_ms = max(shard.retry_after_ms, result.retry_after_ms)
        if result.code == ErrorCode.SNAPSHOT_GONE.value:
            self.snapshot_gone = True
        self.services.event(
            EventKind.SUB_REQUEST_FAILED,
            request_id=self.request.request_id,
            shard=shard.shard,
            target=attempt.target,
            detail=result.code,
        )

    def _retry(
        self,
        shard: ShardProgress,
        result: SubResult,
        now: float,
        again: list[Attempt],
    ) -> None:
        """Try a failed shard again, on another replica first, or give up."""
        order = self._order(shard, now)
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
            self._fail(shard, result.code)
            return
        self.retries += 1
        if not order:
            shard.tried.clear()
            delay_s = retry_delay_s(
                attempts=shard.attempts,
                rng=self.services.rng,
            )
            self.timers.at(now + delay_s, partial(self._send_again, shard))
            return
        attempt = self.attempt(shard, order, now)
        if attempt is not None:
            again.append(attempt)

    def _send_again(self, shard: ShardProgress, now: float) -> None:
        """Send a delayed retry."""
        attempt = self.attempt(shard, self._order(shard, now), now)
        if attempt is not None:
            self.submit([attempt], now)

    def _fail(self, shard: ShardProgress, code: str) -> None:
        """Give a shard up."""
        if shard.state is not ShardState.OPEN:
            return
        shard.state = ShardState.FAILED
        shard.code = code
        self.open -= 1
        self.failed_share += self.coverage.share_of([shard.shard])
