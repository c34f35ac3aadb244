"""What the end of a send shows of its target."""

from bitternturn.gateway.models import REPLY_OUTCOMES, SendOutcome
from bitternturn.gateway.send import Send
from bitternturn.policy.target_selection import (
    DECLINED_SLOWNESS,
    TargetStatistics,
)

# Outcomes that the target is not the cause of.
OUTCOMES_OF_OTHERS = frozenset(
    (
        SendOutcome.NOT_SENT,
        SendOutcome.NO_PATH,
        SendOutcome.PEER_LOST,
        SendOutcome.OVER_BUDGET,
        SendOutcome.UNWANTED,
        SendOutcome.SUSPECTED,
    )
)


def is_fault_of_link(send: Send, outcome: SendOutcome) -> bool:
    """Return whether the end of a send shows nothing of its target.

    Its link was cut off, or its delegate has not confirmed it.
    """
    if outcome in REPLY_OUTCOMES:
        return False
    cut_off = send.via is None and not send.target.link.was_usable_since(
        send.started_at
    )
    return send.silent or cut_off


def record_outcome(
    record: TargetStatistics,
    send: Send,
    outcome: SendOutcome,
    latency_s: float,
    now: float,
) -> None:
    """Record the outcome and latency of a send in the statistics."""
    ratio = latency_s / send.latency_estimate.mean_s
    if outcome is SendOutcome.ANSWERED:
        record.record_success(now)
        record.record_latency_ratio(ratio, now)
        send.latency_estimate.record(latency_s)
    elif outcome is SendOutcome.LOST and send.aborted:
        # The latency would have been at least this long.
        record.record_latency_ratio(ratio, now)
    elif outcome is SendOutcome.DECLINED:
        record.record_latency_ratio(DECLINED_SLOWNESS, now)
    elif outcome not in OUTCOMES_OF_OTHERS:
        record.record_failure(now)
