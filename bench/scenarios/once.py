"""Reservations under faults: each runs at most once and is told truly.

Entries are killed and replaced, answers of the object API and of targets are
lost, and callers race retries of one key through two entries.
"""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field

from bench.checks import query_of
from bench.cluster import Cluster, running_cluster
from bench.loads import small_deployment
from bench.options import Options
from bitternturn.core.ids import IndexName
from bitternturn.standins.caller_models import (
    OUTCOME_IN_DOUBT,
    OUTCOME_NOT_RUN,
    CallerAnswer,
    CallerQuery,
)
from bitternturn.standins.fleet import TargetFleet
from bitternturn.standins.load import async_offer_load
from bitternturn.standins.target_records import (
    Run,
    RunState,
    runs_by_key,
)

INDEX = 'booking-counter'
PROFILE = 'reservation'
RATE = 140.0
UNKEYED_SHARE = 0.1
RACE_SHARE = 0.2
FAULT_INTERVAL_S = 0.5
CRASH_INTERVAL_S = 3.0
LOST_OBJECT_ANSWERS = 2
LOST_TARGET_ANSWERS = 1
TRIES = 6
RETRY_S = 0.3
LOOK_UPS = 3
CLAIM_RATES = (50.0, 100.0, 200.0, 300.0)
# A rate is borne when so many of its claims are done.
BORNE_SHARE = 0.99


@dataclass(kw_only=True, slots=True)
class Reservation:
    """One request with all that its caller was told."""

    query: CallerQuery
    answers: list[CallerAnswer] = field(default_factory=list)

    @property
    def done(self) -> bool:
        """Whether the caller was told of the end."""
        return any(answer.done for answer in self.answers)

    def told(self, outcome: str) -> bool:
        """Whether any answer had an outcome."""
        return any(it.reply.outcome == outcome for it in self.answers)


class OnceBench:
    """Sends reservations and brings about the faults."""

    def __init__(self, *, cluster: Cluster, seed: int) -> None:
        """Prepare."""
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.shards = tuple(
            shard.id
            for shard in cluster.fleet.index(IndexName(INDEX)).maps[-1].shards
        )
        self.numbers = itertools.count()
        self.keyed: list[Reservation] = []
        self.unkeyed: list[Reservation] = []
        self.crashes = 0

    def draw(self, *, keyed: bool) -> Reservation:
        """Return the next reservation."""
        number = next(self.numbers)
        return Reservation(
            query=CallerQuery(
                index=INDEX,
                profile=PROFILE,
                query={'match': {'kind': f'kind-{number}'}},
                shards=(self.rng.choice(self.shards),),
                request_id='' if keyed else f'unkeyed-{number}',
                idempotency_key=f'key-{number}' if keyed else '',
            ),
        )

    async def async_ask(self, reservation: Reservation) -> CallerAnswer:
        """Send a reservation once more; the next entry takes it."""
        answer = await self.cluster.caller.async_query(reservation.query)
        reservation.answers.append(answer)
        return answer

    async def async_reserve(self, reservation: Reservation, race: bool) -> None:
        """Send a keyed reservation until its end is told."""
        if race:
            await asyncio.gather(
                self.async_ask(reservation),
                self.async_ask(reservation),
            )
        for _ in range(TRIES):
            if reservation.done:
                return
            await self.async_ask(reservation)
            if not reservation.done:
                await asyncio.sleep(RETRY_S)

    async def async_load(self, count: int) -> None:
        """Send reservations at a steady rate; wait for all."""
        tasks = []
        due = time.monotonic()
        while len(self.keyed) < count:
            due += self.rng.expovariate(RATE)
            await asyncio.sleep(due - time.monotonic())
            keyed = self.rng.random() >= UNKEYED_SHARE
            reservation = self.draw(keyed=keyed)
            race = self.rng.random() < RACE_SHARE
            if keyed:
                self.keyed.append(reservation)
                sent = self.async_reserve(reservation, race)
                tasks.append(asyncio.create_task(sent))
            else:
                self.unkeyed.append(reservation)
                asked = self.async_ask(reservation)
                tasks.append(asyncio.create_task(_async_drop(asked)))
        await asyncio.gather(*tasks)

    async def async_lose_answers(self) -> None:
        """Lose answers of the object API and of targets again and again."""
        servers = self.cluster.fleet.of_index(IndexName(INDEX))
        while True:
            await asyncio.sleep(FAULT_INTERVAL_S)
            self.cluster.objects.faults.lost_answers += LOST_OBJECT_ANSWERS
            server = self.rng.choice(servers)
            server.faults.lost_answers += LOST_TARGET_ANSWERS

    async def async_crash(self) -> None:
        """Kill entries and replace them, one after another."""
        while True:
            await asyncio.sleep(CRASH_INTERVAL_S)
            name = self.rng.choice(sorted(self.cluster.instances))
            await self.cluster.instances[name].async_kill()
            self.cluster.forget(name)
            self.crashes += 1
            number = name.split('-')[0]
            replacement = f'{number}-{self.crashes}'
            await self.cluster.async_add(replacement)
            await self.cluster.async_wait_ready(replacement)

    async def async_look_up(self) -> None:
        """Ask by the key for each end that was not told."""
        for _ in range(LOOK_UPS):
            await asyncio.gather(
                *(self.async_ask(it) for it in self.keyed if not it.done),
            )
            await asyncio.sleep(RETRY_S)

    async def async_measure_claims(
        self, rate: float, seconds: float
    ) -> dict[str, object]:
        """Return what comes of a rate of claims, and the calls for each."""
        objects = self.cluster.objects
        writes, calls = int(objects.store.version), objects.calls
        refused = objects.refused_calls
        report = await async_offer_load(
            send=self.cluster.caller.async_query,
            rate=rate,
            seconds=seconds,
            make_query=lambda _: self.draw(keyed=True).query,
            rng=self.rng,
        )
        claims = max(1, report.offered)
        return {
            'offered_s': rate,
            'done_share': round(report.done / claims, 4),
            'codes': dict(report.codes),
            'p50_ms': round(report.quantile_s(0.5) * 1000, 1),
            'p99_ms': round(report.quantile_s(0.99) * 1000, 1),
            'writes_per_claim': round(
                (int(objects.store.version) - writes) / claims, 3
            ),
            'calls_per_claim': round((objects.calls - calls) / claims, 3),
            'refused_calls': objects.refused_calls - refused,
        }


