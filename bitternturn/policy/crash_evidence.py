"""Decides which requests crash the targets that run them.

Guards against a request that ends every target to which it is sent, and that
callers repeat at any instance until no target is left.

A target may end for many reasons, and a popular request is under way at most
ends. So what counts is what tells the two apart:

- A request that crashes its targets is never answered. An answer of a service
  clears a request of all earlier ends in that service.
- Ends at the same time may have one cause, such as the loss of a failure domain,
  so that the ends have to be spread over several occasions.
- A request that shares all of its ends with one that was present at more of
  them was only a bystander.

All instances come to the same decision from the same evidence, in whatever order
it arrives.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from bitternturn.core.ids import RequestKey, ServiceName, TargetId
from bitternturn.policy.rendezvous import hash_share

# Ends of targets, and occasions, after which a request is suspected.
MIN_ENDS: Final = 3
MIN_OCCASIONS: Final = 2
# Ends of targets after which a request is sent to one target at a time.
MIN_DOUBTED_ENDS: Final = 2
# Time after the first end of an occasion within which ends belong to it.
OCCASION_S: Final = 0.5
# Time since the last end for which a request is refused. After it the request
# is tried again, and one more end is enough to refuse it again.
REFUSAL_S: Final = 600.0
# Time since the last end after which the evidence against a request is forgotten.
EVIDENCE_MEMORY_S: Final = 86_400.0
# The same for a request of which all ends are cleared, so that late reports of
# these do not count.
CLEARED_MEMORY_S: Final = 60.0

# Time for which other attempts of a request wait for the result of a probe.
PROBE_S: Final = 0.4
# Distance of two probes, beyond errors of the age that a peer states.
MIN_PROBE_DISTANCE_S: Final = 0.05
# Instances begin probes one after the other, by their rank for the request, so
# that those behind hear of the first one. Time between two, and ranks.
PROBE_STAGGER_S: Final = 0.02
MAX_PROBE_RANK: Final = 5
# Ends of one request that are kept: so many of each occasion, so that those of
# one over many shards do not displace earlier occasions, and the newest ones.
MAX_ENDS_PER_OCCASION: Final = 16
MAX_ENDS: Final = 64

# Id and start, in Unix milliseconds, of one life of a target.
EndedLife = tuple[TargetId, int]


@dataclass(kw_only=True, frozen=True, slots=True)
class TargetEnd:
    """End of one life of a target, with a request under way."""

    life: EndedLife
    service: ServiceName
    # When a request was lost there, on the clock of this instance.
    at: float


class CrashEvidence:
    """What is known of one request: ends of targets, and answers."""

    __slots__ = ('answers', 'ends', 'probed_at')

    def __init__(self) -> None:
        """Initialise without evidence."""
        self.ends: dict[EndedLife, TargetEnd] = {}
        # Last answer of each service.
        self.answers: dict[ServiceName, float] = {}
        # When an instance has last begun to try it at one target.
        self.probed_at = -math.inf

    @property
    def updated_at(self) -> float:
        """Time of the last end or answer."""
        ended_at = (end.at for end in self.ends.values())
        return max((*ended_at, *self.answers.values()), default=0)

    def is_outdated(self, now: float) -> bool:
        """Return whether the evidence may be forgotten."""
        memory_s = EVIDENCE_MEMORY_S if self.ends else CLEARED_MEMORY_S
        return now - self.updated_at > memory_s

    def probe_ends_at(self) -> float:
        """Return until when the result of the last probe may be awaited."""
        results = (
            *(end.at for end in self.ends.values()),
            *self.answers.values(),
        )
        if any(at > self.probed_at for at in results):
            return -math.inf
        return self.probed_at + PROBE_S

    def add_probe(self, at: float) -> bool:
        """Add the start of a probe; return whether it is a new one."""
        is_new = at > self.probed_at + MIN_PROBE_DISTANCE_S
        if is_new:
            self.probed_at = at
        return is_new

    @property
    def doubted_services(self) -> frozenset[ServiceName]:
        """Services of which one target is tried before any other one.

        All parts of a request would otherwise end their targets at once, before
        there is evidence of a second occasion. None once any service has
        answered since: at most one shard ends its targets then.
        """
        if len(self.ends) < MIN_DOUBTED_ENDS:
            return frozenset()
        last_end_at = max(end.at for end in self.ends.values())
        if any(at > last_end_at for at in self.answers.values()):
            return frozenset()
        return frozenset(end.service for end in self.ends.values())

    def add_end(self, end: TargetEnd) -> bool:
        """Add an end unless it is known or cleared; return whether it counts."""
        if end.life in self.ends or self._is_cleared(end):
            return False
        close_count = sum(
            abs(known.at - end.at) < OCCASION_S for known in self.ends.values()
        )
        if close_count >= MAX_ENDS_PER_OCCASION:
            return False
        if len(self.ends) >= MAX_ENDS:
            oldest = min(self.ends.values(), key=_get_time)
            if end.at <= oldest.at:
                return False
            del self.ends[oldest.life]
        self.ends[end.life] = end
        return True

    def add_answer(self, service: ServiceName, at: float) -> bool:
        """Add an answer; return whether it clears an end or lifts the doubt."""
        known_at = self.answers.get(service)
        if known_at is not None and at <= known_at:
            return False
        doubted = bool(self.doubted_services)
        self.answers[service] = at
        cleared = [
            life for life, end in self.ends.items() if self._is_cleared(end)
        ]
        for life in cleared:
            del self.ends[life]
        return bool(cleared) or (doubted and not self.doubted_services)

    def _is_cleared(self, end: TargetEnd) -> bool:
        """Return whether a later answer of the service contradicts an end."""
        answered_at = self.answers.get(end.service)
        return answered_at is not None and end.at <= answered_at


def _get_time(end: TargetEnd) -> float:
    """Return the time of an end."""
    return end.at


def find_crashing(
    evidence: Mapping[RequestKey, CrashEvidence],
) -> dict[RequestKey, float]:
    """Return the requests that crash targets, and when each was last seen to."""
    by_life: dict[EndedLife, list[CrashEvidence]] = {}
    for known in evidence.values():
        for life in known.ends:
            by_life.setdefault(life, []).append(known)
    return {
        key: max(end.at for end in known.ends.values())
        for key, known in evidence.items()
        if _is_conclusive(known.ends.values())
        and not _is_bystander(known, by_life)
    }


def probe_delay_s(
    key: RequestKey, own_name: str, names: Iterable[str]
) -> float:
    """Return the time after which an instance may begin a probe.

    `names` are those of all instances.
    """
    own_share = hash_share(key, own_name)
    rank = sum(hash_share(key, name) > own_share for name in names)
    return min(rank, MAX_PROBE_RANK) * PROBE_STAGGER_S


def is_refused(crashed_at: float, now: float) -> bool:
    """Return whether a request is refused that crashed a target at a time."""
    return now < crashed_at + REFUSAL_S


def _is_conclusive(ends: Collection[TargetEnd]) -> bool:
    """Return whether there are enough ends on enough occasions."""
    if len(ends) < MIN_ENDS:
        return False
    return _count_occasions(end.at for end in ends) >= MIN_OCCASIONS


def _count_occasions(times: Iterable[float]) -> int:
    """Return the number of occasions that some times belong to."""
    count = 0
    began_at = float('-inf')
    for at in sorted(times):
        if at - began_at >= OCCASION_S:
            count += 1
            began_at = at
    return count


def _is_bystander(
    known: CrashEvidence,
    by_life: Mapping[EndedLife, Collection[CrashEvidence]],
) -> bool:
    """Return whether another request explains each of the ends better."""
    return all(
        any(len(other.ends) > len(known.ends) for other in by_life[life])
        for life in known.ends
    )
