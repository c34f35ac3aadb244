"""Counts of the answers of a version under test and of the others."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, fields
from typing import Final, NamedTuple

# Logarithms of latencies are cut to this range, so that one request that was
# held up does not decide.
MAX_LOG_RATIO: Final = 2.0


class CellKey(NamedTuple):
    """Route, and whether targets are in the failure domain of the sender."""

    route: str
    near: bool


@dataclass(slots=True)
class Tally:
    """Cumulative counts of answers."""

    answers: int = 0
    failures: int = 0
    # Answers with a latency, and sums of its logarithm and of the square.
    timed: int = 0
    log_sum: float = 0
    log_square: float = 0

    def add(self, other: 'Tally', sign: int = 1) -> None:
        """Add or subtract other counts."""
        for each in fields(self):
            name = each.name
            value = getattr(self, name) + sign * getattr(other, name)
            setattr(self, name, value)

    def minus(self, other: 'Tally') -> 'Tally':
        """Return the difference to earlier counts."""
        difference = Tally()
        difference.add(self)
        difference.add(other, -1)
        return difference

    def record(self, *, failed: bool, log_ratio: float | None) -> None:
        """Record an answer, with its latency if it is comparable."""
        self.answers += 1
        self.failures += failed
        if log_ratio is not None:
            limited = min(MAX_LOG_RATIO, max(-MAX_LOG_RATIO, log_ratio))
            self.timed += 1
            self.log_sum += limited
            self.log_square += limited * limited


@dataclass(slots=True)
class Cell:
    """Counts of the version under test and of the others."""

    candidate: Tally = field(default_factory=Tally)
    baseline: Tally = field(default_factory=Tally)


Cells = Mapping[CellKey, Cell]


@dataclass(slots=True)
class TargetTally:
    """Cumulative counts of one target of the version under test."""

    answers: int = 0
    failures: int = 0

    def get_failures(self) -> int:
        """Return the failures, as a sort key."""
        return self.failures


def add_cells(total: dict[CellKey, Cell], cells: Cells) -> None:
    """Add the counts of a sender to those of all."""
    for key, cell in cells.items():
        known = total.setdefault(key, Cell())
        known.candidate.add(cell.candidate)
        known.baseline.add(cell.baseline)


def merge_cells(reports: Iterable[Cells]) -> dict[CellKey, Cell]:
    """Return the sum of the counts of some senders."""
    total: dict[CellKey, Cell] = {}
    for cells in reports:
        add_cells(total, cells)
    return total


def describe_cells(cells: Cells) -> dict[str, int]:
    """Return the counts of a log line about an order."""
    candidates = [cell.candidate for cell in cells.values()]
    baselines = [cell.baseline for cell in cells.values()]
    return {
        'answers': sum(it.answers for it in candidates),
        'failures': sum(it.failures for it in candidates),
        'other_answers': sum(it.answers for it in baselines),
        'other_failures': sum(it.failures for it in baselines),
        'slowdown_percent': round(
            100 * (_mean_ratio(candidates) / _mean_ratio(baselines) - 1)
        ),
    }


def _mean_ratio(tallies: Iterable[Tally]) -> float:
    """Return the geometric mean of latencies relative to their route."""
    counts = list(tallies)
    timed = sum(it.timed for it in counts)
    return math.exp(sum(it.log_sum for it in counts) / max(1, timed))
