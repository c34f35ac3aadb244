"""What the gateway tells of its decisions: log lines and metrics."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.gateway.models import CallerRequest, Outcome, RefusalReason
from bitternturn.policy.target_record import EJECT_AFTER

if TYPE_CHECKING:
    from bitternturn.gateway.gateway import Gateway
    from bitternturn.gateway.pool import TargetPool
    from bitternturn.gateway.run import Run
    from bitternturn.gateway.target import Target


def show_gauges(gateway: 'Gateway') -> None:
    """Show numbers of an instance."""
    gauges: dict[str, Callable[[], float]] = {
        'in_flight': lambda: gateway.in_flight,
        'configuration_version': lambda: gateway.version,
        'configuration_age': lambda: gateway.now() - gateway.configured_at,
        'targets': lambda: len(gateway.targets),
        'sends_under_way': lambda: sum(
            len(target.sends) for target in gateway.targets.values()
        ),
        'sends_waiting': lambda: sum(
            len(target.waiting) for target in gateway.targets.values()
        ),
        'instances': lambda: gateway.instances,
        'further_sends': lambda: sum(
            budget.further for budget in gateway.budgets.values()
        ),
        'log_lines_dropped': lambda: gateway.decisions.writer.dropped,
    }
    for name, read in gauges.items():
        gateway.metrics.gauge(name, read)


def note_send(
    pool: 'TargetPool',
    target: 'Target',
    outcome: Outcome,
    latency_s: float,
) -> None:
    """Count the end of a send; write a line when a target is ejected."""
    name = target.entry.id
    pool.metrics.count('sends', outcome=outcome.value)
    if outcome is Outcome.ANSWERED:
        pool.metrics.record('send_latency', latency_s, target=name)
    elif outcome is Outcome.MISDIRECTED:
        pool.decisions.note(
            'target_displaced',
            target=name,
            service=target.entry.service,
            address=f'{target.entry.host}:{target.entry.port}',
        )
    elif target.record.failures == EJECT_AFTER:
        pool.decisions.note(
            'target_ejected',
            target=name,
            service=target.entry.service,
            failures=target.record.failures,
            last=outcome.value,
        )


def note_end(
    gateway: 'Gateway',
    run: 'Run',
    outcome: str,
    arrived_at: float,
) -> None:
    """Write the line of a request that was sent to targets."""
    now = gateway.now()
    progress = run.progress()
    latency_s = now - arrived_at
    gateway.metrics.record(
        'request_latency',
        latency_s,
        route=run.route.name,
        outcome=outcome,
    )
    gateway.decisions.note(
        'request',
        request_id=run.caller.id,
        route=run.route.name,
        version=gateway.version,
        version_age_s=round(now - gateway.configured_at, 1),
        outcome=outcome,
        parts=f'{progress.arrived}/{progress.wanted}',
        aim_ms=_ms(run.aim_at - arrived_at),
        limit_ms=_ms(run.deadline - arrived_at),
        ms=_ms(latency_s),
        hedges=run.hedges,
        retries=run.retries,
        sends=[
            {**line, 'at_ms': _ms(line['at_ms'] - arrived_at)}
            for line in run.unusual
        ],
        missing=[part.service for part in run.parts if part.answer is None],
    )


def note_refusal(
    gateway: 'Gateway',
    caller: CallerRequest,
    reason: RefusalReason,
    retry_s: float | None,
) -> None:
    """Write the line of a request that was sent to no target."""
    gateway.metrics.count('refused', reason=reason.value)
    gateway.decisions.note(
        'refused',
        request_id=caller.id,
        reason=reason.value,
        host=caller.host,
        path=caller.path,
        version=gateway.version,
        version_age_s=round(gateway.now() - gateway.configured_at, 1),
        retry_after_s=retry_s,
    )


def _ms(seconds: float) -> float:
    """Return seconds as milliseconds for a log line."""
    return round(seconds * MS_PER_SECOND, 1)
