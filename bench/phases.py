"""Phases of load that the benches of faults share."""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from bench.checks import CoverageCheck
from bench.cluster import Cluster, running_cluster
from bench.loads import small_deployment
from bench.options import Options
from bitternturn.standins.caller_models import CallerAnswer
from bitternturn.standins.fleet import TargetFleet
from bitternturn.standins.load import LoadReport, async_offer_load

INDEX = 'pay-lookup'
PROFILE = 'shed-queue'
RATE = 20.0
WARM_UP_S = 6.0
LONGEST_S = 120.0
FAULTS_SHOWN = 3


@dataclass(kw_only=True)
class Phases:
    """One cluster under load, phase after phase."""

    cluster: Cluster
    check: CoverageCheck
    rng: random.Random
    warm_up: LoadReport = field(default_factory=LoadReport)
    # Wall seconds at which each answer came.
    answers: list[tuple[float, CallerAnswer]] = field(default_factory=list)

    async def async_load(
        self,
        seconds: float,
        during: Coroutine[Any, Any, None] | None = None,
    ) -> LoadReport:
        """Offer load for some time, and on until `during` has ended."""
        if during is None:
            return await self._async_offer(seconds, None)
        task = asyncio.create_task(during)
        try:
            report = await self._async_offer(LONGEST_S, task)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        task.result()
        return report

    def gap_s(self, since: float) -> float:
        """Return the time after which every answer was whole again."""
        short = [
            at
            for at, answer in self.answers
            if at >= since and not (answer.done and not answer.reply.missing)
        ]
        return round(max(short, default=since) - since, 2)

    def truth(self) -> dict[str, object]:
        """Return what the answers' checks say."""
        share = self.check.true_share
        return {
            **outcome(self.warm_up, 'warm_up_'),
            'coverage_true_share': share,
            'mixed': self.check.mixed,
            'untrue': self.check.faults[:FAULTS_SHOWN],
            'most_in_flight_cold': max(
                server.records.most_in_flight_cold
                for server in self.cluster.fleet.targets.values()
            ),
            'over_cold_limit': len(self.cluster.fleet.over_cold_limit()),
        }

    async def _async_offer(
        self,
        seconds: float,
        task: asyncio.Task[None] | None,
    ) -> LoadReport:
        """Offer load until the time is over or the task has ended."""
        return await async_offer_load(
            send=self.cluster.caller.async_query,
            rate=RATE,
            seconds=seconds,
            make_query=self.check.make_queries(PROFILE),
            rng=self.rng,
            on_answer=self._take,
            stopped=lambda: task is not None and task.done(),
        )

    def _take(self, answer: CallerAnswer) -> None:
        """Check an answer, and print one that is a refusal."""
        self.check.take(answer)
        self.answers.append((time.time(), answer))
        if not answer.done:
            reply = answer.reply
            print(
                f'{answer.latency_s:.3f} s {reply.request_id} {reply.outcome}'
                f' {reply.code} {reply.step} {reply.message}',
            )


@asynccontextmanager
async def warm_phases(
    options: Options,
    *,
    cluster: Cluster | None = None,
) -> AsyncIterator[Phases]:
    """Start a cluster and warm its targets up."""
    cluster = cluster or make_cluster(options)
    async with running_cluster(cluster):
        phases = Phases(
            cluster=cluster,
            check=CoverageCheck(fleet=cluster.fleet, index=INDEX),
            rng=random.Random(options.seed),
        )
        phases.warm_up = await phases.async_load(WARM_UP_S)
        yield phases


def make_cluster(options: Options) -> Cluster:
    """Return a cluster of today's size with one index."""
    deployment = small_deployment('atlas', INDEX)
    fleet = TargetFleet(deployment=deployment, seed=options.seed)
    return Cluster(deployment=deployment, fleet=fleet)


def p99_ratio(during: LoadReport, before: LoadReport) -> float:
    """Return how much longer the slowest answers take than before."""
    return round(during.quantile_s(0.99) / before.quantile_s(0.99), 2)


def outcome(report: LoadReport, prefix: str = '') -> dict[str, object]:
    """Return the figures of one phase."""
    return {
        f'{prefix}offered': report.offered,
        f'{prefix}failed': report.offered - report.done,
        f'{prefix}cut': report.statuses[0],
        f'{prefix}codes': dict(report.codes),
        f'{prefix}coverage': round(report.mean_coverage, 4),
        f'{prefix}p50_ms': round(report.quantile_s(0.5) * 1000, 2),
        f'{prefix}p99_ms': round(report.quantile_s(0.99) * 1000, 2),
    }
