"""Requests over shards whose parts another instance gathers."""

from dataclasses import dataclass
from typing import Final, Protocol

from bitternturn.core.ids import RouteName
from bitternturn.gateway.fleet_state import FleetState
from bitternturn.gateway.models import CallerRequest, RefusalReason, Route
from bitternturn.gateway.parts import Deadlines
from bitternturn.gateway.quotas import Quotas
from bitternturn.gateway.routes import RouteTable
from bitternturn.http.models import Response
from bitternturn.policy.answer_timing import AnswerDelay

# Time for an answer to pass the network between two instances and to be read.
ANSWER_WAY_S: Final = 0.002


@dataclass(kw_only=True, frozen=True, slots=True)
class GatherRequest:
    """Request over shards that an instance passes to a stronger one."""

    caller: CallerRequest
    route: RouteName
    # Version of the configuration by which the sender has chosen the route, and
    # whether what it knows of the fleet is out of date.
    version: int
    outdated: bool
    deadlines: Deadlines


@dataclass(kw_only=True, frozen=True, slots=True)
class GatherEnd:
    """How a request that was passed to another instance has ended.

    Without a response, this instance has to send the parts itself.
    """

    response: Response | None = None
    # Whether a target may have run the request.
    maybe_run: bool = False
    # Whether each part may have been sent to as many targets as are allowed.
    exhausted: bool = False


class Gatherers(Protocol):
    """Stronger instances that gather the parts of requests for this one."""

    async def async_gather(self, request: GatherRequest) -> GatherEnd:
        """Let an instance gather the parts if there is one that can."""

    def expire(self) -> None:
        """End the requests under way, since this instance stops."""


class NoGatherers:
    """Leaves all requests to their entry instance."""

    async def async_gather(self, request: GatherRequest) -> GatherEnd:
        """Decline."""
        return GatherEnd()

    def expire(self) -> None:
        """Do nothing: no request is under way."""


class EntryInstance(Protocol):
    """State of the instance that has received a request."""

    gatherers: Gatherers
    fleet_state: FleetState
    route_table: RouteTable
    quotas: Quotas

    @property
    def version(self) -> int:
        """Version of the configuration."""

    def now(self) -> float:
        """Return the current time in seconds."""


async def async_ask_gatherer(
    instance: EntryInstance,
    caller: CallerRequest,
    route: Route,
    deadlines: Deadlines,
) -> Response | Route | RefusalReason:
    """Let another instance gather the parts of a request.

    Returns its response. If there is none, returns the present route, whose parts
    this instance has to send, or why it may not.
    """
    end = await instance.gatherers.async_gather(
        GatherRequest(
            caller=caller,
            route=route.name,
            version=instance.version,
            outdated=instance.fleet_state.is_outdated(instance.now()),
            deadlines=deadlines,
        )
    )
    caller.maybe_run |= end.maybe_run
    if end.response is not None:
        if not caller.maybe_run:
            instance.quotas.give_back(caller)
        return end.response
    if end.exhausted:
        return RefusalReason.FAILED
    # The configuration may have changed meanwhile.
    current = instance.route_table.match(caller.host, caller.path)
    if current is not None and current.shards:
        return current
    if caller.maybe_run:
        return RefusalReason.FAILED
    return RefusalReason.NO_ROUTE


def gatherer_deadlines(
    *,
    arrived_at: float,
    aim_s: float,
    left_s: float,
    parts: int,
    answer_delay: AnswerDelay,
) -> Deadlines:
    """Return the deadlines of a request that is gathered for another instance.

    `aim_s` is the time until the answer has to leave that instance and `left_s`
    the time until the request ends, both from `arrived_at` on.
    """
    reserve_s = answer_delay.instance_reserve_s(parts=parts) + ANSWER_WAY_S
    return Deadlines(
        soft_deadline=arrived_at + aim_s - reserve_s,
        deadline=arrived_at + left_s - ANSWER_WAY_S,
    )
