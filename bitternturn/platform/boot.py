"""The settings file that the platform writes for each process."""

from pathlib import Path

import msgspec

from bitternturn.core.decoding import DECODE_ERRORS
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import FailureDomain
from bitternturn.gateway.models import Address, GlobalLimits, InstanceSettings
from bitternturn.platform.names import MS_PER_SECOND

STEP_LOAD = 'load settings'
# The port that deploy/system.toml names; used when the file names none.
METRICS_PORT = 9464


class WireBounds(msgspec.Struct, rename='kebab', frozen=True):
    """Figures of the rules, as far as they are used."""

    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 0
    # Factor over a cold target's stated rate that it still bears.
    cold_overload_factor: float = 1
    cold_slack: float = 0
    # Time from SIGTERM to SIGKILL.
    grace_s: float = 6


class WirePlatform(msgspec.Struct, rename='kebab'):
    """Where the store is."""

    address: str


class WireMachine(msgspec.Struct, rename='kebab', frozen=True):
    """What the process may use."""

    # Share of each core, so that the product is the processor's capacity.
    cpu_share: float = 1
    cores: float = 1
    link_mbps: float = 1000


class WireListen(msgspec.Struct, rename='kebab'):
    """Where the process listens: callers, probes, peers, metrics."""

    front: str
    ready: str
    control: str | None = None
    # Not written by the platform; for processes that share a host.
    metrics: str | None = None


class WireSettings(msgspec.Struct, rename='kebab'):
    """The fields of the file that are used; others are ignored."""

    node_name: str
    zone: str
    # Regions by failure domain.
    zones: dict[str, str]
    listen: WireListen
    platform: WirePlatform
    bounds: WireBounds = WireBounds()
    limits: WireMachine = WireMachine()
    seed_nodes: list[str] = []
    # True only while the whole system starts for the first time.
    bootstrap: bool = False


def load_settings(path: Path) -> InstanceSettings:
    """Return the settings in a file; raises BitternturnError."""
    try:
        return decode_settings(path.read_bytes())
    except OSError as error:
        raise _invalid(str(error)) from error


def decode_settings(text: bytes) -> InstanceSettings:
    """Return the settings in a text; raises BitternturnError.

    The error names the path of the field that is missing or wrong.
    """
    try:
        fields = msgspec.json.decode(text, type=WireSettings)
    except DECODE_ERRORS as error:
        raise _invalid(str(error)) from error
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
            else Address(host=callers.host, port=METRICS_PORT)
        ),
        readiness=read_address(fields.listen.ready),
        peers=read_address(control) if control else None,
        cores=fields.limits.cpu_share * fields.limits.cores,
        link_mbps=fields.limits.link_mbps,
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
        first_start=fields.bootstrap,
    )


def read_address(text: str) -> Address:
    """Return the host and port of an address; raises BitternturnError."""
    host, _, port = text.rpartition(':')
    if not host or not (port.isascii() and port.isdigit()):
        raise _invalid(f'{text!r} is not an address')
    return Address(host=host, port=int(port))


def seconds(milliseconds: float) -> float:
    """Return milliseconds as seconds."""
    return milliseconds / MS_PER_SECOND


def _invalid(message: str) -> BitternturnError:
    """Return the error of a file that can't be used."""
    return BitternturnError(
        message,
        code=ErrorCode.INVALID_SETTINGS,
        step=STEP_LOAD,
    )
