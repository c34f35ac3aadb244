"""Open-loop load generator: sends queries at set times.

Queries are sent on schedule, however many are still unanswered.
"""

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
MIN_LATENCY_US: Final = 1
MAX_LATENCY_US: Final = 60 * US_PER_SECOND
SIGNIFICANT_DIGITS: Final = 3
PERCENT: Final = 100

Send = Callable[[CallerQuery], Awaitable[CallerAnswer]]
MakeQuery = Callable[[random.Random], CallerQuery]
OnAnswer = Callable[[CallerAnswer], None]


@dataclass(kw_only=True, slots=True)
class LoadReport:
    """Counts and latencies of the queries of a load."""

    # Latencies in microseconds, measured from the scheduled send times.
    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        ),
    )
    offered: int = 0
    done: int = 0
    # Answered queries without missing shards.
    complete: int = 0
    coverage_sum: float = 0
    statuses: Counter[int] = field(default_factory=Counter)
    codes: Counter[str] = field(default_factory=Counter)

    @property
    def mean_coverage(self) -> float:
        """Return the mean coverage of the answered queries."""
        return self.coverage_sum / self.done if self.done else 0

    def quantile_s(self, quantile: float) -> float:
        """Return a quantile of the latencies of answered queries."""
        value_us = self.histogram.get_value_at_percentile(quantile * PERCENT)
        return float(value_us / US_PER_SECOND)

    def record_answer(self, answer: CallerAnswer, latency_s: float) -> None:
        """Record an answer; only latencies of answered queries count."""
        self.statuses[answer.status] += 1
        if not answer.done:
            self.codes[answer.reply.code] += 1
            return
        latency_us = round(latency_s * US_PER_SECOND)
        self.histogram.record_value(
            min(max(latency_us, MIN_LATENCY_US), MAX_LATENCY_US)
        )
        self.done += 1
        self.coverage_sum += answer.reply.coverage
        self.complete += not answer.reply.missing


def never_stopped() -> bool:
    """Return False, so that the load runs for its full duration."""
    return False


async def async_generate_load(
    *,
    send: Send,
    rate: float,
    seconds: float,
    make_query: MakeQuery,
    rng: random.Random,
    now: Clock = monotonic,
    on_answer: OnAnswer | None = None,
    is_stopped: Callable[[], bool] = never_stopped,
) -> LoadReport:
    """Send `rate` queries per second as a Poisson process.

    Sending ends after `seconds`, or as soon as `is_stopped` returns True. Returns
    when all queries are answered.
    """
    report = LoadReport()
    tasks: list[asyncio.Task[None]] = []

    async def run(query: CallerQuery, due: float) -> None:
        answer = await send(query)
        report.record_answer(answer, now() - due)
        if on_answer is not None:
            on_answer(answer)

    started = now()
    due = started + rng.expovariate(rate)
    while due < started + seconds and not is_stopped():
        await asyncio.sleep(due - now())
        report.offered += 1
        tasks.append(asyncio.create_task(run(make_query(rng), due)))
        due += rng.expovariate(rate)
    await asyncio.gather(*tasks)
    return report
