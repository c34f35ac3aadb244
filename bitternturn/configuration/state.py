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
    """Newest object seen of each kind, with look-ups; never an older one."""

    def __init__(self) -> None:
        """Start with nothing in force."""
        self.objects: dict[ConfigurationKind, ConfigurationObject] = {}
        self.subscribers: list[Subscriber] = []
        self._profiles: dict[ProfileName, Profile] = {}
        self._indexes: dict[IndexName, Index] = {}
        self._targets: dict[TargetId, Target] = {}
        self._out: frozenset[TargetId] = frozenset()

    def subscribe(self, subscriber: Subscriber) -> Callable[[], None]:
        """Call back with each kind that changes; returns the way to stop."""
        self.subscribers.append(subscriber)
        return lambda: self.subscribers.remove(subscriber)

    def offer(self, offered: ConfigurationObject) -> bool:
        """Put an object in force unless one as new is; tell whether it was."""
        kind = kind_of(offered)
        if kind is None or offered.version <= self.version(kind):
            return False
        # A copy, so that nobody changes what is in force.
        kept = ConfigurationObject()
        kept.CopyFrom(offered)
        self.objects[kind] = kept
        self._rebuild(kind)
        for subscriber in list(self.subscribers):
            subscriber(kind)
        return True

    def version(self, kind: ConfigurationKind) -> Version:
        """Return the version in force; 0 for none."""
        found = self.objects.get(kind)
        return Version(0 if found is None else found.version)

    def versions(self) -> Versions:
        """Return the versions in force; the view's is left at 0."""
        return Versions(
            profiles=self.version(ConfigurationKind.PROFILES),
            indexes=self.version(ConfigurationKind.INDEXES),
            switches=self.version(ConfigurationKind.SWITCHES),
        )

    def objects_newer_than(
        self,
        versions: Versions,
    ) -> list[ConfigurationObject]:
        """Return what somebody with these versions lacks."""
        return [
            accepted
            for kind, accepted in self.objects.items()
            if accepted.version > version_in(versions, kind)
        ]

    def is_behind(self, versions: Versions) -> bool:
        """Whether somebody with these versions has a newer one."""
        return any(
            version_in(versions, kind) > self.version(kind)
            for kind in ConfigurationKind
        )

    def profile(self, name: ProfileName) -> Profile | None:
        """Return a profile."""
        return self._profiles.get(name)

    def index(self, name: IndexName) -> Index | None:
        """Return an index."""
        return self._indexes.get(name)

    def target(self, target_id: TargetId) -> Target | None:
        """Return a target."""
        return self._targets.get(target_id)

    def targets(self) -> Iterable[Target]:
        """Return the targets of all indexes."""
        return self._targets.values()

    def is_out(self, target_id: TargetId) -> bool:
        """Whether operators have taken out a target or its domain."""
        return target_id in self._out

    def _rebuild(self, kind: ConfigurationKind) -> None:
        """Refresh the look-ups of a kind."""
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
        self._out = self._find_out()

    def _find_out(self) -> frozenset[TargetId]:
        """Return the targets that are out themselves or by their domain."""
        switched = self.objects.get(ConfigurationKind.SWITCHES)
        if switched is None:
            return frozenset()
        domains = _names_out(switched.switches.failure_domains)
        by_domain = {
            target_id
            for target_id, target in self._targets.items()
            if target.failure_domain in domains
        }
        by_itself = _names_out(switched.switches.targets)
        return frozenset(by_domain | {TargetId(name) for name in by_itself})


def version_in(versions: Versions, kind: ConfigurationKind) -> Version:
    """Return the version of one kind."""
    match kind:
        case ConfigurationKind.PROFILES:
            return Version(versions.profiles)
        case ConfigurationKind.INDEXES:
            return Version(versions.indexes)
        case ConfigurationKind.SWITCHES:
            return Version(versions.switches)


def _names_out(switches: Iterable[Switch]) -> set[str]:
    """Return the names that are switched out."""
    return {
        switch.name for switch in switches if switch.state == SWITCH_STATE_OUT
    }
