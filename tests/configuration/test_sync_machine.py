"""State machine: versions in any order never revert; instances converge."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from bitternturn.configuration.models import ConfigurationKind, wrap_content
from bitternturn.platform.models import ObjectList, StoredObject
from bitternturn.schema.config_pb2 import Profiles, Switches
from tests.configuration.fakes import make_profile, switch_out
from tests.configuration.test_sync import Instance, ScriptedClient

INSTANCES = 3
KINDS = (ConfigurationKind.PROFILES, ConfigurationKind.SWITCHES)
instances = st.integers(0, INSTANCES - 1)
kinds = st.sampled_from(KINDS)


def make_content(kind: ConfigurationKind, version: int):
    """Return a content that identifies its version."""
    if kind is ConfigurationKind.PROFILES:
        return Profiles(profiles=[make_profile(f'p{version}')])
    return Switches(targets=[switch_out(f't{version}')])


class SyncMachine(RuleBasedStateMachine):
    """Instances and a store, with messages that are delayed or lost."""

    writes = Bundle('writes')
    lists = Bundle('lists')
    replies = Bundle('replies')

    @initialize()
    def start(self):
        self.instances = [Instance(ScriptedClient()) for _ in range(INSTANCES)]
        self.objects = {}
        self.version = 0
        self.highest = [
            self.versions_of(instance) for instance in range(INSTANCES)
        ]

    def versions_of(self, instance: int) -> list[int]:
        state = self.instances[instance].state
        return [state.version(kind) for kind in KINDS]

    @rule(target=writes, kind=kinds)
    def accept(self, kind):
        self.version += 1
        content = make_content(kind, self.version)
        self.objects[kind] = StoredObject(
            kind='control',
            name=kind.value,
            version=self.version,
            value=content.SerializeToString(),
        )
        return self.objects[kind]

    @rule(instance=instances, write=writes)
    def apply_watch_event(self, instance, write):
        self.instances[instance].sync.apply_stored(write)

    @rule(target=lists)
    def read_list(self):
        items = tuple(self.objects.values())
        return ObjectList(version=self.version, items=items)

    @rule(instance=instances, listed=lists)
    def apply_list(self, instance, listed):
        self.instances[instance].sync.apply_list(listed)

    @rule(target=replies, requester=instances, peer=instances)
    def fetch_from_peer(self, requester, peer):
        versions = self.instances[requester].sync.versions()
        return self.instances[peer].sync.make_fetch_reply(versions)

    @rule(instance=instances, reply=replies)
    def apply_reply(self, instance, reply):
        self.instances[instance].sync.apply_reply(reply)

    @rule(instance=instances)
    def restart(self, instance):
        self.instances[instance] = Instance(ScriptedClient())
        self.highest[instance] = self.versions_of(instance)

    @rule(reader=instances)
    def converge(self, reader):
        """One instance reads the store; the others fetch from it."""
        self.apply_list(reader, self.read_list())
        for instance in range(INSTANCES):
            versions = self.instances[reader].sync.versions()
            assert not self.instances[reader].sync.is_behind(
                self.instances[instance].sync.versions()
            )
            if self.instances[instance].sync.is_behind(versions):
                self.apply_reply(
                    instance, self.fetch_from_peer(instance, reader)
                )
        newest = [
            self.objects[kind].version if kind in self.objects else 0
            for kind in KINDS
        ]
        for instance in range(INSTANCES):
            assert self.versions_of(instance) == newest

    @invariant()
    def never_reverts(self):
        for instance in range(INSTANCES):
            current = self.versions_of(instance)
            before = self.highest[instance]
            assert all(
                new >= old for new, old in zip(current, before, strict=True)
            )
            self.highest[instance] = current

    @invariant()
    def content_matches_its_version(self):
        for instance in self.instances:
            for kind, accepted in instance.state.objects.items():
                content = make_content(kind, accepted.version)
                assert accepted == wrap_content(content, accepted.version)


TestSync = SyncMachine.TestCase
