"""Follows the store's objects and updates the gateway from them."""

import asyncio
from collections.abc import Mapping, Sequence
from functools import partial
from types import MappingProxyType

from bitternturn.core.errors import BitternturnError
from bitternturn.core.ids import FailureDomain, TargetId
from bitternturn.core.store_position import revision_of
from bitternturn.core.tasks import TaskSet, async_supervise
from bitternturn.gateway import const
from bitternturn.gateway.gateway import Gateway
from bitternturn.gateway.models import InstanceSettings, TargetEntry
from bitternturn.platform import wire_names
from bitternturn.platform.documents import decode_configuration, decode_target
from bitternturn.platform.instance_objects import (
    decode_instance,
    encode_instance,
)
from bitternturn.platform.object_messages import ObjectEvent, PlatformObject
from bitternturn.platform.source import (
    RESTART_DELAY_S,
    KindHandler,
    StoreSource,
)
from bitternturn.platform.store import PlatformStore
from bitternturn.relay.delegation import Delegation, MemberEntry

# Changes of targets are batched, as a draining target still accepts sends for
# some seconds.
TARGET_BATCH_S = 0.5
EXPIRY_CHECK_INTERVAL_S = 0.2
# Registrations of instances are batched: many arrive at once when the whole
# system starts.
INSTANCE_BATCH_S = 1.0
REGISTER_RETRY_INTERVAL_S = 1.0
# Rate at which all instances together register again with a store that came back
# from an older copy: a quarter of the writes that the smallest store allows.
REGISTRATIONS_PER_S = 100.0


