"""Whether a failed sub-request is tried again."""

import random

from bitternturn.core.errors import ErrorCode
from bitternturn.policy.budget import TokenBudget
from bitternturn.policy.const import (
    DEFAULT_ATTEMPTS,
    DEFAULT_RETRY_BACKOFF_S,
    DEFAULT_RETRY_FLOOR_S,
    MAX_RETRY_BACKOFF_S,
)
from bitternturn.schema import peers_pb2

# Failures of one target or connection that may pass.
PASSING = frozenset(
    (
        ErrorCode.COLD,
        ErrorCode.SHED,
        ErrorCode.CONNECTION_LOST,
        ErrorCode.NOT_OWNER,
        ErrorCode.PEER_UNREACHABLE,
    )
)
# Failures that another replica need not share.
ELSEWHERE = PASSING | frozenset(
    (
        ErrorCode.OVERLOADED,
        ErrorCode.DRAINING,
        ErrorCode.SNAPSHOT_GONE,
        ErrorCode.TARGET_OUT,
        ErrorCode.TARGET_UNAVAILABLE,
        ErrorCode.TARGET_ERROR,
        ErrorCode.BAD_ANSWER,
        ErrorCode.IN_DOUBT,
    )
)
# Refusals after which another try adds no load: no target ran anything.
UNCHARGED = frozenset(
    (
        ErrorCode.NOT_OWNER,
        ErrorCode.PEER_UNREACHABLE,
        ErrorCode.DRAINING,
        ErrorCode.SNAPSHOT_GONE,
        ErrorCode.TARGET_OUT,
        ErrorCode.TARGET_UNAVAILABLE,
    )
)


class RetryBudget(TokenBudget):
    """Bounds the extra load of retrying."""

    __slots__ = ()


def may_retry(
    *,
    code: ErrorCode,
    outcome: peers_pb2.Outcome.ValueType,
    repeatable: bool,
    attempts: int,
    remaining_s: float,
    budget: RetryBudget,
    untried: int = 1,
    expected_s: float = DEFAULT_RETRY_FLOOR_S,
) -> bool:
    """Decide on one more try; a token is spent when it may add load.

    The budget bounds what targets bear beyond the first tries: a try that
    adds no load costs none.

    `attempts` were made so far, `untried` replicas of the shard were not
    asked yet. With none left only failures that may pass are retried: an
    overload, for one, then holds for the whole service. A try that takes
    `expected_s` must end in the remaining time.
    """
    if outcome != peers_pb2.OUTCOME_NOT_RUN and not (
        repeatable and outcome != peers_pb2.OUTCOME_ANSWERED
    ):
        return False
    if attempts >= DEFAULT_ATTEMPTS or remaining_s <= expected_s:
        return False
    codes = ELSEWHERE if untried > 0 else PASSING
    if code not in codes:
        return False
    uncharged = outcome == peers_pb2.OUTCOME_NOT_RUN and code in UNCHARGED
    return uncharged or budget.try_spend()


def retry_delay_s(*, attempts: int, rng: random.Random) -> float:
    """Return the seconds before the same replica is tried again."""
    ceiling_s = DEFAULT_RETRY_BACKOFF_S * 2**attempts
    return rng.uniform(0, min(ceiling_s, MAX_RETRY_BACKOFF_S))
