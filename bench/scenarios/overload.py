"""Goodput and latency of urgent queries at 0.5 to 3 times the capacity."""

import dataclasses
import random

from bench.checks import query_id_of
from bench.cluster import Cluster, running_cluster
from bench.fleet_models import Command
from bench.options import Options
from bench.remote_fleet import RemoteFleet
from bench.workloads import make_query_source
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
from bitternturn.standins.load_generator import LoadReport, async_generate_load

INDEX = 'pay-lookup'
URGENT_PROFILE = 'shed-queue'
BULK_PROFILE = 'bulk'
SHARDS = 8
SERVICE_MS = 100.0
URGENT_QUERY_SHARE = 0.1
# Offered load relative to the capacity.
LOAD_FACTORS = (0.5, 1.0, 3.0)
DEADLINE_MS = 1000


def make_deployment() -> Deployment:
    """Return a deployment whose capacity is limited by slots, not processor.

    It has few shards with a long service time.
    """
    deployment = load_deployment('atlas')
    spec = dataclasses.replace(
        deployment.index(INDEX),
        shards=SHARDS,
        service_ms=SERVICE_MS,
    )
    return dataclasses.replace(deployment, indexes=(spec,))


def capacity_per_s(deployment: Deployment) -> float:
    """Return the queries per second that all slots can serve."""
    spec = deployment.index(INDEX)
    return spec.replicas * spec.slots / (SERVICE_MS / 1000)


def make_profiles(deployment: Deployment) -> Profiles:
    """Return profiles with an urgent and a background one of equal deadline."""
    profiles = build_profiles(deployment)
    bulk = profiles.profiles.add()
    for profile in profiles.profiles:
        if profile.name == URGENT_PROFILE:
            profile.deadline_ms = DEADLINE_MS
            bulk.CopyFrom(profile)
    bulk.name = BULK_PROFILE
    bulk.priority = PRIORITY_BACKGROUND
    return profiles


class ProfileAnswers:
    """Answers to urgent queries, and ids of all queries reported not run."""

    def __init__(self) -> None:
        """Initialise empty records."""
        self.profile_of: dict[str, str] = {}
        self.urgent_latencies_s: list[float] = []
        self.urgent_refused = 0
        self.not_run: set[str] = set()

    def draw_query(self, rng: random.Random) -> CallerQuery:
        """Draw a query with the urgent or the background profile."""
        profile = (
            URGENT_PROFILE
            if rng.random() < URGENT_QUERY_SHARE
            else BULK_PROFILE
        )
        query = make_query_source(INDEX, profile)(rng)
        self.profile_of[query.request_id] = profile
        return query

    def record(self, answer: CallerAnswer) -> None:
        """Record the parts of an answer that the results need."""
        request_id = answer.reply.request_id
        if answer.reply.outcome == OUTCOME_NOT_RUN:
            self.not_run.add(request_id)
        if self.profile_of.get(request_id) != URGENT_PROFILE:
            return
        if answer.done:
            self.urgent_latencies_s.append(answer.latency_s)
        else:
            self.urgent_refused += 1

    @property
    def urgent_p99_ms(self) -> float:
        """99th percentile of the latency of urgent answers."""
        ordered = sorted(self.urgent_latencies_s)
        return ordered[int(len(ordered) * 0.99)] * 1000 if ordered else 0.0


async def async_run(options: Options) -> dict[str, object]:
    """Run the scenario and return its results."""
    rng = random.Random(options.seed)
    deployment = make_deployment()
    fleet = RemoteFleet(deployment=deployment, seed=options.seed)
    cluster = Cluster(deployment=deployment, fleet=fleet)
    seconds = options.choose_seconds(8, 40)
    results: dict[str, dict[str, object]] = {}
    answers_by_load: dict[float, ProfileAnswers] = {}
    reports: dict[float, LoadReport] = {}
    async with running_cluster(cluster):
        await cluster.async_put_configuration(
            'profiles', make_profiles(deployment)
        )
        await fleet.async_execute(
            Command(call='behave', behaviour={'straggler_share': 0}),
        )
        await fleet.async_execute(Command(call='warm_up'))
        for load in (0.5, *LOAD_FACTORS):
            answers = ProfileAnswers()
            reports[load] = await async_generate_load(
                send=cluster.caller.async_query,
                rate=load * capacity_per_s(deployment),
                seconds=seconds,
                make_query=answers.draw_query,
                rng=rng,
                on_answer=answers.record,
            )
            answers_by_load[load] = answers
        runs = await fleet.async_fetch_runs()
    started = {
        query_id_of(run.request_id) for run in runs if run.started_s is not None
    }
    for load in LOAD_FACTORS:
        report, answers = reports[load], answers_by_load[load]
        results[str(load)] = {
            'offered': report.offered,
            'goodput_s': round(report.done / seconds, 1),
            'codes': dict(report.codes),
            'urgent_p99_ms': round(answers.urgent_p99_ms, 1),
            'urgent_refused': answers.urgent_refused,
            'urgent_answered': len(answers.urgent_latencies_s),
        }
    return {
        'capacity_s': capacity_per_s(deployment),
        'by_load': results,
        'goodput_ratio': round(reports[3.0].done / reports[1.0].done, 3),
        'urgent_p99_ratio': round(
            answers_by_load[3.0].urgent_p99_ms
            / max(1.0, answers_by_load[0.5].urgent_p99_ms),
            2,
        ),
        'false_not_run': sum(
            len(answers.not_run & started)
            for answers in answers_by_load.values()
        ),
    }
