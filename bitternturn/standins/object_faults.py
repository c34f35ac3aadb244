"""Faults and budgets of the object API's stand-in."""

from dataclasses import dataclass
from enum import Enum, unique


@unique
class Outage(Enum):
    """How the store fails as a whole."""

    NONE = 'none'
    # Answers 503.
    REFUSING = 'refusing'
    # Takes requests and never answers.
    SILENT = 'silent'


@dataclass(kw_only=True, slots=True)
class ObjectFaults:
    """What is wrong with the store at present."""

    outage: Outage = Outage.NONE
    # The instance list answers also in an outage.
    list_stays: bool = False
    # Added to each call, half of it before the effect.
    latency_s: float = 0
    # Writes to come that take effect while their connection closes.
    lost_answers: int = 0
    # Watches stay open and bring no more lines.
    silent_watches: bool = False


@dataclass(kw_only=True, frozen=True, slots=True)
class ObjectLimits:
    """What the store allows; rates are calls per second."""

    write_rate: float = 800
    read_rate: float = 2000
    burst_s: float = 1
    value_bytes: int = 1024 * 1024
    heartbeat_s: float = 5
    # Commits that a watch can still start from.
    watch_log: int = 100_000
