"""Tests of the decision whether a link is at fault."""

from bitternturn.core.ids import TargetId
from bitternturn.policy.link_health import (
    MIN_QUIET_S,
    MIN_UNHEARD_TARGETS,
    LinkHealth,
)

TARGETS = [TargetId(f't{number}') for number in range(9)]
USUAL_S = 0.06


def make_quiet(count, *, heard_at=1.0):
    """Return the health of a link with some targets that are overdue."""
    health = LinkHealth()
    health.record_heard(heard_at)
    for target in TARGETS[:count]:
        health.record_overdue(target, USUAL_S)
    return health


class TestSuspicion:
    def test_link_over_which_nothing_is_heard_is_suspect(self):
        assert make_quiet(MIN_UNHEARD_TARGETS).is_suspect(9, 1.1)

    def test_few_targets_may_pause_at_the_same_time(self):
        assert not make_quiet(MIN_UNHEARD_TARGETS - 1).is_suspect(9, 5.0)

    def test_one_target_counts_once(self):
        health = make_quiet(0)
        for _ in range(MIN_UNHEARD_TARGETS):
            health.record_overdue(TARGETS[0], USUAL_S)
        assert not health.is_suspect(9, 5.0)

    def test_answer_of_any_target_refutes_it(self):
        health = make_quiet(MIN_UNHEARD_TARGETS)
        health.record_heard(1.1)
        assert not health.is_suspect(9, 5.0)

    def test_answer_a_moment_ago_refutes_it(self):
        """The overdue sends may be older than the last answer."""
        health = make_quiet(MIN_UNHEARD_TARGETS)
        assert not health.is_suspect(9, 1.0 + USUAL_S / 2)

    def test_refused_connections_need_little_time(self):
        """Open connections may live on, and answer often."""
        health = make_quiet(0)
        for target in TARGETS[:MIN_UNHEARD_TARGETS]:
            health.record_unreachable(target)
        assert health.is_doubtful(9)
        assert not health.is_suspect(9, 1.0 + MIN_QUIET_S / 2)
        assert health.is_suspect(9, 1.0 + MIN_QUIET_S * 2)

    def test_small_group_needs_all_its_targets(self):
        assert not make_quiet(1).is_suspect(2, 5.0)
        assert make_quiet(2).is_suspect(2, 5.0)

    def test_link_without_sends_is_not_suspect(self):
        assert not LinkHealth().is_suspect(0, 5.0)


class TestSlowTargets:
    def test_tenth_of_slow_targets_is_not_taken_for_a_cut(self):
        """Load pattern: each target answers 50 times a second, 10 % are slow."""
        health = LinkHealth()
        for step in range(5000):
            now = step / 50
            for number, target in enumerate(TARGETS):
                if number == step // 100 % len(TARGETS):
                    health.record_overdue(target, USUAL_S)
                else:
                    health.record_heard(now)
                assert not health.is_suspect(len(TARGETS), now)
