"""What has changed in the fleet since the targets were last refreshed."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from bitternturn.core.ids import FailureDomain, ServiceName, TargetId
from bitternturn.gateway.models import Service, TargetEntry


@dataclass(kw_only=True, frozen=True, slots=True)
class AssignmentTerms:
    """What the assignment of the targets of all services depends on."""

    services: Mapping[ServiceName, Service]
    wide_services: frozenset[ServiceName]
    domains_out: frozenset[FailureDomain]
    # Number of instances, and the position of this one among them.
    instances: int
    position: int
    delegated: bool


@dataclass(kw_only=True, frozen=True, slots=True)
class Changes:
    """Entries that have changed, and services to assign again."""

    # New and changed entries.
    entries: Sequence[TargetEntry]
    # Earlier entries of targets that have changed or are gone.
    replaced: Sequence[TargetEntry]
    # None for all services.
    services: Collection[ServiceName] | None


class FleetChanges:
    """Keeps which targets and services the next refresh has to look at.

    Guards against a large fleet in which one target after the other starts or
    ends: work on all targets at each change would stop a weak instance for longer
    than an urgent request may take.
    """

    def __init__(self) -> None:
        """Initialise without changes."""
        # Entries that have changed, as they were at the last refresh, None for
        # new ones.
        self.earlier: dict[TargetId, TargetEntry | None] = {}
        self.terms: AssignmentTerms | None = None
        # Services of targets that have become usable or unusable by themselves.
        self.marked: set[ServiceName] = set()

    def mark(self, service: ServiceName) -> None:
        """Let the next refresh assign the targets of a service again."""
        self.marked.add(service)

    def record(self, target: TargetId, earlier: TargetEntry | None) -> None:
        """Record that an entry has changed, was added or was removed."""
        self.earlier.setdefault(target, earlier)

    def collect(
        self,
        entries: Mapping[TargetId, TargetEntry],
        terms: AssignmentTerms,
        *,
        everything: bool,
    ) -> Changes:
        """Return what has changed since the last call.

        `everything` is whether to assign the targets of all services again.
        """
        changed = [entries[name] for name in self.earlier if name in entries]
        replaced = [it for it in self.earlier.values() if it is not None]
        services = {
            *self.marked,
            *(entry.service for entry in (*changed, *replaced)),
        }
        same_terms = terms == self.terms and not everything
        self.earlier = {}
        self.terms = terms
        self.marked = set()
        return Changes(
            entries=changed,
            replaced=replaced,
            services=services if same_terms else None,
        )
