"""OpenTelemetry metrics, rendered in the Prometheus text format."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Final

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Meter, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from prometheus_client import CollectorRegistry, generate_latest

from bitternturn.core.const import COVERAGE_BUCKETS, LATENCY_BUCKETS_S
from bitternturn.core.errors import ErrorCode
from bitternturn.core.ids import IndexName, ProfileName, TargetId

CONTENT_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'

ObservationCallback = Callable[[CallbackOptions], Iterable[Observation]]


@dataclass(kw_only=True, frozen=True, slots=True)
class TargetLoad:
    """Concurrency limit and load of a target, as its owner reports them."""

    target: TargetId
    limit: int
    in_flight: int
    queued: int


ReadTargets = Callable[[], Iterable[TargetLoad]]


class LabelledCounter:
    """Counter that is summed locally and observed at collection.

    Recording with an OpenTelemetry counter costs about a hundred times as
    much as an addition, which is noticeable at one record per sub-request.
    """

    def __init__(
        self, *, meter: Meter, name: str, labels: tuple[str, ...]
    ) -> None:
        """Register an observable counter with the meter."""
        self.labels = labels
        self.counts: Counter[tuple[str, ...]] = Counter()
        meter.create_observable_counter(name, callbacks=[self._observe])

    def add(self, *values: str, count: int = 1) -> None:
        """Add to the count of the label values, given in label order."""
        self.counts[values] += count

    def _observe(self, options: CallbackOptions) -> Iterator[Observation]:
        """Yield an observation for each combination of label values."""
        for values, count in self.counts.items():
            yield Observation(
                count, dict(zip(self.labels, values, strict=True))
            )


class Metrics:
    """Metric instruments of one instance."""

    def __init__(self) -> None:
        """Register the instruments with a separate registry."""
        self.registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            registry=self.registry,
            disable_target_info=True,
            scope_info_enabled=False,
        )
        provider = MeterProvider(
            [reader],
            exemplar_filter=AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
        )
        self.meter = provider.get_meter('bitternturn')
        self.latency = self.meter.create_histogram(
            'bitternturn_query_latency',
            unit='s',
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_S,
        )
        self.coverage = self.meter.create_histogram(
            'bitternturn_query_coverage',
            explicit_bucket_boundaries_advisory=COVERAGE_BUCKETS,
        )
        self._refusals = self._create_counter('refusals', 'profile', 'code')
        self._sub_requests = self._create_counter(
            'sub_requests', 'index', 'outcome'
        )
        self._hedges = self._create_counter('hedges', 'profile')
        self._retries = self._create_counter('retries', 'profile')

    def record_query(
        self,
        *,
        profile: ProfileName,
        index: IndexName,
        latency_s: float,
        coverage: float,
    ) -> None:
        """Record the latency and coverage of an answered query."""
        labels = {'profile': profile, 'index': index}
        self.latency.record(latency_s, labels)
        self.coverage.record(coverage, labels)

    def count_refusal(self, *, profile: ProfileName, code: ErrorCode) -> None:
        """Count a refused query."""
        self._refusals.add(profile, code.value)

    def count_sub_requests(
        self,
        *,
        index: IndexName,
        outcome: str,
        count: int = 1,
    ) -> None:
        """Count sub-requests by outcome."""
        self._sub_requests.add(index, outcome, count=count)

    def count_hedges(self, *, profile: ProfileName, count: int = 1) -> None:
        """Count hedged sub-requests."""
        self._hedges.add(profile, count=count)

    def count_retries(self, *, profile: ProfileName, count: int = 1) -> None:
        """Count retried sub-requests."""
        self._retries.add(profile, count=count)

    def register_target_gauges(self, read_targets: ReadTargets) -> None:
        """Register gauges of the load of an owner's targets."""
        gauges: dict[str, Callable[[TargetLoad], int]] = {
            'limit': lambda reading: reading.limit,
            'in_flight': lambda reading: reading.in_flight,
            'queued': lambda reading: reading.queued,
        }
        for name, get_value in gauges.items():
            self.meter.create_observable_gauge(
                f'bitternturn_target_{name}',
                callbacks=[_create_target_observer(read_targets, get_value)],
            )

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge that calls a function at collection."""
        self.meter.create_observable_gauge(
            f'bitternturn_{name}',
            callbacks=[lambda options: [Observation(read())]],
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _create_counter(self, name: str, *labels: str) -> LabelledCounter:
        """Return a new labelled counter."""
        return LabelledCounter(
            meter=self.meter,
            name=f'bitternturn_{name}',
            labels=labels,
        )


def _create_target_observer(
    read_targets: ReadTargets,
    get_value: Callable[[TargetLoad], int],
) -> ObservationCallback:
    """Return a callback that observes one value per target."""

    def observe(options: CallbackOptions) -> Iterator[Observation]:
        """Yield an observation for each target."""
        for reading in read_targets():
            yield Observation(get_value(reading), {'target': reading.target})

    return observe
