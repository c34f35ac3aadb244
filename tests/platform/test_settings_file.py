"""Tests of the settings file."""

import msgspec
import pytest

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.gateway.models import ChangeBounds
from bitternturn.platform.settings_file import decode_settings, load_settings
from bitternturn.policy.quota import QuotaBound
from tests.platform.documents import settings_document


class TestSettings:
    def test_fields_are_read_and_unknown_ones_ignored(self):
        found = decode_settings(msgspec.json.encode(settings_document()))
        assert found.name == 'front-north-1'
        assert found.callers.port == 8104
        assert found.global_limits.retry_slack == 56
        assert found.failure_domains == ('north', 'south')
        assert [seed.port for seed in found.seeds] == [8106]

    def test_bounds_of_changes_are_read(self):
        bounds = {
            'stability-window-ms': 6000,
            'config-propagation-ms': 6500,
            'evacuate-ms': 5000,
            'drain-ms': 5500,
        }
        text = msgspec.json.encode(settings_document(bounds=bounds))
        assert decode_settings(text).change_bounds == ChangeBounds(
            stability_window_s=6,
            configuration_s=6.5,
            domain_out_s=5,
            drain_s=5.5,
        )

    @pytest.mark.parametrize(
        ('bounds', 'expected'),
        [
            ({}, None),
            ({'quota-slack': 5}, None),
            (
                {'quota-window-s': 5},
                QuotaBound(window_s=5, excess=0.1, slack=20),
            ),
            (
                {'quota-window-s': 4, 'quota-excess': 0, 'quota-slack': 7},
                QuotaBound(window_s=4, excess=0, slack=7),
            ),
        ],
    )
    def test_bound_of_quotas_needs_a_window(self, bounds, expected):
        text = msgspec.json.encode(settings_document(bounds=bounds))
        assert decode_settings(text).quota_bound == expected

    @pytest.mark.parametrize(
        'bounds',
        [
            {'quota-window-s': 0},
            {'quota-window-s': 5, 'quota-excess': -1},
            {'quota-window-s': 5, 'quota-slack': -1},
        ],
    )
    def test_invalid_bound_of_quotas_is_an_error(self, bounds):
        text = msgspec.json.encode(settings_document(bounds=bounds))
        with pytest.raises(BitternturnError):
            decode_settings(text)

    @pytest.mark.parametrize(
        ('named', 'expected'),
        [
            ({}, ('127.0.0.1', 9464)),
            ({'metrics': '127.0.0.2:9000'}, ('127.0.0.2', 9000)),
        ],
    )
    def test_address_of_the_metrics_has_a_default(self, named, expected):
        listen = settings_document()['listen'] | named
        text = msgspec.json.encode(settings_document(listen=listen))
        metrics = decode_settings(text).metrics
        assert (metrics.host, metrics.port) == expected

    @pytest.mark.parametrize('first', [True, False])
    def test_first_start_is_told_from_a_restart(self, first):
        text = msgspec.json.encode(settings_document(bootstrap=first))
        assert decode_settings(text).first_start is first

    @pytest.mark.parametrize(
        ('changes', 'named'),
        [
            ({'zone': 5}, '$.zone'),
            ({'platform': {}}, 'address'),
            ({'listen': {'front': 'here', 'ready': '127.0.0.1:1'}}, 'here'),
            ({'bounds': {'grace-s': 'long'}}, '$.bounds.grace-s'),
        ],
    )
    def test_error_names_the_invalid_field(self, changes, named):
        text = msgspec.json.encode(settings_document(**changes))
        with pytest.raises(BitternturnError) as raised:
            decode_settings(text)
        assert raised.value.code is ErrorCode.INVALID_SETTINGS
        assert named in str(raised.value)

    def test_missing_file_is_an_error(self, tmp_path):
        with pytest.raises(BitternturnError):
            load_settings(tmp_path / 'none.json')
