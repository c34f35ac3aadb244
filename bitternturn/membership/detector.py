"""Which members to probe, and which of them are dead."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from bitternturn.core.ids import Incarnation
from bitternturn.membership.const import (
    CUT_OFF_SHARE,
    SUSPECTS_PER_ROUND,
)
from bitternturn.membership.models import MembershipTimes


@dataclass(kw_only=True)
class Suspicion:
    """A member that did not answer."""

    since: float
    probed_at: float


class Detector:
    """Probes members in a shuffled round and suspects silent ones."""

    def __init__(
        self, *, me: Incarnation, times: MembershipTimes, rng: random.Random
    ) -> None:
        """Start with nobody to probe."""
        self.me = me
        self.times = times
        self.rng = rng
        self.members: set[Incarnation] = set()
        self.round: list[Incarnation] = []
        self.suspicions: dict[Incarnation, Suspicion] = {}

    def set_members(self, incarnations: Iterable[Incarnation]) -> None:
        """Follow the view; keep what is known of those that stay."""
        self.members = {key for key in incarnations if key != self.me}
        for key in self.suspicions.keys() - self.members:
            self.suspicions.pop(key)

    def next_probe(self, now: float) -> Incarnation | None:
        """Return whom to probe now: each once per round."""
        while self.members:
            if not self.round:
                self.round = sorted(self.members)
                self.rng.shuffle(self.round)
            chosen = self.round.pop()
            if chosen in self.members:
                return chosen
        return None

    def due_suspects(self, now: float) -> list[Incarnation]:
        """Return the suspects to probe again now, a few at a time."""
        due = [
            key
            for key, suspicion in self.suspicions.items()
            if now - suspicion.probed_at >= self.times.probe_interval_s
        ]
        # Probes of everybody by everybody would keep a slow fleet slow.
        due.sort(key=lambda key: self.suspicions[key].probed_at)
        due = due[:SUSPECTS_PER_ROUND]
        for key in due:
            self.suspicions[key].probed_at = now
        return due

    def relays(self, suspect: Incarnation, count: int) -> list[Incarnation]:
        """Return members to probe a silent one through."""
        others = sorted(
            key
            for key in self.members
            if key != suspect and key not in self.suspicions
        )
        return self.rng.sample(others, min(count, len(others)))

    def on_alive(self, member: Incarnation) -> None:
        """Note a sign of life."""
        self.suspicions.pop(member, None)

    def on_silent(self, member: Incarnation, now: float) -> None:
        """Note a probe without an answer."""
        if member in self.members and member not in self.suspicions:
            self.suspicions[member] = Suspicion(since=now, probed_at=now)

    def overdue(self, now: float) -> list[Incarnation]:
        """Return the members that have been suspected for long enough."""
        return sorted(
            key
            for key, suspicion in self.suspicions.items()
            if now - suspicion.since >= self.times.suspicion_s
        )

    def cut_off(self) -> bool:
        """Whether so many are silent that the cause is rather here."""
        others = len(self.members)
        return others > 1 and len(self.suspicions) > others * CUT_OFF_SHARE
