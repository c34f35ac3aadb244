"""Tests of configuration validation."""

import pytest
from google.protobuf.json_format import MessageToDict

from bitternturn.configuration.check import check_content, parse_content
from bitternturn.configuration.models import (
    ConfigurationKind,
    InvalidConfiguration,
)
from bitternturn.schema.config_pb2 import Profiles, Switch, Switches
from tests.configuration.fakes import (
    make_indexes,
    make_profile,
    make_target,
    switch_out,
)


def paths_of(content) -> list[str]:
    return [problem.path for problem in check_content(content)]


def paths_of_rejection(kind, decoded) -> list[str]:
    with pytest.raises(InvalidConfiguration) as caught:
        parse_content(kind, decoded)
    return [problem.path for problem in caught.value.problems]


class TestProfiles:
    def test_valid_profile(self):
        assert paths_of(Profiles(profiles=[make_profile()])) == []

    @pytest.mark.parametrize(
        ('changes', 'name'),
        [
            ({'priority': 0}, 'priority'),
            ({'preference': 0}, 'preference'),
            ({'deadline_ms': 0}, 'deadline_ms'),
            ({'least_coverage': 1.5, 'wanted_coverage': 1.0}, None),
            ({'wanted_coverage': 0.4}, 'least_coverage'),
            ({'retry_budget': float('nan')}, 'retry_budget'),
            ({'repeatable': False}, 'hedge_budget'),
            ({'result_limit': 0}, 'result_limit'),
            ({'name': 'a/b'}, 'name'),
        ],
    )
    def test_each_rule_reports_its_field(self, changes, name):
        profile = make_profile(**{'name': 'desk', **changes})
        paths = paths_of(Profiles(profiles=[profile]))
        expected = ['least_coverage'] * 2 if name is None else [name]
        assert paths == [f'profiles[0].{end}' for end in expected]

    def test_duplicate_name(self):
        profiles = [make_profile(), make_profile()]
        assert paths_of(Profiles(profiles=profiles)) == ['profiles[1].name']


class TestIndexes:
    def test_valid_indexes(self):
        assert paths_of(make_indexes()) == []

    def test_all_problems_by_path(self):
        content = make_indexes()
        index = content.indexes[0]
        index.targets.append(
            make_target('t1', slots=4, connections=3, cold_limit=5)
        )
        index.maps.append(index.maps[0])
        index.maps[1].shards[0].weight = 0
        index.maps[1].shards[0].targets.append('t9')
        assert paths_of(content) == [
            'indexes[0].targets[2].id',
            'indexes[0].targets[2].connections',
            'indexes[0].targets[2].cold_limit',
            'indexes[0].maps[1].snapshot',
            'indexes[0].maps[1].shards[0].weight',
            'indexes[0].maps[1].shards[0].targets[2]',
        ]

    def test_index_without_a_map(self):
        content = make_indexes()
        del content.indexes[0].maps[:]
        assert paths_of(content) == ['indexes[0].maps']

    def test_content_too_large(self):
        content = make_indexes()
        content.indexes[0].targets[0].host = 'h' * 1024 * 1024
        assert paths_of(content) == ['']


class TestSwitches:
    def test_duplicate_name_and_missing_state(self):
        content = Switches(
            failure_domains=[switch_out('a'), switch_out('a')],
            targets=[Switch(name='t1')],
        )
        assert paths_of(content) == [
            'failure_domains[1].name',
            'targets[0].state',
        ]


class TestParse:
    def test_round_trip(self):
        written = MessageToDict(
            make_indexes(), preserving_proto_field_name=True
        )
        parsed = parse_content(ConfigurationKind.INDEXES, written)
        assert parsed == make_indexes()

    def test_all_schema_problems_are_reported(self):
        paths = paths_of_rejection(
            ConfigurationKind.PROFILES,
            {
                'profiles': [
                    {'name': 3, 'priority': 'SOON', 'repeatable': 1},
                    {'deadline_ms': -1, 'least_coverage': '1', 'x': 1},
                    [],
                ],
                'more': 1,
            },
        )
        assert paths == [
            'profiles[0].name',
            'profiles[0].priority',
            'profiles[0].repeatable',
            'profiles[1].deadline_ms',
            'profiles[1].least_coverage',
            'profiles[1].x',
            'profiles[2]',
            'more',
        ]

    @pytest.mark.parametrize('decoded', [None, [], 'x', {'profiles': {}}])
    def test_decoded_value_of_wrong_type(self, decoded):
        assert len(paths_of_rejection(ConfigurationKind.PROFILES, decoded)) == 1
