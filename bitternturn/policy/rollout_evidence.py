"""Compares the answers of a version under test with those of the others.

Guards against a version that fails a part of its requests or is several times
slower, at once or later, on all routes or on one.
"""

import math
from collections import deque
from collections.abc import Mapping
from enum import Enum, unique
from typing import Final

from bitternturn.policy.rollout_counts import (
    Cell,
    CellKey,
    Cells,
    Tally,
    TargetTally,
)

# Interval at which evidence is judged.
STEP_S: Final = 0.5
# Time over which the other versions are compared.
BASELINE_WINDOW_S: Final = 6.0
# Share of failures that is tolerated in any version: targets are killed and
# connections are reset by other causes.
TOLERATED_FAILURES: Final = 0.02
# Further share of failures of a bad version. Bad versions fail 20 to 50 %.
ADDED_FAILURES: Final = 0.15
MAX_FAILURES: Final = 0.95
# Slowdown of a bad version as a logarithm; bad versions are several times
# slower, while other causes slow single targets by 2.5 for 600 ms.
SLOWDOWN: Final = math.log(2.5)  # noqa: WPS432
# Slowdown, as a logarithm, that is tolerated in addition once all requests go to
# the version: its targets get more of them than those of the others got.
LOAD_SLOWDOWN: Final = math.log(2)
# Least variance of the logarithm of latencies that is assumed: answers of one
# target at one time are not independent.
MIN_VARIANCE: Final = 0.5
# Answers of other versions without which latencies are not compared.
MIN_BASELINE: Final = 10
# Log-likelihood ratios at which a version is bad. A good version with 2 % of
# failures exceeds the first in about one of a million requests.
FAILURE_THRESHOLD: Final = 14.0
LATENCY_THRESHOLD: Final = 18.0
# Greatest change of the score for latency in a step: all targets of a version
# may be slow at once for less than a second.
MAX_LATENCY_STEP: Final = 4.0
# Failures of one target beyond this multiple of the share of the others are not
# held against the version: the end of a target loses all requests in flight.
MAX_TARGET_SHARE: Final = 2
# Answers of the other targets without which they are not compared.
MIN_OTHER_ANSWERS: Final = 5
# Weight of a failure on a route on which the other versions hardly fail.
FAILURE_WEIGHT: Final = math.log(1 + ADDED_FAILURES / TOLERATED_FAILURES)
# Failures on routes that are clearly worse after which a version is bad without
# further tests; the bound is 50.
MAX_FAILURE_COUNT: Final = 40
# Scores at which the last judgement calls a version bad: that of all answers, and
# the one that looks for changes. The version has probably become bad
# shortly before, and with all traffic it would do more harm.
OVERALL_THRESHOLD: Final = 1.0
FINAL_THRESHOLD: Final = 4.0
# Name of all routes together.
ALL_ROUTES: Final = '*'
# Failures without which the last judgement does not call a version failing.
MIN_FINAL_FAILURES: Final = 2
# Answers without which the last judgement does not call a version good.
MIN_FINAL_ANSWERS: Final = 8


@unique
class Judgement(Enum):
    """What the evidence says of a version."""

    OPEN = 'open'
    GOOD = 'good'
    FAILING = 'failing'
    SLOW = 'slow'


BAD_JUDGEMENTS: Final = frozenset((Judgement.FAILING, Judgement.SLOW))


def baseline_failures(baseline: Tally) -> float:
    """Return the share of failures of the other versions, rounded up."""
    if not baseline.answers:
        return TOLERATED_FAILURES
    share = min(1, baseline.failures / baseline.answers)
    deviation = math.sqrt(share * (1 - share) / baseline.answers)
    return min(MAX_FAILURES - ADDED_FAILURES, share + deviation)


def score_failures(candidate: Tally, baseline: Tally) -> float:
    """Return the log-likelihood ratio that a version is bad, by failures."""
    usual = max(TOLERATED_FAILURES, baseline_failures(baseline))
    bad = min(MAX_FAILURES, usual + ADDED_FAILURES)
    good_answers = candidate.answers - candidate.failures
    return candidate.failures * math.log(bad / usual) + (
        good_answers * math.log((1 - bad) / (1 - usual))
    )