class StoreFollower:
    """Applies configuration, targets, domains and instances to the gateway."""

    def __init__(
        self,
        *,
        settings: InstanceSettings,
        gateway: Gateway,
        store: PlatformStore,
        delegation: Delegation,
        tasks: TaskSet,
        optional: Mapping[str, KindHandler] = MappingProxyType({}),
    ) -> None:
        """Initialise; `start` begins to follow the store.

        `optional` has the handlers of kinds that not all deployments use.
        """
        self.settings = settings
        self.gateway = gateway
        self.decisions = gateway.decisions
        self.store = store
        self.delegation = delegation
        self.tasks = tasks
        bounds = settings.change_bounds
        self.handlers = {
            wire_names.KIND_CONFIGURATION: KindHandler(
                replace_all=self.replace_configuration,
                restore_all=self.replace_configuration,
                apply_events=self.apply_configuration_events,
                effective_within_s=max(
                    bounds.stability_window_s, bounds.configuration_s
                ),
            ),
            wire_names.KIND_TARGETS: KindHandler(
                replace_all=self.replace_targets,
                restore_all=self.restore_targets,
                apply_events=self.apply_target_events,
                batch_s=TARGET_BATCH_S,
                effective_within_s=bounds.stability_window_s + bounds.drain_s,
            ),
            wire_names.KIND_DOMAINS_OUT: KindHandler(
                replace_all=self.replace_domains_out,
                restore_all=self.restore_domains_out,
                apply_events=self.apply_domain_events,
                effective_within_s=max(
                    bounds.stability_window_s, bounds.domain_out_s
                ),
            ),
            wire_names.KIND_INSTANCES: KindHandler(
                replace_all=self.replace_instances,
                restore_all=self.restore_instances,
                apply_events=self.apply_instance_events,
                batch_s=INSTANCE_BATCH_S,
            ),
            **optional,
        }
        self.source = StoreSource(
            settings=settings,
            gateway=gateway,
            store=store,
            delegation=delegation,
            tasks=tasks,
            handlers=self.handlers,
        )
        store.on_unreadable = self.source.unreadable.record
        self.instances: dict[str, MemberEntry | None] = {}
        # Instances that a restored store does not list, and until when they
        # have time to register again.
        self.unlisted_until: dict[str, float] = {}
        # Failure domains that a restored store lists as out of service, and
        # when it is believed; None if it is.
        self.restored_domains: tuple[set[str], float] | None = None
        self.registered = False

    def start(self) -> None:
        """Follow all kinds and register this instance, in the background."""
        self.source.start()
        for job in (self._async_settle, self._async_register):
            self.tasks.spawn(
                async_supervise(job, restart_delay_s=RESTART_DELAY_S)
            )

    # Configuration

    def replace_configuration(self, objects: Sequence[PlatformObject]) -> None:
        """Apply the configuration from a list of its kind."""
        for stored in objects:
            self._apply_configuration(stored)

    def apply_configuration_events(self, events: Sequence[ObjectEvent]) -> None:
        """Apply changes of the configuration."""
        for event in events:
            if not event.deleted:
                self._apply_configuration(event.object)

    def _apply_configuration(self, stored: PlatformObject) -> None:
        """Apply a version of the configuration if it is valid."""
        if stored.meta.name != wire_names.NAME_CONFIGURATION:
            return
        try:
            configuration = decode_configuration(stored.spec)
        except BitternturnError as error:
            self.decisions.write('configuration_unread', error=str(error))
            return
        self.gateway.apply_configuration(configuration)

    # Targets

    def replace_targets(self, objects: Sequence[PlatformObject]) -> None:
        """Replace all targets."""
        self.gateway.fleet_state.replace_entries(
            self._decode_targets(objects), self.gateway.now()
        )
        self._refresh_targets()

    def restore_targets(self, objects: Sequence[PlatformObject]) -> None:
        """Replace all targets by those of a store that came back older."""
        self.gateway.fleet_state.restore_entries(
            self._decode_targets(objects), self.gateway.now()
        )
        self._refresh_targets()

    def _refresh_targets(self) -> None:
        """Update the gateway after all entries were replaced."""
        self.gateway.refresh_targets()
        self.decisions.write(
            'targets', count=len(self.gateway.fleet_state.entries)
        )

    def _decode_targets(
        self, objects: Sequence[PlatformObject]
    ) -> dict[TargetId, TargetEntry]:
        """Return the valid entries among the objects of all targets."""
        domains = self.settings.failure_domains
        entries: dict[TargetId, TargetEntry] = {}
        for stored in objects:
            name = stored.meta.name
            entry = decode_target(name, stored.spec, domains)
            if entry is None:
                self.decisions.write('target_unread', target=name)
            else:
                entries[entry.id] = entry
        return entries

    def apply_target_events(self, events: Sequence[ObjectEvent]) -> None:
        """Apply changes of targets."""
        for event in events:
            self._apply_target_event(event)
        self.gateway.refresh_targets()

    def _apply_target_event(self, event: ObjectEvent) -> None:
        """Apply the change of one target; remove it if its entry is invalid."""
        name = event.object.meta.name
        fleet_state = self.gateway.fleet_state
        entry = None
        if not event.deleted:
            entry = decode_target(
                name,
                event.object.spec,
                self.settings.failure_domains,
            )
        if entry is None:
            fleet_state.remove_entry(TargetId(name), self.gateway.now())
        else:
            fleet_state.update_entry(entry)
        self.decisions.write(
            'target',
            target=name,
            state=entry.state.value if entry else 'gone',
            revision=revision_of(event.object.meta.revision),
        )

    async def _async_settle(self) -> None:
        """Apply what was doubted after an outage of the store."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            now = self.gateway.now()
            if self.gateway.fleet_state.settle(now):
                self.gateway.refresh_targets()
            self._settle_domains(now)
            self._settle_instances(now)

    # Failure domains

    def replace_domains_out(self, objects: Sequence[PlatformObject]) -> None:
        """Replace the set of failure domains that are out of service."""
        listed = {stored.meta.name for stored in objects}
        if self.restored_domains is None:
            self._set_domains_out(listed)
        else:
            self.restored_domains = (listed, self.restored_domains[1])

    def restore_domains_out(self, objects: Sequence[PlatformObject]) -> None:
        """Keep the set that is known until the operator has written again."""
        self.restored_domains = (
            {stored.meta.name for stored in objects},
            self.gateway.now() + const.RESTORED_DOUBT_S,
        )

    def _settle_domains(self, now: float) -> None:
        """Believe a restored store once the operator has written again."""
        if self.restored_domains is not None:
            out, believed_at = self.restored_domains
            if now >= believed_at:
                self.restored_domains = None
                self._set_domains_out(out)

    def apply_domain_events(self, events: Sequence[ObjectEvent]) -> None:
        """Apply failure domains that are taken out of service or put back."""
        out = set[str](self.gateway.fleet_state.domains_out)
        _apply_to_set(out, events)
        if self.restored_domains is not None:
            _apply_to_set(self.restored_domains[0], events)
        self._set_domains_out(out)

    def _set_domains_out(self, out: set[str]) -> None:
        """Set the failure domains that are out of service."""
        domains = frozenset(FailureDomain(name) for name in out)
        if domains != self.gateway.fleet_state.domains_out:
            self.decisions.write('domains_out', domains=sorted(domains))
        self.gateway.fleet_state.set_domains_out(domains)
        self.gateway.refresh_targets()

    # Instances

    def replace_instances(self, objects: Sequence[PlatformObject]) -> None:
        """Replace the instances: all that ever registered."""
        listed = _decode_instances(objects)
        self.unlisted_until = {
            name: until
            for name, until in self.unlisted_until.items()
            if name not in listed
        }
        unlisted = {name: self.instances[name] for name in self.unlisted_until}
        self.instances = listed | unlisted
        self._update_instances()
        self._register_again()

    def restore_instances(self, objects: Sequence[PlatformObject]) -> None:
        """Add the instances of a store that came back older.

        Those that it does not list have time to register again.
        """
        listed = _decode_instances(objects)
        until = (
            self.gateway.now()
            + const.RESTORED_DOUBT_S
            + self._registration_spread_s()
        )
        self.unlisted_until = {
            name: until for name in self.instances if name not in listed
        }
        self.instances |= listed
        self._update_instances()
        self._register_again()

    def _settle_instances(self, now: float) -> None:
        """Remove the instances that did not register again in time."""
        gone = [
            name for name, until in self.unlisted_until.items() if now >= until
        ]
        for name in gone:
            del self.unlisted_until[name]
            self.instances.pop(name, None)
        if gone:
            self._update_instances()

    def _register_again(self) -> None:
        """Register this instance if the store does not list it any more."""
        name = self.settings.name
        listed = name in self.instances and name not in self.unlisted_until
        if self.registered and not listed:
            self.registered = False
            delay_s = self.gateway.rng.uniform(0, self._registration_spread_s())
            self.tasks.spawn(
                async_supervise(
                    partial(self._async_register, delay_s),
                    restart_delay_s=RESTART_DELAY_S,
                )
            )

    def _registration_spread_s(self) -> float:
        """Return over how long all instances register again, in seconds."""
        return self.gateway.instance_count / REGISTRATIONS_PER_S

    def apply_instance_events(self, events: Sequence[ObjectEvent]) -> None:
        """Apply registrations and removals of instances."""
        for event in events:
            name = event.object.meta.name
            self.unlisted_until.pop(name, None)
            if event.deleted:
                self.instances.pop(name, None)
            else:
                self.instances[name] = decode_instance(name, event.object.spec)
        self._update_instances()

    def _update_instances(self) -> None:
        """Update the sharing of limits and the peers for delegation."""
        self.gateway.update_instances(sorted(self.instances))
        self.delegation.update_members(
            [entry for entry in self.instances.values() if entry is not None],
        )

    async def _async_register(self, delay_s: float = 0) -> None:
        """Register this instance after a delay; retry until it succeeds."""
        await asyncio.sleep(delay_s)
        while True:
            try:
                await self.store.async_write(
                    wire_names.KIND_INSTANCES,
                    self.settings.name,
                    encode_instance(self.settings),
                )
            except BitternturnError as error:
                self.decisions.write('not_registered', error=str(error))
                await asyncio.sleep(REGISTER_RETRY_INTERVAL_S)
            else:
                self.registered = True
                return


def _apply_to_set(names: set[str], events: Sequence[ObjectEvent]) -> None:
    """Add the names of objects to a set, or remove those of deleted ones."""
    for event in events:
        if event.deleted:
            names.discard(event.object.meta.name)
        else:
            names.add(event.object.meta.name)


def _decode_instances(
    objects: Sequence[PlatformObject],
) -> dict[str, MemberEntry | None]:
    """Return the entries of instances by name, None for invalid ones."""
    return {
        stored.meta.name: decode_instance(stored.meta.name, stored.spec)
        for stored in objects
    }
