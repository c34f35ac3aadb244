"""Statistics of profiles, summed over the metrics of several instances."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from prometheus_client.parser import text_string_to_metric_families

LATENCY: Final = 'bitternturn_query_latency_seconds'
COVERAGE: Final = 'bitternturn_query_coverage'
REFUSALS: Final = 'bitternturn_refusals_total'
TOP_SHARE: Final = 0.99


@dataclass(kw_only=True, slots=True)
class ProfileReading:
    """Query statistics of a profile since the start of the instances."""

    answered: float = 0
    coverage_sum: float = 0
    refused: Counter[str] = field(default_factory=Counter)
    # Cumulative histogram: answers by upper bound of their latency in seconds.
    below: Counter[float] = field(default_factory=Counter)

    @property
    def coverage(self) -> float:
        """Mean coverage of the answers; NaN if there are none."""
        return self.coverage_sum / self.answered if self.answered else math.nan

    @property
    def p99_s(self) -> float:
        """Upper bound of the bucket of the 99th percentile of latency.

        NaN if there are no answers.
        """
        wanted = TOP_SHARE * self.answered
        kept = (
            bound
            for bound, count in sorted(self.below.items())
            if count >= wanted
        )
        return next(kept, math.nan) if self.answered else math.nan


def read_profiles(texts: Iterable[str]) -> dict[str, ProfileReading]:
    """Return the statistics by profile from Prometheus text metrics."""
    readings: dict[str, ProfileReading] = {}
    for text in texts:
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                name = sample.labels.get('profile')
                if name:
                    reading = readings.setdefault(name, ProfileReading())
                    _add(reading, sample.name, sample.labels, sample.value)
    return readings


def _add(
    reading: ProfileReading,
    name: str,
    labels: dict[str, str],
    value: float,
) -> None:
    """Add a metric sample to the statistics of its profile."""
    if name == f'{LATENCY}_bucket':
        reading.below[float(labels['le'])] += value  # type: ignore[assignment]
    elif name == f'{COVERAGE}_count':
        reading.answered += value
    elif name == f'{COVERAGE}_sum':
        reading.coverage_sum += value
    elif name == REFUSALS:
        reading.refused[labels['code']] += int(value)
