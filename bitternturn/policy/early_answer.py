"""Decision whether to answer a query early, keep waiting or refuse it."""

from enum import Enum, unique

from bitternturn.policy.const import DEFAULT_MERGE_MARGIN_S
from bitternturn.policy.coverage import meets_coverage
from bitternturn.schema.config_pb2 import PREFERENCE_COVERAGE, Profile

FULL_COVERAGE = 1


@unique
class Decision(Enum):
    """Next step of a query."""

    WAIT = 'wait'
    ANSWER = 'answer'
    REFUSE = 'refuse'


def decide_early_answer(
    *,
    profile: Profile,
    coverage: float,
    remaining_s: float,
    outstanding: float,
    margin_s: float = DEFAULT_MERGE_MARGIN_S,
) -> Decision:
    """Decide on a query by its coverage and the remaining time.

    `coverage` is the share merged so far. `outstanding` is the share of the
    shards that may still answer, either in flight or with a retry left. From
    `margin_s` before the deadline on, the least coverage is sufficient. A
    query that can no longer reach the least coverage is refused at once.
    """
    least_met = meets_coverage(coverage, profile.least_coverage)
    if outstanding <= 0 or remaining_s <= 0:
        return Decision.ANSWER if least_met else Decision.REFUSE
    if not meets_coverage(coverage + outstanding, profile.least_coverage):
        return Decision.REFUSE
    if least_met and remaining_s <= margin_s:
        return Decision.ANSWER
    if meets_coverage(coverage, _sufficient_coverage(profile)):
        return Decision.ANSWER
    return Decision.WAIT


def _sufficient_coverage(profile: Profile) -> float:
    """Return the coverage that is answered without further waiting."""
    if profile.preference == PREFERENCE_COVERAGE:
        return FULL_COVERAGE
    return max(profile.wanted_coverage, profile.least_coverage)
