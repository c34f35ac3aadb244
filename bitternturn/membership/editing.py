"""Conditional updates of the view in the platform's object."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from bitternturn.core.clock import Clock
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import Version
from bitternturn.membership.const import (
    EDIT_ATTEMPTS,
    EDIT_RETRY_LIMIT_S,
    EDIT_RETRY_S,
    KIND_CONTROL,
    NAME_VIEW,
)
from bitternturn.membership.models import ObjectStore
from bitternturn.membership.state import MemberState
from bitternturn.membership.view import settle
from bitternturn.schema.membership_pb2 import View

STEP_EDIT = 'view_edit'

# Returns the new view, or None where nothing has to change.
Edit = Callable[[View], View | None]


@dataclass(frozen=True, kw_only=True)
class ViewRead:
    """A view and when its read began and ended."""

    view: View
    started: float
    received: float


class ViewStore:
    """The view in the platform's object."""

    def __init__(
        self, *, objects: ObjectStore, now: Clock, rng: random.Random
    ) -> None:
        """Use the object client; nothing is read yet."""
        self.objects = objects
        self.now = now
        self.rng = rng

    async def async_read(self) -> ViewRead:
        """Read the view; an empty one with version 0 if there is none.

        Raises BitternturnError of the object client.
        """
        started = self.now()
        stored = await self.objects.async_get(KIND_CONTROL, NAME_VIEW)
        received = self.now()
        view = View()
        if stored is not None:
            view = View.FromString(stored.value)
            view.version = stored.version
        return ViewRead(view=view, started=started, received=received)

    async def async_edit(self, edit: Edit, state: MemberState) -> ViewRead:
        """Replace the view by its edited form; return the one in force.

        Conflicts are redone on the view that won. Raises BitternturnError
        CONFLICT when others win every time, OVERLOADED when too many earlier
        views are unsettled, and those of the object client.
        """
        delay = EDIT_RETRY_S
        for _ in range(EDIT_ATTEMPTS):
            read = await self.async_read()
            edited = edit(read.view)
            if edited is None or edited.members == read.view.members:
                return read
            edited = settle(edited, state.settled(edited, self.now()))
            written = await self._write(edited, Version(read.view.version))
            if written is not None:
                return written
            await asyncio.sleep(delay * self.rng.random())
            delay = min(delay * 2, EDIT_RETRY_LIMIT_S)
        raise BitternturnError(code=ErrorCode.CONFLICT, step=STEP_EDIT)

    async def _write(self, view: View, base: Version) -> ViewRead | None:
        """Write a view over its base; None when another write came first."""
        started = self.now()
        try:
            version = await self.objects.async_put(
                kind=KIND_CONTROL,
                name=NAME_VIEW,
                value=view.SerializeToString(),
                if_version=base,
            )
        except BitternturnError as error:
            if error.code is ErrorCode.CONFLICT:
                return None
            raise
        view.version = version
        return ViewRead(view=view, started=started, received=self.now())
