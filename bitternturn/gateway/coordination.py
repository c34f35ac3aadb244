"""Requests over shards whose parts another instance gathers."""

from dataclasses import dataclass
from typing import Protocol

from bitternturn.core.ids import RouteName
from bitternturn.gateway.models import CallerRequest
from bitternturn.gateway.parts import Deadlines
from bitternturn.http.models import Response
from bitternturn.policy.answer_timing import AnswerDelay

# Time for an answer to pass the network between two instances and to be read.
ANSWER_WAY_S = 0.002


@dataclass(kw_only=True, frozen=True, slots=True)
class GatherRequest:
    """Request over shards that an instance hands over."""

    caller: CallerRequest
    route: RouteName
    # Version of the configuration by which the sender has chosen the route, and
    # whether what it knows of the fleet is out of date.
    version: int
    outdated: bool
    deadlines: Deadlines


@dataclass(kw_only=True, frozen=True, slots=True)
class GatherEnd:
    """How a request that was handed over has ended.

    Without a response, this instance has to send the parts itself.
    """

    response: Response | None = None
    # Whether a target may have run the request.
    maybe_run: bool = False


class Coordinators(Protocol):
    """Stronger instances that gather the parts of requests for this one."""

    async def async_gather(self, request: GatherRequest) -> GatherEnd:
        """Let an instance gather the parts if there is one that can."""

    def expire(self) -> None:
        """End the requests that are handed over, since this instance stops."""


class NoCoordinators:
    """Leaves all requests to their entry instance."""

    async def async_gather(self, request: GatherRequest) -> GatherEnd:
        """Decline."""
        return GatherEnd()

    def expire(self) -> None:
        """Do nothing: no request is handed over."""


def coordinator_deadlines(
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