async def _async_drop(asked: 'asyncio.Future[CallerAnswer]') -> None:
    """Wait for an answer that is kept elsewhere."""
    await asked


async def async_run(options: Options) -> dict[str, object]:
    """Measure."""
    deployment = small_deployment('association', INDEX)
    fleet = TargetFleet(deployment=deployment, seed=options.seed)
    cluster = Cluster(deployment=deployment, fleet=fleet)
    async with running_cluster(cluster):
        bench = OnceBench(cluster=cluster, seed=options.seed)
        faults = [
            asyncio.create_task(bench.async_lose_answers()),
            asyncio.create_task(bench.async_crash()),
        ]
        await bench.async_load(round(options.seconds(2000, 20_000)))
        for fault in faults:
            fault.cancel()
        await asyncio.gather(*faults, return_exceptions=True)
        cluster.objects.faults.lost_answers = 0
        for server in fleet.targets.values():
            server.faults.lost_answers = 0
        await bench.async_look_up()
        runs = fleet.runs()
        figures = summarize(bench, runs)
        steps = [
            await bench.async_measure_claims(rate, options.seconds(3, 20))
            for rate in CLAIM_RATES
        ]
    figures['claims'] = steps
    figures['claims_borne_s'] = max(
        (
            rate
            for rate, step in zip(CLAIM_RATES, steps, strict=True)
            if float(str(step['done_share'])) >= BORNE_SHARE
        ),
        default=0,
    )
    return figures


def summarize(bench: OnceBench, runs: list[Run]) -> dict[str, object]:
    """Compare what callers were told with the targets' own records."""
    ran = runs_by_key(runs)
    done = {run.idempotency_key for run in runs if run.state is RunState.DONE}
    by_query: dict[str, int] = {}
    for run in runs:
        if run.started_s is not None:
            query = query_of(run.request_id)
            by_query[query] = by_query.get(query, 0) + 1
    untold = [it for it in bench.keyed if not it.done]
    in_doubt = [it for it in untold if it.told(OUTCOME_IN_DOUBT)]
    silent = [it for it in untold if not it.told(OUTCOME_IN_DOUBT)]
    unkeyed_false = [
        it
        for it in bench.unkeyed
        if it.told(OUTCOME_NOT_RUN) and by_query.get(it.query.request_id)
    ]
    codes: dict[str, int] = {}
    for reservation in bench.keyed:
        for answer in reservation.answers:
            code = answer.reply.code or answer.reply.outcome
            codes[code] = codes.get(code, 0) + 1
    return {
        'keyed': len(bench.keyed),
        'unkeyed': len(bench.unkeyed),
        'crashes': bench.crashes,
        'codes': codes,
        'done': sum(it.done for it in bench.keyed),
        'doubled': sum(count > 1 for count in ran.values()),
        'false_not_run': sum(
            bool(ran[it.query.idempotency_key]) for it in silent
        )
        + len(unkeyed_false),
        'lost': sum(it.query.idempotency_key in done for it in silent),
        'in_doubt_share': round(len(in_doubt) / len(bench.keyed), 5),
        'in_doubt_ran': sum(
            bool(ran[it.query.idempotency_key]) for it in in_doubt
        ),
        'unkeyed_doubled': sum(
            by_query.get(it.query.request_id, 0) > 1 for it in bench.unkeyed
        ),
        'unkeyed_done': sum(it.done for it in bench.unkeyed),
    }