def score_latency(
    candidate: Tally, baseline: Tally, tolerated: float = 0
) -> float:
    """Return the log-likelihood ratio that a version is bad, by latency.

    `tolerated` is a slowdown, as a logarithm, that has other causes.
    """
    if baseline.timed < MIN_BASELINE or not candidate.timed:
        return 0
    mean = baseline.log_sum / baseline.timed
    variance = baseline.log_square / baseline.timed - mean * mean
    variance = max(MIN_VARIANCE, variance)
    mean += tolerated + math.sqrt(variance / baseline.timed)
    excess = candidate.log_sum - candidate.timed * (mean + SLOWDOWN / 2)
    return SLOWDOWN / variance * excess


class CellHistory:
    """Scores of one cell and what its other versions did lately."""

    __slots__ = ('baselines', 'candidate', 'score')

    def __init__(self) -> None:
        """Initialise without answers."""
        self.score: float = 0
        self.candidate = Tally()
        # Times and cumulative counts of the other versions.
        self.baselines: deque[tuple[float, Tally]] = deque()

    def advance(self, cell: Cell, now: float) -> tuple[Tally, Tally]:
        """Return the new answers and those of the others in the window."""
        new = cell.candidate.minus(self.candidate)
        self.candidate = cell.candidate.minus(Tally())
        while (
            len(self.baselines) > 1
            and now - self.baselines[1][0] >= BASELINE_WINDOW_S
        ):
            self.baselines.popleft()
        earlier = self.baselines[0][1] if self.baselines else Tally()
        recent = cell.baseline.minus(earlier)
        self.baselines.append((now, cell.baseline.minus(Tally())))
        if recent.timed < MIN_BASELINE:
            recent = cell.baseline.minus(Tally())
        return new, recent


class EvidenceJudge:
    """Judges the counts of all senders step by step."""

    def __init__(self) -> None:
        """Initialise without evidence."""
        self.failures: dict[str, CellHistory] = {}
        self.latencies: dict[CellKey, CellHistory] = {}
        self.judged_at = -math.inf
        self.judgement = Judgement.OPEN
        # Route that the judgement is about.
        self.route = ''

    def step(
        self, cells: Cells, now: float, *, ignored: int, switched: bool = False
    ) -> Judgement:
        """Judge cumulative counts; a bad version stays bad.

        `ignored` is the number of failures that are not held against it, see
        `count_ignored`; `switched` is whether it gets all requests.
        """
        if self.judgement in BAD_JUDGEMENTS or now - self.judged_at < STEP_S:
            return self.judgement
        self.judged_at = now
        failing = self._judge_failures(cells, now, ignored)
        if failing or (switched and self._fails_overall(cells, ignored)):
            self.judgement = Judgement.FAILING
        elif self._judge_latency(cells, now, LOAD_SLOWDOWN * switched):
            self.judgement = Judgement.SLOW
        return self.judgement

    def _judge_failures(self, cells: Cells, now: float, ignored: int) -> bool:
        """Return whether the version fails too often on a route."""
        threshold = FAILURE_THRESHOLD + ignored * FAILURE_WEIGHT
        bad = False
        for route, cell in _by_scope(cells).items():
            history = self.failures.setdefault(route, CellHistory())
            new, recent = history.advance(cell, now)
            history.score = max(0, history.score + score_failures(new, recent))
            if history.score >= threshold:
                bad, self.route = True, route
        return bad or count_failures(cells) >= MAX_FAILURE_COUNT + ignored

    def _judge_latency(
        self, cells: Cells, now: float, tolerated: float
    ) -> bool:
        """Return whether the version is too slow on a route."""
        bad = False
        for key, cell in cells.items():
            history = self.latencies.setdefault(key, CellHistory())
            new, recent = history.advance(cell, now)
            change = score_latency(new, recent, tolerated)
            change = min(MAX_LATENCY_STEP, max(-MAX_LATENCY_STEP, change))
            history.score = max(0, history.score + change)
            if history.score >= LATENCY_THRESHOLD:
                bad, self.route = True, key.route
        return bad

    def judge_finally(self, cells: Cells, *, ignored: int) -> Judgement:
        """Judge all answers before the traffic moves; OPEN with too few."""
        if self.judgement in BAD_JUDGEMENTS:
            return self.judgement
        fails = self._fails_overall(cells, ignored)
        if fails or self._fails_lately(cells, ignored):
            return Judgement.FAILING
        for key, cell in cells.items():
            if self._is_slow(key, cell):
                self.route = key.route
                return Judgement.SLOW
        answers = sum(it.candidate.answers for it in cells.values())
        return (
            Judgement.GOOD if answers >= MIN_FINAL_ANSWERS else Judgement.OPEN
        )

    def _fails_overall(self, cells: Cells, ignored: int) -> bool:
        """Return whether a version is likelier failing than not on a route."""
        margin = ignored * FAILURE_WEIGHT
        for route, cell in _by_scope(cells).items():
            enough = cell.candidate.failures >= MIN_FINAL_FAILURES + ignored
            score = score_failures(cell.candidate, cell.baseline)
            if enough and score >= OVERALL_THRESHOLD + margin:
                self.route = route
                return True
        return False

    def _fails_lately(self, cells: Cells, ignored: int) -> bool:
        """Return whether a version has probably begun to fail on a route."""
        margin = ignored * FAILURE_WEIGHT
        for route, cell in _by_scope(cells).items():
            enough = cell.candidate.failures >= MIN_FINAL_FAILURES + ignored
            history = self.failures.get(route)
            score = history.score if history is not None else 0
            if enough and score >= FINAL_THRESHOLD + margin:
                self.route = route
                return True
        return False

    def _is_slow(self, key: CellKey, cell: Cell) -> bool:
        """Return whether a version is likelier slow than not in a cell."""
        history = self.latencies.get(key)
        late = history is not None and history.score >= FINAL_THRESHOLD
        return late or score_latency(cell.candidate, cell.baseline) > 0


