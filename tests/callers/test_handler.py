"""Tests of the refusals of the callers' listener."""

import random
from types import SimpleNamespace

import msgspec
import pytest

from bitternturn.callers.handler import create_handler
from bitternturn.http.models import Request
from bitternturn.schema.config_pb2 import Index, PartitionMap, Profile, Shard


def make_services():
    """Return the services of a listener with one index and one profile."""
    index = Index(
        name='pay-lookup', maps=[PartitionMap(shards=[Shard(id='s1')])]
    )
    query_services = SimpleNamespace(
        find_index={'pay-lookup': index}.get,
        rng=random.Random(1),
        now=lambda: 0.0,
        event=lambda kind, **fields: None,
    )
    return SimpleNamespace(
        query_services=query_services,
        find_profile={'desk': Profile(name='desk', repeatable=True)}.get,
        not_ready_reason=lambda: '',
        claims=None,
        tasks=None,
    )


def make_query(index='pay-lookup', **body):
    """Return a query, with some fields of its body changed."""
    fields = {'profile': 'desk', 'query': {}, **body}
    path = f'/v1/query/{index}'
    return Request(
        method='POST',
        path=path,
        request_target=path,
        headers={},
        header_pairs=[],
        body=msgspec.json.encode(fields),
    )


class TestInvalidRequests:
    @pytest.mark.parametrize(
        ('request_', 'status', 'message'),
        [
            (make_query('nowhere'), 404, "index 'nowhere' does not exist"),
            (make_query(profile='none'), 400, "profile 'none' does not exist"),
            (make_query(shards=['s9']), 400, "unknown shards: ['s9']"),
            (make_query(limit=0), 400, 'limit is below 1'),
        ],
    )
    async def test_refusal_says_what_is_wrong(self, request_, status, message):
        response = await create_handler(make_services())(request_)
        assert response.status == status
        assert msgspec.json.decode(response.body)['message'] == message
