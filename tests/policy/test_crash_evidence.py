"""Tests of the decision which requests crash targets."""

import itertools

import pytest

from bitternturn.core.ids import RequestKey, ServiceName, TargetId
from bitternturn.policy.crash_evidence import (
    MAX_PROBE_RANK,
    MIN_ENDS,
    OCCASION_S,
    PROBE_S,
    PROBE_STAGGER_S,
    REFUSAL_S,
    CrashEvidence,
    TargetEnd,
    find_crashing,
    is_refused,
    probe_delay_s,
)

SUSPECT = RequestKey('suspect')
ORDINARY = RequestKey('ordinary')


def make_end(target, at, service='s'):
    """Return the end of a target."""
    return TargetEnd(
        life=(TargetId(target), 1), service=ServiceName(service), at=at
    )


def make_evidence(*ends, answers=()):
    """Return evidence with some ends, and answers as service and time."""
    known = CrashEvidence()
    for end in ends:
        known.add_end(end)
    for service, at in answers:
        known.add_answer(ServiceName(service), at)
    return known


THREE_ENDS = (make_end('t1', 1), make_end('t2', 2), make_end('t3', 3))


class TestConclusiveEvidence:
    def test_three_ends_on_several_occasions_are_enough(self):
        assert find_crashing({SUSPECT: make_evidence(*THREE_ENDS)}) == {
            SUSPECT: 3
        }

    def test_fewer_ends_are_not(self):
        assert not find_crashing({SUSPECT: make_evidence(*THREE_ENDS[1:])})

    def test_one_target_that_ends_with_several_attempts_counts_once(self):
        ends = [make_end('t1', at) for at in range(1, 9)]
        assert not find_crashing({SUSPECT: make_evidence(*ends)})

    def test_ends_at_the_same_time_may_have_one_cause(self):
        """Guards innocent requests when a failure domain loses power."""
        ends = [
            make_end(f't{number}', number * OCCASION_S / 100)
            for number in range(20)
        ]
        assert not find_crashing({ORDINARY: make_evidence(*ends)})

    def test_many_ends_on_each_of_two_occasions_are_enough(self):
        """All parts of a request over many shards end their targets at once."""
        ends = [
            make_end(f't{occasion}-{number}', occasion + number / 1000)
            for occasion in (1, 5)
            for number in range(100)
        ]
        assert find_crashing({SUSPECT: make_evidence(*ends)})
        assert find_crashing({SUSPECT: make_evidence(*reversed(ends))})

    def test_services_count_together(self):
        ends = [make_end(f't{it}', it, service=f's{it}') for it in range(3)]
        assert find_crashing({SUSPECT: make_evidence(*ends)})


class TestAnswers:
    def test_answered_request_is_cleared(self):
        """Guards a popular request, which is under way at most ends."""
        known = make_evidence(*THREE_ENDS, answers=[('s', 3.5)])
        assert not find_crashing({ORDINARY: known})

    def test_later_ends_count_again(self):
        known = make_evidence(*THREE_ENDS, answers=[('s', 3.5)])
        for number in range(4, 4 + MIN_ENDS):
            known.add_end(make_end(f't{number}', number))
        assert find_crashing({SUSPECT: known})

    def test_answers_of_other_services_clear_nothing(self):
        """A request may crash the targets of one shard only."""
        known = make_evidence(*THREE_ENDS, answers=[('other', 3.5)])
        assert find_crashing({SUSPECT: known})


class TestBystanders:
    def test_request_that_shared_all_its_ends_is_not_suspected(self):
        culprit = make_evidence(*THREE_ENDS, make_end('t4', 4))
        bystander = make_evidence(*THREE_ENDS)
        assert set(find_crashing({SUSPECT: culprit, ORDINARY: bystander})) == {
            SUSPECT
        }

    def test_second_culprit_is_found_once_it_ends_a_target_alone(self):
        first = make_evidence(*THREE_ENDS, make_end('t4', 4), make_end('t5', 5))
        second = make_evidence(*THREE_ENDS, make_end('t6', 6))
        assert set(find_crashing({SUSPECT: first, ORDINARY: second})) == {
            SUSPECT,
            ORDINARY,
        }


class TestOrder:
    @pytest.mark.parametrize(
        'order', list(itertools.permutations(range(4)))[::5]
    )
    def test_evidence_is_the_same_in_any_order(self, order):
        known = CrashEvidence()
        steps = [
            lambda: known.add_end(THREE_ENDS[0]),
            lambda: known.add_end(THREE_ENDS[1]),
            lambda: known.add_end(THREE_ENDS[2]),
            lambda: known.add_answer(ServiceName('s'), 2.5),
        ]
        for step in order:
            steps[step]()
        assert set(known.ends) == {THREE_ENDS[2].life}


class TestRefusal:
    def test_it_lasts_for_a_time_after_the_last_end(self):
        assert is_refused(10, 10 + REFUSAL_S - 1)
        assert not is_refused(10, 10 + REFUSAL_S)

    def test_one_more_end_is_enough_after_it(self):
        known = make_evidence(*THREE_ENDS)
        tried_at = 3 + REFUSAL_S
        known.add_end(make_end('t4', tried_at))
        assert find_crashing({SUSPECT: known}) == {SUSPECT: tried_at}


class TestDoubt:
    def test_two_ends_are_enough(self):
        assert not make_evidence(THREE_ENDS[0]).doubted_services
        assert make_evidence(*THREE_ENDS[:2]).doubted_services == {'s'}

    def test_answer_of_any_service_lifts_it(self):
        """All targets of one shard may be down for other reasons."""
        known = make_evidence(*THREE_ENDS[:2])
        assert known.add_answer(ServiceName('other'), 2.5)
        assert not known.doubted_services
        assert len(known.ends) == 2

    def test_later_end_brings_it_back(self):
        known = make_evidence(*THREE_ENDS[:2], answers=[('other', 2.5)])
        known.add_end(THREE_ENDS[2])
        assert known.doubted_services == {'s'}

    def test_only_the_first_answer_is_news(self):
        known = make_evidence(*THREE_ENDS[:2], answers=[('other', 2.5)])
        assert not known.add_answer(ServiceName('other'), 2.6)


class TestProbes:
    def test_result_is_awaited_for_a_time(self):
        known = make_evidence(*THREE_ENDS)
        known.add_probe(10)
        assert known.probe_ends_at() == 10 + PROBE_S

    def test_end_or_answer_is_the_result(self):
        ended = make_evidence(*THREE_ENDS)
        ended.add_probe(10)
        ended.add_end(make_end('t4', 10.1))
        assert ended.probe_ends_at() < 0
        answered = make_evidence(*THREE_ENDS)
        answered.add_probe(10)
        answered.add_answer(ServiceName('s'), 10.1)
        assert answered.probe_ends_at() < 0

    def test_report_of_a_known_probe_is_not_new(self):
        known = CrashEvidence()
        assert known.add_probe(10)
        assert not known.add_probe(10.01)
        assert known.add_probe(10 + PROBE_S)

    def test_instances_begin_one_after_the_other(self):
        names = [f'i{number}' for number in range(3)]
        delays = {probe_delay_s(SUSPECT, name, names) for name in names}
        assert delays == {0, PROBE_STAGGER_S, 2 * PROBE_STAGGER_S}

    def test_large_fleets_do_not_wait_longer(self):
        names = [f'i{number}' for number in range(440)]
        delays = [probe_delay_s(SUSPECT, name, names) for name in names]
        assert max(delays) == MAX_PROBE_RANK * PROBE_STAGGER_S
