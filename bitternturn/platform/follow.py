"""All objects of a kind and then each write, over every failure."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator

import logbook

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import Version
from bitternturn.platform.client import ObjectClient
from bitternturn.platform.models import ObjectList, StoredObject

LOGGER = logbook.Logger('platform.follow')

# Attempts after which the pause between them grows no more.
LONGEST_PAUSE = 8


async def follow(
    client: ObjectClient,
    kind: str,
) -> AsyncGenerator[ObjectList | StoredObject, None]:
    """Yield a list of a kind and each later write, without an end.

    Another list follows when the store has forgotten the version from which
    to watch; deletions in between show by what the list lacks.
    """
    version: Version | None = None
    failures = 0
    while True:
        try:
            if version is None:
                listed = await client.async_list(kind)
                version = listed.version
                yield listed
            changes = client.watch(kind, version)
            async with contextlib.aclosing(changes):
                async for stored in changes:
                    version = stored.version
                    failures = 0
                    yield stored
        except BitternturnError as error:
            LOGGER.info('following {} again: {}', kind, error)
            if error.code is ErrorCode.WATCH_GONE:
                version = None
            failures = min(failures + 1, LONGEST_PAUSE)
        await asyncio.sleep(client.pause_s(failures))
