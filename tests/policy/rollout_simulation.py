"""Simulation of a roll-out without a network: senders, answers, verdict.

`python -m tests.policy.rollout_simulation RUNS` prints the table of
docs/design/rollouts.md.
"""

import dataclasses
import math
import random
import statistics
import sys
from dataclasses import dataclass, field

from bitternturn.core.ids import ServiceName
from bitternturn.policy.rollout import OrderState, Phase, RolloutOrder
from bitternturn.policy.rollout_counts import (
    Cell,
    CellKey,
    TargetTally,
    merge_cells,
)
from bitternturn.policy.rollout_evidence import (
    EvidenceJudge,
    Judgement,
    count_ignored,
)
from bitternturn.policy.rollout_exposure import (
    ExposureBudget,
    has_random_rounding,
    initial_permits,
)

SHARE = 0.1
SLACK = 50
STEP_S = 0.5
# Standard deviation of the logarithm of latencies.
SPREAD = 0.5
# Targets of the version under test.
TARGETS = 4
# Time for which requests are in flight at a target that ends.
IN_FLIGHT_S = 0.1
# Time until the counts of a sender are known to the collectors, in steps.
REPORT_STEPS = 2


@dataclass(kw_only=True, frozen=True)
class Load:
    """Pattern of the load and of the version under test."""

    per_s: float
    duration_s: float = 18
    # Failures of any version, and further ones of the version under test.
    usual_failures: float = 0.005
    failures: float = 0
    slowdown: float = 1
    # Time from which on the version is bad.
    bad_from_s: float = 0
    # Share of the requests that are on the route on which it is bad.
    route_share: float = 1
    # Whether the version has a target that is killed, with all in flight lost.
    killed_target: bool = False


def make_budget(rng, instances, rank, *, restarted=False):
    """Return the exposure budget of the instance with a rank."""
    rounding = rng.random() if has_random_rounding(SLACK, instances) else 0
    budget = ExposureBudget(share=SHARE, rounding=rounding)
    if not restarted:
        budget.initial = initial_permits(SLACK, instances=instances, rank=rank)
    return budget


@dataclass
class Run:
    """One roll-out and what has become of it."""

    load: Load
    instances: int
    seed: int
    requests: int = 0
    canaries: int = 0
    bad_answers: int = 0
    phase: Phase = Phase.ACTIVE
    # Time and canary requests at the verdict.
    decided_at: float = math.inf
    decided_after: int = 0
    # All and canary requests when all traffic moved to the version, or at the
    # end, and whether it moved.
    before_switch: tuple[int, int] = (0, 0)
    switched: bool = False
    cells: dict = field(default_factory=dict)

    def run(self):
        """Simulate until the deadline; return this run."""
        rng = random.Random(self.seed)
        state = OrderState(
            RolloutOrder(
                service=ServiceName('s'),
                version='v2',
                duration_s=self.load.duration_s,
            ),
            now=0,
            seen_begin=True,
        )
        judge = EvidenceJudge()
        budgets = [
            make_budget(rng, self.instances, rank)
            for rank in range(self.instances)
        ]
        history = []
        targets = {}
        steps = int(self.load.duration_s / STEP_S)
        killed_step = rng.randrange(4, steps - 14)
        for step in range(steps):
            now = step * STEP_S
            for rank, budget in enumerate(budgets):
                budget.initial = initial_permits(
                    SLACK,
                    instances=self.instances,
                    rank=rank,
                    elapsed_part=now / state.switch_at,
                )
            for _ in range(_poisson(rng, self.load.per_s * STEP_S)):
                self._send(rng, rng.choice(budgets), state.phase, now, targets)
            if self.load.killed_target and step == killed_step:
                self._kill_target(targets)
            history.append(merge_cells([self.cells]))
            known = history[max(0, step - REPORT_STEPS)]
            ignored = count_ignored(targets)
            active = state.phase is Phase.ACTIVE
            judgement = judge.step(
                known, now, ignored=ignored, switched=not active
            )
            due = active and now >= state.switch_at
            if due and judgement is Judgement.OPEN:
                judgement = judge.judge_finally(known, ignored=ignored)
            if state.apply_judgement(judgement, now, may_switch=True):
                self.decided_at = now
                self.decided_after = self.canaries
            if not self.switched:
                self.before_switch = (self.requests, self.canaries)
                self.switched = state.phase is Phase.SWITCHING
        self.phase = state.phase
        return self

    def _send(self, rng, budget, phase, now, targets):
        """Send one request and count its answer."""
        self.requests += 1
        canary = phase is Phase.SWITCHING or (
            phase is Phase.ACTIVE and budget.allows()
        )
        budget.record(canary=canary)
        self.canaries += canary
        bad_route = rng.random() < self.load.route_share
        is_bad = canary and bad_route and now >= self.load.bad_from_s
        failures = self.load.usual_failures
        mean = 0.0
        if is_bad:
            failures += self.load.failures
            mean = math.log(self.load.slowdown)
        failed = rng.random() < failures
        key = CellKey('bad' if bad_route else 'other', near=True)
        cell = self.cells.setdefault(key, Cell())
        tally = cell.candidate if canary else cell.baseline
        ratio = None if failed else rng.gauss(mean, SPREAD)
        tally.record(failed=failed, log_ratio=ratio)
        if canary:
            target = targets.setdefault(rng.randrange(TARGETS), TargetTally())
            target.answers += 1
            target.failures += failed
            self.bad_answers += failed

    def _kill_target(self, targets):
        """Lose the requests in flight at one target of the version."""
        if not self.cells:
            return
        cell = next(iter(self.cells.values()))
        for _ in range(1 + round(self.load.per_s * SHARE * IN_FLIGHT_S)):
            cell.candidate.record(failed=True, log_ratio=None)
            target = targets.setdefault(0, TargetTally())
            target.answers += 1
            target.failures += 1


