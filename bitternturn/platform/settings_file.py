"""The settings file that the platform writes for each process."""

import math
from pathlib import Path

import msgspec

from bitternturn.core.decoding import DECODE_ERRORS, parse_unsigned
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import FailureDomain
from bitternturn.gateway.models import (
    DEFAULT_MAX_DESCRIPTORS,
    DEFAULT_MEMORY_MB,
    Address,
    ChangeBounds,
    GlobalLimits,
    InstanceSettings,
    RolloutBounds,
)
from bitternturn.platform.wire_names import MS_PER_SECOND
from bitternturn.policy.quota import QuotaBound

STEP_LOAD = 'load settings'
# Contract of deployments that order roll-outs of versions.
CONTRACT_ROLLOUT = 'rollout'
# Must match deploy/system.toml; used when the settings file names no address.
DEFAULT_METRICS_PORT = 9464
MAX_PORT = 65_535


class WireFleetLimits(msgspec.Struct, rename='kebab', frozen=True):
    """Bounds that the platform sets for the whole fleet; only those in use."""

    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 0
    # Multiple of its stated rate that a cold target tolerates.
    cold_overload_factor: float = 1
    cold_slack: float = 0
    # Time between SIGTERM and SIGKILL.
    grace_s: float = 6
    # Time after a disturbance from which on the bounds below hold again.
    stability_window_ms: float = 4000
    config_propagation_ms: float = 3000
    # Time until a failure domain that is out of service gets nothing more.
    evacuate_ms: float = 5000
    # Time until a draining target gets nothing more.
    drain_ms: float = 3000
    # Window in which the requests of a tenant are bounded; without it, there are
    # no quotas. What a window may hold above the nominal quota.
    quota_window_s: float | None = None
    quota_excess: float = 0.1
    quota_slack: float = 20
    # Requests of a version under test: share × all requests + slack.
    canary_share: float = 0.1
    canary_slack: float = 50
    # Time from the last tolerated failure until a version gets no request.
    rollback_ms: float = 5000


class WirePlatform(msgspec.Struct, rename='kebab'):
    """Address of the store."""

    address: str


class WireResources(msgspec.Struct, rename='kebab', frozen=True):
    """Resources that the process may use."""

    # Share of each core: CPU capacity is `cpu_share * cores`.
    cpu_share: float = 1
    cores: float = 1
    link_mbps: float = 1000
    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_DESCRIPTORS


class WireListeners(msgspec.Struct, rename='kebab'):
    """Listen addresses for callers, readiness probes, peers and metrics."""

    front: str
    ready: str
    control: str | None = None
    # Not written by the platform; needed by processes that share a host.
    metrics: str | None = None


class WireSettings(msgspec.Struct, rename='kebab'):
    """Settings file of one instance; unknown fields are ignored."""

    # Name of this instance.
    node_name: str
    # Failure domain of this instance.
    zone: str
    # Region of each failure domain.
    zones: dict[str, str]
    listen: WireListeners
    platform: WirePlatform
    bounds: WireFleetLimits = WireFleetLimits()
    limits: WireResources = WireResources()
    seed_nodes: list[str] = []
    # True only for the first start of the whole system.
    bootstrap: bool = False
    # Optional functions that the deployment uses.
    contracts: list[str] = []


def load_settings(path: Path) -> InstanceSettings:
    """Load a settings file; raises BitternturnError."""
    try:
        return decode_settings(path.read_bytes())
    except OSError as error:
        raise _invalid_settings(str(error)) from error


def decode_settings(text: bytes) -> InstanceSettings:
    """Decode the content of a settings file; raises BitternturnError.

    The error names the path of the missing or invalid field.
    """
    try:
        fields = msgspec.json.decode(text, type=WireSettings)
    except DECODE_ERRORS as error:
        raise _invalid_settings(str(error)) from error
    control = fields.listen.control
    metrics = fields.listen.metrics
    callers = read_address(fields.listen.front)
    return InstanceSettings(
        name=fields.node_name,
        failure_domain=FailureDomain(fields.zone),
        failure_domains=tuple(FailureDomain(name) for name in fields.zones),
        callers=callers,
        metrics=(
            read_address(metrics)
            if metrics
            else Address(host=callers.host, port=DEFAULT_METRICS_PORT)
        ),
        readiness=read_address(fields.listen.ready),
        peers=read_address(control) if control else None,
        cores=fields.limits.cpu_share * fields.limits.cores,
        link_mbps=fields.limits.link_mbps,
        memory_mb=fields.limits.memory_mb,
        max_descriptors=fields.limits.max_fds,
        seeds=tuple(read_address(seed) for seed in fields.seed_nodes),
        store=read_address(fields.platform.address),
        global_limits=GlobalLimits(
            retry_ratio=fields.bounds.retry_ratio,
            retry_window_s=fields.bounds.retry_window_s,
            retry_slack=fields.bounds.retry_slack,
            cold_rate_factor=fields.bounds.cold_overload_factor,
            cold_rate_slack=fields.bounds.cold_slack,
            shutdown_grace_s=fields.bounds.grace_s,
        ),
        change_bounds=ChangeBounds(
            stability_window_s=ms_to_seconds(fields.bounds.stability_window_ms),
            configuration_s=ms_to_seconds(fields.bounds.config_propagation_ms),
            domain_out_s=ms_to_seconds(fields.bounds.evacuate_ms),
            drain_s=ms_to_seconds(fields.bounds.drain_ms),
        ),
        rollout_bounds=RolloutBounds(
            enabled=CONTRACT_ROLLOUT in fields.contracts,
            canary_share=fields.bounds.canary_share,
            canary_slack=fields.bounds.canary_slack,
            rollback_s=ms_to_seconds(fields.bounds.rollback_ms),
        ),
        first_start=fields.bootstrap,
        quota_bound=_decode_quota_bound(fields.bounds),
    )


def _decode_quota_bound(bounds: WireFleetLimits) -> QuotaBound | None:
    """Convert the bound of quotas, if there is one; raises BitternturnError."""
    if bounds.quota_window_s is None:
        return None
    valid = (
        0 < bounds.quota_window_s < math.inf
        and 0 <= bounds.quota_excess < math.inf
        and 0 <= bounds.quota_slack < math.inf
    )
    if not valid:
        raise _invalid_settings('$.bounds: quota out of range')
    return QuotaBound(
        window_s=bounds.quota_window_s,
        excess=bounds.quota_excess,
        slack=bounds.quota_slack,
    )


def read_address(text: str) -> Address:
    """Parse an address `host:port`; raises BitternturnError."""
    host, _, digits = text.rpartition(':')
    port = parse_unsigned(digits)
    if not host or port is None or port > MAX_PORT:
        raise _invalid_settings(f'{text!r} is not an address host:port')
    return Address(host=host, port=port)


def ms_to_seconds(milliseconds: float) -> float:
    """Convert milliseconds to seconds."""
    return milliseconds / MS_PER_SECOND


def _invalid_settings(message: str) -> BitternturnError:
    """Return the error for an unusable settings file."""
    return BitternturnError(
        message,
        code=ErrorCode.INVALID_SETTINGS,
        step=STEP_LOAD,
    )
