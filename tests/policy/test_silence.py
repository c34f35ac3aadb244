"""Tests of the requests that are not worth sending, by the load pattern."""

from bitternturn.policy.silence import (
    PROBE_S,
    SILENCE_MEMORY_S,
    SilentTargets,
)

SHARDS = 20
LEAST = 18
GROUPS = [[f'a{number}', f'b{number}'] for number in range(SHARDS)]


def hang(silent, shards, now):
    """Have all targets of so many shards leave a request unanswered."""
    for group in GROUPS[:shards]:
        silent.note_silence(group, now)


def admitted(silent, times):
    """Return how many of the requests at some times are sent."""
    return sum(silent.may_serve(GROUPS, least=LEAST, now=now) for now in times)


class TestShardsThatHang:
    def test_requests_that_can_not_be_served_are_refused_but_for_probes(self):
        """Replays three of twenty shards that hang for four seconds."""
        silent = SilentTargets()
        sent = 0
        for step in range(400):
            now = 10 + step / 100
            if silent.may_serve(GROUPS, least=LEAST, now=now):
                sent += 1
                hang(silent, 3, now)
        assert sent <= 4 / PROBE_S + 2

    def test_as_many_as_the_coverage_allows_are_done_without(self):
        silent = SilentTargets()
        hang(silent, 2, 10.0)
        assert admitted(silent, [10.1] * 50) == 50

    def test_one_replica_that_answers_is_enough(self):
        silent = SilentTargets()
        hang(silent, 3, 10.0)
        silent.note_answer('b1')
        assert admitted(silent, [10.1] * 50) == 50

    def test_pauses_of_some_replicas_refuse_nothing(self):
        silent = SilentTargets()
        silent.note_silence([group[0] for group in GROUPS], 10.0)
        assert admitted(silent, [10.1] * 50) == 50

    def test_silence_is_forgotten(self):
        silent = SilentTargets()
        hang(silent, SHARDS, 10.0)
        later = 10.0 + SILENCE_MEMORY_S + 0.1
        assert admitted(silent, [later] * 50) == 50
