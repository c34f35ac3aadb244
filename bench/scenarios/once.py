"""Reservations under faults: each runs at most once and is reported correctly.

Instances are killed and replaced, answers of the object API and of targets are
lost, and callers send the same key through two instances at once.
"""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field

from bench.checks import query_id_of
from bench.cluster import Cluster, running_cluster
from bench.options import Options
from bench.workloads import select_indexes
from bitternturn.core.ids import IndexName
from bitternturn.standins.caller_models import (
    OUTCOME_IN_DOUBT,
    OUTCOME_NOT_RUN,
    CallerAnswer,
    CallerQuery,
)
from bitternturn.standins.fleet import TargetFleet
from bitternturn.standins.load_generator import async_generate_load
from bitternturn.standins.target_records import (
    Run,
    RunState,
    count_runs_by_key,
)

INDEX = 'booking-counter'
PROFILE = 'reservation'
RESERVATIONS_PER_S = 140.0
UNKEYED_SHARE = 0.1
# Share of the keyed reservations that are sent twice at once.
RACE_SHARE = 0.2
FAULT_INTERVAL_S = 0.5
CRASH_INTERVAL_S = 3.0
LOST_OBJECT_ANSWERS = 2
LOST_TARGET_ANSWERS = 1
MAX_ATTEMPTS = 6
RETRY_S = 0.3
LOOK_UP_ROUNDS = 3
# Keyed reservations per second.
CLAIM_RATES = (50.0, 100.0, 200.0, 300.0)
# Share of the claims that must be done for a rate to count as sustained.
MIN_DONE_SHARE = 0.99


@dataclass(kw_only=True, slots=True)
class Reservation:
    """Reservation with all answers that its caller received."""

    query: CallerQuery
    answers: list[CallerAnswer] = field(default_factory=list)

    @property
    def done(self) -> bool:
        """Whether an answer reported the reservation done."""
        return any(answer.done for answer in self.answers)

    def has_outcome(self, outcome: str) -> bool:
        """Return whether any answer had the outcome."""
        return any(it.reply.outcome == outcome for it in self.answers)


class OnceBench:
    """Sends reservations and injects faults."""

    def __init__(self, *, cluster: Cluster, seed: int) -> None:
        """Initialise; reservations go to the shards of the newest map."""
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

    def make_reservation(self, *, keyed: bool) -> Reservation:
        """Return a new reservation, with or without an idempotency key."""
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

    async def async_send(self, reservation: Reservation) -> CallerAnswer:
        """Send a reservation to the next instance and record the answer."""
        answer = await self.cluster.caller.async_query(reservation.query)
        reservation.answers.append(answer)
        return answer

    async def async_reserve(self, reservation: Reservation, race: bool) -> None:
        """Send a keyed reservation until it is reported done.

        With `race`, two requests with the same key are sent at once.
        """
        if race:
            await asyncio.gather(
                self.async_send(reservation),
                self.async_send(reservation),
            )
        for _ in range(MAX_ATTEMPTS):
            if reservation.done:
                return
            await self.async_send(reservation)
            if not reservation.done:
                await asyncio.sleep(RETRY_S)

    async def async_load(self, count: int) -> None:
        """Send reservations at a constant mean rate; wait for all answers."""
        tasks = []
        send_at = time.monotonic()
        while len(self.keyed) < count:
            send_at += self.rng.expovariate(RESERVATIONS_PER_S)
            await asyncio.sleep(send_at - time.monotonic())
            keyed = self.rng.random() >= UNKEYED_SHARE
            reservation = self.make_reservation(keyed=keyed)
            race = self.rng.random() < RACE_SHARE
            if keyed:
                self.keyed.append(reservation)
                reserving = self.async_reserve(reservation, race)
                tasks.append(asyncio.create_task(reserving))
            else:
                self.unkeyed.append(reservation)
                sending = self.async_send(reservation)
                tasks.append(
                    asyncio.create_task(_async_discard_answer(sending))
                )
        await asyncio.gather(*tasks)

    async def async_inject_lost_answers(self) -> None:
        """Periodically drop answers of the object API and of a target."""
        servers = self.cluster.fleet.targets_of_index(IndexName(INDEX))
        while True:
            await asyncio.sleep(FAULT_INTERVAL_S)
            self.cluster.objects.faults.lost_answers += LOST_OBJECT_ANSWERS
            server = self.rng.choice(servers)
            server.faults.lost_answers += LOST_TARGET_ANSWERS

    async def async_replace_instances(self) -> None:
        """Periodically kill an instance and start a replacement."""
        while True:
            await asyncio.sleep(CRASH_INTERVAL_S)
            name = self.rng.choice(sorted(self.cluster.instances))
            await self.cluster.instances[name].async_kill()
            self.cluster.remove_instance(name)
            self.crashes += 1
            number = name.split('-')[0]
            replacement = f'{number}-{self.crashes}'
            await self.cluster.async_add_instance(replacement)
            await self.cluster.async_wait_ready(replacement)

    async def async_look_up_unresolved(self) -> None:
        """Look up reservations that were not reported done by their key."""
        for _ in range(LOOK_UP_ROUNDS):
            await asyncio.gather(
                *(self.async_send(it) for it in self.keyed if not it.done),
            )
            await asyncio.sleep(RETRY_S)

    async def async_measure_claims(
        self, rate: float, seconds: float
    ) -> dict[str, object]:
        """Offer claims at a rate; return outcomes and calls per claim."""
        objects = self.cluster.objects
        writes, calls = int(objects.store.version), objects.call_count
        refused = objects.refused_call_count
        report = await async_generate_load(
            send=self.cluster.caller.async_query,
            rate=rate,
            seconds=seconds,
            make_query=lambda _: self.make_reservation(keyed=True).query,
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
            'calls_per_claim': round((objects.call_count - calls) / claims, 3),
            'refused_calls': objects.refused_call_count - refused,
        }


