"""Selection of a request's route, and of the service of a traffic split."""

from collections.abc import Iterable

from bitternturn.core.ids import RouteName, ServiceName
from bitternturn.gateway.models import Route


class RouteTable:
    """Routes by host and path prefix; every prefix ends with a slash."""

    def __init__(self, *, routes: Iterable[Route]) -> None:
        """Index the routes."""
        self.by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self.by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        prefixes = self.by_host.get(_normalize_host(host))
        if prefixes is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end) + 1
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end -= 1
        return None


class WeightedRoundRobin:
    """Assigns the requests of split routes to their services by weight.

    Smooth weighted round robin: after any number of requests, the share of each
    service is met to within one request.
    """

    def __init__(self) -> None:
        """Initialise without credits."""
        self.credits: dict[tuple[RouteName, ServiceName], float] = {}

    def next_service(self, route: Route) -> ServiceName | None:
        """Return the service of the next request of a route."""
        total = sum(share.weight for share in route.services)
        chosen: ServiceName | None = None
        highest: float = 0
        for share in route.services:
            if share.weight <= 0:
                continue
            key = (route.name, share.service)
            credit = self.credits.get(key, 0) + share.weight
            self.credits[key] = credit
            if chosen is None or credit > highest:
                chosen = share.service
                highest = credit
        if chosen is not None:
            self.credits[(route.name, chosen)] -= total
        return chosen


def _normalize_host(host: str) -> str:
    """Return a host in lower case and without its port."""
    name = host.lower()
    if name.startswith('['):
        # An IPv6 address, whose colons are within the brackets.
        return name[: name.rfind(']') + 1]
    return name.partition(':')[0]
