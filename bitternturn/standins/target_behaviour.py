"""Behaviour of an emulated target: service times, cold start and faults."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

# Relative deviation of service times from their mean.
SERVICE_TIME_SPREAD: Final = 0.25
DEFAULT_SERVICE_S: Final = 0.004
DEFAULT_STRAGGLER_SHARE: Final = 0.01
DEFAULT_STRAGGLER_FACTOR: Final = 20.0


@unique
class TargetState(Enum):
    """State that a target reports in `x-state`."""

    READY = 'ready'
    COLD = 'cold'
    DRAINING = 'draining'


@unique
class ColdOverload(Enum):
    """How a cold target reacts to more requests than its cold limit."""

    # Refuses the excess requests with 503 `cold`.
    REFUSE = 'refuse'
    # Answers all requests with 500 during an outage.
    ERRORS = 'errors'
    # Answers no request during an outage.
    SILENCE = 'silence'


@dataclass(kw_only=True, slots=True)
class TargetBehaviour:
    """Settings of one target, which can be changed while it runs."""

    connect_s: float = 0
    service_s: float = DEFAULT_SERVICE_S
    straggler_share: float = DEFAULT_STRAGGLER_SHARE
    straggler_factor: float = DEFAULT_STRAGGLER_FACTOR
    # Number of requests that can wait for a slot.
    queue_capacity: int = 0
    cold_overload: ColdOverload = ColdOverload.SILENCE
    overload_outage_s: float = 1
    # Number of answers after which a cold target becomes ready; with 0 only an
    # explicit call ends the cold start.
    warm_after_answers: int = 50
    held_snapshots: int = 2
    # Age of the reports that the health endpoint returns.
    health_lag_s: float = 0
    # State that the health endpoint reports instead of the actual one.
    health_state_override: TargetState | None = None


@dataclass(kw_only=True, slots=True)
class TargetFaults:
    """Number of upcoming answers that each fault affects."""

    # The answer to an earlier request is sent instead.
    crossed: int = 0
    # Half of the hits are left out and the answer is marked incomplete.
    incomplete: int = 0
    # Status 500 is sent instead of the result.
    errors: int = 0
    # The request runs, but the connection is closed instead of an answer.
    lost_answers: int = 0
    # The request runs but is never answered; its connection stays open.
    silent: int = 0


def make_service_times(
    behaviour: TargetBehaviour,
    rng: random.Random,
) -> Callable[[], float]:
    """Return a function that draws the next service time in seconds."""

    def draw() -> float:
        service_s = behaviour.service_s * rng.uniform(
            1 - SERVICE_TIME_SPREAD, 1 + SERVICE_TIME_SPREAD
        )
        if rng.random() < behaviour.straggler_share:
            return service_s * behaviour.straggler_factor
        return service_s

    return draw
