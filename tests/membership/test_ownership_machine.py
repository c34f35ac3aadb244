"""Tests that faults never cause two senders to one target.

After the faults, every target is served again.
"""

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
    instance_step,
    random_round,
    random_walk,
)
from tests.membership.simulation import TIMES, OverlapError, Simulation

RANDOM = st.randoms(use_true_random=False)
SEED = st.integers(0, 2**32)


class OwnershipMachine(RuleBasedStateMachine):
    """Members under steps and faults chosen by hypothesis."""

    @initialize(count=st.integers(2, 5), seed=SEED, rounds=st.integers(0, 20))
    def begin(self, count, seed, rounds):
        self.simulation = Simulation(rng=random.Random(seed))
        for _ in range(count):
            self.simulation.join(self.simulation.add_instance())
            self.simulation.deliver_all()
        for _ in range(rounds):
            self.simulation.fair_round()

    @rule(seconds=st.sampled_from((0.01, 0.05, 0.2, 0.5, 1.0, 1.1, 6.5)))
    def advance(self, seconds):
        self.simulation.now_s += seconds

    @precondition(lambda self: self.simulation.messages)
    @rule(index=st.integers(0, 1000))
    def message_delivery(self, index):
        self.simulation.deliver(index)

    @precondition(lambda self: self.simulation.ready())
    @rule(rng=RANDOM)
    def step(self, rng):
        instance_step(self.simulation, rng.choice(self.simulation.ready()), rng)

    @precondition(lambda self: self.simulation.ready())
    @rule(rng=RANDOM)
    def edit(self, rng):
        edit_step(self.simulation, rng.choice(self.simulation.ready()), rng)

    @rule(rng=RANDOM)
    def fault(self, rng):
        fault(self.simulation, rng)

    @rule(rng=RANDOM)
    def random_round(self, rng):
        random_round(self.simulation, rng)

    @rule(rng=RANDOM)
    def frozen_rounds(self, rng):
        frozen_rounds(self.simulation, rng)

    @invariant()
    def one_sender_at_most(self):
        if hasattr(self, 'simulation'):
            self.simulation.check()


class NoLeaseWaitTimes(MembershipTimes):
    """Mutation: a new owner does not wait for the lease of the old one."""

    @property
    def lease_expiry_wait_s(self):
        return 0.0


class NoSettlingState(MemberState):
    """Mutation: a new owner does not wait for earlier views to settle."""

    def make_settled_check(self, view, now):
        return lambda earlier: True


class LateConfirmationState(MemberState):
    """Mutation: confirmations count from the time of the reply."""

    def merge_digests(self, digests, *, received_at, requested_at):
        super().merge_digests(
            digests, received_at=received_at, requested_at=requested_at
        )
        self.received_at = received_at

    def apply_confirmation(self, confirmation, requested_at):
        return super().apply_confirmation(confirmation, self.received_at)


def walk(seed, **mutation):
    random_walk(Simulation(rng=random.Random(seed), **mutation), 100)


def walk_all(seeds, **mutation):
    for seed in seeds:
        walk(seed, **mutation)


class TestSafety:
    def test_state_machine_has_no_overlap(self):
        run_state_machine_as_test(
            OwnershipMachine,
            settings=settings(max_examples=60, stateful_step_count=50),
        )

    @pytest.mark.parametrize('seed', range(40))
    def test_random_walk_has_no_overlap(self, seed):
        walk(seed)


class TestCheckDetectsMutations:
    """The check detects the overlap that each mutation permits."""

    def test_missing_wait_for_the_lease(self):
        times = NoLeaseWaitTimes(
            lease_s=TIMES.lease_s, clock_drift=TIMES.clock_drift
        )
        with pytest.raises(OverlapError):
            walk_all(range(30), times=times)

    def test_missing_wait_for_settled_views(self):
        with pytest.raises(OverlapError):
            walk_all(range(25), make_state=NoSettlingState)

    def test_confirmations_counted_from_the_reply(self):
        with pytest.raises(OverlapError):
            walk_all(range(20), make_state=LateConfirmationState)


class TestLiveness:
    @pytest.mark.parametrize('seed', range(15))
    def test_every_target_is_served_after_the_faults(self, seed):
        simulation = Simulation(rng=random.Random(seed))
        random_walk(simulation, 60)
        simulation.heal()
        simulation.join(simulation.add_instance())
        limit = 250
        assert simulation.rounds_until_served(limit) < limit

    def test_targets_are_served_after_half_is_replaced(self):
        simulation = Simulation(rng=random.Random(1))
        for _ in range(6):
            simulation.join(simulation.add_instance())
            simulation.deliver_all()
        assert simulation.rounds_until_served(40) < 40
        for instance in simulation.alive()[::2]:
            simulation.join(simulation.restart(instance))
        for _ in range(5):
            simulation.fair_round()
        assert simulation.rounds_until_served(40) < 40
        assert len(simulation.view.members) == 6

    def test_targets_are_served_during_and_after_a_long_outage(self):
        simulation = Simulation(rng=random.Random(2))
        for _ in range(4):
            simulation.join(simulation.add_instance())
            simulation.deliver_all()
        assert simulation.rounds_until_served(40) < 40
        simulation.store_down = True
        for _ in range(100):
            simulation.fair_round()
            assert len(simulation.check()) == 6
        simulation.crash(simulation.alive()[0])
        simulation.heal()
        limit = 200
        assert simulation.rounds_until_served(limit) < limit
        assert views.find_member(
            simulation.view, simulation.alive()[0].state.me
        )
