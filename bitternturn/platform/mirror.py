"""List-and-watch loop that keeps a copy of one kind up to date."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.platform.object_messages import ObjectEvent, PlatformObject
from bitternturn.platform.outage import INITIAL_BACKOFF_S, OutageGate
from bitternturn.platform.store import PlatformStore

# Wait of a watch that only checks whether the store responds again.
PROBE_WAIT_S: Final = 0.05

# Called with what was read and the store revision that it reflects.
OnList = Callable[[Sequence[PlatformObject], int], None]
OnEvents = Callable[[Sequence[ObjectEvent], int], None]


@dataclass(kw_only=True, frozen=True, slots=True)
class WatchTiming:
    """When watches of one kind start and how long they wait, in seconds."""

    # Returns the wait of the next watch.
    wait_s: Callable[[], float]
    # Pause after a change, so that changes arrive in batches: each response
    # costs a call.
    batch_s: float = 0


async def async_mirror(
    store: PlatformStore,
    kind: str,
    *,
    on_list: OnList,
    on_events: OnEvents,
    on_failure: Callable[[str, BitternturnError], None],
    since_revision: int = 0,
    timing: WatchTiming,
    gate: OutageGate,
) -> None:
    """List a kind and watch its changes; never returns.

    `since_revision` is the revision of an existing copy, 0 without one. The
    `gate` is shared by the mirrors of one store.
    """
    revision: int | None = since_revision or None
    # Whether the store has answered the last call. If it has not, the next
    # watch is short, as its response shows whether the store is available.
    confirmed = False
    while True:
        await gate.async_wait_for_turn()
        try:
            if revision is None:
                objects, revision = await store.async_list(kind)
                gate.record_success()
                on_list(objects, revision)
            else:
                changes = await store.async_watch(
                    kind,
                    revision,
                    wait_s=timing.wait_s() if confirmed else PROBE_WAIT_S,
                )
                gate.record_success()
                revision = changes.at_rev or revision
                on_events(changes.events, revision)
                if changes.events:
                    await asyncio.sleep(timing.batch_s)
            confirmed = True
        except BitternturnError as error:
            if error.code in {ErrorCode.WATCH_GONE, ErrorCode.BAD_ANSWER}:
                revision = None
            confirmed = error.code is ErrorCode.WATCH_GONE
            on_failure(kind, error)
            if error.code is ErrorCode.WATCH_GONE:
                gate.record_success()
                await asyncio.sleep(INITIAL_BACKOFF_S)
            else:
                gate.record_failure()
