"""Assignment of targets to an instance, and its connections to them."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from bitternturn.core.ids import FailureDomain, ServiceName, TargetId
from bitternturn.gateway import const
from bitternturn.gateway.models import TargetEntry
from bitternturn.policy.subsets import (
    connections_per_target,
    count_subset_replicas,
    split_replicas,
)


@dataclass(kw_only=True, frozen=True, slots=True)
class Assignment:
    """Targets of one service that an instance uses."""

    assigned: Sequence[TargetEntry]
    # Targets that are used when no assigned one is available.
    standby: Sequence[TargetEntry]
    # Maximum number of connections to each assigned target.
    max_connections: int


def assign_targets(
    ready: Sequence[TargetEntry],
    *,
    service: ServiceName,
    max_connections: int,
    instances: int,
    position: int,
    delegated: bool,
) -> Assignment:
    """Return the targets of a service that an instance uses.

    `max_connections` is the number that a target allows to all instances,
    `position` the index of this instance among them. An instance that sends for
    others (`delegated`) uses all targets.
    """
    connections = max(1, int(max_connections * const.MAX_CONNECTION_SHARE))
    ordered = sorted(ready, key=_by_id)
    if delegated:
        return Assignment(
            assigned=ordered,
            standby=(),
            max_connections=_delegate_connections(connections, ordered),
        )
    subset_size = count_subset_replicas(
        replicas=len(ordered),
        instances=instances,
        connections=connections,
    )
    assigned, standby = split_replicas(
        ordered,
        service=service,
        position=position,
        subset_size=subset_size,
    )
    return Assignment(
        assigned=assigned,
        standby=standby,
        max_connections=connections_per_target(
            replicas=len(ordered),
            instances=instances,
            subset_size=subset_size,
            connections=connections,
        ),
    )


def choose_preferred_domain(
    domains: Collection[FailureDomain],
    *,
    own: FailureDomain,
    position: int | None,
) -> FailureDomain:
    """Return the failure domain whose targets are preferred.

    It is the domain of this instance, or, with delegation, one by the position
    of the instance if the own domain is not among `domains`, those with targets
    of wide services. The position is None without delegation.
    """
    if own in domains or not domains or position is None:
        return own
    return sorted(domains)[position % len(domains)]


def _delegate_connections(
    connections: int,
    targets: Sequence[TargetEntry],
) -> int:
    """Return the connections to one target for an instance that delegates.

    Such an instance connects to all targets of wide services. It opens at most
    a quarter of the connections that a target allows, and three per slot.
    """
    slots = max((target.slots for target in targets), default=1)
    return max(1, min(connections // 4, slots * 3))


def _by_id(entry: TargetEntry) -> TargetId:
    """Return the sort key of target entries."""
    return entry.id
