"""Times at which callers whose requests were not run are told to return."""

from bitternturn.core.ids import ServiceName
from bitternturn.gateway.models import CallerRequest, Route
from bitternturn.policy.return_times import ReturnTimes

# Services of a request: all shards of its route, or the one that was chosen.
RequestServices = tuple[ServiceName, ...]


class CallerReturns:
    """Booked returns of this instance, by the services of the requests."""

    def __init__(self) -> None:
        """Initialise without returns."""
        self.times: dict[RequestServices, ReturnTimes] = {}

    def record_answer(
        self, route: Route, service: ServiceName, now: float
    ) -> None:
        """Record that a request of a route was answered by a service."""
        self._get(route, service).record_answer(now)

    def book(
        self,
        caller: CallerRequest,
        route: Route,
        service: ServiceName,
        *,
        remaining_s: float,
        now: float,
    ) -> float:
        """Book the return of a refused caller; return the time until then."""
        return self._get(route, service).book(
            priority=caller.priority, remaining_s=remaining_s, now=now
        )

    def clear(self) -> None:
        """Forget all returns, as services may have gone."""
        self.times.clear()

    def _get(self, route: Route, service: ServiceName) -> ReturnTimes:
        """Return the times of a request's services."""
        services = route.shards or (service,)
        times = self.times.get(services)
        if times is None:
            times = self.times[services] = ReturnTimes()
        return times
