"""Copies of the store's objects that other instances may follow."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from bitternturn.schema.relay_pb2 import Changes, KindChanges, StoredObject

# Changes that are kept of each kind; who missed more gets the whole.
KEPT_CHANGES: Final = 512


@dataclass(kw_only=True, frozen=True, slots=True)
class CopiedObject:
    """One object; `spec` is its content as JSON, None once it is deleted."""

    name: str
    revision: int
    spec: bytes | None


class KindCopy:
    """All objects of one kind and the last changes."""

    def __init__(self) -> None:
        """Start with nothing known."""
        self.revision = 0
        # Changes after this revision are kept.
        self.complete_since = 0
        self.objects: dict[str, CopiedObject] = {}
        self.changes: deque[tuple[int, CopiedObject]] = deque()

    def replace(self, found: Iterable[CopiedObject], revision: int) -> None:
        """Take the whole kind as of a revision of the store.

        Only what differs from the present copy counts as changed, since the
        store lists a kind again whenever it has forgotten its history.
        """
        fresh = {copied.name: copied for copied in found}
        if self.revision:
            gone = [
                CopiedObject(name=name, revision=revision, spec=None)
                for name in self.objects.keys() - fresh.keys()
            ]
            changed = [
                copied
                for copied in fresh.values()
                if self.objects.get(copied.name) != copied
            ]
            self.apply([*gone, *changed], revision)
            return
        self.objects = fresh
        self.revision = revision
        self.complete_since = revision

    def apply(self, changed: Iterable[CopiedObject], revision: int) -> None:
        """Take changes up to a revision of the store."""
        for copied in changed:
            if copied.spec is None:
                self.objects.pop(copied.name, None)
            else:
                self.objects[copied.name] = copied
            self.changes.append((revision, copied))
        self.revision = max(self.revision, revision)
        while len(self.changes) > KEPT_CHANGES:
            self.complete_since = self.changes.popleft()[0]

    def since(self, revision: int) -> KindChanges | None:
        """Return what has changed since a revision, None when nothing has.

        The revision may be ahead of this copy: it is the store's, and another
        reader may have heard from the store later.
        """
        if revision >= self.revision:
            return None
        whole = revision < self.complete_since
        if whole:
            told: Iterable[CopiedObject] = self.objects.values()
        else:
            told = [copied for at, copied in self.changes if at > revision]
            if not told:
                return None
        return KindChanges(
            whole=whole,
            at_revision=self.revision,
            objects=[
                StoredObject(
                    name=copied.name,
                    revision=copied.revision,
                    spec=copied.spec or b'',
                    deleted=copied.spec is None,
                )
                for copied in told
            ],
        )


class Copies:
    """The kinds that an instance follows, and whether they are fresh."""

    def __init__(self, *, kinds: Iterable[str]) -> None:
        """Start with nothing known."""
        self.kinds = {kind: KindCopy() for kind in kinds}
        # Kinds of which the store does not answer this instance at present.
        self.failing: set[str] = set()
        # Whether this instance reads the store itself.
        self.reading = False
        self.changed = asyncio.Event()

    @property
    def fresh(self) -> bool:
        """Whether this instance follows the store itself, without failure."""
        loaded = all(copy.revision for copy in self.kinds.values())
        return self.reading and loaded and not self.failing

    def wake(self) -> None:
        """Let those who wait for a change look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def async_since(
        self,
        revisions: Mapping[str, int],
        wait_s: float,
    ) -> Changes:
        """Return what has changed since revisions, waiting for a change."""
        told = self._since(revisions)
        if told.fresh and not told.kinds:
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await changed.wait()
            told = self._since(revisions)
            self._tell_revisions(told)
        return told

    def _tell_revisions(self, told: Changes) -> None:
        """Add up to where kinds have not changed.

        A follower that reads the store later goes on from there; the store
        does not remember for long.
        """
        for kind, copy in self.kinds.items():
            if kind not in told.kinds:
                told.kinds[kind].at_revision = copy.revision

    def _since(self, revisions: Mapping[str, int]) -> Changes:
        """Return what has changed since revisions."""
        told = Changes(fresh=self.fresh)
        for kind, copy in self.kinds.items():
            changes = copy.since(revisions.get(kind, 0))
            if changes is not None:
                told.kinds[kind].CopyFrom(changes)
        return told
