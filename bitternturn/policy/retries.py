"""Decision whether to retry a failed sub-request."""

import random

from bitternturn.core.errors import ErrorCode
from bitternturn.policy.budget import TokenBudget
from bitternturn.policy.const import (
    DEFAULT_RETRY_BACKOFF_S,
    DEFAULT_RETRY_DURATION_S,
    MAX_ATTEMPTS,
    MAX_RETRY_BACKOFF_S,
)
from bitternturn.schema import peers_pb2

# Transient failures of one target or connection.
TRANSIENT_CODES = frozenset(
    (
        ErrorCode.COLD,
        ErrorCode.SHED,
        ErrorCode.CONNECTION_LOST,
        ErrorCode.NOT_OWNER,
        ErrorCode.PEER_UNREACHABLE,
    )
)
# Failures that may not affect another replica.
OTHER_REPLICA_CODES = TRANSIENT_CODES | frozenset(
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
# Refusals after which a retry adds no load, because no target ran the request.
NO_LOAD_CODES = frozenset(
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
    """Limits the extra load of retries."""

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
    expected_s: float = DEFAULT_RETRY_DURATION_S,
) -> bool:
    """Decide whether to retry, and spend a token if that may add load.

    The budget limits the load on targets in addition to the first attempts;
    a retry that adds no load spends no token.

    `attempts` is the number of attempts made so far and `untried` the number
    of replicas of the shard that were not tried yet. If there are none left,
    only transient failures are retried: an overload, for example, then
    affects the whole service. A retry that takes `expected_s` has to end
    within the remaining time.
    """
    if outcome != peers_pb2.OUTCOME_NOT_RUN and not (
        repeatable and outcome != peers_pb2.OUTCOME_ANSWERED
    ):
        return False
    if attempts >= MAX_ATTEMPTS or remaining_s <= expected_s:
        return False
    retryable_codes = OTHER_REPLICA_CODES if untried > 0 else TRANSIENT_CODES
    if code not in retryable_codes:
        return False
    adds_no_load = (
        outcome == peers_pb2.OUTCOME_NOT_RUN and code in NO_LOAD_CODES
    )
    return adds_no_load or budget.try_spend()


def retry_delay_s(*, attempts: int, rng: random.Random) -> float:
    """Return a random backoff in seconds before retrying a replica."""
    ceiling_s = DEFAULT_RETRY_BACKOFF_S * 2**attempts
    return rng.uniform(0, min(ceiling_s, MAX_RETRY_BACKOFF_S))
