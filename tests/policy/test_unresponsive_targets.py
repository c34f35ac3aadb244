"""Tests of the early refusal of requests to unresponsive targets."""

from bitternturn.policy.unresponsive_targets import (
    PROBE_INTERVAL_S,
    UNRESPONSIVE_EXPIRY_S,
    UnresponsiveTargets,
)

SHARDS = 20
MIN_SERVICES = 18
GROUPS = [[f'a{number}', f'b{number}'] for number in range(SHARDS)]


def record_hang(unresponsive, shards, now):
    """Record all targets of the first shards as unresponsive."""
    for group in GROUPS[:shards]:
        unresponsive.record_unanswered(group, now)


def count_sent(unresponsive, times):
    """Return the number of requests that are sent at these times."""
    return sum(
        unresponsive.may_serve(GROUPS, min_services=MIN_SERVICES, now=now)
        for now in times
    )


class TestUnresponsiveShards:
    def test_requests_without_enough_shards_are_refused_except_probes(self):
        """Guard against waiting for 3 of 20 shards that hang for 4 s."""
        unresponsive = UnresponsiveTargets()
        sent = 0
        for step in range(400):
            now = 10 + step / 100
            if unresponsive.may_serve(
                GROUPS, min_services=MIN_SERVICES, now=now
            ):
                sent += 1
                record_hang(unresponsive, 3, now)
        assert sent <= 4 / PROBE_INTERVAL_S + 2

    def test_requests_are_sent_while_the_coverage_allows_it(self):
        unresponsive = UnresponsiveTargets()
        record_hang(unresponsive, 2, 10.0)
        assert count_sent(unresponsive, [10.1] * 50) == 50

    def test_one_responsive_replica_is_sufficient(self):
        unresponsive = UnresponsiveTargets()
        record_hang(unresponsive, 3, 10.0)
        unresponsive.record_answer('b1')
        assert count_sent(unresponsive, [10.1] * 50) == 50

    def test_pause_of_one_replica_per_shard_refuses_nothing(self):
        unresponsive = UnresponsiveTargets()
        unresponsive.record_unanswered([group[0] for group in GROUPS], 10.0)
        assert count_sent(unresponsive, [10.1] * 50) == 50

    def test_targets_count_as_responsive_after_the_expiry(self):
        unresponsive = UnresponsiveTargets()
        record_hang(unresponsive, SHARDS, 10.0)
        later = 10.0 + UNRESPONSIVE_EXPIRY_S + 0.1
        assert count_sent(unresponsive, [later] * 50) == 50
