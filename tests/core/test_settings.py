"""Tests of loading and validating settings."""

import pytest

from bitternturn.core.errors import ErrorCode
from bitternturn.core.settings import (
    SettingsError,
    load_settings,
    parse_settings,
)

VALID_SETTINGS = """
[instance]
failure_domain = 'south'

[listeners]
callers = { host = '127.0.0.1', port = 8000 }
peers = { host = '127.0.0.1', port = 8001 }

[listeners.operators]
host = '127.0.0.1'
port = 8002

[platform.objects]
host = '127.0.0.1'
port = 9000
"""


def find_problems(text: str) -> dict[str, tuple[str, int]]:
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    assert caught.value.code is ErrorCode.INVALID_SETTINGS
    return {
        problem.path: (problem.message, problem.line)
        for problem in caught.value.problems
    }


class TestDefaults:
    def test_minimal_file_gets_the_defaults(self, tmp_path):
        path = tmp_path / 'node.toml'
        path.write_text(VALID_SETTINGS)
        settings = load_settings(path)
        assert settings.listeners.operators.port == 8002
        assert settings.membership.lease_ms == 1500
        assert settings.connections.max_age_ms == 600_000
        assert settings.timeline.enabled
        assert settings.timeline.capacity == 20_000

    def test_given_values_override_defaults(self):
        settings = parse_settings(
            f'{VALID_SETTINGS}\n[timeline]\nenabled = false\n'
            '[limits]\ndrain_ms = 0'
        )
        assert not settings.timeline.enabled
        assert settings.limits.drain_ms == 0

    def test_empty_instance_id_is_generated(self):
        first, second = (
            parse_settings(VALID_SETTINGS),
            parse_settings(VALID_SETTINGS),
        )
        assert first.instance.id
        assert first.instance.id != second.instance.id


class TestProblems:
    def test_all_problems_are_reported_at_once(self):
        text = (
            VALID_SETTINGS.replace('port = 8002', "port = 'x'\nprot = 1")
            .replace("failure_domain = 'south'", '')
            .replace('port = 9000', 'port = 99000')
        )
        problems = find_problems(f'{text}\n[log]\nlevel = "loud"')
        lines = text.splitlines()
        assert problems['listeners.operators.port'] == (
            'expected an integer, got str',
            lines.index("port = 'x'") + 1,
        )
        assert problems['listeners.operators.prot'] == (
            'unknown key',
            lines.index('prot = 1') + 1,
        )
        assert problems['instance.failure_domain'] == (
            'required',
            lines.index('[instance]') + 1,
        )
        assert problems['platform.objects.port'] == (
            'must be from 1 to 65535',
            lines.index('port = 99000') + 1,
        )
        assert problems['log.level'][0].startswith('must be one of debug')
        assert len(problems) == 5

    @pytest.mark.parametrize(
        ('extra', 'path'),
        [
            (
                '[membership]\nprobe_timeout_ms = 300',
                'membership.probe_timeout_ms',
            ),
            ('[membership]\nlease_ms = 400', 'membership.lease_ms'),
            ('[membership]\nclock_drift = nan', 'membership.clock_drift'),
            ('[connections]\nmax_age_ms = 5000', 'connections.max_idle_ms'),
            ('[limits]\nbody_bytes = -1', 'limits.body_bytes'),
            ('[limits]\nbody_bytes = true', 'limits.body_bytes'),
            ('[timeline]\ncapacity = 0', 'timeline.capacity'),
        ],
    )
    def test_invalid_or_inconsistent_value_is_reported(self, extra, path):
        assert path in find_problems(f'{VALID_SETTINGS}\n{extra}')

    def test_listeners_with_the_same_address_are_reported(self):
        problems = find_problems(VALID_SETTINGS.replace('8002', '8000'))
        assert list(problems) == ['listeners.operators.port']

    def test_table_and_value_of_the_wrong_type_are_reported(self):
        problems = find_problems(
            f'log = 3\n{VALID_SETTINGS}\n[limits.drain_ms]\nx = 1'
        )
        assert problems['log'] == ('expected a table, got int', 1)
        assert problems['limits.drain_ms'][0] == 'expected an integer, got dict'

    def test_malformed_toml_and_missing_file_are_reported(self, tmp_path):
        assert 'line 2' in find_problems('a = 1\nb = = 2')['settings'][0]
        with pytest.raises(SettingsError, match='No such file'):
            load_settings(tmp_path / 'missing.toml')
