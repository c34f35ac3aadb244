"""Fixtures with a stand-in of the object API."""

import contextlib

import pytest

from bitternturn.standins.object_api import ObjectApi


@pytest.fixture
async def stack():
    async with contextlib.AsyncExitStack() as entered:
        yield entered


@pytest.fixture
async def api(stack):
    started = ObjectApi()
    await started.async_start(host='127.0.0.1')
    stack.push_async_callback(started.async_stop)
    return started
