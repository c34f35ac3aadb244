"""Configuration, targets and out-of-service domains at an instance."""

from collections.abc import Collection, Iterable, Mapping

from bitternturn.core.ids import FailureDomain, ServiceName, TargetId
from bitternturn.gateway import const
from bitternturn.gateway.fleet_changes import FleetChanges
from bitternturn.gateway.models import Configuration, TargetEntry, TargetState


class FleetState:
    """Latest known state; the configuration version never decreases.

    Entries that go missing shortly after a store failure may have expired only
    because their targets could not renew them. They stay in `entries` and are
    removed unless they reappear within `EXPIRED_ENTRY_GRACE_S`.
    """

    def __init__(self) -> None:
        """Initialise without configuration and targets."""
        self.configuration: Configuration | None = None
        self.entries: dict[TargetId, TargetEntry] = {}
        # The same by service.
        self.services: dict[ServiceName, dict[TargetId, TargetEntry]] = {}
        # What has changed in the entries since the last refresh of the targets.
        self.changes = FleetChanges()
        self.targets_known = False
        # Whether the number of instances that share the limits is known.
        self.instances_known = False
        # Whether the orders of roll-outs are known, if there can be any.
        self.orders_known = True
        self.domains_out: frozenset[FailureDomain] = frozenset()
        # When each missing entry is removed unless it reappears.
        self.missing_until: dict[TargetId, float] = {}
        # Start and time of removal of targets that were removed lately.
        self.removed: dict[TargetId, tuple[int, float]] = {}
        # Entries of a restored store that contradict what was known, and when
        # they are believed.
        self.doubted: dict[TargetId, tuple[TargetEntry, float]] = {}
        # Doubted entries that were believed without being written again. Once
        # missing they have no grace period: they were removed before.
        self.believed: dict[TargetId, TargetEntry] = {}
        self.store_failed_at: float | None = None
        # When the store, or a peer that reads it, last confirmed that the
        # configuration is the newest.
        self.confirmed_at: float | None = None

    @property
    def complete(self) -> bool:
        """Whether everything that serving requests needs is known."""
        configured = self.configuration is not None
        listed = self.targets_known and self.orders_known
        return configured and listed and self.instances_known

    def is_outdated(self, now: float) -> bool:
        """Return whether neither the store nor a peer has confirmed the state.

        Without a failure, it may just be unchanged for longer.
        """
        failed_at, confirmed_at = self.store_failed_at, self.confirmed_at
        if failed_at is None:
            return False
        if confirmed_at is None:
            return True
        return (
            confirmed_at < failed_at and now - confirmed_at > const.OUTDATED_S
        )

    def apply_configuration(self, configuration: Configuration) -> bool:
        """Apply a configuration if it is newer; return whether it was."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        return True

    def replace_entries(
        self,
        entries: Mapping[TargetId, TargetEntry],
        now: float,
    ) -> None:
        """Replace all target entries; unchanged doubted ones stay doubted."""
        self.targets_known = True
        for target in {*self.entries, *self.doubted} - set(entries):
            self.remove_entry(target, now)
        for entry in entries.values():
            doubted, _ = self.doubted.get(entry.id, (None, 0))
            if entry == self.believed.get(entry.id):
                self._set_entry(entry)
            elif entry != doubted:
                self.update_entry(entry)

    def restore_entries(
        self,
        entries: Mapping[TargetId, TargetEntry],
        now: float,
    ) -> None:
        """Replace the entries by those of a store that came back older.

        A target that was draining or removed is not believed to be ready, as
        only the store has gone back.
        """
        self.doubted = {
            entry.id: (entry, now + const.RESTORED_DOUBT_S)
            for entry in entries.values()
            if self._contradicts(entry)
        }
        self.replace_entries(entries, now)

    def _contradicts(self, entry: TargetEntry) -> bool:
        """Return whether an entry is ready that was known to be leaving."""
        if entry.state is not TargetState.READY:
            return False
        current = self.entries.get(entry.id)
        if current is not None:
            known = current.started_at_ms == entry.started_at_ms
            return known and current.state is TargetState.DRAINING
        started_at_ms, _ = self.removed.get(entry.id, (None, 0))
        return started_at_ms == entry.started_at_ms

    def update_entry(self, entry: TargetEntry) -> None:
        """Add or update an entry unless it is from an earlier start."""
        self.believed.pop(entry.id, None)
        self._set_entry(entry)

    def _set_entry(self, entry: TargetEntry) -> None:
        """Add or update an entry, whether its target has written it or not."""
        self.doubted.pop(entry.id, None)
        self.missing_until.pop(entry.id, None)
        current = self.entries.get(entry.id)
        if entry == current:
            return
        if current is None or entry.started_at_ms >= current.started_at_ms:
            self._replace(entry.id, current, entry)

    def _replace(
        self,
        target: TargetId,
        current: TargetEntry | None,
        entry: TargetEntry | None,
    ) -> None:
        """Replace the entry of a target by another one, None for no entry."""
        self.changes.record(target, current)
        if current is not None and (
            entry is None or entry.service != current.service
        ):
            others = self.services[current.service]
            del others[target]
            if not others:
                del self.services[current.service]
        if entry is None:
            del self.entries[target]
        else:
            self.entries[target] = entry
            self.services.setdefault(entry.service, {})[target] = entry

    def remove_entry(self, target: TargetId, now: float) -> None:
        """Remove a target, after a grace period if it may have expired.

        A doubted one was removed before: only the time of that is updated.
        """
        doubted, _ = self.doubted.pop(target, (None, 0))
        current = self.entries.get(target)
        if current is None:
            if doubted is not None:
                self._remember_removal(doubted, now)
            return
        failed_at = self.store_failed_at
        may_return = (
            failed_at is not None
            and now - failed_at < const.STORE_FAILURE_WINDOW_S
            and current.state is TargetState.READY
            and target not in self.believed
        )
        if may_return:
            self.missing_until.setdefault(
                target, now + const.EXPIRED_ENTRY_GRACE_S
            )
        else:
            self._forget(target, now)

    def _forget(self, target: TargetId, now: float) -> None:
        """Remove a target and remember its removal."""
        self.missing_until.pop(target, None)
        self.believed.pop(target, None)
        entry = self.entries.get(target)
        if entry is not None:
            self._replace(target, entry, None)
            self._remember_removal(entry, now)

    def _remember_removal(self, entry: TargetEntry, now: float) -> None:
        """Remember when a target was removed, and forget old removals."""
        self.removed = {
            name: (started_at_ms, removed_at)
            for name, (started_at_ms, removed_at) in self.removed.items()
            if now - removed_at < const.REMOVED_MEMORY_S
        }
        self.removed[entry.id] = (entry.started_at_ms, now)

    def settle(self, now: float) -> bool:
        """Remove missing entries and believe doubted ones whose time is over.

        Returns whether any entry has changed.
        """
        believed = [
            entry for entry, until in self.doubted.values() if now >= until
        ]
        for entry in believed:
            self.update_entry(entry)
            self.believed[entry.id] = entry
        expired = [
            target
            for target, until in self.missing_until.items()
            if now >= until
        ]
        for target in expired:
            self._forget(target, now)
        return bool(expired or believed)

    def set_domains_out(self, domains: Iterable[FailureDomain]) -> None:
        """Update the failure domains that are out of service."""
        self.domains_out = frozenset(domains)

    def ready_by_service(
        self, services: Collection[ServiceName] | None = None
    ) -> dict[ServiceName, list[TargetEntry]]:
        """Return the targets that may get new requests, by service.

        `services` are the ones to return, None for all.
        """
        ready = {
            service: [
                entry
                for entry in self.services[service].values()
                if entry.state is TargetState.READY
                and entry.failure_domain not in self.domains_out
            ]
            for service in (self.services if services is None else services)
            if service in self.services
        }
        return {
            service: entries for service, entries in ready.items() if entries
        }
