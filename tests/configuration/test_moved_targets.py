"""Tests that a target can't change its failure domain."""

from bitternturn.configuration.check_indexes import find_moved_targets
from bitternturn.schema.config_pb2 import Index, Indexes, Target


def indexes(**domains: str) -> Indexes:
    return Indexes(
        indexes=[
            Index(
                name='x',
                targets=[
                    Target(id=name, failure_domain=domain)
                    for name, domain in domains.items()
                ],
            ),
        ],
    )


class TestMovedTargets:
    def test_moved_target_is_a_problem(self):
        moved = find_moved_targets(indexes(a='1', b='1'), indexes(a='1', b='2'))
        assert [problem.path for problem in moved] == [
            'indexes[0].targets[1].failure_domain',
        ]

    def test_new_and_unchanged_targets_are_valid(self):
        assert not list(
            find_moved_targets(indexes(a='1'), indexes(a='1', c='2'))
        )
