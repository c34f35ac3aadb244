"""Decision when to hedge a part and when to answer with the parts received.

Guards against tail latency: nearly every request with twenty parts has at least
one part at a target that pauses.
"""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

# Round trip between a distant caller and the instance, with a margin; used if the
# round trip is not known.
CALLER_ROUND_TRIP_S: Final = 0.008
# Added to a measured round trip, which a busy host or a full link exceeds. The
# larger margin is used up to the time that is assumed without a measurement: a
# late answer costs more than the parts that arrive within some milliseconds.
ROUND_TRIP_MARGIN_S: Final = 0.002
MAX_ROUND_TRIP_MARGIN_S: Final = 0.004
# Longest measured round trip that is believed: the first packets of a connection
# may have been sent again.
MAX_ROUND_TRIP_S: Final = 0.05
# Processor time on one core to read a request and write its answer.
HANDLING_CPU_S: Final = 0.001
# Bytes of an answer per part: a signature and its share of the records.
ANSWER_BYTES_PER_PART: Final = 45
BITS_PER_BYTE: Final = 8
BITS_PER_MEGABIT: Final = 1_000_000
# Extra time of the first request on a connection, for opening it.
CONNECTION_SETUP_S: Final = 0.006
# Weights of a delay above and below the moving average of the answer delay, and
# the initial value of the average.
DELAY_INCREASE_WEIGHT: Final = 0.2
DELAY_DECREASE_WEIGHT: Final = 0.03
INITIAL_DELAY_S: Final = 0.004
# Multiple of the median latency after which a part counts as late. Unlike the
# mean, the median is stable while a minority of the targets is slow.
HEDGE_DELAY_FACTOR: Final = 2.0
# Step of the median estimate, as a share of its value.
MEDIAN_STEP: Final = 0.02
# Minimum and maximum hedge delay, the maximum as a share of the latency
# objective of the route.
MIN_HEDGE_DELAY_S: Final = 0.008
MAX_HEDGE_DELAY_SHARE: Final = 0.4
# Initial mean latency, as a share of the latency objective.
INITIAL_LATENCY_SHARE: Final = 0.15
# Weight of one latency in the moving mean.
MEAN_WEIGHT: Final = 0.03


class LatencyEstimate:
    """Moving mean and median latency of the parts of one route."""

    __slots__ = ('aim_s', 'mean_s', 'median_s')

    def __init__(self, *, aim_s: float) -> None:
        """Initialise the estimates from the latency objective of the route."""
        self.aim_s = aim_s
        self.mean_s = aim_s * INITIAL_LATENCY_SHARE
        self.median_s = self.mean_s

    def record(self, latency_s: float) -> None:
        """Record the latency of one part, in seconds."""
        # Limits the effect of a single outlier on the mean.
        bounded_s = min(latency_s, self.mean_s * 8)
        self.mean_s += (bounded_s - self.mean_s) * MEAN_WEIGHT
        step = MEDIAN_STEP if latency_s > self.median_s else -MEDIAN_STEP
        self.median_s *= 1 + step

    def hedge_delay_s(self) -> float:
        """Return the age of a send after which it is hedged, in seconds."""
        max_delay_s = max(MIN_HEDGE_DELAY_S, self.aim_s * MAX_HEDGE_DELAY_SHARE)
        return min(
            max_delay_s,
            max(MIN_HEDGE_DELAY_S, self.median_s * HEDGE_DELAY_FACTOR),
        )


class AnswerDelay:
    """Moving average of the time from a decision to the written answer.

    Guards against late answers of a busy instance: its timers fire late and
    merging takes longer, so it has to decide earlier.
    """

    __slots__ = ('delay_s', 'handling_s', 'per_part_s')

    def __init__(self, *, cores: float, link_mbps: float) -> None:
        """Initialise from the capacity of the instance and its network link."""
        self.delay_s = INITIAL_DELAY_S
        self.handling_s = HANDLING_CPU_S / cores
        self.per_part_s = (
            ANSWER_BYTES_PER_PART
            * BITS_PER_BYTE
            / (link_mbps * BITS_PER_MEGABIT)
        )

    def record(self, delay_s: float) -> None:
        """Record the delay of one answer, in seconds."""
        weight = (
            DELAY_INCREASE_WEIGHT
            if delay_s > self.delay_s
            else DELAY_DECREASE_WEIGHT
        )
        self.delay_s += (delay_s - self.delay_s) * weight

    def reserve_s(
        self, *, first: bool, parts: int, round_trip_s: float | None = None
    ) -> float:
        """Return the time to reserve between decision and latency objective.

        `first` is true for the first request on a connection, whose caller
        has also waited for the connection to open: for one round trip.
        `round_trip_s` is None if it is not known.
        """
        path_s, setup_s = CALLER_ROUND_TRIP_S, CONNECTION_SETUP_S
        if round_trip_s is not None:
            way_s = min(round_trip_s, MAX_ROUND_TRIP_S)
            path_s = max(
                way_s + ROUND_TRIP_MARGIN_S,
                min(way_s + MAX_ROUND_TRIP_MARGIN_S, CALLER_ROUND_TRIP_S),
            )
            setup_s = min(setup_s, way_s + ROUND_TRIP_MARGIN_S)
        instance_s = self.instance_reserve_s(parts=parts)
        return path_s + (setup_s if first else 0) + instance_s

    def instance_reserve_s(self, *, parts: int) -> float:
        """Return the time to reserve for the instance and its network link."""
        return self.delay_s + self.handling_s + parts * self.per_part_s


@unique
class Verdict(Enum):
    """Next step of a request."""

    WAIT = 'wait'
    ANSWER = 'answer'
    GIVE_UP = 'give_up'


@dataclass(kw_only=True, slots=True)
class Progress:
    """Progress of a request, as numbers of parts."""

    total: int
    answered: int
    # Parts whose answers may still arrive.
    pending: int
    # Minimum number of parts for an answer.
    min_parts: int


def evaluate_progress(
    progress: Progress,
    *,
    now: float,
    soft_deadline: float,
    deadline: float,
) -> Verdict:
    """Decide whether to answer with the parts received so far.

    Until `soft_deadline` the request waits for all parts; from then on the
    minimum number of parts is sufficient. A request that can no longer reach
    the minimum is given up at once.
    """
    if not progress.pending or now >= deadline:
        enough = progress.answered >= progress.min_parts
        return Verdict.ANSWER if enough else Verdict.GIVE_UP
    if progress.answered + progress.pending < progress.min_parts:
        return Verdict.GIVE_UP
    if progress.answered >= progress.min_parts and now >= soft_deadline:
        return Verdict.ANSWER
    return Verdict.WAIT
