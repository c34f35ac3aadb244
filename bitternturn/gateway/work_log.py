"""Processor time of the steps of an instance, for its log and metrics."""

import time
from enum import Enum, unique

from bitternturn.gateway.decision_log import DecisionLog
from bitternturn.gateway.metrics import GatewayMetrics

STEPS_METRIC = 'steps'
STEP_TIME_METRIC = 'step_us'
NS_PER_US = 1000


@unique
class Step(Enum):
    """Step of which the processor time is counted."""

    # Applying what has changed in the fleet.
    REFRESH = 'refresh'
    # Selecting the targets of a request and handing its sends on.
    SEND_PARTS = 'send_parts'
    # Handling a report of a delegate.
    REPORT = 'report'
    # Hedging late parts and checking the deadlines of a request.
    TIMER = 'timer'
    # Merging the answers of a request.
    ANSWER = 'answer'
    # Starting sends on behalf of peers.
    DELEGATED_SENDS = 'delegated_sends'


class StepTimer:
    """Context that counts a step and its processor time."""

    __slots__ = ('metrics', 'started_ns', 'step')

    def __init__(self, *, metrics: GatewayMetrics, step: Step) -> None:
        """Initialise; the time starts when the context is entered."""
        self.metrics = metrics
        self.step = step
        self.started_ns = 0

    def __enter__(self) -> None:
        """Start to count."""
        self.started_ns = time.thread_time_ns()

    def __exit__(self, *exception: object) -> None:
        """Add the time since the start."""
        took_us = (time.thread_time_ns() - self.started_ns) // NS_PER_US
        name = self.step.value
        self.metrics.increment(STEPS_METRIC, step=name)
        self.metrics.add(STEP_TIME_METRIC, took_us, step=name)


def log_work(metrics: GatewayMetrics, decisions: DecisionLog) -> None:
    """Log how often each step has run, and its processor time."""
    decisions.write(
        'work',
        **{
            '_'.join((*(value for _, value in labels), name)): count
            for (name, labels), count in metrics.counts.items()
            if name in {STEPS_METRIC, STEP_TIME_METRIC}
        },
    )
