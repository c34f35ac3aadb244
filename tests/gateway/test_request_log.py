"""Tests of the log lines that explain a request."""

import json

from bitternturn.gateway.request_log import (
    find_request_lines,
    read_lines,
    render_line,
)
from bitternturn.standins.platform_target import ScriptedBehaviour
from tests.gateway.helpers import (
    configure,
    make_entry,
    make_gateway,
    make_request,
    make_route,
    make_scripted_target,
    register,
    running_targets,
    spy_on_log,
)


def line(time, kind, instance='i1', **fields):
    """Return a log line as a collector saved it."""
    content = {'time': time, 'instance': instance, 'kind': kind, **fields}
    return f'  {time} {instance} {json.dumps(content)}'


LOG = [
    line(1.0, 'start'),
    line(96.0, 'store_lost', of='config', error='timeout'),
    line(97.0, 'target_ejected', 'i2', target='t1', service='s'),
    line(97.5, 'target_ejected', 'i2', target='t9', service='s'),
    line(98.0, 'store_lost', 'i2', of='config'),
    line(99.0, 'request', request_id='q0', ms=5.0),
    'not a decision log line',
    '{broken',
    line(
        100.0,
        'request',
        request_id='q1',
        ms=800.0,
        outcome='give_up',
        sends=[
            {
                'service': 's',
                'target': 't1',
                'via': 'i2',
                'outcome': 'lost',
                'at_ms': 0.1,
                'took_ms': 700.2,
            }
        ],
    ),
]


class TestRequestLines:
    def test_request_is_listed_with_relevant_state_changes(self):
        lines = find_request_lines(read_lines(LOG), 'q1', lookback_s=5)
        found = [(entry.kind, entry.instance) for entry in lines]
        assert found == [
            ('store_lost', 'i1'),
            ('target_ejected', 'i2'),
            ('request', 'i1'),
        ]

    def test_unknown_request_has_no_lines(self):
        assert not find_request_lines(read_lines(LOG), 'q9', lookback_s=5)

    def test_sends_are_rendered(self):
        entry = find_request_lines(read_lines(LOG), 'q1', lookback_s=0)[-1]
        text = render_line(entry, entry.time)
        assert 'sent to t1 of s via i2 at 0.1 ms: lost after 700.2 ms' in text
        assert 'outcome=give_up' in text


class TestCrashingRequests:
    def test_refusal_is_explained_by_the_ends_at_other_instances(self):
        log = [
            line(10.0, 'target_ended', 'i2', target='t1', requests=['k', 'm']),
            line(11.0, 'target_ended', 'i3', target='t2', requests=['m']),
            line(12.0, 'request_suspected', 'i2', request_key='k'),
            line(13.0, 'request_suspected', 'i2', request_key='m'),
            line(99.0, 'refused', request_id='q', request_key='k'),
            line(99.5, 'request_cleared', 'i2', request_key='k'),
        ]
        found = find_request_lines(read_lines(log), 'q', lookback_s=5)
        assert [it.time for it in found] == [10.0, 12.0, 99.0]


class TestLostSends:
    async def test_attempts_of_one_request_can_be_told(self):
        targets = [
            make_scripted_target(name, ScriptedBehaviour.RESET)
            for name in ('t1', 't2')
        ]
        async with running_targets(*targets):
            gateway = make_gateway()
            lines = spy_on_log(gateway)
            configure(gateway, make_route(max_targets=1))
            register(gateway, *(make_entry(target) for target in targets))
            for request_id in ('q1', 'q2'):
                await gateway.async_handle(make_request(request_id))
        keys = [line['request_key'] for line in lines if 'request_key' in line]
        assert len(keys) == 2
        assert len(set(keys)) == 1