async def _async_discard_answer(
    sending: 'asyncio.Future[CallerAnswer]',
) -> None:
    """Await an answer that `async_send` has recorded."""
    await sending


async def async_run(options: Options) -> dict[str, object]:
    """Run the scenario and return its results."""
    deployment = select_indexes('association', INDEX)
    fleet = TargetFleet(deployment=deployment, seed=options.seed)
    cluster = Cluster(deployment=deployment, fleet=fleet)
    async with running_cluster(cluster):
        bench = OnceBench(cluster=cluster, seed=options.seed)
        faults = [
            asyncio.create_task(bench.async_inject_lost_answers()),
            asyncio.create_task(bench.async_replace_instances()),
        ]
        await bench.async_load(round(options.choose_seconds(2000, 20_000)))
        for fault in faults:
            fault.cancel()
        await asyncio.gather(*faults, return_exceptions=True)
        cluster.objects.faults.lost_answers = 0
        for server in fleet.targets.values():
            server.faults.lost_answers = 0
        await bench.async_look_up_unresolved()
        runs = fleet.runs()
        figures = summarize(bench, runs)
        claim_figures = [
            await bench.async_measure_claims(
                rate, options.choose_seconds(3, 20)
            )
            for rate in CLAIM_RATES
        ]
    figures['claims'] = claim_figures
    figures['claims_borne_s'] = max(
        (
            rate
            for rate, result in zip(CLAIM_RATES, claim_figures, strict=True)
            if float(str(result['done_share'])) >= MIN_DONE_SHARE
        ),
        default=0,
    )
    return figures


def summarize(bench: OnceBench, runs: list[Run]) -> dict[str, object]:
    """Compare the answers to callers with the records of the targets."""
    runs_per_key = count_runs_by_key(runs)
    done = {run.idempotency_key for run in runs if run.state is RunState.DONE}
    runs_per_query: dict[str, int] = {}
    for run in runs:
        if run.started_s is not None:
            query = query_id_of(run.request_id)
            runs_per_query[query] = runs_per_query.get(query, 0) + 1
    unresolved = [it for it in bench.keyed if not it.done]
    in_doubt = [it for it in unresolved if it.has_outcome(OUTCOME_IN_DOUBT)]
    without_outcome = [
        it for it in unresolved if not it.has_outcome(OUTCOME_IN_DOUBT)
    ]
    contradicted = [
        it
        for it in bench.unkeyed
        if it.has_outcome(OUTCOME_NOT_RUN)
        and runs_per_query.get(it.query.request_id)
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
        'doubled': sum(count > 1 for count in runs_per_key.values()),
        'false_not_run': sum(
            bool(runs_per_key[it.query.idempotency_key])
            for it in without_outcome
        )
        + len(contradicted),
        'lost': sum(it.query.idempotency_key in done for it in without_outcome),
        'in_doubt_share': round(len(in_doubt) / len(bench.keyed), 5),
        'in_doubt_ran': sum(
            bool(runs_per_key[it.query.idempotency_key]) for it in in_doubt
        ),
        'unkeyed_doubled': sum(
            runs_per_query.get(it.query.request_id, 0) > 1
            for it in bench.unkeyed
        ),
        'unkeyed_done': sum(it.done for it in bench.unkeyed),
    }
