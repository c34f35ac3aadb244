"""Goodput and the urgent profile's latency from half to three times capacity."""

import dataclasses
import random

from bench.checks import query_of
from bench.cluster import Cluster, running_cluster
from bench.fleet_models import Command
from bench.loads import make_queries
from bench.options import Options
from bench.remote_fleet import RemoteFleet
from bitternturn.schema.config_pb2 import PRIORITY_BACKGROUND, Profiles
from bitternturn.standins.caller_models import (
    OUTCOME_NOT_RUN,
    CallerAnswer,
    CallerQuery,
)
from bitternturn.standins.deployments import (
    Deployment,
    build_profiles,
    load_deployment,
)
from bitternturn.standins.load import LoadReport, async_offer_load

INDEX = 'pay-lookup'
URGENT = 'shed-queue'
BULK = 'bulk'
SHARDS = 8
SERVICE_MS = 100.0
URGENT_SHARE = 0.1
LOADS = (0.5, 1.0, 3.0)
DEADLINE_MS = 1000


def slow_deployment() -> Deployment:
    """Return few shards whose slots, not whose processor, set the capacity."""
    deployment = load_deployment('atlas')
    spec = dataclasses.replace(
        deployment.index(INDEX),
        shards=SHARDS,
        service_ms=SERVICE_MS,
    )
    return dataclasses.replace(deployment, indexes=(spec,))


def capacity(deployment: Deployment) -> float:
    """Return the queries a second that all slots bear."""
    spec = deployment.index(INDEX)
    return spec.replicas * spec.slots / (SERVICE_MS / 1000)


def make_profiles(deployment: Deployment) -> Profiles:
    """Return an urgent and a background profile of the same deadline."""
    profiles = build_profiles(deployment)
    bulk = profiles.profiles.add()
    for profile in profiles.profiles:
        if profile.name == URGENT:
            profile.deadline_ms = DEADLINE_MS
            bulk.CopyFrom(profile)
    bulk.name = BULK
    bulk.priority = PRIORITY_BACKGROUND
    return profiles


class Split:
    """Answers of the two profiles, and the ids of what was not run."""

    def __init__(self) -> None:
        """Start with none."""
        self.profile_of: dict[str, str] = {}
        self.urgent: list[float] = []
        self.urgent_lost = 0
        self.not_run: set[str] = set()

    def draw(self, rng: random.Random) -> CallerQuery:
        """Draw a query of one of the profiles."""
        profile = URGENT if rng.random() < URGENT_SHARE else BULK
        query = make_queries(INDEX, profile)(rng)
        self.profile_of[query.request_id] = profile
        return query

    def take(self, answer: CallerAnswer) -> None:
        """Keep what the checks need."""
        request_id = answer.reply.request_id
        if answer.reply.outcome == OUTCOME_NOT_RUN:
            self.not_run.add(request_id)
        if self.profile_of.get(request_id) != URGENT:
            return
        if answer.done:
            self.urgent.append(answer.latency_s)
        else:
            self.urgent_lost += 1

    @property
    def p99_ms(self) -> float:
        """99th percentile of the urgent answers."""
        ordered = sorted(self.urgent)
        return ordered[int(len(ordered) * 0.99)] * 1000 if ordered else 0.0


async def async_run(options: Options) -> dict[str, object]:
    """Measure."""
    rng = random.Random(options.seed)
    deployment = slow_deployment()
    fleet = RemoteFleet(deployment=deployment, seed=options.seed)
    cluster = Cluster(deployment=deployment, fleet=fleet)
    seconds = options.seconds(8, 40)
    results: dict[str, dict[str, object]] = {}
    splits: dict[float, Split] = {}
    reports: dict[float, LoadReport] = {}
    async with running_cluster(cluster):
        await cluster.async_accept('profiles', make_profiles(deployment))
        await fleet.async_do(
            Command(call='behave', behaviour={'straggler_share': 0}),
        )
        await fleet.async_do(Command(call='warm_up'))
        for load in (0.5, *LOADS):
            split = Split()
            reports[load] = await async_offer_load(
                send=cluster.caller.async_query,
                rate=load * capacity(deployment),
                seconds=seconds,
                make_query=split.draw,
                rng=rng,
                on_answer=split.take,
            )
            splits[load] = split
        runs = await fleet.async_collect()
    started = {
        query_of(run.request_id) for run in runs if run.started_s is not None
    }
    for load in LOADS:
        report, split = reports[load], splits[load]
        results[str(load)] = {
            'offered': report.offered,
            'goodput_s': round(report.done / seconds, 1),
            'codes': dict(report.codes),
            'urgent_p99_ms': round(split.p99_ms, 1),
            'urgent_refused': split.urgent_lost,
            'urgent_answered': len(split.urgent),
        }
    return {
        'capacity_s': capacity(deployment),
        'by_load': results,
        'goodput_ratio': round(reports[3.0].done / reports[1.0].done, 3),
        'urgent_p99_ratio': round(
            splits[3.0].p99_ms / max(1.0, splits[0.5].p99_ms), 2
        ),
        'false_not_run': sum(
            len(split.not_run & started) for split in splits.values()
        ),
    }
