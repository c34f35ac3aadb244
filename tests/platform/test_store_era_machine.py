"""Model of instances that follow a store which comes back from older copies."""

from types import SimpleNamespace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bitternturn.core.store_position import (
    era_of,
    make_position,
    revision_of,
)
from bitternturn.gateway import const
from bitternturn.gateway.fleet_state import FleetState
from bitternturn.gateway.models import TargetState
from bitternturn.platform.source import KindHandler, StoreSource
from bitternturn.platform.store import ObjectEvent, ObjectMeta, PlatformObject
from bitternturn.relay.copies import StoreCopies
from bitternturn.schema.relay_pb2 import Changes
from tests.gateway.helpers import (
    SETTINGS,
    FakeTarget,
    make_entry,
    make_gateway,
)

KIND = 'kind'
# The nodes share it: copies do not depend on it.
GATEWAY = make_gateway()
# Each node follows the one before it; the first one reads the store.
NODES = ('reader', 'relay', 'follower-1', 'follower-2')
SOURCE_OF = {'relay': 'reader', 'follower-1': 'relay', 'follower-2': 'relay'}
NAMES = st.sampled_from('abc')
# More than the time after which a restored store is believed and a missing entry
# is removed.
SETTLED_S = const.RESTORED_DOUBT_S + const.EXPIRED_ENTRY_GRACE_S


def entry_of(name, spec):
    """Return the entry of a target: ready if its content is even."""
    state = TargetState.DRAINING if spec % 2 else TargetState.READY
    return make_entry(FakeTarget(name), state=state, slots=spec + 1)


class Node:
    """An instance with what its handlers were told."""

    def __init__(self):
        self.view = {}
        self.eras = []
        self.now = 0.0
        self.fleet = FleetState()
        self.source = StoreSource(
            settings=SETTINGS,
            gateway=GATEWAY,
            store=None,
            delegation=SimpleNamespace(),
            tasks=None,
            handlers={
                KIND: KindHandler(
                    replace_all=self.replace_all,
                    restore_all=self.restore_all,
                    apply_events=self.apply_events,
                )
            },
        )
        self.copy = self.source.copies.kinds[KIND]
        # Messages that have not arrived, as functions that deliver them.
        self.inbox = []

    def replace_all(self, objects):
        entries = self.replace_view(objects)
        self.fleet.replace_entries(entries, self.now)

    def restore_all(self, objects):
        entries = self.replace_view(objects)
        self.fleet.store_failed_at = self.now
        self.fleet.restore_entries(entries, self.now)

    def replace_view(self, objects):
        self.view = {stored.meta.name: stored.spec for stored in objects}
        entries = [entry_of(name, spec) for name, spec in self.view.items()]
        return {entry.id: entry for entry in entries}

    def apply_events(self, events):
        for event in events:
            name = event.object.meta.name
            if event.deleted:
                self.view.pop(name, None)
                self.fleet.remove_entry(FakeTarget(name).id, self.now)
            else:
                self.view[name] = event.object.spec
                self.fleet.update_entry(entry_of(name, event.object.spec))

    def expected_entries(self):
        entries = [entry_of(name, spec) for name, spec in self.view.items()]
        return {entry.id: entry for entry in entries}

    def deliver_list(self, objects, position):
        self.source._on_store_list(KIND, objects, position)

    def deliver_events(self, events, position):
        self.source._on_store_events(KIND, events, position)

    def deliver_changes(self, wire):
        self.source._apply_changes(Changes.FromString(wire), 'peer')


