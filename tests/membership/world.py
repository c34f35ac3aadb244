"""A world of members on fake time: clocks, store, messages and faults."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from bitternturn.core.errors import BitternturnError
from bitternturn.core.ids import Incarnation, TargetId, Version
from bitternturn.membership import view as views
from bitternturn.membership.models import MembershipTimes
from bitternturn.membership.state import MemberState
from bitternturn.schema.config_pb2 import Target
from bitternturn.schema.membership_pb2 import (
    MEMBER_STATE_ACTIVE,
    Member,
    View,
)

DOMAINS = ('a', 'b', 'c')
TARGETS = [Target(id=f't{n}', failure_domain=DOMAINS[n % 3]) for n in range(6)]
TIMES = MembershipTimes(lease_s=1.0, clock_drift=0.05)


class Overlap(AssertionError):
    """Two members may send to one target at one instant."""


@dataclass
class Node:
    member: Member
    state: MemberState
    rate: float
    offset: float
    alive: bool = True
    # A step that has read the clock and waits to be run.
    stalled: Callable[[], None] | None = None

    @property
    def name(self):
        return self.member.instance_id


@dataclass
class Flight:
    """A message or store call under way; `land` is what it does."""

    sender: str
    receiver: str
    land: Callable[[], None]


@dataclass
class World:
    rng: random.Random
    times: MembershipTimes = TIMES
    make_state: Callable = MemberState
    seconds: float = 0.0
    version: int = 0
    view: View = field(default_factory=View)
    nodes: dict = field(default_factory=dict)
    flights: list = field(default_factory=list)
    store_cut: set = field(default_factory=set)
    store_down: bool = False
    cuts: set = field(default_factory=set)
    started: int = 0
    born: int = 0

    def clock(self, node):
        return node.offset + node.rate * self.seconds

    def check(self):
        senders = {}
        for node in self.alive():
            now = self.clock(node)
            for target in TARGETS:
                if node.state.may_send(TargetId(target.id), now):
                    senders.setdefault(target.id, []).append(node.name)
        for target, names in senders.items():
            if len(names) > 1:
                raise Overlap(f'{target}: {names} at {self.seconds}')
        return senders

    def alive(self):
        return [node for node in self.nodes.values() if node.alive]

    def ready(self):
        return [node for node in self.alive() if node.stalled is None]

    # Steps of one node. Each reads the clock, and acts at once or later.

    def act(self, node, step, stall=False):
        now = self.clock(node)
        if stall:
            node.stalled = lambda: step(now)
        else:
            step(now)

    def resume(self, node):
        step, node.stalled = node.stalled, None
        if step is not None:
            step()

    def birth(self, name=None):
        self.born += 1
        name = name or f'i{self.born}'
        member = Member(
            instance_id=name,
            incarnation=self.rng.getrandbits(63),
            failure_domain=DOMAINS[int(name[1:]) % len(DOMAINS)],
        )
        node = Node(
            member=member,
            state=self.make_state(
                me=Incarnation(member.incarnation),
                times=self.times,
                is_gone=lambda instance, now: not self.nodes[instance].alive,
            ),
            rate=1 + self.rng.random() * self.times.clock_drift,
            offset=self.rng.random() * 1000,
        )
        self.nodes[name] = node
        return node

    def begin_read(self, node, stall=False):
        def step(started):
            if not self.reaches_store(node):
                node.state.on_read_failed(self.clock(node))
                return
            self.fly(node, 'store', lambda: self._answer_read(node, started))

        self.act(node, step, stall)

    def _answer_read(self, node, started):
        view = self.copy_view()
        if not view.version:
            return

        def land():
            self.act(
                node,
                lambda now: node.state.on_read(view, started, TARGETS, now),
                self.rng.random() < 0.1,
            )

        self.fly('store', node, land)

    def begin_edit(self, node, edit, stall=False):
        if not self.reaches_store(node):
            return
        base = self.copy_view()

        def step(now):
            edited = edit(base)
            try:
                edited = views.settle(edited, node.state.settled(edited, now))
            except BitternturnError:
                return
            self.fly(node, 'store', lambda: self._commit(edited, base))

        self.act(node, step, stall)

    def _commit(self, edited, base):
        if self.version != base.version:
            return
        self.version += self.rng.randint(1, 3)
        self.view = edited

    def copy_view(self):
        view = View()
        view.CopyFrom(self.view)
        view.version = self.version
        return view

    def probe(self, node, other):
        asked_at = self.clock(node)
        digests = node.state.outgoing(asked_at, 3)

        def answer(now):
            other.state.on_digests(digests, received_at=now, asked_at=None)
            reply = other.state.outgoing(now, 3)
            confirmation = other.state.confirmation(now)
            self.fly(
                other,
                node,
                lambda: self.act(
                    node,
                    lambda at: take(at, reply, confirmation),
                    self.rng.random() < 0.1,
                ),
            )

        def take(at, reply, confirmation):
            node.state.on_digests(reply, received_at=at, asked_at=asked_at)
            if confirmation is not None:
                node.state.on_confirmation(confirmation, asked_at)

        self.fly(
            node,
            other,
            lambda: self.act(other, answer, self.rng.random() < 0.1),
        )

    def send_view(self, node, other):
        if node.state.view is None:
            return
        view = View()
        view.CopyFrom(node.state.view)
        self.fly(
            node,
            other,
            lambda: self.act(
                other, lambda now: other.state.on_view(view, TARGETS, now)
            ),
        )

    def tick(self, node, stall=False):
        self.act(node, node.state.tick, stall)

    def release(self, node):
        for release in node.state.ownership.to_release(self.clock(node)):
            if not node.state.ownership.on_release_done(release):
                continue
            other = self.nodes.get(release.to.instance_id)
            if other is None:
                continue
            self.fly(
                node, other, partial(self._land_release, other, node, release)
            )

    def _land_release(self, other, node, release):
        other.state.ownership.on_released(
            release.target,
            node.state.me,
            release.view_version,
            self.clock(other),
        )

    # Messages.

    def fly(self, sender, receiver, land):
        names = [
            end if isinstance(end, str) else end.name
            for end in (sender, receiver)
        ]
        self.flights.append(Flight(names[0], names[1], land))

    def land(self, index):
        """Let a message arrive; it is lost if its ends are cut off."""
        flight = self.flights.pop(index % len(self.flights))
        receiver = self.nodes.get(flight.receiver)
        if receiver is not None:
            if not receiver.alive:
                return
            if receiver.stalled is not None:
                self.flights.append(flight)
                return
        if not self.is_cut(flight.sender, flight.receiver):
            flight.land()

    def is_cut(self, one, other):
        if 'store' in (one, other):
            return False
        return frozenset((one, other)) in self.cuts

    def reaches_store(self, node):
        return not self.store_down and node.name not in self.store_cut

    # Whole acts of a node.

    def join(self, node):
        self.begin_edit(node, lambda view: views.join(view, node.member))

    def leave(self, node):
        self.begin_edit(node, lambda view: views.leave(view, node.state.me))

    def remove(self, node, other, stall=False):
        key = Version(other.member.incarnation)
        self.begin_edit(node, lambda view: views.remove(view, [key]), stall)

    def crash(self, node):
        node.alive = False
        node.stalled = None

    def restart(self, node):
        """Replace a process that has ended, or one found replaced."""
        self.crash(node)
        self.flights = [
            flight
            for flight in self.flights
            if node.name not in (flight.sender, flight.receiver)
        ]
        return self.birth(node.name)

    def heal(self):
        self.store_down = False
        self.store_cut.clear()
        self.cuts.clear()
        for node in self.alive():
            self.resume(node)

    # Fair running, without faults.

    def deliver_all(self, frozen=frozenset()):
        for _ in range(4):
            flights, self.flights = self.flights, []
            for flight in flights:
                if flight.receiver in frozen:
                    self.flights.append(flight)
                    continue
                self.flights.insert(0, flight)
                self.land(0)
                for node in self.running(frozen):
                    self.resume(node)
            self.check()

    def running(self, frozen):
        return [node for node in self.alive() if node.name not in frozen]

    def fair_round(self, frozen=frozenset()):
        """Let the members do what their services do in 100 ms.

        Those that are frozen neither act nor receive, but may wake up.
        """
        self.seconds += 0.1
        running = self.running(frozen)
        listed = {
            member.incarnation
            for member in self.view.members
            if member.state == MEMBER_STATE_ACTIVE
        }
        for node in running:
            self.begin_read(node)
            others = [other for other in running if other is not node]
            for other in others:
                self.probe(node, other)
                self.send_view(node, other)
        self.deliver_all(frozen)
        for node in running:
            node.state.tick(self.clock(node))
            self.check()
            self.release(node)
        self.deliver_all(frozen)
        self._repair(listed, running)
        self.deliver_all(frozen)

    def _repair(self, listed, running):
        """Join one that is not listed, or remove one that is silent."""
        for node in running:
            if node.member.incarnation not in listed:
                if self.has_been_listed(node):
                    node = self.restart(node)
                self.join(node)
                return
        alive = {node.member.incarnation for node in running}
        dead = {member.incarnation for member in self.view.members} - alive
        if dead and running:
            self.begin_edit(running[0], lambda view: views.remove(view, dead))

    def has_been_listed(self, node):
        key = node.member.incarnation
        return any(change.incarnation == key for change in self.view.changes)

    def rounds_until_served(self, limit):
        for count in range(limit):
            served = self.check()
            if len(served) == len(TARGETS):
                return count
            self.fair_round()
        return limit
