"""Orders of the instances of each failure domain, kept until they change."""

from collections.abc import Callable, Mapping, Sequence

from bitternturn.core.ids import FailureDomain
from bitternturn.policy.delegate_selection import (
    DelegateCandidate,
    rank_delegates,
    rank_strong_first,
)

Members = Mapping[FailureDomain, Sequence[DelegateCandidate]]
Ranking = Callable[[str, Sequence[DelegateCandidate]], list[str]]


class MemberRankings:
    """Names of the instances of each failure domain, ranked for keys."""

    def __init__(self, *, members: Members | None = None) -> None:
        """Initialise from the instances by failure domain."""
        self.members: Members = members or {}
        self.ranked: dict[tuple[Ranking, FailureDomain, str], list[str]] = {}

    def rank_members(self, domain: FailureDomain, key: str) -> Sequence[str]:
        """Return the instances of a domain, in the order for a key."""
        return self._rank(rank_delegates, domain, key)

    def rank_delegates(self, domain: FailureDomain, key: str) -> Sequence[str]:
        """Return the instances of a domain as delegates, strong ones first."""
        return self._rank(rank_strong_first, domain, key)

    def _rank(
        self, ranking: Ranking, domain: FailureDomain, key: str
    ) -> Sequence[str]:
        """Return an order, computed when it is first needed."""
        place = (ranking, domain, key)
        ranked = self.ranked.get(place)
        if ranked is None:
            ranked = ranking(key, self.members.get(domain, ()))
            self.ranked[place] = ranked
        return ranked
