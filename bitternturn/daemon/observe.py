"""Metrics of queries."""

from collections.abc import Callable

from bitternturn.callers.models import QueryAnswer, QueryRequest
from bitternturn.core.ids import IndexName, ProfileName
from bitternturn.core.metrics import Metrics


def observe_instance(
    metrics: Metrics,
    *,
    ready: Callable[[], bool],
    lease_s: Callable[[], float],
    store_reached: Callable[[], bool],
) -> None:
    """Show what alarms on an instance watch as gauges."""
    metrics.observe_value('ready', lambda: float(ready()))
    metrics.observe_value('lease_seconds', lease_s)
    metrics.observe_value('store_reached', lambda: float(store_reached()))


def create_observer(
    metrics: Metrics,
) -> Callable[[QueryRequest, QueryAnswer, float], None]:
    """Return a function that records each answer and its latency."""

    def observe(
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

    return observe
