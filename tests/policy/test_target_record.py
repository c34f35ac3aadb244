"""Tests of the choice between targets, by the load that it answers."""

from bitternturn.policy.target_record import (
    Candidate,
    TargetRecord,
    choose_target,
    declines,
)


def view(record, **changes):
    """Return a candidate."""
    fields = {
        'record': record,
        'outstanding': 0,
        'slots': 2,
        'oldest': 0,
        'near': False,
        'cold': False,
        'full': False,
        **changes,
    }
    return Candidate(**fields)


def chosen(views, now=0.0):
    """Return the name of the cheapest candidate."""
    return choose_target(
        views,
        describe=views.__getitem__,
        jitter=lambda: 1.0,
        now=now,
    )


class TestSlowTargets:
    def test_slow_answer_moves_work_at_once_and_for_a_while(self):
        slow, other = TargetRecord(), TargetRecord()
        slow.note_latency(10, 0)
        views = {'slow': view(slow, near=True), 'other': view(other)}
        assert chosen(views, 0.1) == 'other'
        assert chosen(views, 60) == 'slow'

    def test_paused_target_is_passed_over(self):
        views = {
            'paused': view(TargetRecord(), oldest=6, outstanding=1, near=True),
            'other': view(TargetRecord()),
        }
        assert chosen(views) == 'other'


class TestFailingTargets:
    def test_grey_target_gets_less_than_its_share(self):
        """Replays a target that fails half of its requests."""
        grey, good = TargetRecord(), TargetRecord()
        views = {'grey': view(grey, near=True), 'good': view(good)}
        taken = []
        for number in range(200):
            now = number / 50
            name = chosen(views, now)
            taken.append(name)
            if name == 'good' or number % 2:
                views[name].record.note_success(now)
            else:
                views[name].record.note_failure(now)
        assert taken.count('grey') < 40

    def test_ejected_target_is_the_last_choice_and_still_one(self):
        dead = TargetRecord()
        for _ in range(3):
            dead.note_failure(1)
        assert dead.ejected(1.2)
        assert not dead.ejected(2)
        assert chosen({'dead': view(dead)}, 1.2) == 'dead'
        slow = TargetRecord()
        slow.note_latency(20, 1)
        views = {'dead': view(dead, near=True), 'slow': view(slow)}
        assert chosen(views, 1.2) == 'slow'


class TestDistance:
    def test_own_failure_domain_is_preferred(self):
        views = {
            'far': view(TargetRecord()),
            'near': view(TargetRecord(), near=True),
        }
        assert chosen(views) == 'near'

    def test_full_target_is_passed_over(self):
        views = {
            'far': view(TargetRecord()),
            'near': view(TargetRecord(), near=True, full=True),
        }
        assert chosen(views) == 'far'


class TestDeclines:
    """Replays what a peer that sends for a whole fleet sees of a target."""

    def test_pause_is_forgotten_once_it_is_over(self):
        record = TargetRecord()
        record.note_latency(7, 0.0)
        record.note_latency(6, 0.01)
        assert not declines(view(record), 0.02)

    def test_pause_that_goes_on_is_noticed(self):
        assert declines(view(TargetRecord(), oldest=4, outstanding=1), 0)

    def test_target_that_turned_slow_is_declined_and_tried_again(self):
        record = TargetRecord()
        for number in range(3):
            record.note_latency(8, number * 0.1)
        assert declines(view(record), 0.3)
        assert not declines(view(record), 1.3)

    def test_one_usual_answer_ends_it(self):
        record = TargetRecord()
        for ratio in (8, 8, 8, 1):
            record.note_latency(ratio, 0.0)
        assert not declines(view(record), 0.1)

    def test_crashed_target_is_declined(self):
        record = TargetRecord()
        for _ in range(3):
            record.note_failure(0.0)
        assert declines(view(record), 0.1)
