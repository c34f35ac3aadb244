"""Counters, gauges and latency histograms, exported on request.

OpenTelemetry doubles the memory of the process, so it is imported only when
the metrics are read for the first time.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from functools import partial
from typing import TYPE_CHECKING

from bitternturn.core.const import LATENCY_BUCKETS_S

if TYPE_CHECKING:
    from opentelemetry.metrics import CallbackOptions, Observation

    from bitternturn.core.metrics import Metrics

Labels = tuple[tuple[str, str], ...]
MetricKey = tuple[str, Labels]


def make_key(name: str, **labels: str) -> MetricKey:
    """Return the key of a counter or histogram with labels."""
    return name, tuple(labels.items())


class GatewayMetrics:
    """Counters, gauges and latency histograms of one instance."""

    def __init__(self) -> None:
        """Initialise empty metrics."""
        self.counts: Counter[MetricKey] = Counter()
        # Counts per bucket, including the one without upper bound, and the sum
        # of latencies.
        self.latencies: dict[MetricKey, list[float]] = {}
        self.gauges: dict[str, Callable[[], float]] = {}
        self.exporter: Metrics | None = None

    def increment(self, name: str, **labels: str) -> None:
        """Increment the counter with a name and labels."""
        self.add(name, 1, **labels)

    def add(self, name: str, amount: int, **labels: str) -> None:
        """Add to the counter with a name and labels."""
        self.count(make_key(name, **labels), amount)

    def count(self, key: MetricKey, amount: int = 1) -> None:
        """Add to a counter by its key, which costs less than its labels."""
        self.counts[key] += amount

    def record_latency(
        self, name: str, latency_s: float, **labels: str
    ) -> None:
        """Record a latency in the histogram with a name and labels."""
        self.record(make_key(name, **labels), latency_s)

    def record(self, key: MetricKey, latency_s: float) -> None:
        """Record a latency by the key of its histogram."""
        buckets = self.latencies.get(key)
        if buckets is None:
            buckets = [0.0 for _ in LATENCY_BUCKETS_S]
            buckets += (0.0, 0.0)
            self.latencies[key] = buckets
        buckets[bisect_left(LATENCY_BUCKETS_S, latency_s)] += 1
        buckets[-1] += latency_s

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge that is read at each export."""
        self.gauges[name] = read

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        if self.exporter is None:
            self.exporter = self._make_exporter()
        self._register(self.exporter)
        return self.exporter.render()

    def _make_exporter(self) -> 'Metrics':
        """Return an exporter with the gauges registered."""
        from bitternturn.core.metrics import Metrics

        exporter = Metrics()
        self.registered: set[str] = set()
        for name, read in self.gauges.items():
            exporter.register_gauge(name, read)
        return exporter

    def _register(self, exporter: 'Metrics') -> None:
        """Register counters and histograms added since the last export."""
        counter_names = {name for name, _ in self.counts}
        histogram_names = {name for name, _ in self.latencies}
        for name in counter_names - self.registered:
            exporter.meter.create_observable_counter(
                f'bitternturn_{name}',
                callbacks=[self._count_callback(name)],
            )
        for name in histogram_names - self.registered:
            for suffix, read in (
                ('bucket', self._buckets),
                ('sum', self._sums),
                ('count', self._observation_counts),
            ):
                exporter.meter.create_observable_gauge(
                    f'bitternturn_{name}_seconds_{suffix}',
                    callbacks=[_make_callback(partial(read, name))],
                )
        self.registered |= counter_names | histogram_names

    def _count_callback(
        self,
        name: str,
    ) -> Callable[['CallbackOptions'], Iterable['Observation']]:
        """Return a callback that yields the counts of one counter."""
        return _make_callback(lambda: self._counts(name))

    def _counts(self, name: str) -> Iterator[tuple[float, Mapping[str, str]]]:
        """Yield the counts of one counter with their labels."""
        for (counter_name, labels), count in self.counts.items():
            if counter_name == name:
                yield count, dict(labels)

    def _buckets(self, name: str) -> Iterator[tuple[float, Mapping[str, str]]]:
        """Yield the cumulative bucket counts of one histogram."""
        bounds = [*(str(bound) for bound in LATENCY_BUCKETS_S), '+Inf']
        for labels, buckets in self._histograms(name):
            total: float = 0
            for bound, count in zip(bounds, buckets[:-1], strict=True):
                total += count
                yield total, {**labels, 'le': bound}

    def _sums(self, name: str) -> Iterator[tuple[float, Mapping[str, str]]]:
        """Yield the sums of latencies of one histogram."""
        for labels, buckets in self._histograms(name):
            yield buckets[-1], labels

    def _observation_counts(
        self, name: str
    ) -> Iterator[tuple[float, Mapping[str, str]]]:
        """Yield the numbers of latencies of one histogram."""
        for labels, buckets in self._histograms(name):
            yield sum(buckets[:-1]), labels

    def _histograms(
        self,
        name: str,
    ) -> Iterator[tuple[Mapping[str, str], list[float]]]:
        """Yield the labels and buckets of one histogram."""
        for (histogram_name, labels), buckets in self.latencies.items():
            if histogram_name == name:
                yield dict(labels), buckets


def _make_callback(
    read: Callable[[], Iterable[tuple[float, Mapping[str, str]]]],
) -> Callable[['CallbackOptions'], Iterable['Observation']]:
    """Return an OpenTelemetry callback that observes the values of `read`."""

    def observe(options: 'CallbackOptions') -> Iterable['Observation']:
        """Return one observation for each set of labels."""
        from opentelemetry.metrics import Observation

        return [Observation(number, labels) for number, labels in read()]

    return observe
