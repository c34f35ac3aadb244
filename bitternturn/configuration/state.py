"""Configuration in force at one instance."""

from collections.abc import Callable, Iterable

from bitternturn.configuration.models import ConfigurationKind, kind_of
from bitternturn.core.ids import IndexName, ProfileName, TargetId, Version
from bitternturn.schema.config_pb2 import (
    SWITCH_STATE_OUT,
    ConfigurationObject,
    Index,
    Profile,
    Switch,
    Target,
)
from bitternturn.schema.peers_pb2 import Versions

Subscriber = Callable[[ConfigurationKind], None]


class ConfigurationState:
    """Newest object received of each kind, with lookups; never reverts."""

    def __init__(self) -> None:
        """Initialise without any configuration."""
        self.objects: dict[ConfigurationKind, ConfigurationObject] = {}
        self.subscribers: list[Subscriber] = []
        self._profiles: dict[ProfileName, Profile] = {}
        self._indexes: dict[IndexName, Index] = {}
        self._targets: dict[TargetId, Target] = {}
        self._out_targets: frozenset[TargetId] = frozenset()
        self._versions = Versions()

    def subscribe(self, subscriber: Subscriber) -> Callable[[], None]:
        """Subscribe to changes of each kind; return an unsubscriber."""
        self.subscribers.append(subscriber)
        return lambda: self.subscribers.remove(subscriber)

    def apply_if_newer(self, received: ConfigurationObject) -> bool:
        """Apply an object if it is newer; return whether it was applied."""
        kind = kind_of(received)
        if kind is None or received.version <= self.version(kind):
            return False
        # Copied, so that later changes by the caller have no effect.
        copied = ConfigurationObject()
        copied.CopyFrom(received)
        self.objects[kind] = copied
        self._rebuild_lookups(kind)
        self._versions = self._collect_versions()
        for subscriber in list(self.subscribers):
            subscriber(kind)
        return True

    def version(self, kind: ConfigurationKind) -> Version:
        """Return the version in force, or 0."""
        found = self.objects.get(kind)
        return Version(0 if found is None else found.version)

    def versions(self) -> Versions:
        """Return the versions in force; that of the view is left at 0."""
        versions = Versions()
        versions.CopyFrom(self._versions)
        return versions

    def objects_newer_than(
        self,
        versions: Versions,
    ) -> list[ConfigurationObject]:
        """Return the objects that are newer than the given versions."""
        return [
            accepted
            for kind, accepted in self.objects.items()
            if accepted.version > version_of(versions, kind)
        ]

    def is_behind(self, versions: Versions) -> bool:
        """Return whether any of these versions is newer than the one held.

        Called for each message of a peer, so it must be cheap.
        """
        held = self._versions
        return (
            versions.switches > held.switches
            or versions.profiles > held.profiles
            or versions.indexes > held.indexes
        )

    def profile(self, name: ProfileName) -> Profile | None:
        """Return a profile, or None."""
        return self._profiles.get(name)

    def profile_names(self) -> Iterable[ProfileName]:
        """Return the names of all profiles."""
        return self._profiles.keys()

    def index(self, name: IndexName) -> Index | None:
        """Return an index, or None."""
        return self._indexes.get(name)

    def target(self, target_id: TargetId) -> Target | None:
        """Return a target, or None."""
        return self._targets.get(target_id)

    def targets(self) -> Iterable[Target]:
        """Return the targets of all indexes."""
        return self._targets.values()

    def is_out(self, target_id: TargetId) -> bool:
        """Return whether a target or its failure domain is switched out."""
        return target_id in self._out_targets

    def _collect_versions(self) -> Versions:
        """Return the versions of the objects in force."""
        return Versions(
            profiles=self.version(ConfigurationKind.PROFILES),
            indexes=self.version(ConfigurationKind.INDEXES),
            switches=self.version(ConfigurationKind.SWITCHES),
        )

    def _rebuild_lookups(self, kind: ConfigurationKind) -> None:
        """Rebuild the lookups that depend on a kind."""
        accepted = self.objects[kind]
        if kind is ConfigurationKind.PROFILES:
            self._profiles = {
                ProfileName(profile.name): profile
                for profile in accepted.profiles.profiles
            }
            return
        if kind is ConfigurationKind.INDEXES:
            self._indexes = {
                IndexName(index.name): index
                for index in accepted.indexes.indexes
            }
            self._targets = {
                TargetId(target.id): target
                for index in accepted.indexes.indexes
                for target in index.targets
            }
        self._out_targets = self._find_out_targets()

    def _find_out_targets(self) -> frozenset[TargetId]:
        """Return the targets switched out by name or by failure domain."""
        switched = self.objects.get(ConfigurationKind.SWITCHES)
        if switched is None:
            return frozenset()
        domains = _out_names(switched.switches.failure_domains)
        by_domain = {
            target_id
            for target_id, target in self._targets.items()
            if target.failure_domain in domains
        }
        by_name = _out_names(switched.switches.targets)
        return frozenset(by_domain | {TargetId(name) for name in by_name})


def version_of(versions: Versions, kind: ConfigurationKind) -> Version:
    """Return the version of one kind."""
    match kind:
        case ConfigurationKind.PROFILES:
            return Version(versions.profiles)
        case ConfigurationKind.INDEXES:
            return Version(versions.indexes)
        case ConfigurationKind.SWITCHES:
            return Version(versions.switches)


def _out_names(switches: Iterable[Switch]) -> set[str]:
    """Return the names that are switched out."""
    return {
        switch.name for switch in switches if switch.state == SWITCH_STATE_OUT
    }
