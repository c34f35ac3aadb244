"""Failure domains of the targets: their sizes, and which are preferred."""

from collections import Counter
from collections.abc import Iterable

from bitternturn.core.ids import FailureDomain
from bitternturn.gateway.assignment import choose_preferred_domain
from bitternturn.gateway.fleet_changes import AssignmentTerms, Changes
from bitternturn.gateway.links import TargetLinks
from bitternturn.gateway.models import InstanceSettings, TargetEntry
from bitternturn.policy.target_selection import choose_next_domain, rank_domain


class FleetDomains:
    """Keeps the number of targets and the rank of each failure domain."""

    def __init__(
        self, *, settings: InstanceSettings, links: TargetLinks
    ) -> None:
        """Initialise without targets."""
        self.settings = settings
        self.links = links
        # Number of targets, and of those of wide services.
        self.sizes: Counter[FailureDomain] = Counter()
        self.wide_sizes: Counter[FailureDomain] = Counter()
        # Domain whose targets cost less.
        self.preferred = settings.failure_domain

    def update(
        self,
        changes: Changes,
        entries: Iterable[TargetEntry],
        terms: AssignmentTerms,
    ) -> None:
        """Update the sizes and ranks; `entries` are those of all targets."""
        if changes.services is None:
            self.sizes.clear()
            self.wide_sizes.clear()
            self._count(entries, terms, number=1)
        else:
            self._count(changes.replaced, terms, number=-1)
            self._count(changes.entries, terms, number=1)
        self._rank(terms)

    def _count(
        self,
        entries: Iterable[TargetEntry],
        terms: AssignmentTerms,
        *,
        number: int,
    ) -> None:
        """Add a number to the sizes for each of some targets."""
        for entry in entries:
            self.sizes[entry.failure_domain] += number
            if entry.service in terms.wide_services:
                self.wide_sizes[entry.failure_domain] += number

    def _rank(self, terms: AssignmentTerms) -> None:
        """Choose the preferred failure domain, and rank all of them."""
        domains = +self.sizes
        self.preferred = choose_preferred_domain(
            (+self.wide_sizes).keys(),
            own=self.settings.failure_domain,
            position=terms.position if terms.delegated else None,
        )
        next_domain = choose_next_domain(
            domains, preferred=self.preferred, instance=self.settings.name
        )
        for domain in domains:
            self.links.get(domain).rank = rank_domain(
                domain, preferred=self.preferred, next_preferred=next_domain
            )
        for domain, link in self.links.domains.items():
            link.size = domains[domain]
