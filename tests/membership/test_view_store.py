"""Tests of reading the view from the object store."""

import random

import pytest

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import Version
from bitternturn.membership.view_store import ViewStore
from bitternturn.platform.models import StoredObject


class Objects:
    async def async_get(self, kind, name):
        return StoredObject(
            kind=kind, name=name, version=Version(3), value=b'\xff'
        )


class TestRead:
    async def test_object_that_is_not_a_view_is_rejected(self):
        store = ViewStore(
            objects=Objects(), now=lambda: 0.0, rng=random.Random(1)
        )
        with pytest.raises(BitternturnError) as caught:
            await store.async_read()
        assert caught.value.code is ErrorCode.BAD_ANSWER
