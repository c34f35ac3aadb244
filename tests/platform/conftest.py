"""Fixtures of the platform tests."""

import pytest

from bitternturn.standins.platform_store import EmulatedPlatformStore
from tests.platform.documents import configuration_document, target_document


@pytest.fixture
async def standin():
    """Return a store with a configuration and a target."""
    store = EmulatedPlatformStore()
    store.put('config', 'main', configuration_document())
    store.put('servers', 't1', target_document())
    await store.async_start()
    yield store
    await store.async_stop()
