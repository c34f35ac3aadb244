"""Tests of the commands against the administration handler."""

import json

import pytest

from bitternturn.administration.codec import message_to_json
from bitternturn.cli import const
from bitternturn.cli.main import async_main
from bitternturn.cli.registry import COMMANDS
from bitternturn.core.clock import COUNTER_BITS
from bitternturn.core.ids import TargetId
from bitternturn.http.server import HttpServer
from bitternturn.schema.config_pb2 import ConfigurationObject
from bitternturn.schema.peers_pb2 import TimelineRequest
from bitternturn.standins.object_faults import ObjectFaults, Outage
from tests.administration.fakes import Administration
from tests.configuration.fakes import make_indexes

DESK = {
    'name': 'desk',
    'priority': 'PRIORITY_NORMAL',
    'deadline_ms': 100,
    'least_coverage': 0.5,
    'wanted_coverage': 1,
    'preference': 'PREFERENCE_TIME',
    'repeatable': True,
    'hedge_budget': 0.05,
    'retry_budget': 0.1,
    'result_limit': 10,
}


@pytest.fixture
async def shell(api, stack, capsys, monkeypatch, tmp_path):
    administration = Administration(api, stack, max_attempts=1)
    administration.store.state.apply_if_newer(
        ConfigurationObject(version=1, indexes=make_indexes())
    )
    server = HttpServer(handler=administration.handler)
    await server.async_start(host='127.0.0.1', port=0)
    stack.push_async_callback(server.async_stop)
    address = f'127.0.0.1:{server.port}'
    monkeypatch.setenv(const.ENV_OPERATORS, address)
    return Shell(administration, api, capsys, tmp_path)


class Shell:
    """Runs commands and returns what they print."""

    def __init__(self, administration, api, capsys, directory):
        self.administration = administration
        self.api = api
        self.capsys = capsys
        self.directory = directory
        self.error = ''

    async def async_run(self, *arguments, expect=const.EXIT_OK) -> str:
        code = await async_main(['bitternturn', *arguments])
        printed = self.capsys.readouterr()
        self.error = printed.err
        assert code == expect, printed.err
        return printed.out

    async def async_json(self, *arguments):
        return json.loads(await self.async_run(*arguments, '--json'))

    def write(self, content) -> str:
        path = self.directory / 'document.json'
        path.write_text(json.dumps(content))
        return str(path)


class TestProfile:
    async def test_put_get_list_and_delete(self, shell):
        printed = await shell.async_run('profile', 'put', shell.write(DESK))
        assert printed.startswith('accepted as version ')
        assert await shell.async_json('profile', 'get', 'desk') == DESK
        other = shell.write({**DESK, 'name': 'other'})
        await shell.async_run('profile', 'put', other)
        changed = shell.write({**DESK, 'deadline_ms': 70})
        await shell.async_run('profile', 'put', changed)
        listed = await shell.async_json('profile', 'list')
        assert [it['name'] for it in listed] == ['desk', 'other']
        await shell.async_run('profile', 'delete', 'other')
        rows = (await shell.async_run('profile', 'list')).splitlines()
        assert len(rows) == 3
        assert rows[-1].split()[:4] == ['desk', 'normal', '70', '50.0%']
        await shell.async_run('profile', 'delete', 'desk')
        assert await shell.async_json('profile', 'list') == []

    async def test_put_with_outdated_version_shows_conflict(self, shell):
        await shell.async_run('profile', 'put', shell.write(DESK))
        await shell.async_run('profile', 'get', 'desk')
        version = shell.error.split()[-1]
        theirs = shell.write({**DESK, 'deadline_ms': 70})
        await shell.async_run('profile', 'put', theirs)
        mine = shell.write({**DESK, 'deadline_ms': 60})
        await shell.async_run(
            'profile',
            'put',
            mine,
            f'--if-version={version}',
            expect=const.EXIT_CONFLICT,
        )
        assert '"deadline_ms":70' in shell.error
        kept = await shell.async_json('profile', 'get', 'desk')
        assert kept['deadline_ms'] == 70

    async def test_unknown_profile_is_not_found(self, shell):
        for verb in ('get', 'delete'):
            await shell.async_run(
                'profile', verb, 'x', expect=const.EXIT_NOT_FOUND
            )
            assert 'no profile "x"' in shell.error

    async def test_invalid_profile_reports_every_path(self, shell):
        broken = shell.write({**DESK, 'deadline_ms': 0, 'result_limit': 0})
        await shell.async_run(
            'profile', 'put', broken, expect=const.EXIT_INVALID
        )
        assert 'profiles[0].deadline_ms: must be' in shell.error
        assert 'profiles[0].result_limit: must be' in shell.error
        assert 'next: ' in shell.error


