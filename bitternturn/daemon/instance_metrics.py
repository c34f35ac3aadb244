"""Metrics of queries and gauges of an instance."""

from collections.abc import Callable

from bitternturn.callers.models import QueryAnswer, QueryRequest
from bitternturn.core.ids import IndexName, ProfileName
from bitternturn.core.metrics import Metrics


def register_instance_gauges(
    metrics: Metrics,
    *,
    ready: Callable[[], bool],
    lease_s: Callable[[], float],
    store_reached: Callable[[], bool],
) -> None:
    """Register the gauges of an instance, on which alarms are based."""
    metrics.register_gauge('ready', lambda: float(ready()))
    metrics.register_gauge('lease_seconds', lease_s)
    metrics.register_gauge('store_reached', lambda: float(store_reached()))


def create_answer_recorder(
    metrics: Metrics,
) -> Callable[[QueryRequest, QueryAnswer, float], None]:
    """Return a function that records the metrics of each answer."""

    def record_answer(
        query: QueryRequest,
        answer: QueryAnswer,
        latency_s: float,
    ) -> None:
        """Record one answer."""
        profile = ProfileName(query.profile.name)
        index = IndexName(query.index.name)
        if answer.code is None:
            metrics.record_query(
                profile=profile,
                index=index,
                latency_s=latency_s,
                coverage=answer.coverage,
            )
        else:
            metrics.count_refusal(profile=profile, code=answer.code)
        metrics.count_hedges(profile=profile, count=answer.hedges)
        metrics.count_retries(profile=profile, count=answer.retries)
        metrics.count_sub_requests(
            index=index,
            outcome='sent',
            count=answer.sub_requests,
        )

    return record_answer
