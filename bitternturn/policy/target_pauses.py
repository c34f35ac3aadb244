"""Decisions about targets that ask for a pause.

Guards against a burst at the end of a pause: all instances would come back to
the target, and all callers to the instances, in the same moment.
"""

from collections.abc import Callable, Sequence
from typing import Final

# Longest pause that is honoured, in seconds; longer ones are shortened to it.
MAX_PAUSE_S: Final = 3600.0
# Share of the pause over which the returns are spread, and its maximum.
RETURN_SPREAD: Final = 0.25
MAX_RETURN_SPREAD_S: Final = 0.5
# Share of its wait over which the returns of refused callers are spread.
CALLER_SPREAD: Final = 0.5


def choose_return_at(
    pause_s: float,
    *,
    now: float,
    uniform: Callable[[float, float], float],
) -> float:
    """Return when to send to a target again that asks for a pause.

    `uniform` draws a number between two others.
    """
    bounded_s = min(MAX_PAUSE_S, max(0, pause_s))
    spread_s = min(MAX_RETURN_SPREAD_S, bounded_s * RETURN_SPREAD)
    return now + bounded_s + uniform(0, spread_s)


def spread_return(
    wait_s: float, *, uniform: Callable[[float, float], float]
) -> float:
    """Return the time after which a refused caller should return.

    Callers that are refused while they wait for the same permit or the end of
    the same pause would otherwise all return for it.
    """
    return wait_s + uniform(0, wait_s * CALLER_SPREAD)


def find_soonest_return(
    returns: Sequence[float], *, needed: int
) -> float | None:
    """Return when a number of services has a target that wants requests.

    `returns` holds the earliest return of a target for each service that has
    one. Returns None if there are fewer than needed.
    """
    return sorted(returns)[needed - 1] if len(returns) >= needed else None
