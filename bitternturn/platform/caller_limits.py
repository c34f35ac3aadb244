"""Limits of what callers make a process hold, from its settings."""

import resource
from dataclasses import dataclass
from typing import Final

from bitternturn.gateway.const import BYTES_PER_MEGABYTE
from bitternturn.gateway.decision_log import DecisionLog
from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.gateway.models import CallerLimits, InstanceSettings
from bitternturn.http import const as http
from bitternturn.http.memory import CallerMemory, Eviction
from bitternturn.http.models import Request
from bitternturn.http.parser_turns import ParserTurns
from bitternturn.http.server import (
    Handler,
    HttpServer,
    ServerLimits,
    log_failure,
)
from bitternturn.platform.wire_names import HEADER_REQUEST_ID

# Share of the memory of the process for what callers make it hold. An eighth
# is for answers that are being received, and about 35 MB are in use at rest.
CALLER_MEMORY_SHARE: Final = 0.1
# File descriptors that are kept for targets, peers and the store: a share of
# all, and at least the given number.
RESERVED_DESCRIPTOR_SHARE: Final = 0.25
MIN_RESERVED_DESCRIPTORS: Final = 64
# Connections of each of the listeners for probes and for metrics, which few
# clients use.
OTHER_CONNECTIONS: Final = 32
# Listeners for probes, metrics and peers.
OTHER_LISTENERS: Final = 3
# Connections of callers that are allowed whatever the settings state.
MIN_CALLER_CONNECTIONS: Final = 16


@dataclass(kw_only=True, frozen=True, slots=True)
class CallerResources:
    """What the listeners of a process share, and where they report."""

    memory: CallerMemory
    turns: ParserTurns
    max_connections: int
    # Connections of peers without a frame so far.
    max_new_peers: int
    metrics: GatewayMetrics
    decisions: DecisionLog

    def make_server(self, handler: Handler, *, callers: bool) -> HttpServer:
        """Return a listener, either for callers or for probes or metrics."""
        return HttpServer(
            handler=handler,
            limits=ServerLimits(
                max_connections=(
                    self.max_connections if callers else OTHER_CONNECTIONS
                ),
            ),
            memory=self.memory,
            turns=self.turns,
            on_eviction=self.record,
            on_failure=self.record_failure,
        )

    def make_limits(self, limits: CallerLimits) -> ServerLimits:
        """Return the limits of the listener of callers."""
        return ServerLimits(
            max_body_bytes=limits.body_bytes,
            max_header_bytes=limits.header_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
            max_connections=self.max_connections,
        )

    def record_failure(self, request: Request, error: Exception) -> None:
        """Count and log a request whose handler or response failed."""
        log_failure(request, error)
        self.metrics.increment('failed_responses')
        self.decisions.write(
            'response_failed',
            request_id=request.headers.get(HEADER_REQUEST_ID, ''),
            method=request.method,
            error=repr(error),
        )

    def record(self, eviction: Eviction) -> None:
        """Count and log a connection that was given up."""
        reason = eviction.reason.value
        self.metrics.increment('caller_evictions', reason=reason)
        self.decisions.write(
            'caller_evicted',
            reason=reason,
            peer=eviction.peer,
            held_bytes=eviction.held_bytes,
            held_s=round(eviction.held_s, 3),
            all_held_bytes=self.memory.total_bytes,
        )


def make_caller_resources(
    settings: InstanceSettings,
    metrics: GatewayMetrics,
    decisions: DecisionLog,
) -> CallerResources:
    """Return the limits of a process; registers their gauges."""
    descriptors = count_descriptors(settings.max_descriptors)
    memory = CallerMemory(
        max_bytes=int(
            settings.memory_mb * BYTES_PER_MEGABYTE * CALLER_MEMORY_SHARE
        ),
    )
    metrics.register_gauge('caller_memory_bytes', lambda: memory.total_bytes)
    metrics.register_gauge(
        'caller_memory_limit_bytes', lambda: memory.max_bytes
    )
    return CallerResources(
        memory=memory,
        turns=ParserTurns(),
        max_connections=count_caller_connections(descriptors),
        max_new_peers=count_new_peers(descriptors),
        metrics=metrics,
        decisions=decisions,
    )


def count_descriptors(max_descriptors: int) -> int:
    """Return how many descriptors the settings and the system both allow."""
    system_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if system_limit == resource.RLIM_INFINITY:
        return max_descriptors
    return min(max_descriptors, system_limit)


def count_caller_connections(max_descriptors: int) -> int:
    """Return how many connections callers may have."""
    reserved = max(
        MIN_RESERVED_DESCRIPTORS,
        int(max_descriptors * RESERVED_DESCRIPTOR_SHARE),
    )
    free = max_descriptors - reserved - OTHER_LISTENERS * OTHER_CONNECTIONS
    return min(http.DEFAULT_MAX_CONNECTIONS, max(MIN_CALLER_CONNECTIONS, free))


def count_new_peers(max_descriptors: int) -> int:
    """Return how many connections of peers may be open without a frame.

    These are half of what callers, probes and metrics leave, since targets, the
    store and known peers need descriptors as well.
    """
    others = (OTHER_LISTENERS - 1) * OTHER_CONNECTIONS
    free = max_descriptors - count_caller_connections(max_descriptors) - others
    return max(OTHER_CONNECTIONS, free // 2)