class TestConfig:
    async def test_get_apply_diff_and_rollback(self, shell):
        await shell.async_run('profile', 'put', shell.write(DESK))
        document = await shell.async_json('config', 'get', 'profiles')
        first = str(document['version'])
        document['content']['profiles'][0]['deadline_ms'] = 70
        path = shell.write(document)
        await shell.async_run('config', 'check', 'profiles', path)
        accepted = await shell.async_json('config', 'apply', 'profiles', path)
        diff = await shell.async_run('config', 'diff', 'profiles', first)
        changed = [
            line.split()[-1]
            for line in diff.splitlines()
            if 'deadline_ms' in line
        ]
        assert changed == ['100,', '70,']
        history = await shell.async_json('config', 'history', 'profiles')
        versions = [entry['version'] for entry in history]
        assert versions == [accepted['version'], int(first)]
        await shell.async_run('config', 'rollback', 'profiles', first)
        assert await shell.async_json('profile', 'get', 'desk') == DESK

    async def test_conflict_shows_both_versions(self, shell):
        document = await shell.async_json('config', 'get', 'profiles')
        await shell.async_run('profile', 'put', shell.write(DESK))
        path = shell.write(document)
        await shell.async_run(
            'config', 'apply', 'profiles', path, expect=const.EXIT_CONFLICT
        )
        assert 'yours: based on version 0' in shell.error
        assert '"name":"desk"' in shell.error

    async def test_apply_without_a_version_requires_the_flag(self, shell):
        path = shell.write({'profiles': [DESK]})
        arguments = ('config', 'apply', 'profiles', path)
        await shell.async_run(*arguments, expect=const.EXIT_USAGE)
        await shell.async_run(*arguments, '--if_version', '0')

    async def test_check_calls_no_instance(self, shell):
        path = shell.write({'profiles': [DESK, DESK]})
        await shell.async_run(
            'config',
            'check',
            'profiles',
            path,
            '--operators=127.0.0.1:1',
            expect=const.EXIT_INVALID,
        )
        assert 'profiles[1].name: "desk" is used twice' in shell.error


class TestIndex:
    async def test_put_adds_and_replaces(self, shell):
        shell.administration.store.state.objects.clear()
        index = message_to_json(make_indexes().indexes[0])
        await shell.async_run('index', 'put', shell.write(index))
        index['maps'][0]['snapshot'] = 9
        await shell.async_run('index', 'put', shell.write(index))
        index['name'] = 'other'
        for target in index['targets']:
            target['id'] = f'o-{target["id"]}'
        index['maps'][0]['shards'][0]['targets'] = ['o-t1']
        await shell.async_run('index', 'put', shell.write(index))
        rows = await shell.async_json('index', 'list')
        assert [(row['name'], row['maps'][0]['snapshot']) for row in rows] == [
            ('ledger', '9'),
            ('other', '9'),
        ]


class TestSwitches:
    async def test_domain_out_list_and_in(self, shell):
        await shell.async_run('domain', 'out', 'south', '--reason', 'power')
        assert shell.administration.store.state.is_out(TargetId('t2'))
        rows = await shell.async_json('domain', 'list')
        assert {row['name']: row['state'] for row in rows} == {
            'north': 'in',
            'south': 'out',
            'west': 'in',
        }
        targets = await shell.async_json('target', 'list')
        assert [row['switch'] for row in targets] == ['in', 'out']
        assert targets[0]['state'] == 'cold'
        table = await shell.async_run('target', 'list')
        assert 'power' in table
        await shell.async_run('domain', 'in', 'south')
        assert not shell.administration.store.state.is_out(TargetId('t2'))

    async def test_unknown_target_is_not_found(self, shell):
        await shell.async_run(
            'target', 'out', 't9', expect=const.EXIT_NOT_FOUND
        )
        assert 'known: t1, t2' in shell.error

    async def test_object_api_outage_exits_as_unreachable(self, shell):
        shell.api.set_faults(ObjectFaults(outage=Outage.REFUSING))
        await shell.async_run(
            'target', 'out', 't1', expect=const.EXIT_UNREACHABLE
        )
        assert 'nothing was changed' in shell.error


