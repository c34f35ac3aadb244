"""Simulation of members on virtual time, with clocks, store and faults."""

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


class OverlapError(AssertionError):
    """Two members may send to the same target at the same time."""


@dataclass
class Instance:
    member: Member
    state: MemberState
    # Rate and offset of the instance's clock relative to `now_s`.
    rate: float
    offset: float
    alive: bool = True
    # A step that has read the clock but has not run yet.
    stalled: Callable[[], None] | None = None

    @property
    def name(self):
        return self.member.instance_id


@dataclass
class Message:
    """A message or store call in flight; `deliver` is its effect."""

    sender: str
    receiver: str
    deliver: Callable[[], None]


@dataclass
class Simulation:
    rng: random.Random
    times: MembershipTimes = TIMES
    make_state: Callable = MemberState
    now_s: float = 0.0
    version: int = 0
    view: View = field(default_factory=View)
    instances: dict = field(default_factory=dict)
    messages: list = field(default_factory=list)
    store_cut: set = field(default_factory=set)
    store_down: bool = False
    cuts: set = field(default_factory=set)
    started: int = 0
    added: int = 0

    def clock(self, instance):
        return instance.offset + instance.rate * self.now_s

    def check(self):
        """Raise OverlapError on overlap; return the senders by target."""
        senders = {}
        for instance in self.alive():
            now = self.clock(instance)
            for target in TARGETS:
                if instance.state.may_send(TargetId(target.id), now):
                    senders.setdefault(target.id, []).append(instance.name)
        for target, names in senders.items():
            if len(names) > 1:
                raise OverlapError(f'{target}: {names} at {self.now_s}')
        return senders

    def alive(self):
        return [
            instance for instance in self.instances.values() if instance.alive
        ]

    def ready(self):
        return [
            instance for instance in self.alive() if instance.stalled is None
        ]

    # Steps of one instance. Each reads the clock and runs at once, or later if
    # stalled.

    def run_step(self, instance, step, stall=False):
        now = self.clock(instance)
        if stall:
            instance.stalled = lambda: step(now)
        else:
            step(now)

    def resume(self, instance):
        step, instance.stalled = instance.stalled, None
        if step is not None:
            step()

    def add_instance(self, name=None):
        self.added += 1
        name = name or f'i{self.added}'
        member = Member(
            instance_id=name,
            incarnation=self.rng.getrandbits(63),
            failure_domain=DOMAINS[int(name[1:]) % len(DOMAINS)],
        )
        instance = Instance(
            member=member,
            state=self.make_state(
                me=Incarnation(member.incarnation),
                times=self.times,
                is_gone=lambda instance, now: (
                    not self.instances[instance].alive
                ),
            ),
            rate=1 + self.rng.random() * self.times.clock_drift,
            offset=self.rng.random() * 1000,
        )
        self.instances[name] = instance
        return instance

    def begin_read(self, instance, stall=False):
        def step(started):
            if not self.reaches_store(instance):
                instance.state.record_read_failure(self.clock(instance))
                return
            self.transmit(
                instance, 'store', lambda: self._answer_read(instance, started)
            )

        self.run_step(instance, step, stall)

    def _answer_read(self, instance, started):
        view = self.copy_view()
        if not view.version:
            return

        def deliver():
            self.run_step(
                instance,
                lambda now: instance.state.apply_read(
                    view, started, TARGETS, now
                ),
                self.rng.random() < 0.1,
            )

        self.transmit('store', instance, deliver)

    def begin_edit(self, instance, edit, stall=False):
        if not self.reaches_store(instance):
            return
        base = self.copy_view()

        def step(now):
            edited = edit(base)
            try:
                edited = views.drop_settled(
                    edited, instance.state.make_settled_check(edited, now)
                )
            except BitternturnError:
                return
            self.transmit(instance, 'store', lambda: self._commit(edited, base))

        self.run_step(instance, step, stall)

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

    def probe(self, instance, other):
        requested_at = self.clock(instance)
        digests = instance.state.outgoing_digests(requested_at, 3)

        def answer(now):
            other.state.merge_digests(
                digests, received_at=now, requested_at=None
            )
            reply = other.state.outgoing_digests(now, 3)
            confirmation = other.state.confirmation(now)
            self.transmit(
                other,
                instance,
                lambda: self.run_step(
                    instance,
                    lambda at: apply_reply(at, reply, confirmation),
                    self.rng.random() < 0.1,
                ),
            )

        def apply_reply(at, reply, confirmation):
            instance.state.merge_digests(
                reply, received_at=at, requested_at=requested_at
            )
            if confirmation is not None:
                instance.state.apply_confirmation(confirmation, requested_at)

        self.transmit(
            instance,
            other,
            lambda: self.run_step(other, answer, self.rng.random() < 0.1),
        )

    def send_view(self, instance, other):
        if instance.state.view is None:
            return
        view = View()
        view.CopyFrom(instance.state.view)
        self.transmit(
            instance,
            other,
            lambda: self.run_step(
                other, lambda now: other.state.apply_view(view, TARGETS, now)
            ),
        )

    def tick(self, instance, stall=False):
        self.run_step(instance, instance.state.tick, stall)

    def release(self, instance):
        for release in instance.state.ownership.pending_releases(
            self.clock(instance)
        ):
            if not instance.state.ownership.finish_release(release):
                continue
            other = self.instances.get(release.next_owner.instance_id)
            if other is None:
                continue
            self.transmit(
                instance,
                other,
                partial(self._deliver_release, other, instance, release),
            )

    def _deliver_release(self, other, instance, release):
        other.state.ownership.apply_handover(
            release.target,
            instance.state.me,
            release.view_version,
            self.clock(other),
        )

    # Messages.

    def transmit(self, sender, receiver, deliver):
        names = [
            end if isinstance(end, str) else end.name
            for end in (sender, receiver)
        ]
        self.messages.append(Message(names[0], names[1], deliver))

    def deliver(self, index):
        """Deliver a message; drop it if its ends are disconnected."""
        message = self.messages.pop(index % len(self.messages))
        receiver = self.instances.get(message.receiver)
        if receiver is not None:
            if not receiver.alive:
                return
            if receiver.stalled is not None:
                self.messages.append(message)
                return
        if not self.is_cut(message.sender, message.receiver):
            message.deliver()

    def is_cut(self, one, other):
        if 'store' in (one, other):
            return False
        return frozenset((one, other)) in self.cuts

    def reaches_store(self, instance):
        return not self.store_down and instance.name not in self.store_cut

    # Operations of an instance.

    def join(self, instance):
        self.begin_edit(
            instance, lambda view: views.join(view, instance.member)
        )

    def leave(self, instance):
        self.begin_edit(
            instance, lambda view: views.leave(view, instance.state.me)
        )

    def remove(self, instance, other, stall=False):
        key = Version(other.member.incarnation)
        self.begin_edit(instance, lambda view: views.remove(view, [key]), stall)

    def crash(self, instance):
        instance.alive = False
        instance.stalled = None

    def restart(self, instance):
        """Replace a process that has ended or was removed from the view."""
        self.crash(instance)
        self.messages = [
            message
            for message in self.messages
            if instance.name not in (message.sender, message.receiver)
        ]
        return self.add_instance(instance.name)

    def heal(self):
        self.store_down = False
        self.store_cut.clear()
        self.cuts.clear()
        for instance in self.alive():
            self.resume(instance)

    # Rounds without faults.

    def deliver_all(self, frozen=frozenset()):
        for _ in range(4):
            messages, self.messages = self.messages, []
            for message in messages:
                if message.receiver in frozen:
                    self.messages.append(message)
                    continue
                self.messages.insert(0, message)
                self.deliver(0)
                for instance in self.running(frozen):
                    self.resume(instance)
            self.check()

    def running(self, frozen):
        return [
            instance for instance in self.alive() if instance.name not in frozen
        ]

    def fair_round(self, frozen=frozenset()):
        """Run the steps that services take in 100 ms.

        Frozen members neither act nor receive until a later round.
        """
        self.now_s += 0.1
        running = self.running(frozen)
        listed = {
            member.incarnation
            for member in self.view.members
            if member.state == MEMBER_STATE_ACTIVE
        }
        for instance in running:
            self.begin_read(instance)
            others = [other for other in running if other is not instance]
            for other in others:
                self.probe(instance, other)
                self.send_view(instance, other)
        self.deliver_all(frozen)
        for instance in running:
            instance.state.tick(self.clock(instance))
            self.check()
            self.release(instance)
        self.deliver_all(frozen)
        self._repair(listed, running)
        self.deliver_all(frozen)

    def _repair(self, listed, running):
        """Join one unlisted instance, or remove the members not running."""
        for instance in running:
            if instance.member.incarnation not in listed:
                if self.has_been_listed(instance):
                    instance = self.restart(instance)
                self.join(instance)
                return
        alive = {instance.member.incarnation for instance in running}
        dead = {member.incarnation for member in self.view.members} - alive
        if dead and running:
            self.begin_edit(running[0], lambda view: views.remove(view, dead))

    def has_been_listed(self, instance):
        key = instance.member.incarnation
        return any(change.incarnation == key for change in self.view.changes)

    def rounds_until_served(self, limit):
        for count in range(limit):
            served = self.check()
            if len(served) == len(TARGETS):
                return count
            self.fair_round()
        return limit