def count_ignored(targets: Mapping[str, TargetTally]) -> int:
    """Return how many failures are rather those of one of several targets.

    `targets` has the answers of the targets of the version that were used.
    """
    if len(targets) < 2:
        return 0
    worst = max(targets.values(), key=TargetTally.get_failures)
    answers = sum(it.answers for it in targets.values()) - worst.answers
    failures = sum(it.failures for it in targets.values()) - worst.failures
    if answers < MIN_OTHER_ANSWERS:
        return 0
    # Half a failure is added, as others may have failed without being seen.
    usual = worst.answers * (failures + 0.5) / answers
    return max(0, worst.failures - 1 - math.ceil(MAX_TARGET_SHARE * usual))


def count_failures(cells: Cells) -> int:
    """Return the failures on routes on which the other versions are better."""
    return sum(
        cell.candidate.failures
        for cell in _by_route(cells).values()
        if _is_clearly_worse(cell)
    )


def _is_clearly_worse(cell: Cell) -> bool:
    """Return whether a version fails much more often than the others."""
    usual = max(TOLERATED_FAILURES, baseline_failures(cell.baseline))
    return cell.candidate.failures > 2 * usual * cell.candidate.answers


def _by_route(cells: Cells) -> dict[str, Cell]:
    """Return the counts of each route."""
    routes: dict[str, Cell] = {}
    for key, cell in cells.items():
        _add_cell(routes, key.route, cell)
    return routes


def _by_scope(cells: Cells) -> dict[str, Cell]:
    """Return the counts of each route, and of all together.

    A version that is bad on all routes is found sooner by all answers.
    """
    scopes = _by_route(cells)
    if len(scopes) > 1:
        for cell in cells.values():
            _add_cell(scopes, ALL_ROUTES, cell)
    return scopes


def _add_cell(scopes: dict[str, Cell], name: str, cell: Cell) -> None:
    """Add counts to those of a scope."""
    known = scopes.setdefault(name, Cell())
    known.candidate.add(cell.candidate)
    known.baseline.add(cell.baseline)
