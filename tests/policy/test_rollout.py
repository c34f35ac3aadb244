"""Tests of the phases of an order and of the versions that may be used."""

import pytest

from bitternturn.core.ids import ServiceName
from bitternturn.policy.rollout import (
    CONCLUDE_BEFORE_S,
    QUIET_S,
    VERSION_HOLD_S,
    OrderState,
    OrderStatus,
    Phase,
    RolloutOrder,
    VersionRole,
    VersionRules,
)
from bitternturn.policy.rollout_evidence import Judgement

BOTH = {'v1', 'v2'}


def make_state(status=None, *, version='v2', now=0.0, seen_begin=True):
    """Return the state of an order of 20 s."""
    order = RolloutOrder(
        service=ServiceName('s'), version=version, duration_s=20, status=status
    )
    return OrderState(order, now=now, seen_begin=seen_begin)


def make_rules(state=None, versions=('v1', 'v2')):
    """Return the rules of a service that has targets of some versions."""
    rules = VersionRules()
    rules.observe(versions, 0)
    rules.replace_order(state)
    return rules


class TestVersionRules:
    @pytest.mark.parametrize(
        ('phase', 'old', 'new'),
        [
            (Phase.ACTIVE, VersionRole.NORMAL, VersionRole.CANARY),
            (Phase.SWITCHING, VersionRole.BLOCKED, VersionRole.NORMAL),
            (Phase.COMPLETED, VersionRole.BLOCKED, VersionRole.NORMAL),
            (Phase.SUSPENDED, VersionRole.NORMAL, VersionRole.BLOCKED),
            (Phase.REVERTED, VersionRole.NORMAL, VersionRole.BLOCKED),
        ],
    )
    def test_phase_says_which_versions_are_used(self, phase, old, new):
        state = make_state()
        state.apply_belief(phase, '', 0)
        roles = make_rules(state).roles(BOTH, 10)
        assert roles == {'v1': old, 'v2': new}

    def test_no_order_changes_nothing(self):
        roles = make_rules().roles(BOTH, 10)
        assert set(roles.values()) == {VersionRole.NORMAL}

    def test_old_version_is_used_without_targets_of_the_new_one(self):
        state = make_state(OrderStatus.COMPLETED)
        roles = make_rules(state).roles({'v1'}, 10)
        assert roles['v1'] is VersionRole.NORMAL

    def test_reverted_version_is_not_used_after_the_order_is_deleted(self):
        rules = make_rules(make_state(OrderStatus.REVERTED))
        rules.replace_order(None)
        assert rules.roles(BOTH, 10)['v2'] is VersionRole.BLOCKED

    def test_version_of_a_replaced_order_is_not_used(self):
        rules = make_rules(make_state())
        rules.replace_order(make_state(version='v3'))
        roles = rules.roles({'v1', 'v2', 'v3'}, 10)
        assert roles['v2'] is VersionRole.BLOCKED
        assert roles['v3'] is VersionRole.CANARY

    def test_second_order_for_a_reverted_version_is_reverted(self):
        rules = make_rules(make_state(OrderStatus.REVERTED))
        rules.replace_order(None)
        again = make_state()
        rules.replace_order(again)
        assert again.phase is Phase.SUSPENDED
        assert again.wanted_status(1, quiet=False) is OrderStatus.REVERTED

    def test_version_before_the_last_completed_one_is_not_used(self):
        """Its targets stop without draining."""
        rules = make_rules(make_state(OrderStatus.COMPLETED))
        rules.replace_order(make_state(version='v3'))
        roles = rules.roles({'v1', 'v2', 'v3'}, 10)
        assert roles['v1'] is VersionRole.BLOCKED
        assert roles['v2'] is VersionRole.NORMAL

    def test_new_version_waits_for_its_order(self):
        """Entries of targets may arrive before the order."""
        rules = make_rules(versions=('v1',))
        rules.observe(BOTH, 10)
        held = rules.roles(BOTH, 10 + VERSION_HOLD_S / 2)
        assert held['v2'] is VersionRole.BLOCKED
        used = rules.roles(BOTH, 10 + VERSION_HOLD_S)
        assert used['v2'] is VersionRole.NORMAL
        assert rules.ends_hold(15, 17)


class TestOrderState:
    def test_good_version_is_switched_late_and_completed_in_time(self):
        state = make_state()
        good = Judgement.GOOD
        assert not state.apply_judgement(good, 15, may_switch=True)
        assert state.apply_judgement(good, 16, may_switch=True)
        assert state.wanted_status(16, quiet=True) is OrderStatus.ACTIVE
        settled = 16 + QUIET_S
        assert state.wanted_status(settled, quiet=False) is OrderStatus.ACTIVE
        assert state.wanted_status(settled, quiet=True) is OrderStatus.COMPLETED
        due = state.deadline - CONCLUDE_BEFORE_S
        assert state.wanted_status(due, quiet=False) is OrderStatus.COMPLETED

    def test_version_that_is_bad_under_all_traffic_is_reverted(self):
        state = make_state()
        state.apply_judgement(Judgement.GOOD, 16, may_switch=True)
        assert state.apply_judgement(Judgement.SLOW, 17, may_switch=True)
        assert state.wanted_status(17, quiet=True) is OrderStatus.REVERTED

    def test_version_without_evidence_is_reverted_by_the_deadline(self):
        state = make_state()
        assert not state.apply_judgement(Judgement.OPEN, 17, may_switch=True)
        assert state.apply_judgement(Judgement.OPEN, 18, may_switch=True)
        assert state.phase is Phase.SUSPENDED

    def test_conclusion_stays_when_a_restored_store_denies_it(self):
        state = make_state(OrderStatus.REVERTED)
        state.apply_status(OrderStatus.ACTIVE, 1)
        state.apply_status(None, 2)
        state.apply_belief(Phase.COMPLETED, '', 3)
        assert state.phase is Phase.REVERTED
        assert state.wanted_status(4, quiet=True) is OrderStatus.REVERTED

    def test_status_of_the_store_overrides_beliefs(self):
        state = make_state()
        state.apply_belief(Phase.SUSPENDED, '', 1)
        assert state.apply_status(OrderStatus.COMPLETED, 2)
        assert state.phase is Phase.COMPLETED

    def test_instance_that_starts_during_an_order_learns_its_age(self):
        state = make_state(OrderStatus.ACTIVE, now=100, seen_begin=False)
        assert state.deadline == 110
        state.apply_age(4, 100)
        assert state.deadline == 116
        state.apply_age(9, 100)
        state.apply_age(2, 101)
        assert state.deadline == 111
