"""Tests of the decoding of documents from the store."""

import pytest

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.gateway.models import RepeatPolicy, TargetState
from bitternturn.platform.documents import decode_configuration, decode_target
from tests.platform.documents import configuration_document, target_document

DOMAINS = ('north', 'south')


class TestTargets:
    def test_entry_is_decoded(self):
        entry = decode_target('t', target_document(state='draining'), DOMAINS)
        assert (entry.id, entry.host, entry.port) == ('t', '127.0.0.1', 8080)
        assert entry.state is TargetState.DRAINING
        assert entry.started_at_ms == 1700000000000

    @pytest.mark.parametrize(
        'changes',
        [
            {'service': ''},
            {'service': 7},
            {'address': 'nowhere'},
            {'address': None},
            {'zone': 'west'},
            {'state': 'asleep'},
            {'max-concurrency': '2'},
            {'max-concurrency': 0},
            {'cold-left-ms': 'soon'},
            {'cold-left-ms': -1},
            {'seq': True},
            {'born': 1.5},
        ],
    )
    def test_invalid_entry_is_rejected(self, changes):
        assert decode_target('t', target_document(**changes), DOMAINS) is None

    @pytest.mark.parametrize(
        'name',
        [
            'service',
            'address',
            'zone',
            'version',
            'max-concurrency',
            'state',
            'cold-left-ms',
            'seq',
        ],
    )
    def test_missing_field_is_rejected(self, name):
        document = target_document()
        document.pop(name)
        assert decode_target('t', document, DOMAINS) is None

    @pytest.mark.parametrize('spec', [None, 'text', 5, [], {}])
    def test_content_of_another_type_is_rejected(self, spec):
        assert decode_target('t', spec, DOMAINS) is None


class TestConfiguration:
    def test_configuration_is_decoded(self):
        found = decode_configuration(configuration_document())
        sharded, at_most_once, split = found.routes
        assert found.version == 7
        assert sharded.shards == ('s0', 's1')
        assert (sharded.max_records, sharded.min_parts()) == (5, 2)
        assert (sharded.timeout_s, sharded.latency_objective_s) == (0.8, 0.145)
        assert at_most_once.repeat_policy is RepeatPolicy.AT_MOST_ONCE
        assert [share.weight for share in split.services] == [3, 1]
        assert found.services['s'].max_connections == 26
        assert found.limits.idle_timeout_s == 15

    def test_min_coverage_is_rounded_up_to_whole_parts(self):
        document = configuration_document()
        route = document['routes'][0]
        route['gather'] = [f's{number}' for number in range(20)]
        for share, least in ((0.89, 18), (0.75, 15), (0.95, 19), (0.85, 17)):
            route['min-coverage'] = share
            found = decode_configuration(document)
            assert found.routes[0].min_parts() == least

    def test_invalid_configuration_is_an_error(self):
        with pytest.raises(BitternturnError) as raised:
            decode_configuration({'version': 'x'})
        assert raised.value.code is ErrorCode.INVALID_CONFIGURATION
