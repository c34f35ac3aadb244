"""Targets of each service that an instance uses, and its shares in them."""

import zlib
from collections.abc import Callable, Mapping, Sequence

from bitternturn.core.ids import ServiceName, TargetId
from bitternturn.gateway.assignment import assign_targets
from bitternturn.gateway.fleet_changes import AssignmentTerms, Changes
from bitternturn.gateway.models import GlobalLimits, Service, TargetEntry
from bitternturn.gateway.target import Target

Groups = Sequence[Sequence[TargetEntry]]


class TargetAssignments:
    """Keeps the targets of each service that an instance uses."""

    def __init__(
        self,
        *,
        limits: GlobalLimits,
        targets: Mapping[TargetId, Target],
        split: Callable[[ServiceName, Sequence[TargetEntry]], Groups],
    ) -> None:
        """Initialise without services.

        `split` returns the targets of a service in groups that are assigned
        separately.
        """
        self.limits = limits
        self.targets = targets
        self.split = split
        # Targets that new requests use, and those that are used when none of
        # them is available.
        self.ready: dict[ServiceName, Sequence[Target]] = {}
        self.standby: dict[ServiceName, Sequence[Target]] = {}

    def update(
        self,
        changes: Changes,
        usable: Mapping[ServiceName, Sequence[TargetEntry]],
        terms: AssignmentTerms,
    ) -> dict[ServiceName, Sequence[Target]]:
        """Assign the targets of the services of which anything has changed.

        `usable` are the targets of these services that may be used. Returns the
        targets of these services, those on standby last.
        """
        concerned = changes.services
        if concerned is None:
            concerned = self.ready.keys() | usable.keys()
        assigned: dict[ServiceName, Sequence[Target]] = {}
        for service in concerned:
            entries = usable.get(service)
            if entries is None:
                self.ready.pop(service, None)
                self.standby.pop(service, None)
                assigned[service] = ()
            else:
                assigned[service] = self._assign(
                    service,
                    [it for it in entries if self.targets[it.id].usable],
                    terms,
                )
        return assigned

    def _assign(
        self,
        name: ServiceName,
        entries: Sequence[TargetEntry],
        terms: AssignmentTerms,
    ) -> Sequence[Target]:
        """Assign a subset of a service's targets to this instance."""
        service = terms.services.get(name)
        ready: list[Target] = []
        standby: list[Target] = []
        for group in self.split(name, entries):
            assignment = assign_targets(
                group,
                service=name,
                max_connections=service.max_connections if service else 1,
                instances=terms.instances,
                position=terms.position,
                delegated=terms.delegated and name in terms.wide_services,
            )
            assigned = [self.targets[entry.id] for entry in assignment.assigned]
            for target in assigned:
                target.connections.max_count = assignment.max_connections
            ready.extend(assigned)
            standby.extend(
                self.targets[entry.id] for entry in assignment.standby
            )
        self.ready[name] = ready
        self.standby[name] = standby
        targets = [*ready, *standby]
        self._share_cold_limits(service, targets, terms)
        return targets

    def _share_cold_limits(
        self,
        service: Service | None,
        targets: Sequence[Target],
        terms: AssignmentTerms,
    ) -> None:
        """Update the share of this instance in the limits of cold targets."""
        for target in targets:
            # Each target has another order of the instances.
            position = terms.position + zlib.crc32(target.entry.id.encode())
            target.cold_send_limit.set_limit(
                rate=service.cold_rate_per_s if service else 0,
                factor=self.limits.cold_rate_factor,
                slack=self.limits.cold_rate_slack,
                instances=terms.instances,
                rank=position % terms.instances,
            )
