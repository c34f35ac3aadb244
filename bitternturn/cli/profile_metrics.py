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
P99_FRACTION: Final = 0.99


@dataclass(kw_only=True, slots=True)
class ProfileStatistics:
    """Query statistics of a profile since the start of the instances."""

    answered: float = 0
    coverage_sum: float = 0
    refused: Counter[str] = field(default_factory=Counter)
    # Cumulative histogram: answers by upper bound of their latency in seconds.
    buckets: Counter[float] = field(default_factory=Counter)

    @property
    def coverage(self) -> float:
        """Mean coverage of the answers; NaN if there are none."""
        return self.coverage_sum / self.answered if self.answered else math.nan

    @property
    def p99_s(self) -> float:
        """Upper bound of the bucket of the 99th percentile of latency.

        NaN if there are no answers.
        """
        required = P99_FRACTION * self.answered
        bounds = (
            bound
            for bound, count in sorted(self.buckets.items())
            if count >= required
        )
        return next(bounds, math.nan) if self.answered else math.nan


def parse_profile_metrics(texts: Iterable[str]) -> dict[str, ProfileStatistics]:
    """Return the statistics by profile from Prometheus text metrics."""
    profiles: dict[str, ProfileStatistics] = {}
    for text in texts:
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                name = sample.labels.get('profile')
                if name:
                    stats = profiles.setdefault(name, ProfileStatistics())
                    _add_sample(stats, sample.name, sample.labels, sample.value)
    return profiles


def _add_sample(
    stats: ProfileStatistics,
    name: str,
    labels: dict[str, str],
    value: float,
) -> None:
    """Add a metric sample to the statistics of its profile."""
    if name == f'{LATENCY}_bucket':
        stats.buckets[float(labels['le'])] += value  # type: ignore[assignment]
    elif name == f'{COVERAGE}_count':
        stats.answered += value
    elif name == f'{COVERAGE}_sum':
        stats.coverage_sum += value
    elif name == REFUSALS:
        stats.refused[labels['code']] += int(value)