class TestReports:
    async def test_status_and_instances(self, shell):
        printed = await shell.async_run('status')
        assert 'not ready: no lease' in printed
        assert (await shell.async_json('status'))['versions']['view'] == 3
        rows = await shell.async_json('instance', 'list')
        assert [row['instance_id'] for row in rows] == ['i-1', 'i-2']

    async def test_index_list(self, shell):
        row = (await shell.async_run('index', 'list')).splitlines()[-1]
        assert row.split() == ['ledger', '2', '1', '1', '1']

    async def test_timeline_formats(self, shell):
        timestamp = 5 << COUNTER_BITS
        printed = await shell.async_run(
            'timeline', '--request=r1', '--since', str(timestamp)
        )
        assert 'query_started' in printed
        assert shell.administration.timeline_requests == [
            TimelineRequest(since=timestamp, request_id='r1', limit=5000)
        ]
        svg = await shell.async_run('timeline', '--format', 'svg')
        assert svg.startswith('<svg')
        events = await shell.async_json('timeline')
        assert events[0]['request_id'] == 'r1'


class TestUsage:
    @pytest.mark.parametrize(
        'arguments',
        [
            ['fly'],
            ['profile'],
            ['profile', 'get'],
            ['profile', 'fly', 'x'],
            ['status', '--colour'],
            ['status', '--operators', 'nowhere'],
            ['timeline', '--since', 'noon'],
            ['config', 'get', 'colours'],
            ['profile', 'put', '/nonexistent.json'],
            ['serve', '/nonexistent.toml'],
        ],
    )
    async def test_invalid_command_line_is_a_usage_error(
        self, shell, arguments
    ):
        await shell.async_run(*arguments, expect=const.EXIT_USAGE)
        assert shell.error.startswith('bitternturn: ')
        assert 'next: ' in shell.error

    async def test_request_in_no_log_shows_what_the_logs_cover(
        self, shell, tmp_path
    ):
        log = tmp_path / 'a.log'
        log.write_text(
            '{"time":10.0,"instance":"i1","kind":"paused","length_s":3.0}\n'
            '{"time":99.0,"instance":"i1","kind":"start"}\n'
        )
        await shell.async_run(
            'explain',
            'q9',
            f'--logs={log}',
            '--at=12',
            expect=const.EXIT_NOT_FOUND,
        )
        found, _, around = shell.error.partition('around 12.000')
        assert 'i1: 2 lines from 10.000 to 99.000' in found
        assert '`list`' not in found
        assert 'i1  paused' in around
        assert 'i1  start' not in around

    async def test_rollout_is_explained_from_logs(self, shell, tmp_path):
        log = tmp_path / 'a.log'
        fields = '"service":"s","version":"v2"'
        log.write_text(
            f'{{"time":1.0,"instance":"i1","kind":"rollout",{fields},'
            '"phase":"active"}\n'
            f'{{"time":2.0,"instance":"i2","kind":"rollout",{fields},'
            '"phase":"active"}\n'
            f'{{"time":5.0,"instance":"i1","kind":"rollout_phase",{fields},'
            '"phase":"suspended","reason":"failing","failures":9}\n'
            f'{{"time":6.0,"instance":"i1","kind":"rollout_written",{fields},'
            '"state":"reverted"}\n'
            '{"time":7.0,"instance":"i1","kind":"target","target":"t"}\n'
        )
        printed = await shell.async_run('rollout', 'status', f'--logs={log}')
        assert printed.strip() == (
            's to v2: reverted written; instances: 1 active, 1 suspended'
        )
        printed = await shell.async_run(
            'rollout', 'explain', 's', f'--logs={log}'
        )
        assert 'reason=failing failures=9' in printed
        assert len(printed.strip().splitlines()) == 4
        await shell.async_run(
            'rollout',
            'explain',
            'other',
            f'--logs={log}',
            expect=const.EXIT_NOT_FOUND,
        )

    async def test_unreachable_instance_names_the_peer(self, shell):
        await shell.async_run(
            'status', '--operators=127.0.0.1:1', expect=const.EXIT_UNREACHABLE
        )
        assert 'peer 127.0.0.1:1' in shell.error

    @pytest.mark.parametrize('name', COMMANDS)
    async def test_help_has_an_example(self, shell, name):
        printed = await shell.async_run(name, '--help')
        assert f'  bitternturn {name} ' in printed.partition('example:')[2]
        assert name in await shell.async_run('--help')
