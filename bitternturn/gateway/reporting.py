"""Decision log lines and metrics of the gateway."""

from collections import Counter
from typing import Protocol

from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.gateway.decision_log import DecisionLog
from bitternturn.gateway.execution import RequestExecution
from bitternturn.gateway.identity import identify_request
from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.gateway.models import CallerRequest, RefusalReason
from bitternturn.gateway.parts import describe_arrivals, describe_paths
from bitternturn.gateway.tenants import TenantLabels


class InstanceState(Protocol):
    """State of the instance that its log lines mention."""

    metrics: GatewayMetrics
    decisions: DecisionLog
    configured_at: float
    tenant_labels: TenantLabels

    @property
    def in_flight(self) -> int:
        """Number of requests that are being executed."""

    @property
    def version(self) -> int:
        """Version of the configuration."""

    def now(self) -> float:
        """Return the current time in seconds."""

    def confirmed_age_s(self, now: float) -> float | None:
        """Return the time since the configuration was confirmed."""


def record_pause(gateway: InstanceState, length_s: float) -> None:
    """Count and log a time in which the process handled no event."""
    gateway.metrics.record_latency('pause', length_s)
    gateway.decisions.write(
        'paused', length_s=round(length_s, 3), in_flight=gateway.in_flight
    )


def log_traffic(metrics: GatewayMetrics, decisions: DecisionLog) -> None:
    """Log the bytes to and from targets and instances, by their labels."""
    decisions.write(
        'traffic',
        **{
            '_'.join((name, *(value for _, value in labels))): count
            for (name, labels), count in metrics.counts.items()
            if name.endswith('_bytes')
        },
    )


def record_request_end(
    gateway: InstanceState,
    execution: RequestExecution,
    outcome: str,
    arrived_at: float,
) -> None:
    """Record the latency of a request that was sent, and log it."""
    now = gateway.now()
    progress = execution.progress()
    latency_s = now - arrived_at
    caller = execution.caller
    named = {'tenant': caller.tenant} if caller.tenant else {}
    gateway.metrics.record_latency(
        'request_latency',
        latency_s,
        route=execution.route.name,
        outcome=outcome,
    )
    gateway.decisions.write(
        'request',
        request_id=execution.caller.id,
        route=execution.route.name,
        version=gateway.version,
        version_age_s=round(now - gateway.configured_at, 1),
        confirmed_age_s=gateway.confirmed_age_s(now),
        outcome=outcome,
        parts=f'{progress.answered}/{progress.total}',
        aim_ms=_to_ms(execution.soft_deadline - arrived_at),
        limit_ms=_to_ms(execution.deadline - arrived_at),
        ms=_to_ms(latency_s),
        sent_ms=_to_ms(execution.sent_at - arrived_at),
        arrived_ms={
            name: _to_ms(at)
            for name, at in describe_arrivals(
                execution.parts,
                min_parts=execution.min_parts,
                since=arrived_at,
            ).items()
        },
        paths={
            path: (count, _to_ms(first), _to_ms(last))
            for path, (count, first, last) in describe_paths(
                execution.parts, since=arrived_at
            ).items()
        },
        hedges=execution.hedges,
        denied_hedges=execution.denied_hedges,
        retries=execution.retries,
        sends=[
            {**line, 'at_ms': _to_ms(line['at_ms'] - arrived_at)}
            for line in execution.send_log.entries
        ],
        missing=[
            part.service for part in execution.parts if part.answer is None
        ],
        missing_causes=Counter(
            part.missing_cause()
            for part in execution.parts
            if part.answer is None
        ),
        **named,
    )


def count_refusal(
    gateway: InstanceState, caller: CallerRequest, reason: RefusalReason
) -> None:
    """Count a request that was refused without any send."""
    gateway.metrics.increment('refused', reason=reason.value)
    if caller.tenant:
        gateway.metrics.increment(
            'tenant_refused',
            tenant=gateway.tenant_labels.find(caller.tenant),
            priority=str(caller.priority),
            reason=reason.value,
        )


def record_refusal(
    gateway: InstanceState,
    caller: CallerRequest,
    reason: RefusalReason,
    retry_after_s: float | None,
) -> None:
    """Count and log a request that was refused without any send."""
    now = gateway.now()
    evidence: dict[str, str] = {}
    if reason is RefusalReason.CRASHES_TARGETS:
        evidence['request_key'] = identify_request(caller)
    count_refusal(gateway, caller, reason)
    if caller.tenant:
        evidence['tenant'] = caller.tenant
    gateway.decisions.write(
        'refused',
        request_id=caller.id,
        reason=reason.value,
        host=caller.host,
        path=caller.path,
        version=gateway.version,
        version_age_s=round(now - gateway.configured_at, 1),
        confirmed_age_s=gateway.confirmed_age_s(now),
        retry_after_s=retry_after_s,
        **evidence,
    )


def _to_ms(seconds: float) -> float:
    """Return seconds as rounded milliseconds for a log line."""
    return round(seconds * MS_PER_SECOND, 1)
