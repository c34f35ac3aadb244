"""How a target stand-in behaves: service times, cold start and faults."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

SPREAD: Final = 0.25
DEFAULT_SERVICE_S: Final = 0.004
DEFAULT_STRAGGLER_SHARE: Final = 0.01
DEFAULT_STRAGGLER_FACTOR: Final = 20.0


@unique
class TargetState(Enum):
    """State that a target tells in `x-state`."""

    READY = 'ready'
    COLD = 'cold'
    DRAINING = 'draining'


@unique
class ColdOverload(Enum):
    """What a cold target does with more than it bears."""

    # Answers 503 `cold`.
    REFUSE = 'refuse'
    # Answers 500 to everything for a while.
    ERRORS = 'errors'
    # Answers nothing for a while.
    SILENCE = 'silence'


@dataclass(kw_only=True, slots=True)
class TargetBehaviour:
    """Settings of one target; they may be changed while it runs."""

    connect_s: float = 0
    service_s: float = DEFAULT_SERVICE_S
    straggler_share: float = DEFAULT_STRAGGLER_SHARE
    straggler_factor: float = DEFAULT_STRAGGLER_FACTOR
    # Requests that may wait for a slot.
    queue: int = 0
    cold_overload: ColdOverload = ColdOverload.SILENCE
    fall_s: float = 1
    # Answers after which a cold target is ready; 0: only on command.
    warm_after: int = 50
    held_snapshots: int = 2
    # Age of what the health endpoint tells.
    health_lag_s: float = 0
    # Told by the health endpoint whatever the state is, if set.
    health_lie: TargetState | None = None


@dataclass(kw_only=True, slots=True)
class TargetFaults:
    """Numbers of answers to come that go wrong."""

    crossed: int = 0
    incomplete: int = 0
    errors: int = 0
    # Run, and then the connection closes instead of an answer.
    lost_answers: int = 0
    # Never answered; their connections stay open.
    silent: int = 0


def make_service_times(
    behaviour: TargetBehaviour,
    rng: random.Random,
) -> Callable[[], float]:
    """Return a function that draws the next service time in seconds."""

    def draw() -> float:
        service_s = behaviour.service_s * rng.uniform(1 - SPREAD, 1 + SPREAD)
        if rng.random() < behaviour.straggler_share:
            return service_s * behaviour.straggler_factor
        return service_s

    return draw
