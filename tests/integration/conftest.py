"""Clusters that are stopped at the end of a test."""

import contextlib

import pytest

from bench.cluster import running_cluster
from tests.integration.session import async_ask_all, make_cluster, search


@pytest.fixture
async def start():
    """Start clusters, with the owners' waits over."""
    async with contextlib.AsyncExitStack() as stack:

        async def async_start(**settings):
            cluster = make_cluster(**settings)
            await stack.enter_async_context(running_cluster(cluster))
            (answer,) = await async_ask_all(cluster, [search()])
            assert answer.reply.coverage == 1
            return cluster

        yield async_start
