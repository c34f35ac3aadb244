"""Decision log lines and metrics of sends to targets."""

from typing import Final

from bitternturn.core.ids import FailureDomain
from bitternturn.gateway.decision_log import DecisionLog
from bitternturn.gateway.identity import identify_request
from bitternturn.gateway.metrics import GatewayMetrics, make_key
from bitternturn.gateway.models import SendOutcome
from bitternturn.gateway.send import Send
from bitternturn.gateway.target import Target
from bitternturn.policy.target_selection import EJECTION_FAILURES

SEND_KEYS: Final = {
    outcome: make_key('sends', outcome=outcome.value) for outcome in SendOutcome
}
SAME_DOMAIN_BYTES: Final = make_key('target_bytes', scope='same_domain')
OTHER_DOMAIN_BYTES: Final = make_key('target_bytes', scope='other_domain')


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
    metrics.count(SEND_KEYS[outcome])
    if exchange_bytes:
        same_domain = target.entry.failure_domain == own_domain
        metrics.count(
            SAME_DOMAIN_BYTES if same_domain else OTHER_DOMAIN_BYTES,
            exchange_bytes,
        )
    if outcome is SendOutcome.ANSWERED:
        metrics.record(target.latency_key, latency_s)
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
