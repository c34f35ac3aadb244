"""Phases of load shared by the benches that inject faults."""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from bench.checks import CoverageCheck
from bench.cluster import Cluster, running_cluster
from bench.options import Options
from bench.workloads import select_indexes
from bitternturn.standins.caller_models import CallerAnswer
from bitternturn.standins.fleet import TargetFleet
from bitternturn.standins.load_generator import LoadReport, async_generate_load

INDEX = 'pay-lookup'
PROFILE = 'shed-queue'
QUERIES_PER_S = 20.0
WARM_UP_S = 6.0
MAX_PHASE_S = 120.0
MAX_ERRORS_SHOWN = 3


@dataclass(kw_only=True)
class LoadPhases:
    """Load on one cluster in consecutive phases, with checked answers."""

    cluster: Cluster
    check: CoverageCheck
    rng: random.Random
    warm_up: LoadReport = field(default_factory=LoadReport)
    # Answers with the wall clock time in seconds at which each arrived.
    answers: list[tuple[float, CallerAnswer]] = field(default_factory=list)

    async def async_load(
        self,
        seconds: float,
        during: Coroutine[Any, Any, None] | None = None,
    ) -> LoadReport:
        """Offer load for a time or, if given, until `during` has finished."""
        if during is None:
            return await self._async_offer_load(seconds, None)
        task = asyncio.create_task(during)
        try:
            report = await self._async_offer_load(MAX_PHASE_S, task)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        task.result()
        return report

    def recovery_time_s(self, since: float) -> float:
        """Return the seconds from `since` until the last incomplete answer."""
        incomplete = [
            at
            for at, answer in self.answers
            if at >= since and not (answer.done and not answer.reply.missing)
        ]
        return round(max(incomplete, default=since) - since, 2)

    def summarize_checks(self) -> dict[str, object]:
        """Return the results of the checks of all answers."""
        share = self.check.correct_share
        return {
            **summarize_load(self.warm_up, 'warm_up_'),
            'coverage_true_share': share,
            'mixed': self.check.mixed_snapshots,
            'untrue': self.check.errors[:MAX_ERRORS_SHOWN],
            'most_in_flight_cold': max(
                server.records.peak_in_flight_cold
                for server in self.cluster.fleet.targets.values()
            ),
            'over_cold_limit': len(
                self.cluster.fleet.targets_over_cold_limit()
            ),
        }

    async def _async_offer_load(
        self,
        seconds: float,
        task: asyncio.Task[None] | None,
    ) -> LoadReport:
        """Offer load until the time has elapsed or the task is done."""
        return await async_generate_load(
            send=self.cluster.caller.async_query,
            rate=QUERIES_PER_S,
            seconds=seconds,
            make_query=self.check.make_query_source(PROFILE),
            rng=self.rng,
            on_answer=self._record_answer,
            is_stopped=lambda: task is not None and task.done(),
        )

    def _record_answer(self, answer: CallerAnswer) -> None:
        """Record an answer and print it if the query was not answered."""
        self.check.record_answer(answer)
        self.answers.append((time.time(), answer))
        if not answer.done:
            reply = answer.reply
            print(
                f'{answer.latency_s:.3f} s {reply.request_id} {reply.outcome}'
                f' {reply.code} {reply.step} {reply.message}',
            )


@asynccontextmanager
async def running_phases(
    options: Options,
    *,
    cluster: Cluster | None = None,
) -> AsyncIterator[LoadPhases]:
    """Start a cluster and warm up its targets."""
    cluster = cluster or make_cluster(options)
    async with running_cluster(cluster):
        phases = LoadPhases(
            cluster=cluster,
            check=CoverageCheck(fleet=cluster.fleet, index=INDEX),
            rng=random.Random(options.seed),
        )
        phases.warm_up = await phases.async_load(WARM_UP_S)
        yield phases


def make_cluster(options: Options) -> Cluster:
    """Return a cluster of the present deployment's size with one index."""
    deployment = select_indexes('atlas', INDEX)
    fleet = TargetFleet(deployment=deployment, seed=options.seed)
    return Cluster(deployment=deployment, fleet=fleet)


def p99_ratio(during: LoadReport, before: LoadReport) -> float:
    """Return the 99th percentile of latency relative to an earlier phase."""
    return round(during.quantile_s(0.99) / before.quantile_s(0.99), 2)


def summarize_load(report: LoadReport, prefix: str = '') -> dict[str, object]:
    """Return the results of one phase under prefixed keys."""
    return {
        f'{prefix}offered': report.offered,
        f'{prefix}failed': report.offered - report.done,
        f'{prefix}cut': report.statuses[0],
        f'{prefix}codes': dict(report.codes),
        f'{prefix}coverage': round(report.mean_coverage, 4),
        f'{prefix}p50_ms': round(report.quantile_s(0.5) * 1000, 2),
        f'{prefix}p99_ms': round(report.quantile_s(0.99) * 1000, 2),
    }
