"""Never two senders to one target, whatever fails; and service afterwards."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from bitternturn.membership import view as views
from bitternturn.membership.models import MembershipTimes
from bitternturn.membership.state import MemberState
from tests.membership.faults import (
    edit_step,
    fault,
    frozen_rounds,
    loose_round,
    node_step,
    random_walk,
)
from tests.membership.world import TIMES, Overlap, World

RANDOM = st.randoms(use_true_random=False)
SEED = st.integers(0, 2**32)


class OwnershipMachine(RuleBasedStateMachine):
    """Members under faults chosen by hypothesis."""

    @initialize(count=st.integers(2, 5), seed=SEED, rounds=st.integers(0, 20))
    def begin(self, count, seed, rounds):
        self.world = World(rng=random.Random(seed))
        for _ in range(count):
            self.world.join(self.world.birth())
            self.world.deliver_all()
        for _ in range(rounds):
            self.world.fair_round()

    @rule(seconds=st.sampled_from((0.01, 0.05, 0.2, 0.5, 1.0, 1.1, 6.5)))
    def advance(self, seconds):
        self.world.seconds += seconds

    @precondition(lambda self: self.world.flights)
    @rule(index=st.integers(0, 1000))
    def land(self, index):
        self.world.land(index)

    @precondition(lambda self: self.world.ready())
    @rule(rng=RANDOM)
    def step(self, rng):
        node_step(self.world, rng.choice(self.world.ready()), rng)

    @precondition(lambda self: self.world.ready())
    @rule(rng=RANDOM)
    def edit(self, rng):
        edit_step(self.world, rng.choice(self.world.ready()), rng)

    @rule(rng=RANDOM)
    def fault(self, rng):
        fault(self.world, rng)

    @rule(rng=RANDOM)
    def loose(self, rng):
        loose_round(self.world, rng)

    @rule(rng=RANDOM)
    def frozen(self, rng):
        frozen_rounds(self.world, rng)

    @invariant()
    def one_sender_at_most(self):
        if hasattr(self, 'world'):
            self.world.check()


class ImpatientTimes(MembershipTimes):
    """A mutation: a new owner does not wait for the lease of the old one."""

    @property
    def lease_wait_s(self):
        return 0.0


class GatelessState(MemberState):
    """A mutation: a new owner does not ask for half of an earlier view."""

    def settled(self, view, now):
        return lambda earlier: True


class LateState(MemberState):
    """A mutation: confirmations are counted from when the reply came."""

    def on_digests(self, digests, *, received_at, asked_at):
        super().on_digests(digests, received_at=received_at, asked_at=asked_at)
        self.received_at = received_at

    def on_confirmation(self, confirmation, asked_at):
        return super().on_confirmation(confirmation, self.received_at)


def walk(seed, **mutation):
    random_walk(World(rng=random.Random(seed), **mutation), 100)


def walk_all(seeds, **mutation):
    for seed in seeds:
        walk(seed, **mutation)


class TestSafety:
    def test_state_machine(self):
        run_state_machine_as_test(
            OwnershipMachine,
            settings=settings(max_examples=60, stateful_step_count=50),
        )

    @pytest.mark.parametrize('seed', range(40))
    def test_random_walk(self, seed):
        walk(seed)


class TestCheckBites:
    """The check finds the overlap that each missing rule allows."""

    def test_without_the_wait(self):
        times = ImpatientTimes(
            lease_s=TIMES.lease_s, clock_drift=TIMES.clock_drift
        )
        with pytest.raises(Overlap):
            walk_all(range(30), times=times)

    def test_without_the_gate(self):
        with pytest.raises(Overlap):
            walk_all(range(25), make_state=GatelessState)

    def test_with_confirmations_counted_late(self):
        with pytest.raises(Overlap):
            walk_all(range(20), make_state=LateState)


class TestLiveness:
    @pytest.mark.parametrize('seed', range(15))
    def test_every_target_is_served_after_the_faults(self, seed):
        world = World(rng=random.Random(seed))
        random_walk(world, 60)
        world.heal()
        world.join(world.birth())
        limit = 250
        assert world.rounds_until_served(limit) < limit

    def test_half_replaced_at_once(self):
        world = World(rng=random.Random(1))
        for _ in range(6):
            world.join(world.birth())
            world.deliver_all()
        assert world.rounds_until_served(40) < 40
        for node in world.alive()[::2]:
            world.join(world.restart(node))
        for _ in range(5):
            world.fair_round()
        assert world.rounds_until_served(40) < 40
        assert len(world.view.members) == 6

    def test_long_outage_ends(self):
        world = World(rng=random.Random(2))
        for _ in range(4):
            world.join(world.birth())
            world.deliver_all()
        assert world.rounds_until_served(40) < 40
        world.store_down = True
        for _ in range(100):
            world.fair_round()
            assert len(world.check()) == 6
        world.crash(world.alive()[0])
        world.heal()
        limit = 200
        assert world.rounds_until_served(limit) < limit
        assert views.member_of(world.view, world.alive()[0].state.me)
