"""Fixtures that start clusters."""

import contextlib

import pytest

from bench.cluster import running_cluster
from tests.integration.helpers import (
    async_send_queries,
    make_cluster,
    make_search,
)


@pytest.fixture
async def start_cluster():
    """Start clusters whose targets all have an owner; stop them at the end."""
    async with contextlib.AsyncExitStack() as stack:

        async def async_start(**settings):
            cluster = make_cluster(**settings)
            await stack.enter_async_context(running_cluster(cluster))
            (answer,) = await async_send_queries(cluster, [make_search()])
            assert answer.reply.coverage == 1
            return cluster

        yield async_start
