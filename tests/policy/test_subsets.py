"""Tests of the subset of replicas that an instance connects to."""

from collections import Counter

import pytest

from bitternturn.policy.subsets import (
    connections_per_target,
    count_subset_replicas,
    split_replicas,
)


class TestSubsets:
    @pytest.mark.parametrize(
        ('instances', 'replicas', 'connections'),
        [(8, 2, 26), (81, 3, 62), (60, 3, 52), (300, 3, 62), (81, 2, 62)],
    )
    def test_no_target_gets_more_connections_than_it_allows(
        self, instances, replicas, connections
    ):
        subset_size = count_subset_replicas(
            replicas=replicas, instances=instances, connections=connections
        )
        each = connections_per_target(
            replicas=replicas,
            instances=instances,
            subset_size=subset_size,
            connections=connections,
        )
        names = [f't{number}' for number in range(replicas)]
        for service in ('s1', 's2', 's3'):
            held = Counter()
            for position in range(instances):
                used, others = split_replicas(
                    names,
                    service=service,
                    position=position,
                    subset_size=subset_size,
                )
                assert sorted(used + others) == names
                held.update(used)
            assert max(held.values()) - min(held.values()) <= 1
            if instances * subset_size <= connections * replicas:
                assert max(held.values()) * each <= connections + each

    def test_all_replicas_are_used_while_connections_suffice(self):
        assert (
            count_subset_replicas(replicas=3, instances=8, connections=26) == 3
        )

    def test_at_least_one_replica_is_used(self):
        assert (
            count_subset_replicas(replicas=3, instances=900, connections=62)
            == 1
        )
