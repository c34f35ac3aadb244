"""State machine: versions in any order never revert, and all agree."""

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
from tests.configuration.test_spread import Node, ScriptedClient

NODES = 3
KINDS = (ConfigurationKind.PROFILES, ConfigurationKind.SWITCHES)
nodes = st.integers(0, NODES - 1)
kinds = st.sampled_from(KINDS)


def make_content(kind: ConfigurationKind, version: int):
    """Return a content that tells its version."""
    if kind is ConfigurationKind.PROFILES:
        return Profiles(profiles=[make_profile(f'p{version}')])
    return Switches(targets=[switch_out(f't{version}')])


class SpreadMachine(RuleBasedStateMachine):
    """Some instances, a store, and messages that come late or never."""

    writes = Bundle('writes')
    lists = Bundle('lists')
    replies = Bundle('replies')

    @initialize()
    def start(self):
        self.nodes = [Node(ScriptedClient()) for _ in range(NODES)]
        self.objects = {}
        self.version = 0
        self.highest = [self.versions_of(node) for node in range(NODES)]

    def versions_of(self, node: int) -> list[int]:
        state = self.nodes[node].state
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

    @rule(node=nodes, write=writes)
    def watch_brings(self, node, write):
        self.nodes[node].spread.take_stored(write)

    @rule(target=lists)
    def read_list(self):
        items = tuple(self.objects.values())
        return ObjectList(version=self.version, items=items)

    @rule(node=nodes, listed=lists)
    def list_arrives(self, node, listed):
        self.nodes[node].spread.take_list(listed)

    @rule(target=replies, asker=nodes, peer=nodes)
    def ask_peer(self, asker, peer):
        versions = self.nodes[asker].spread.versions()
        return self.nodes[peer].spread.answer_fetch(versions)

    @rule(node=nodes, reply=replies)
    def reply_arrives(self, node, reply):
        self.nodes[node].spread.take_reply(reply)

    @rule(node=nodes)
    def restart(self, node):
        self.nodes[node] = Node(ScriptedClient())
        self.highest[node] = self.versions_of(node)

    @rule(informed=nodes)
    def quiet(self, informed):
        """One instance reaches the store; the others only their peers."""
        self.list_arrives(informed, self.read_list())
        for node in range(NODES):
            versions = self.nodes[informed].spread.versions()
            assert not self.nodes[informed].spread.is_behind(
                self.nodes[node].spread.versions()
            )
            if self.nodes[node].spread.is_behind(versions):
                self.reply_arrives(node, self.ask_peer(node, informed))
        newest = [
            self.objects[kind].version if kind in self.objects else 0
            for kind in KINDS
        ]
        for node in range(NODES):
            assert self.versions_of(node) == newest

    @invariant()
    def never_reverts(self):
        for node in range(NODES):
            present = self.versions_of(node)
            before = self.highest[node]
            assert all(
                new >= old for new, old in zip(present, before, strict=True)
            )
            self.highest[node] = present

    @invariant()
    def content_is_that_of_its_version(self):
        for node in self.nodes:
            for kind, accepted in node.state.objects.items():
                content = make_content(kind, accepted.version)
                assert accepted == wrap_content(content, accepted.version)


TestSpread = SpreadMachine.TestCase
