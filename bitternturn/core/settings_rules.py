"""Defaults, ranges and consistency rules of the settings, by path."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Final

from bitternturn.core import const
from bitternturn.core.schema_validation import Problem

LISTENERS: Final = ('callers', 'peers', 'operators')

DEFAULTS: Final[Mapping[str, Any]] = {
    'instance.id': '',
    'instance.region': '',
    'instance.cluster': const.DEFAULT_CLUSTER,
    'listeners.advertised_peers.host': '',
    'listeners.advertised_peers.port': 0,
    'platform.call_timeout_ms': const.DEFAULT_CALL_TIMEOUT_MS,
    'platform.instance_list_interval_ms': (
        const.DEFAULT_INSTANCE_LIST_INTERVAL_MS
    ),
    'membership.probe_interval_ms': const.DEFAULT_PROBE_INTERVAL_MS,
    'membership.probe_timeout_ms': const.DEFAULT_PROBE_TIMEOUT_MS,
    'membership.suspicion_ms': const.DEFAULT_SUSPICION_MS,
    'membership.lease_ms': const.DEFAULT_LEASE_MS,
    'membership.clock_drift': const.DEFAULT_CLOCK_DRIFT,
    'limits.body_bytes': const.DEFAULT_BODY_BYTES,
    'limits.header_bytes': const.DEFAULT_HEADER_BYTES,
    'limits.header_timeout_ms': const.DEFAULT_HEADER_TIMEOUT_MS,
    'limits.callers_connections': const.DEFAULT_CALLERS_CONNECTIONS,
    'limits.queue_per_target': const.DEFAULT_QUEUE_PER_TARGET,
    'limits.drain_ms': const.DEFAULT_DRAIN_MS,
    'connections.max_age_ms': const.DEFAULT_CONNECTION_MAX_AGE_MS,
    'connections.max_idle_ms': const.DEFAULT_CONNECTION_MAX_IDLE_MS,
    'connections.check_after_idle_ms': const.DEFAULT_CHECK_AFTER_IDLE_MS,
    'log.level': const.DEFAULT_LOG_LEVEL,
    'log.format': const.DEFAULT_LOG_FORMAT,
    'timeline.enabled': const.DEFAULT_TIMELINE_ENABLED,
    'timeline.capacity': const.DEFAULT_TIMELINE_CAPACITY,
}

REQUIRED: Final = (
    'instance.failure_domain',
    *(f'listeners.{name}.host' for name in LISTENERS),
    *(f'listeners.{name}.port' for name in LISTENERS),
    'platform.objects.host',
    'platform.objects.port',
)


@dataclass(kw_only=True, frozen=True, slots=True)
class Range:
    """Inclusive range of allowed values."""

    minimum: float
    maximum: float


DURATION_RANGE_MS: Final = Range(minimum=1, maximum=const.MAX_DURATION_MS)
SIZE_RANGE_BYTES: Final = Range(minimum=1, maximum=const.MAX_BYTES)
COUNT_RANGE: Final = Range(minimum=1, maximum=const.MAX_COUNT)

RANGES: Final[Mapping[str, Range]] = {
    # Port 0 binds to any free port.
    **{
        f'listeners.{name}.port': Range(minimum=0, maximum=const.MAX_PORT)
        for name in LISTENERS
    },
    'listeners.advertised_peers.port': Range(minimum=0, maximum=const.MAX_PORT),
    'platform.objects.port': Range(minimum=1, maximum=const.MAX_PORT),
    'membership.clock_drift': Range(minimum=0, maximum=const.MAX_CLOCK_DRIFT),
    'limits.body_bytes': SIZE_RANGE_BYTES,
    'limits.header_bytes': SIZE_RANGE_BYTES,
    'limits.callers_connections': COUNT_RANGE,
    'limits.queue_per_target': COUNT_RANGE,
    'limits.drain_ms': Range(minimum=0, maximum=const.MAX_DURATION_MS),
    'timeline.capacity': Range(minimum=1, maximum=const.MAX_TIMELINE_CAPACITY),
    **{
        path: DURATION_RANGE_MS
        for path in DEFAULTS
        if path.endswith('_ms') and path != 'limits.drain_ms'
    },
}

CHOICES: Final[Mapping[str, tuple[str, ...]]] = {
    'log.level': const.LOG_LEVELS,
    'log.format': const.LOG_FORMATS,
}

# In each pair the first value must not exceed the second.
ORDERED_PAIRS: Final = (
    ('membership.probe_timeout_ms', 'membership.probe_interval_ms'),
    ('membership.probe_timeout_ms', 'membership.suspicion_ms'),
    ('connections.max_idle_ms', 'connections.max_age_ms'),
    ('connections.check_after_idle_ms', 'connections.max_idle_ms'),
)


def find_rule_problems(given: Mapping[str, Any]) -> list[Problem]:
    """Return values that are out of range or inconsistent."""
    return [
        *_find_empty_strings(given),
        *_find_out_of_range(given),
        *_find_bad_choices(given),
        *_find_exceeded_limits(given),
        *_find_short_lease(given),
        *_find_shared_addresses(given),
    ]


def _find_empty_strings(given: Mapping[str, Any]) -> Iterator[Problem]:
    """Yield required strings that are empty."""
    for path in (*REQUIRED, 'instance.cluster'):
        if given.get(path) == '':
            yield Problem(path=path, message='must not be empty')


def _find_out_of_range(given: Mapping[str, Any]) -> Iterator[Problem]:
    """Yield numbers outside their allowed range."""
    for path, limits in RANGES.items():
        if (
            path in given
            and not limits.minimum <= given[path] <= limits.maximum
        ):
            message = f'must be from {limits.minimum:g} to {limits.maximum:g}'
            yield Problem(path=path, message=message)


def _find_bad_choices(given: Mapping[str, Any]) -> Iterator[Problem]:
    """Yield strings that are not among the allowed choices."""
    for path, choices in CHOICES.items():
        if path in given and given[path] not in choices:
            message = f'must be one of {", ".join(choices)}'
            yield Problem(path=path, message=message)


def _find_exceeded_limits(given: Mapping[str, Any]) -> Iterator[Problem]:
    """Yield values that exceed the setting that limits them."""
    for lower, upper in ORDERED_PAIRS:
        both_given = lower in given and upper in given
        if both_given and given[lower] > given[upper]:
            message = f'must not exceed {upper} ({given[upper]})'
            yield Problem(path=lower, message=message)


def _find_short_lease(given: Mapping[str, Any]) -> Iterator[Problem]:
    """Yield a lease too short to survive one lost probe."""
    path = 'membership.lease_ms'
    interval = given.get('membership.probe_interval_ms', 0)
    minimum = interval * const.MIN_PROBES_PER_LEASE
    if path in given and given[path] < minimum:
        yield Problem(path=path, message=f'must be at least {minimum}')


def _find_shared_addresses(given: Mapping[str, Any]) -> Iterator[Problem]:
    """Yield listeners that share an address with an earlier one."""
    seen: dict[tuple[str, int], str] = {}
    for name in LISTENERS:
        path = f'listeners.{name}.port'
        port = given.get(path)
        if port:
            address = (given.get(f'listeners.{name}.host', ''), port)
            first = seen.setdefault(address, name)
            if first != name:
                message = f'same address as listeners.{first}'
                yield Problem(path=path, message=message)
