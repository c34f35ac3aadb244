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


def tenant_document(**changes):
    """Return the document of a tenant."""
    return {'name': 'blue', 'api-keys': ['secret-1', 'secret-2'], **changes}


def decode_tenants(*tenants):
    """Return the tenants of a configuration."""
    document = configuration_document(tenants=list(tenants))
    return decode_configuration(document).tenants


class TestTenants:
    def test_tenants_are_decoded(self):
        blue, red = decode_tenants(
            tenant_document(**{'priority': 0, 'rate-per-s': 20, 'burst': 5}),
            tenant_document(name='red', **{'api-keys': ['other']}),
        )
        assert (blue.name, blue.api_keys) == (
            'blue',
            (b'secret-1', b'secret-2'),
        )
        assert (blue.priority, blue.rate_per_s, blue.burst) == (0, 20, 5)
        assert (red.priority, red.rate_per_s, red.burst) == (None, 0, 0)

    def test_configuration_without_tenants_has_none(self):
        found = decode_configuration(configuration_document())
        assert found.tenants is None
        assert not any(route.public for route in found.routes)

    def test_public_route_is_decoded(self):
        document = configuration_document()
        document['routes'][1]['public'] = True
        found = decode_configuration(document)
        assert [route.public for route in found.routes] == [False, True, False]

    @pytest.mark.parametrize(
        ('changes', 'path'),
        [
            ({'name': ''}, '$.tenants[1].name'),
            ({'name': 'blue'}, '$.tenants[1].name'),
            ({'name': 'a\r\nx-other: b'}, '$.tenants[1].name'),
            ({'name': 'gr\u00fcn'}, '$.tenants[1].name'),
            ({'name': 'n' * 300}, '$.tenants[1].name'),
            ({'name': 7}, '$.tenants[1].name'),
            ({'api-keys': 'secret-9'}, '$.tenants[1].api-keys'),
            ({'api-keys': ['secret-8', '']}, '$.tenants[1].api-keys[1]'),
            ({'api-keys': ['secret-8\n']}, '$.tenants[1].api-keys[0]'),
            ({'api-keys': ['\ud800secret']}, '$.tenants[1].api-keys[0]'),
            ({'api-keys': ['secret-' * 200]}, '$.tenants[1].api-keys[0]'),
            ({'api-keys': ['a', 'secret-2']}, '$.tenants[1].api-keys[1]'),
            ({'api-keys': [5]}, '$.tenants[1].api-keys[0]'),
            ({'priority': -1}, '$.tenants[1].priority'),
            ({'priority': 'high'}, '$.tenants[1].priority'),
            ({'rate-per-s': -1}, '$.tenants[1].rate-per-s'),
            ({'rate-per-s': 1e300}, '$.tenants[1].rate-per-s'),
            ({'rate-per-s': float('nan')}, '$.tenants[1].rate-per-s'),
            ({'rate-per-s': 10**400}, None),
            ({'rate-per-s': '5'}, '$.tenants[1].rate-per-s'),
            ({'burst': -0.5}, '$.tenants[1].burst'),
            ({'burst': float('inf')}, '$.tenants[1].burst'),
        ],
    )
    def test_invalid_tenant_is_one_error_with_its_path(self, changes, path):
        """The error must name the field, and must not contain a key."""
        other = {'name': 'red', 'api-keys': ['other'], **changes}
        with pytest.raises(BitternturnError) as raised:
            decode_tenants(tenant_document(), other)
        assert raised.value.code is ErrorCode.INVALID_CONFIGURATION
        assert path is None or f'`{path}`' in str(raised.value)
        assert 'secret' not in str(raised.value)

    def test_tenant_may_lose_all_its_keys(self):
        # Rejecting the version would keep the keys valid that it takes away.
        (red,) = decode_tenants({'name': 'red', 'api-keys': []})
        assert red.api_keys == ()

    def test_empty_list_of_tenants_is_kept(self):
        # Without tenants, requests would run without any key.
        assert decode_tenants() == ()

    def test_key_may_be_repeated_within_a_tenant(self):
        (red,) = decode_tenants({'name': 'red', 'api-keys': ['a', 'a']})
        assert set(red.api_keys) == {b'a'}

    @pytest.mark.parametrize('tenants', [{}, 'blue', 5, None, ['blue'], [{}]])
    def test_malformed_block_is_an_error(self, tenants):
        with pytest.raises(BitternturnError) as raised:
            decode_configuration(configuration_document(tenants=tenants))
        assert '`$.tenants' in str(raised.value)

    def test_keys_are_not_in_the_representation(self):
        assert 'secret' not in repr(decode_tenants(tenant_document()))
