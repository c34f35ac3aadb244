"""Follows the store's objects and keeps the gateway's knowledge by them."""

import asyncio
from collections.abc import Sequence

from bitternturn.core.errors import BitternturnError
from bitternturn.core.ids import FailureDomain, TargetId
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway.gateway import Gateway
from bitternturn.gateway.models import InstanceSettings
from bitternturn.platform import names
from bitternturn.platform.documents import decode_configuration, decode_target
from bitternturn.platform.members import decode_instance, encode_instance
from bitternturn.platform.source import KindFollower, StoreSource
from bitternturn.platform.store import (
    Event,
    PlatformObject,
    PlatformStore,
)
from bitternturn.relay.delegation import Delegation, MemberEntry

# Time in which changes of targets are read together, in seconds; a draining
# target may still be sent to for some seconds.
GATHER_TARGETS_S = 0.5
LAPSE_CHECK_S = 0.2
# Time in which starts of instances are read together, in seconds; they come
# all at once when the whole system starts.
GATHER_INSTANCES_S = 1.0
# Pause before an instance tries again to register, in seconds.
REGISTER_PAUSE_S = 1.0


class StoreFollower:
    """Copies of configuration, targets, domains taken out and instances."""

    def __init__(
        self,
        *,
        settings: InstanceSettings,
        gateway: Gateway,
        store: PlatformStore,
        delegation: Delegation,
        tasks: TaskSet,
    ) -> None:
        """Hold the gateway; `start` follows."""
        self.settings = settings
        self.gateway = gateway
        self.decisions = gateway.decisions
        self.store = store
        self.delegation = delegation
        self.tasks = tasks
        self.kinds = {
            names.KIND_CONFIGURATION: KindFollower(
                take_all=self.take_configurations,
                take_events=self.take_configuration_events,
            ),
            names.KIND_TARGETS: KindFollower(
                take_all=self.take_targets,
                take_events=self.take_target_events,
                gather_s=GATHER_TARGETS_S,
            ),
            names.KIND_DOMAINS_OUT: KindFollower(
                take_all=self.take_domains,
                take_events=self.take_domain_events,
            ),
            names.KIND_INSTANCES: KindFollower(
                take_all=self.take_instances,
                take_events=self.take_instance_events,
                gather_s=GATHER_INSTANCES_S,
            ),
        }
        self.source = StoreSource(
            settings=settings,
            gateway=gateway,
            store=store,
            delegation=delegation,
            tasks=tasks,
            kinds=self.kinds,
        )
        self.instances: dict[str, MemberEntry | None] = {}

    def start(self) -> None:
        """Follow every kind in the background."""
        self.source.start()
        self.tasks.spawn(self._async_forget_lapsed())
        self.tasks.spawn(self._async_register())

    # Configuration

    def take_configurations(self, found: Sequence[PlatformObject]) -> None:
        """Take the configuration among all objects of its kind."""
        for stored in found:
            self._take_configuration(stored)

    def take_configuration_events(self, events: Sequence[Event]) -> None:
        """Take changes of the configuration."""
        for event in events:
            if not event.deleted:
                self._take_configuration(event.object)

    def _take_configuration(self, stored: PlatformObject) -> None:
        """Take a version if it can be read."""
        if stored.meta.name != names.NAME_CONFIGURATION:
            return
        try:
            fresh = decode_configuration(stored.spec)
        except BitternturnError as error:
            self.decisions.note('configuration_unread', error=str(error))
            return
        self.gateway.take_configuration(fresh)

    # Targets

    def take_targets(self, found: Sequence[PlatformObject]) -> None:
        """Take the whole list of targets."""
        domains = self.settings.failure_domains
        entries = {}
        for stored in found:
            name = stored.meta.name
            entry = decode_target(name, stored.spec, domains)
            if entry is None:
                self.decisions.note('target_unread', target=name)
            else:
                entries[entry.id] = entry
        self.gateway.knowledge.take_all_entries(entries, self.gateway.now())
        self.gateway.refresh_targets()
        self.decisions.note('targets', count=len(entries))

    def take_target_events(self, events: Sequence[Event]) -> None:
        """Take changes of targets."""
        for event in events:
            self._take_target_event(event)
        self.gateway.refresh_targets()

    def _take_target_event(self, event: Event) -> None:
        """Take the change of one target."""
        name = event.object.meta.name
        knowledge = self.gateway.knowledge
        entry = None
        if not event.deleted:
            entry = decode_target(
                name,
                event.object.spec,
                self.settings.failure_domains,
            )
        if entry is None:
            knowledge.remove_entry(TargetId(name), self.gateway.now())
        else:
            knowledge.take_entry(entry)
        self.decisions.note(
            'target',
            target=name,
            state=entry.state.value if entry else 'gone',
            revision=event.object.meta.revision,
        )

    async def _async_forget_lapsed(self) -> None:
        """Forget entries that did not come back after an outage."""
        while True:
            await asyncio.sleep(LAPSE_CHECK_S)
            if self.gateway.knowledge.forget_lapsed(self.gateway.now()):
                self.gateway.refresh_targets()

    # Failure domains

    def take_domains(self, found: Sequence[PlatformObject]) -> None:
        """Take all failure domains that are out of service."""
        self._set_domains({stored.meta.name for stored in found})

    def take_domain_events(self, events: Sequence[Event]) -> None:
        """Take failure domains that went out of service or came back."""
        out = set[str](self.gateway.knowledge.domains_out)
        for event in events:
            if event.deleted:
                out.discard(event.object.meta.name)
            else:
                out.add(event.object.meta.name)
        self._set_domains(out)

    def _set_domains(self, out: set[str]) -> None:
        """Take the set of failure domains that are out."""
        domains = frozenset(FailureDomain(name) for name in out)
        if domains != self.gateway.knowledge.domains_out:
            self.decisions.note('domains_out', domains=sorted(domains))
        self.gateway.knowledge.take_domains_out(domains)
        self.gateway.refresh_targets()

    # Instances

    def take_instances(self, found: Sequence[PlatformObject]) -> None:
        """Take all instances that ever started."""
        self.instances = {
            stored.meta.name: decode_instance(stored.meta.name, stored.spec)
            for stored in found
        }
        self._share_instances()

    def take_instance_events(self, events: Sequence[Event]) -> None:
        """Take instances that started or were forgotten."""
        for event in events:
            name = event.object.meta.name
            if event.deleted:
                self.instances.pop(name, None)
            else:
                self.instances[name] = decode_instance(name, event.object.spec)
        self._share_instances()

    def _share_instances(self) -> None:
        """Tell who shares the limits, and who may send for others."""
        self.gateway.set_instances(sorted(self.instances))
        self.delegation.update_members(
            [entry for entry in self.instances.values() if entry is not None],
        )

    async def _async_register(self) -> None:
        """Create the object of this instance; one of an earlier start stays."""
        while True:
            try:
                await self.store.async_write(
                    names.KIND_INSTANCES,
                    self.settings.name,
                    encode_instance(self.settings),
                )
            except BitternturnError as error:
                self.decisions.note('not_registered', error=str(error))
                await asyncio.sleep(REGISTER_PAUSE_S)
            else:
                return
