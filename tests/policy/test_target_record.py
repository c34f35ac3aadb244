"""Tests of target statistics and of the choice of a target."""

from bitternturn.policy.target_record import (
    Candidate,
    TargetRecord,
    choose_target,
    declines,
)


def candidate(record, **overrides):
    """Create an idle candidate of another failure domain."""
    fields = {
        'record': record,
        'outstanding': 0,
        'slots': 2,
        'oldest': 0,
        'near': False,
        'cold': False,
        'full': False,
        **overrides,
    }
    return Candidate(**fields)


def chosen_name(candidates, now=0.0):
    """Return the name of the cheapest candidate."""
    return choose_target(
        candidates,
        describe=candidates.__getitem__,
        jitter=lambda: 1.0,
        now=now,
    )


class TestSlowTargets:
    def test_slow_answer_diverts_requests_at_once_until_it_decays(self):
        slow, other = TargetRecord(), TargetRecord()
        slow.note_latency(10, 0)
        candidates = {
            'slow': candidate(slow, near=True),
            'other': candidate(other),
        }
        assert chosen_name(candidates, 0.1) == 'other'
        assert chosen_name(candidates, 60) == 'slow'

    def test_paused_target_is_avoided(self):
        candidates = {
            'paused': candidate(
                TargetRecord(), oldest=6, outstanding=1, near=True
            ),
            'other': candidate(TargetRecord()),
        }
        assert chosen_name(candidates) == 'other'


class TestFailingTargets:
    def test_grey_target_receives_less_than_its_share(self):
        """Guard against sending to a target that fails half of its requests."""
        grey, good = TargetRecord(), TargetRecord()
        candidates = {
            'grey': candidate(grey, near=True),
            'good': candidate(good),
        }
        names = []
        for number in range(200):
            now = number / 50
            name = chosen_name(candidates, now)
            names.append(name)
            if name == 'good' or number % 2:
                candidates[name].record.note_success(now)
            else:
                candidates[name].record.note_failure(now)
        assert names.count('grey') < 40

    def test_ejected_target_is_chosen_only_as_the_last_resort(self):
        dead = TargetRecord()
        for _ in range(3):
            dead.note_failure(1)
        assert dead.is_ejected(1.2)
        assert not dead.is_ejected(2)
        assert chosen_name({'dead': candidate(dead)}, 1.2) == 'dead'
        slow = TargetRecord()
        slow.note_latency(20, 1)
        candidates = {
            'dead': candidate(dead, near=True),
            'slow': candidate(slow),
        }
        assert chosen_name(candidates, 1.2) == 'slow'


class TestDistance:
    def test_own_failure_domain_is_preferred(self):
        candidates = {
            'far': candidate(TargetRecord()),
            'near': candidate(TargetRecord(), near=True),
        }
        assert chosen_name(candidates) == 'near'

    def test_full_target_is_avoided(self):
        candidates = {
            'far': candidate(TargetRecord()),
            'near': candidate(TargetRecord(), near=True, full=True),
        }
        assert chosen_name(candidates) == 'far'


class TestDeclines:
    """Guard against delegated sends to a slow or unresponsive target."""

    def test_single_pause_is_not_declined_afterwards(self):
        record = TargetRecord()
        record.note_latency(7, 0.0)
        record.note_latency(6, 0.01)
        assert not declines(candidate(record), 0.02)

    def test_ongoing_pause_is_declined(self):
        assert declines(candidate(TargetRecord(), oldest=4, outstanding=1), 0)

    def test_slow_target_is_declined_and_tried_again_later(self):
        record = TargetRecord()
        for number in range(3):
            record.note_latency(8, number * 0.1)
        assert declines(candidate(record), 0.3)
        assert not declines(candidate(record), 1.3)

    def test_one_typical_answer_ends_declining(self):
        record = TargetRecord()
        for ratio in (8, 8, 8, 1):
            record.note_latency(ratio, 0.0)
        assert not declines(candidate(record), 0.1)

    def test_crashed_target_is_declined(self):
        record = TargetRecord()
        for _ in range(3):
            record.note_failure(0.0)
        assert declines(candidate(record), 0.1)
