"""Hedges for the slow shards of a query."""

from functools import partial
from typing import TYPE_CHECKING

from bitternturn.callers import const
from bitternturn.callers.shard_progress import (
    ShardProgress,
    ShardRequest,
    ShardState,
)
from bitternturn.core.ids import TargetId
from bitternturn.policy.hedging import (
    are_stragglers,
    hedge_delay_s,
    may_hedge_to,
)

if TYPE_CHECKING:
    from bitternturn.callers.fan_out import FanOut

# Share of the hedge delay after which pending shards are checked again.
HEDGE_RECHECK_SHARE = 0.5


class HedgeScheduler:
    """Schedules and sends the hedges of one fan-out."""

    def __init__(self, *, fan_out: 'FanOut') -> None:
        """Initialise the hedges of a fan-out."""
        self.fan_out = fan_out

    def schedule(self, now: float) -> None:
        """Schedule the first hedges of a repeatable query."""
        if not self.fan_out.request.profile.repeatable:
            return
        delay_s = hedge_delay_s(
            latencies=self.fan_out.observed_index.latency,
            now=now,
            remaining_s=self.fan_out.request.deadline
            - const.ANSWER_MARGIN_S
            - now,
        )
        if delay_s is not None:
            self.fan_out.timers.schedule(
                now + delay_s, partial(self._send_hedges, delay_s)
            )

    def _send_hedges(self, delay_s: float, now: float) -> None:
        """Send a hedge for each straggling shard within the budget."""
        shard_requests: list[ShardRequest] = []
        stragglers = are_stragglers(
            pending=self.fan_out.pending_shards,
            fan_out=len(self.fan_out.shards),
            waited_s=now - self.fan_out.sent_at,
            delay_s=delay_s,
        )
        for shard in self.fan_out.shards if stragglers else ():
            if (
                shard.state is not ShardState.PENDING
                or len(shard.in_flight) != 1
            ):
                continue
            targets = self._hedge_targets(shard, now)
            if not targets or not self.fan_out.budgets.hedges.try_spend():
                continue
            shard_request = self.fan_out.make_request(
                shard, targets, now, hedge=True
            )
            if shard_request is not None:
                shard_requests.append(shard_request)
        self.fan_out.hedges += len(shard_requests)
        self.fan_out.submit(shard_requests, now)
        recheck_at = now + delay_s * HEDGE_RECHECK_SHARE
        self.fan_out.timers.schedule(
            recheck_at, partial(self._send_hedges, delay_s)
        )

    def _hedge_targets(
        self,
        shard: ShardProgress,
        now: float,
    ) -> list[TargetId]:
        """Return the untried replicas that may receive a hedge."""
        usable = [
            target
            for target in shard.targets
            if target not in shard.tried
            and self.fan_out.observed_state.is_usable(
                self.fan_out.observed_index,
                target,
                self.fan_out.choice.snapshot,
            )
        ]
        return [
            view.target
            for view in self.fan_out.observed_state.make_views(
                self.fan_out.observed_index, usable, now
            )
            if may_hedge_to(view)
        ]
