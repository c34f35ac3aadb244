"""Tests of numbers too long and JSON too deep to decode.

Untrusted input must give an error, never an unhandled ValueError from int()
or a RecursionError from a decoder.
"""

import contextlib
import random
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bitternturn.callers.parse import parse_query
from bitternturn.configuration.check import parse_content
from bitternturn.configuration.models import (
    ConfigurationKind,
    InvalidConfiguration,
)
from bitternturn.core.const import UINT64_MAX
from bitternturn.core.decoding import (
    DECODE_ERRORS,
    decode_tolerantly,
    parse_unsigned,
)
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.settings import SettingsError, parse_settings
from bitternturn.http.models import Request, Response
from bitternturn.owners.exchange import interpret_response
from bitternturn.owners.models import make_sub_request
from bitternturn.schema.config_pb2 import Profile
from bitternturn.schema.peers_pb2 import QueryGroup, SubQuery
from tests.configuration.fakes import make_indexes

LONG = '9' * 5000
DEEP = b'{"query":' * 100_000


def parse(body=b'{"profile":"desk","query":{}}', **headers):
    index = make_indexes().indexes[0]
    return parse_query(
        request=Request(
            method='POST',
            path=f'/v1/query/{index.name}',
            headers={
                name.replace('_', '-'): text for name, text in headers.items()
            },
            body=body,
        ),
        find_index=lambda name: index,
        find_profile=lambda name: Profile(
            name='desk', deadline_ms=100, repeatable=True
        ),
        rng=random.Random(1),
        now=0,
    )


class TestParseUnsigned:
    @pytest.mark.parametrize('text', ['', '-1', '1e3', '\u00b2', '\u0663'])
    def test_invalid_number_gives_none(self, text):
        assert parse_unsigned(text) is None

    def test_number_is_clamped_to_the_maximum(self):
        assert parse_unsigned('0' * 6000 + '7') == 7
        assert parse_unsigned(LONG) == UINT64_MAX
        assert parse_unsigned('12', maximum=10) == 10


class TestCallers:
    def test_long_deadline_is_limited_by_the_profile(self):
        assert parse(x_deadline_ms=LONG).deadline == 0.1

    def test_deep_body_is_rejected(self):
        with pytest.raises(BitternturnError) as caught:
            parse(DEEP)
        assert caught.value.code is ErrorCode.BAD_REQUEST


class TestTargets:
    async def test_long_numbers_are_clamped_and_deep_bodies_rejected(self):
        sub_request = make_sub_request(
            QueryGroup(index='i'), SubQuery(id=1, shard='s'), 0
        )
        for status in (200, 503):
            parsed = interpret_response(
                sub_request,
                'r',
                Response(
                    status=status,
                    headers={
                        'x-request-id': 'r',
                        'x-cold-limit': LONG,
                        'x-held-snapshots': f'1,{LONG}',
                        'x-index': 'i',
                        'x-shard': 's',
                        'x-snapshot': '0',
                        'content-length': str(len(DEEP)),
                    },
                    body=DEEP,
                ),
            )
            assert parsed.result.code
            assert parsed.held_snapshots == (1, UINT64_MAX)


class TestOperators:
    @pytest.mark.parametrize('value', [LONG, '[' * 5000])
    def test_long_or_deep_settings_are_rejected(self, value):
        with pytest.raises(SettingsError):
            parse_settings(f'a = {value}')

    def test_configuration_with_a_long_number_is_rejected(self):
        content = {'indexes': [{'maps': [{'snapshot': LONG}]}]}
        with pytest.raises(InvalidConfiguration):
            parse_content(ConfigurationKind.INDEXES, content)


class TestTolerantDecoding:
    @pytest.mark.parametrize('odd', ['1e999', '-' + '9' * 5000])
    def test_number_out_of_range_is_left_out(self, odd):
        body = f'[{{"a": "[\\"{{1e999", "b": {odd}, "c": [1, -2.5]}}, 7]'
        assert decode_tolerantly(body.encode(), Any) == [
            {'a': '["{1e999', 'b': None, 'c': [1, -2.5]},
            7,
        ]

    @pytest.mark.parametrize(('opened', 'closed'), ['[]', ('{"a":', '}')])
    def test_only_deeply_nested_values_are_left_out(self, opened, closed):
        odd = opened * 100_000 + '1' + closed * 100_000
        body = f'[{{"a": "[\\"{{", "b": {odd}, "c": [1, -2.5]}}, 7]'
        entry, last = decode_tolerantly(body.encode(), Any)
        assert (entry['a'], entry['c'], last) == ('["{', [1, -2.5], 7)
        assert msgspec.json.encode(entry['b']).count(b'null') == 1

    def test_ordinary_document_is_unchanged(self):
        body = b'{"a": [1, 1.5e3, "x", null, true], "b": {"c": -7}}'
        assert decode_tolerantly(body, Any) == msgspec.json.decode(body)

    @given(body=st.binary(max_size=60))
    def test_anything_is_decoded_or_rejected(self, body):
        with contextlib.suppress(*DECODE_ERRORS):
            decode_tolerantly(body, Any)

    @given(
        document=st.recursive(
            st.none() | st.booleans() | st.text() | st.integers(-9, 9),
            lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        )
    )
    def test_document_beside_an_odd_value_is_unchanged(self, document):
        body = b'[1e999,%b]' % msgspec.json.encode(document)
        assert decode_tolerantly(body, Any) == [None, document]
