"""List-and-watch of a kind that resumes after failures."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator

import logbook

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import Version
from bitternturn.platform.client import ObjectClient
from bitternturn.platform.models import ObjectList, StoredObject

LOGGER = logbook.Logger('platform.follow')

# Attempt from which on the backoff stays constant.
MAX_BACKOFF_ATTEMPT = 8


async def follow_kind(
    client: ObjectClient,
    kind: str,
) -> AsyncGenerator[ObjectList | StoredObject, None]:
    """Yield a list of a kind, then each later write; never ends.

    Yields a new list when the store no longer has the history from which to
    resume; objects that were deleted meanwhile are missing in it.
    """
    version: Version | None = None
    failures = 0
    while True:
        try:
            if version is None:
                objects = await client.async_list(kind)
                version = objects.version
                yield objects
            changes = client.watch(kind, version)
            async with contextlib.aclosing(changes):
                async for change in changes:
                    version = change.version
                    failures = 0
                    yield change
        except BitternturnError as error:
            LOGGER.info('watch of {} failed, resuming: {}', kind, error)
            if error.code is ErrorCode.WATCH_GONE:
                version = None
            failures = min(failures + 1, MAX_BACKOFF_ATTEMPT)
        await asyncio.sleep(client.backoff_s(failures))
