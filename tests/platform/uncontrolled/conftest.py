"""Fixtures of the tests with callers that are not controlled."""

import fcntl

import pytest

from tests.platform.uncontrolled.gateway_process import GatewayProcess


@pytest.fixture
def alone(tmp_path_factory):
    """Let only one of these tests run at a time, in all workers."""
    folder = tmp_path_factory.getbasetemp().parent
    with (folder / 'uncontrolled-callers.lock').open('w') as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@pytest.fixture
async def prepared(alone, tmp_path):
    """Provide a gateway that has not been started."""
    gateway = GatewayProcess(tmp_path)
    await gateway.async_prepare()
    try:
        yield gateway
    finally:
        await gateway.async_stop()


@pytest.fixture
async def gateway(prepared):
    """Provide a gateway that is ready."""
    await prepared.async_start()
    await prepared.async_wait_until_ready()
    yield prepared
