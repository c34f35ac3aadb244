"""Decision log lines and metrics of sends to targets."""

from bitternturn.core.ids import FailureDomain
from bitternturn.gateway.decision_log import DecisionLog
from bitternturn.gateway.identity import identify_request
from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.gateway.models import SendOutcome
from bitternturn.gateway.send import Send
from bitternturn.gateway.target import Target
from bitternturn.policy.target_selection import EJECTION_FAILURES


def record_send_end(
    target: Target,
    outcome: SendOutcome,
    latency_s: float,
    exchange_bytes: int,
    *,
    own_domain: FailureDomain,
    metrics: GatewayMetrics,
    decisions: DecisionLog,
) -> None:
    """Count the outcome of a send; log displaced and ejected targets."""
    name = target.entry.id
    metrics.increment('sends', outcome=outcome.value)
    if exchange_bytes:
        same_domain = target.entry.failure_domain == own_domain
        metrics.add(
            'target_bytes',
            exchange_bytes,
            scope='same_domain' if same_domain else 'other_domain',
        )
    if outcome is SendOutcome.ANSWERED:
        metrics.record_latency('send_latency', latency_s, target=name)
    elif outcome is SendOutcome.MISDIRECTED:
        decisions.write(
            'target_displaced',
            target=name,
            service=target.entry.service,
            address=f'{target.entry.host}:{target.entry.port}',
        )
    elif target.record.consecutive_failures == EJECTION_FAILURES:
        decisions.write(
            'target_ejected',
            target=name,
            service=target.entry.service,
            failures=target.record.consecutive_failures,
            last=outcome.value,
        )


def record_lost_send(send: Send, error: str, *, decisions: DecisionLog) -> None:
    """Log a send whose connection ended without an answer.

    The key tells whether several such sends were attempts of one request, the
    number of other sends whether the target was lost with these too.
    """
    decisions.write(
        'send_lost',
        request_id=send.caller.id,
        request_key=identify_request(send.caller),
        request_target=send.caller.request_target,
        target=send.target.entry.id,
        service=send.target.entry.service,
        others_in_flight=len(send.target.sends) - 1,
        error=error,
    )
