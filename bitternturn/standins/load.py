"""Open-loop load: queries are sent when due, whatever is unanswered."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

from hdrh.histogram import HdrHistogram

from bitternturn.core.clock import Clock, monotonic
from bitternturn.standins.caller_models import CallerAnswer, CallerQuery

US_PER_SECOND: Final = 1_000_000
LEAST_US: Final = 1
MOST_US: Final = 60 * US_PER_SECOND
DIGITS: Final = 3
PERCENT: Final = 100

Send = Callable[[CallerQuery], Awaitable[CallerAnswer]]
MakeQuery = Callable[[random.Random], CallerQuery]
OnAnswer = Callable[[CallerAnswer], None]


@dataclass(kw_only=True, slots=True)
class LoadReport:
    """Counts and latencies of a load."""

    # Microseconds from the time at which each query was due.
    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(LEAST_US, MOST_US, DIGITS),
    )
    offered: int = 0
    done: int = 0
    whole: int = 0
    coverage_sum: float = 0
    statuses: Counter[int] = field(default_factory=Counter)
    codes: Counter[str] = field(default_factory=Counter)

    @property
    def mean_coverage(self) -> float:
        """Return the mean coverage of the answers."""
        return self.coverage_sum / self.done if self.done else 0

    def quantile_s(self, share: float) -> float:
        """Return a quantile of the answers' latencies in seconds."""
        value_us = self.histogram.get_value_at_percentile(share * PERCENT)
        return float(value_us / US_PER_SECOND)

    def add(self, answer: CallerAnswer, latency_s: float) -> None:
        """Count one answer; only answered queries enter the histogram."""
        self.statuses[answer.status] += 1
        if not answer.done:
            self.codes[answer.reply.code] += 1
            return
        latency_us = round(latency_s * US_PER_SECOND)
        self.histogram.record_value(min(max(latency_us, LEAST_US), MOST_US))
        self.done += 1
        self.coverage_sum += answer.reply.coverage
        self.whole += not answer.reply.missing


def never() -> bool:
    """Return False: the load runs for its whole time."""
    return False


async def async_offer_load(
    *,
    send: Send,
    rate: float,
    seconds: float,
    make_query: MakeQuery,
    rng: random.Random,
    now: Clock = monotonic,
    on_answer: OnAnswer | None = None,
    stopped: Callable[[], bool] = never,
) -> LoadReport:
    """Offer `rate` queries per second as a Poisson process; wait for all.

    The load ends after `seconds`, or before when `stopped` says so.
    """
    report = LoadReport()
    tasks: list[asyncio.Task[None]] = []

    async def run(query: CallerQuery, due: float) -> None:
        answer = await send(query)
        report.add(answer, now() - due)
        if on_answer is not None:
            on_answer(answer)

    started = now()
    due = started + rng.expovariate(rate)
    while due < started + seconds and not stopped():
        await asyncio.sleep(due - now())
        report.offered += 1
        tasks.append(asyncio.create_task(run(make_query(rng), due)))
        due += rng.expovariate(rate)
    await asyncio.gather(*tasks)
    return report
