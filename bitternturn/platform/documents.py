"""Decoders for the documents that operators and targets write to the store."""

from collections.abc import Collection
from enum import Enum, unique
from typing import Any, Final

import msgspec

from bitternturn.core.const import UINT64_MAX
from bitternturn.core.decoding import DECODE_ERRORS
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import (
    FailureDomain,
    RouteName,
    ServiceName,
    TargetId,
    Version,
)
from bitternturn.gateway.models import (
    CallerLimits,
    Configuration,
    RepeatPolicy,
    Route,
    Service,
    TargetEntry,
    TargetState,
    WeightedService,
)
from bitternturn.platform.settings_file import ms_to_seconds, read_address
from bitternturn.platform.tenant_documents import (
    STEP_DECODE,
    WireTenant,
    decode_tenants,
)


@unique
class WireRouteType(Enum):
    """Whether requests of a route may be repeated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'


class WireWeightedService(msgspec.Struct, rename='kebab'):
    """One service of a traffic split."""

    service: str
    weight: float


class WireRoute(msgspec.Struct, rename='kebab'):
    """One route."""

    name: str
    hostname: str
    path_prefix: str
    type: WireRouteType
    timeout_ms: float
    target_latency_ms: float = 0
    attempts: int = 1
    priority: int = 0
    service: str | None = None
    traffic_split: list[WireWeightedService] = []
    # One service per shard; a request goes to all of them.
    gather: list[str] = []
    # Maximum number of records in an answer, not of bytes.
    top_k: int = 0
    # Fraction of the shards that must answer, from 0 to 1.
    min_coverage: float = 1
    # Whether callers need no API key.
    public: bool = False


class WireService(msgspec.Struct, rename='kebab'):
    """One service."""

    name: str
    max_conns: int = 1
    health_path: str = '/'
    cold_per_s: float = 0


class WireCallerLimits(msgspec.Struct, rename='kebab'):
    """Limits for connections and requests of callers."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class WireConfiguration(msgspec.Struct, rename='kebab'):
    """One version of the configuration."""

    version: int
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireCallerLimits | None = None
    # An empty list means that no key is valid.
    tenants: list[WireTenant] | msgspec.UnsetType = msgspec.UNSET


@unique
class WireTargetState(Enum):
    """State of a target as it reports it."""

    READY = 'ready'
    DRAINING = 'draining'


class WireTarget(msgspec.Struct, rename='kebab'):
    """Object that one target writes."""

    service: str
    address: str
    # Failure domain of the target.
    zone: str
    # Software version of the target.
    version: str
    max_concurrency: int
    state: WireTargetState
    # Remaining time of the target's cold start.
    cold_left_ms: float
    # Sequence number of this write by the target.
    seq: int
    # Start time of the target, in Unix milliseconds.
    born: int = 0


# Longest remaining time of a cold start that is believed, in milliseconds.
MAX_COLD_MS: Final = 3_600_000
UNREADABLE_ERRORS = (*DECODE_ERRORS, BitternturnError)


REPEAT_POLICIES = {
    WireRouteType.IDEMPOTENT: RepeatPolicy.IDEMPOTENT,
    WireRouteType.NON_IDEMPOTENT: RepeatPolicy.AT_MOST_ONCE,
}
TARGET_STATES = {
    WireTargetState.READY: TargetState.READY,
    WireTargetState.DRAINING: TargetState.DRAINING,
}


def decode_configuration(spec: Any) -> Configuration:
    """Decode a version of the configuration; raises BitternturnError."""
    try:
        fields = msgspec.convert(spec, WireConfiguration)
    except DECODE_ERRORS as error:
        raise BitternturnError(
            str(error),
            code=ErrorCode.INVALID_CONFIGURATION,
            step=STEP_DECODE,
        ) from error
    limits = fields.limits
    return Configuration(
        version=Version(fields.version),
        routes=tuple(_decode_route(route) for route in fields.routes),
        services={
            ServiceName(service.name): Service(
                name=ServiceName(service.name),
                max_connections=service.max_conns,
                health_path=service.health_path,
                cold_rate_per_s=service.cold_per_s,
            )
            for service in fields.services
        },
        limits=CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_s=ms_to_seconds(limits.header_timeout_ms),
            idle_timeout_s=ms_to_seconds(limits.idle_timeout_ms),
        )
        if limits
        else None,
        tenants=None
        if fields.tenants is msgspec.UNSET
        else decode_tenants(fields.tenants),
    )


def decode_target(
    name: str,
    spec: Any,
    domains: Collection[FailureDomain],
) -> TargetEntry | None:
    """Decode the entry of a target; return None if it is unusable.

    The store does not validate entries: any field may be missing, of another
    type or out of range.
    """
    try:
        fields = msgspec.convert(spec, WireTarget)
        address = read_address(fields.address)
    except UNREADABLE_ERRORS:
        return None
    if not fields.service or fields.zone not in domains:
        return None
    if not address.port or fields.max_concurrency < 1:
        return None
    if not 0 <= fields.born <= UINT64_MAX:
        return None
    if not 0 <= fields.cold_left_ms <= MAX_COLD_MS:
        return None
    return TargetEntry(
        id=TargetId(name),
        started_at_ms=fields.born,
        service=ServiceName(fields.service),
        host=address.host,
        port=address.port,
        failure_domain=FailureDomain(fields.zone),
        slots=fields.max_concurrency,
        state=TARGET_STATES[fields.state],
        cold_remaining_s=ms_to_seconds(fields.cold_left_ms),
        version=fields.version,
    )


def _decode_route(fields: WireRoute) -> Route:
    """Convert one route."""
    split = [
        WeightedService(
            service=ServiceName(share.service),
            weight=share.weight,
        )
        for share in fields.traffic_split
    ]
    if fields.service is not None:
        split = [
            WeightedService(service=ServiceName(fields.service), weight=1),
        ]
    return Route(
        name=RouteName(fields.name),
        host=fields.hostname,
        prefix=fields.path_prefix,
        repeat_policy=REPEAT_POLICIES[fields.type],
        timeout_s=ms_to_seconds(fields.timeout_ms),
        latency_objective_s=ms_to_seconds(
            fields.target_latency_ms or fields.timeout_ms
        ),
        max_targets=max(1, fields.attempts),
        priority=fields.priority,
        services=tuple(split),
        shards=tuple(ServiceName(name) for name in fields.gather),
        max_records=fields.top_k,
        min_coverage=fields.min_coverage,
        public=fields.public,
    )
