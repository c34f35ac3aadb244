"""Tests of the command `tenant`."""

import json

import msgspec
import pytest

from bitternturn.cli.const import EXIT_OF_CODE
from bitternturn.cli.main import async_main
from bitternturn.core.errors import ErrorCode
from tests.platform.documents import configuration_document

TENANTS = [
    {'name': 'blue', 'api-keys': ['blue-key'], 'rate-per-s': 20, 'burst': 4},
    {'name': 'red', 'api-keys': ['red-key', 'other-key'], 'priority': 2},
]
LINES = [
    {'kind': 'request', 'tenant': 'blue', 'outcome': 'answer'},
    {'kind': 'request', 'tenant': 'blue', 'outcome': 'give_up'},
    {'kind': 'request', 'outcome': 'answer'},
    {'kind': 'refused', 'tenant': 'blue', 'reason': 'over_quota'},
    {'kind': 'refused', 'tenant': 'red', 'reason': 'no_target'},
    {'kind': 'quota_silence', 'tenant': 'blue', 'granter': 'i2'},
]


@pytest.fixture
def logs(tmp_path):
    path = tmp_path / 'a.log'
    path.write_text(
        '\n'.join(
            json.dumps({'time': number, 'instance': 'i1', **line})
            for number, line in enumerate(LINES)
        )
    )
    return str(path)


async def async_run(*arguments):
    return await async_main(['bitternturn', 'tenant', *arguments])


class TestList:
    async def test_tenants_are_listed_without_their_keys(
        self, tmp_path, capsys
    ):
        path = tmp_path / 'config.json'
        path.write_bytes(
            msgspec.json.encode(configuration_document(tenants=TENANTS))
        )
        assert await async_run('list', str(path), '--json') == 0
        output = capsys.readouterr().out
        blue, red = msgspec.json.decode(output)
        assert (blue['rate-per-s'], blue['burst']) == (20, 4)
        assert (red['rate-per-s'], red['priority']) == (None, 2)
        assert len(set(red['keys'].split())) == 2
        assert '-key' not in output
        assert await async_run('list', str(path)) == 0


class TestLogs:
    async def test_use_is_counted_by_tenant(self, logs, capsys):
        assert await async_run('usage', '--logs', logs, '--json') == 0
        blue, red = msgspec.json.decode(capsys.readouterr().out)
        assert (blue['sent'], blue['answered'], blue['over_quota']) == (2, 1, 1)
        assert (red['sent'], red['no_target']) == (0, 1)

    async def test_explain_shows_refusals_and_grants(self, logs, capsys):
        assert await async_run('explain', 'blue', '--logs', logs) == 0
        output = capsys.readouterr().out
        assert 'over_quota' in output
        assert 'granter=i2' in output
        assert 'no_target' not in output

    async def test_unknown_tenant_is_not_found(self, logs, capsys):
        code = await async_run('explain', 'green', '--logs', logs)
        assert code == EXIT_OF_CODE[ErrorCode.NOT_FOUND]