class EraMachine(RuleBasedStateMachine):
    """Writes, copies, restores and messages in any order."""

    def __init__(self):
        super().__init__()
        self.era = 1
        self.revision = 1
        self.objects = {}
        self.history = []
        # Revision after which the history is kept.
        self.history_start = 0
        self.copies = []
        self.nodes = {name: Node() for name in NODES}
        self.positions = dict.fromkeys(NODES, 0)

    # The store

    def place(self, name, revision, spec):
        return PlatformObject(
            meta=ObjectMeta(
                name=name, revision=make_position(self.era, revision)
            ),
            spec=spec,
        )

    @rule(name=NAMES, spec=st.integers(0, 9))
    def put(self, name, spec):
        self.revision += 1
        self.objects[name] = (self.revision, spec)
        self.history.append((name, self.revision, spec, False))

    @rule(name=NAMES)
    def delete(self, name):
        if name in self.objects:
            self.revision += 1
            del self.objects[name]
            self.history.append((name, self.revision, None, True))

    @rule()
    def copy_state(self):
        self.copies.append(
            (
                self.revision,
                dict(self.objects),
                list(self.history),
                self.history_start,
            )
        )

    @rule(data=st.data())
    def restore(self, data):
        if self.copies:
            copied = data.draw(st.sampled_from(self.copies))
            revision, objects, history, self.history_start = copied
            self.era += 1
            self.revision = revision
            self.objects, self.history = dict(objects), list(history)

    @rule()
    def compact(self):
        """Drop the history; watches from before are gone."""
        self.history_start = self.revision
        self.history = []

    @rule(name=st.sampled_from(NODES), passed_s=st.sampled_from([0.5, 2, 4]))
    def let_time_pass(self, name, passed_s):
        node = self.nodes[name]
        node.now += passed_s
        node.fleet.settle(node.now)

    @rule(name=NAMES, spec=st.integers(0, 9), reader=st.sampled_from(NODES))
    def bring_back(self, name, spec, reader):
        """Restore a target that was removed, as known to one instance.

        Of single steps, few sequences contain this one.
        """
        self.put(name, spec)
        self.read_list_at_once(reader)
        self.copy_state()
        copied = self.copies[-1]
        self.delete(name)
        self.read_list_at_once(reader)
        self.era += 1
        self.revision, objects, history, self.history_start = copied
        self.objects, self.history = dict(objects), list(history)
        self.read_list_at_once(reader)

    @rule(name=NAMES, reader=st.sampled_from(NODES))
    def remove_without_event(self, name, reader):
        """Remove a target of which one instance learns by a list."""
        self.delete(name)
        self.read_list_at_once(reader)

    # Messages

    def list_store(self):
        objects = [
            self.place(name, revision, spec)
            for name, (revision, spec) in self.objects.items()
        ]
        return objects, make_position(self.era, self.revision)

    @rule(name=st.sampled_from(NODES))
    def read_list(self, name):
        node = self.nodes[name]
        objects, position = self.list_store()
        node.inbox.append(lambda: node.deliver_list(objects, position))

    @rule(name=st.sampled_from(NODES))
    def read_list_at_once(self, name):
        self.read_list(name)
        self.nodes[name].inbox.pop()()

    @rule(name=st.sampled_from(NODES))
    def read_watch(self, name):
        node = self.nodes[name]
        position = node.copy.revision
        if era_of(position) != self.era:
            return
        if revision_of(position) < self.history_start:
            return
        events = [
            ObjectEvent(object=self.place(changed, at, spec), deleted=deleted)
            for changed, at, spec, deleted in self.history
            if make_position(self.era, at) > position
        ]
        reached = make_position(self.era, self.revision)
        node.inbox.append(lambda: node.deliver_events(events, reached))

    @rule(name=st.sampled_from(sorted(SOURCE_OF)))
    def poll(self, name):
        node = self.nodes[name]
        copies: StoreCopies = self.nodes[SOURCE_OF[name]].source.copies
        changes = copies._collect_changes(node.source.copies.revisions())
        wire = changes.SerializeToString()
        node.inbox.append(lambda: node.deliver_changes(wire))

    @rule(name=st.sampled_from(NODES), data=st.data())
    def deliver(self, name, data):
        inbox = self.nodes[name].inbox
        if inbox:
            place = data.draw(st.integers(0, len(inbox) - 1))
            inbox.pop(place)()

    # Checks

    @invariant()
    def positions_never_go_back(self):
        for name, node in self.nodes.items():
            assert node.copy.revision >= self.positions[name]
            self.positions[name] = node.copy.revision

    @invariant()
    def copies_agree_with_what_was_applied(self):
        for node in self.nodes.values():
            assert sorted(node.view) == sorted(node.copy.objects)

    @invariant()
    def missing_targets_are_forgotten(self):
        """What no list or event names may only be an entry that expired."""
        for name, node in self.nodes.items():
            listed = node.expected_entries().keys()
            fleet = node.fleet
            assert fleet.doubted.keys() <= listed, name
            assert fleet.entries.keys() - listed <= fleet.missing_until.keys()

    def teardown(self):
        """Read the store once more; every node ends on its state."""
        self.read_list_at_once('reader')
        for name in SOURCE_OF:
            self.poll(name)
            self.nodes[name].inbox[-1]()
        stored = {name: spec for name, (_, spec) in self.objects.items()}
        for name, node in self.nodes.items():
            assert node.view == stored, name
            node.fleet.settle(node.now + SETTLED_S)
            assert node.fleet.entries == node.expected_entries(), name


TestEraMachine = EraMachine.TestCase
TestEraMachine.settings = settings(max_examples=300, stateful_step_count=30)
