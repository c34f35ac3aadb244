"""Faults and limits of the emulated object API."""

from dataclasses import dataclass
from enum import Enum, unique


@unique
class Outage(Enum):
    """Outage of the whole object API."""

    NONE = 'none'
    # Calls are answered with 503.
    REFUSING = 'refusing'
    # Calls are accepted but never answered.
    SILENT = 'silent'


@dataclass(kw_only=True, slots=True)
class ObjectFaults:
    """Faults that the object API currently injects."""

    outage: Outage = Outage.NONE
    # The instance list is still served during an outage.
    instance_list_available: bool = False
    # Added to each call, one half before its effect and one half after it.
    latency_s: float = 0
    # Number of writes that will be committed but whose connection is closed
    # instead of an answer.
    lost_answers: int = 0
    # Watches stay open but send nothing, not even heartbeats.
    silent_watches: bool = False


@dataclass(kw_only=True, frozen=True, slots=True)
class ObjectLimits:
    """Limits of the object API; rates are in calls per second."""

    write_rate_per_s: float = 800
    read_rate_per_s: float = 2000
    # Burst of each budget, in seconds of its rate.
    burst_s: float = 1
    value_bytes: int = 1024 * 1024
    heartbeat_s: float = 5
    # Number of latest commits within which a watch can start.
    watch_log_commits: int = 100_000
