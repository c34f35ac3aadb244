"""Tests of log formatting and log levels."""

import json

import logbook

from bitternturn.core.ids import InstanceId
from bitternturn.core.log import (
    create_json_formatter,
    create_text_formatter,
    set_up_logging,
)
from bitternturn.schema.settings_pb2 import LogSettings


def format_warning(formatter, **options) -> str:
    logger = logbook.Logger('owner')
    with logbook.TestHandler() as handler:
        try:
            raise ValueError('broken')
        except ValueError:
            logger.warning('lost {}', 'it', **options)
        return formatter(handler.records[0], handler)


class TestFormats:
    def test_json_line_has_structured_fields(self):
        line = format_warning(
            create_json_formatter(InstanceId('i-1')),
            extra={'request_id': 'r', 'step': 'send', 'other': 'x'},
            exc_info=True,
        )
        content = json.loads(line)
        assert content.pop('time')
        assert 'ValueError: broken' in content.pop('exception')
        assert content == {
            'level': 'warning',
            'instance_id': 'i-1',
            'logger': 'owner',
            'message': 'lost it',
            'request_id': 'r',
            'step': 'send',
        }

    def test_text_line_has_structured_fields(self):
        line = format_warning(
            create_text_formatter(InstanceId('i-1')), extra={'peer': 'p:1'}
        )
        assert line.endswith('i-1 owner: lost it peer=p:1')


class TestSetUpLogging:
    def test_records_below_the_level_are_dropped(self, capsys):
        handler = set_up_logging(
            LogSettings(level='warning', format='json'), InstanceId('i-1')
        )
        try:
            logbook.Logger('x').info('quiet')
            logbook.Logger('x').error('loud')
        finally:
            handler.pop_application()
        lines = capsys.readouterr().err.splitlines()
        assert [json.loads(line)['message'] for line in lines] == ['loud']