def _poisson(rng, mean):
    """Return a Poisson variate."""
    if mean > 50:
        return max(0, round(rng.gauss(mean, math.sqrt(mean))))
    limit, count, product = math.exp(-mean), 0, rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count


GOOD_LOADS = {
    'good': Load(per_s=0),
    'good, all fail 1.5 %': Load(per_s=0, usual_failures=0.015),
    'good, all fail 6 %': Load(per_s=0, usual_failures=0.06),
    'good, a target is killed': Load(per_s=0, killed_target=True),
}
BAD_LOADS = {
    'fails 20 %': Load(per_s=0, failures=0.2),
    'fails 50 %': Load(per_s=0, failures=0.5),
    'fails 30 % from 6 s on': Load(per_s=0, failures=0.3, bad_from_s=6),
    'fails 30 % on 1/5 of requests': Load(
        per_s=0, failures=0.3, route_share=0.2
    ),
    '3 times slower': Load(per_s=0, slowdown=3),
    '3 times slower on 1/5': Load(per_s=0, slowdown=3, route_share=0.2),
    '2.5 times slower from 6 s on': Load(per_s=0, slowdown=2.5, bad_from_s=6),
}
FLEETS = (8, 72, 124, 440)
RATES = (10, 40, 200)


@dataclass(kw_only=True, frozen=True)
class Row:
    """Results of some runs with one load."""

    name: str
    per_s: float
    instances: int
    wrong: int
    runs: int
    # Canary requests at the verdict, and most bad answers of a run.
    requests: float
    bad_answers: int
    # Runs in which all traffic moved, although the version was bad.
    moved: int


def tabulate(runs, fleets=FLEETS, rates=RATES):
    """Yield a row for each load, rate and number of instances."""
    for per_s in rates:
        for instances in fleets:
            for name, load in {**GOOD_LOADS, **BAD_LOADS}.items():
                rated = dataclasses.replace(load, per_s=per_s)
                results = [
                    Run(load=rated, instances=instances, seed=seed).run()
                    for seed in range(runs)
                ]
                wanted = (
                    Phase.SWITCHING if name in GOOD_LOADS else Phase.SUSPENDED
                )
                yield Row(
                    name=name,
                    per_s=per_s,
                    instances=instances,
                    wrong=sum(it.phase is not wanted for it in results),
                    runs=runs,
                    requests=statistics.median(
                        it.decided_after for it in results
                    ),
                    bad_answers=max(it.bad_answers for it in results),
                    moved=sum(it.switched for it in results)
                    if name in BAD_LOADS
                    else 0,
                )


def main():
    """Print the table with the number of runs that is given."""
    for row in tabulate(int(sys.argv[1])):
        print(
            f'| {row.name} | {row.per_s} | {row.instances} '
            f'| {row.wrong} of {row.runs} | {row.requests:.0f} '
            f'| {row.bad_answers} | {row.moved} |'
        )


if __name__ == '__main__':
    main()
