"""Reads and conditional updates of the view in the object store."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from google.protobuf.message import DecodeError

from bitternturn.core.clock import Clock
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import Version
from bitternturn.membership.const import (
    EDIT_ATTEMPTS,
    EDIT_BACKOFF_LIMIT_S,
    EDIT_BACKOFF_S,
    KIND_CONTROL,
    NAME_VIEW,
)
from bitternturn.membership.models import ObjectStore
from bitternturn.membership.state import MemberState
from bitternturn.membership.view import drop_settled
from bitternturn.schema.membership_pb2 import View

STEP_EDIT = 'view_edit'
STEP_READ = 'view_read'

# Returns the new view, or None if no change is needed.
Edit = Callable[[View], View | None]


@dataclass(frozen=True, kw_only=True)
class ViewRead:
    """A view and the times at which its read or write began and ended."""

    view: View
    started_at: float
    received_at: float


class ViewStore:
    """Reads and writes the view in the object store."""

    def __init__(
        self, *, objects: ObjectStore, now: Clock, rng: random.Random
    ) -> None:
        """Initialise without reading the view."""
        self.objects = objects
        self.now = now
        self.rng = rng

    async def async_read(self) -> ViewRead:
        """Read the view; return an empty one with version 0 if none exists.

        Raises BitternturnError BAD_ANSWER if the object is not a view, and the
        errors of the object client.
        """
        started_at = self.now()
        stored = await self.objects.async_get(KIND_CONTROL, NAME_VIEW)
        received_at = self.now()
        view = View()
        if stored is not None:
            view = _decode(stored.value)
            view.version = stored.version
        return ViewRead(
            view=view, started_at=started_at, received_at=received_at
        )

    async def async_edit(self, edit: Edit, state: MemberState) -> ViewRead:
        """Apply an edit to the stored view; return the resulting view.

        After a conflicting write, the edit is retried on the new view. Raises
        BitternturnError CONFLICT if every attempt conflicts, OVERLOADED if too
        many earlier views are unsettled, and errors of the object client.
        """
        backoff_s = EDIT_BACKOFF_S
        for _ in range(EDIT_ATTEMPTS):
            read = await self.async_read()
            edited = edit(read.view)
            if edited is None or edited.members == read.view.members:
                return read
            edited = drop_settled(
                edited, state.make_settled_check(edited, self.now())
            )
            written = await self._write(edited, Version(read.view.version))
            if written is not None:
                return written
            await asyncio.sleep(backoff_s * self.rng.random())
            backoff_s = min(backoff_s * 2, EDIT_BACKOFF_LIMIT_S)
        raise BitternturnError(code=ErrorCode.CONFLICT, step=STEP_EDIT)

    async def _write(self, view: View, base: Version) -> ViewRead | None:
        """Write a view if its base is still current; None on a conflict."""
        started_at = self.now()
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
        return ViewRead(
            view=view, started_at=started_at, received_at=self.now()
        )


def _decode(value: bytes) -> View:
    """Decode a view from an object's value."""
    try:
        return View.FromString(value)
    except DecodeError as error:
        raise BitternturnError(
            str(error),
            code=ErrorCode.BAD_ANSWER,
            step=STEP_READ,
        ) from error
