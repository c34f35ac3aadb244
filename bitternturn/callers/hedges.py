"""Second sub-requests for the shards of a query that lag behind."""

from functools import partial
from typing import TYPE_CHECKING

from bitternturn.callers import const
from bitternturn.callers.progress import Attempt, ShardProgress, ShardState
from bitternturn.core.ids import TargetId
from bitternturn.policy.hedging import (
    are_stragglers,
    hedge_delay_s,
    may_hedge_to,
)

if TYPE_CHECKING:
    from bitternturn.callers.fanout import FanOut

# Share of the hedge delay after which open shards are looked at again.
HEDGE_AGAIN_SHARE = 0.5


class Hedging:
    """Hedges of one fan-out."""

    def __init__(self, *, fan_out: 'FanOut') -> None:
        """Hold the fan-out whose shards are followed."""
        self.fan_out = fan_out

    def arm(self, now: float) -> None:
        """Set the time at which slow shards are asked a second time."""
        if not self.fan_out.request.profile.repeatable:
            return
        delay_s = hedge_delay_s(
            latencies=self.fan_out.known.latency,
            now=now,
            remaining_s=self.fan_out.request.deadline
            - const.ANSWER_MARGIN_S
            - now,
        )
        if delay_s is not None:
            self.fan_out.timers.at(now + delay_s, partial(self._hedge, delay_s))

    def _hedge(self, delay_s: float, now: float) -> None:
        """Ask a second replica of each shard that lags behind the others."""
        attempts: list[Attempt] = []
        stragglers = are_stragglers(
            pending=self.fan_out.open,
            fan_out=len(self.fan_out.shards),
            waited_s=now - self.fan_out.sent_at,
            delay_s=delay_s,
        )
        for shard in self.fan_out.shards if stragglers else ():
            if shard.state is not ShardState.OPEN or len(shard.live) != 1:
                continue
            targets = self._hedge_targets(shard, now)
            if not targets or not self.fan_out.budgets.hedges.try_spend():
                continue
            attempt = self.fan_out.attempt(shard, targets, now, hedge=True)
            if attempt is not None:
                attempts.append(attempt)
        self.fan_out.hedges += len(attempts)
        self.fan_out.submit(attempts, now)
        again = now + delay_s * HEDGE_AGAIN_SHARE
        self.fan_out.timers.at(again, partial(self._hedge, delay_s))

    def _hedge_targets(
        self,
        shard: ShardProgress,
        now: float,
    ) -> list[TargetId]:
        """Return the untried replicas that are fit for a hedge."""
        usable = [
            target
            for target in shard.targets
            if target not in shard.tried
            and self.fan_out.knowledge.usable(
                self.fan_out.known, target, self.fan_out.choice.snapshot
            )
        ]
        return [
            view.target
            for view in self.fan_out.knowledge.views(
                self.fan_out.known, usable, now
            )
            if may_hedge_to(view)
        ]
