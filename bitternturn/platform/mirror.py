"""Copies of the store's objects that follow every change."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.platform.outage import FIRST_PAUSE_S, OutageGate
from bitternturn.platform.store import Event, PlatformObject, PlatformStore

# How long a watch waits that only finds out whether the store answers, in
# seconds.
PROBE_WATCH_S: Final = 0.05

# Take what was read and the revision of the store that it shows.
OnAll = Callable[[Sequence[PlatformObject], int], None]
OnEvents = Callable[[Sequence[Event], int], None]


async def async_mirror(
    store: PlatformStore,
    kind: str,
    *,
    on_all: OnAll,
    on_events: OnEvents,
    on_failure: Callable[[str, BitternturnError], None],
    since: int = 0,
    gather_s: float = 0,
    gate: OutageGate,
) -> None:
    """List a kind and follow its changes, without an end.

    `since` is the revision of a copy that is known already, 0 without one.
    Changes within `gather_s` seconds after one are read together, since each
    answer costs a call. The `gate` is shared by the mirrors of one store.
    """
    revision: int | None = since or None
    # Whether the last call failed, so that it is not known until the next one
    # ends whether the store answers again.
    failed = False
    while True:
        await gate.async_pass()
        try:
            if revision is None:
                found, revision = await store.async_list(kind)
                gate.note_success()
                on_all(found, revision)
            else:
                changes = await store.async_watch(
                    kind,
                    revision,
                    wait_s=PROBE_WATCH_S if failed else store.watch_s,
                )
                gate.note_success()
                revision = changes.at_rev or revision
                on_events(changes.events, revision)
                if changes.events:
                    await asyncio.sleep(gather_s)
            failed = False
        except BitternturnError as error:
            if error.code in {ErrorCode.WATCH_GONE, ErrorCode.BAD_ANSWER}:
                revision = None
            failed = error.code is not ErrorCode.WATCH_GONE
            on_failure(kind, error)
            if error.code is ErrorCode.WATCH_GONE:
                gate.note_success()
                await asyncio.sleep(FIRST_PAUSE_S)
            else:
                gate.note_failure()
