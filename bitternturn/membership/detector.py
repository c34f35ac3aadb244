"""Failure detection: chooses members to probe and reports dead ones."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from bitternturn.core.ids import Incarnation
from bitternturn.membership.const import (
    ISOLATED_SUSPECT_SHARE,
    MAX_SUSPECT_PROBES,
)
from bitternturn.membership.models import MembershipTimes


@dataclass(kw_only=True)
class Suspicion:
    """Times of a member that did not answer a probe."""

    suspected_at: float
    probed_at: float


class FailureDetector:
    """Schedules probes in random order and tracks suspected members."""

    def __init__(
        self, *, me: Incarnation, times: MembershipTimes, rng: random.Random
    ) -> None:
        """Initialise without members."""
        self.me = me
        self.times = times
        self.rng = rng
        self.members: set[Incarnation] = set()
        self.probe_queue: list[Incarnation] = []
        self.suspicions: dict[Incarnation, Suspicion] = {}

    def set_members(self, incarnations: Iterable[Incarnation]) -> None:
        """Update the members; keep the suspicions of those that remain."""
        self.members = {key for key in incarnations if key != self.me}
        for key in self.suspicions.keys() - self.members:
            self.suspicions.pop(key)

    def next_probe(self, now: float) -> Incarnation | None:
        """Return the next member to probe: each once per shuffled round."""
        while self.members:
            if not self.probe_queue:
                self.probe_queue = sorted(self.members)
                self.rng.shuffle(self.probe_queue)
            chosen = self.probe_queue.pop()
            if chosen in self.members:
                return chosen
        return None

    def due_suspects(self, now: float) -> list[Incarnation]:
        """Return the suspects that are due for another probe."""
        due = [
            key
            for key, suspicion in self.suspicions.items()
            if now - suspicion.probed_at >= self.times.probe_interval_s
        ]
        # If all members probed all suspects, the load would keep a slow fleet
        # slow; so the number per round is limited.
        due.sort(key=lambda key: self.suspicions[key].probed_at)
        due = due[:MAX_SUSPECT_PROBES]
        for key in due:
            self.suspicions[key].probed_at = now
        return due

    def pick_relays(
        self, suspect: Incarnation, count: int
    ) -> list[Incarnation]:
        """Return a random sample of members for indirect probes."""
        others = sorted(
            key
            for key in self.members
            if key != suspect and key not in self.suspicions
        )
        return self.rng.sample(others, min(count, len(others)))

    def record_alive(self, member: Incarnation) -> None:
        """Clear the suspicion of a member that has been heard from."""
        self.suspicions.pop(member, None)

    def record_unanswered(self, member: Incarnation, now: float) -> None:
        """Suspect a member that did not answer a probe."""
        if member in self.members and member not in self.suspicions:
            self.suspicions[member] = Suspicion(suspected_at=now, probed_at=now)

    def expired_suspects(self, now: float) -> list[Incarnation]:
        """Return the members whose suspicion has lasted long enough."""
        return sorted(
            key
            for key, suspicion in self.suspicions.items()
            if now - suspicion.suspected_at >= self.times.suspicion_s
        )

    def is_isolated(self) -> bool:
        """Whether so many are suspected that this instance must be isolated."""
        others = len(self.members)
        return (
            others > 1
            and len(self.suspicions) > others * ISOLATED_SUSPECT_SHARE
        )
