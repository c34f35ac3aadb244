"""Copies of the store's objects, which other instances may follow."""

import asyncio
import contextlib
import math
import time
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from bitternturn.core.store_position import era_of
from bitternturn.schema.relay_pb2 import Changes, KindChanges, StoredObject

# Objects per kind whose last change is kept; a follower that has missed more gets
# all objects.
MAX_KEPT_CHANGES: Final = 512
# Repeated listings that are remembered per kind.
MAX_KEPT_GAPS: Final = 16


@dataclass(kw_only=True, frozen=True, slots=True)
class CopiedObject:
    """One object; `spec` is its JSON content, None if it was deleted."""

    name: str
    revision: int
    spec: bytes | None
    # JSON content of the status, None without one.
    status: bytes | None = None


@unique
class ReadState(Enum):
    """Result of the last read of a kind from the store."""

    # The store has not answered yet: the copy is from a peer.
    UNCONFIRMED = 'unconfirmed'
    CONFIRMED = 'confirmed'
    FAILING = 'failing'


class KindCopy:
    """All objects of one kind, and which of them have changed last.

    Versions that later ones have replaced are not kept: a follower needs the
    latest one alone.
    """

    def __init__(self) -> None:
        """Initialise as not yet loaded."""
        # Position of the store that the copy reflects.
        self.revision = 0
        # All changes after this revision are kept.
        self.history_start = 0
        self.objects: dict[str, CopiedObject] = {}
        # Position of the last change of an object, deleted ones included, in the
        # order of these changes.
        self.changes: OrderedDict[str, int] = OrderedDict()
        # Spans between the positions before and after a repeated listing, in
        # which the changes are not known.
        self.gaps: deque[tuple[int, int]] = deque(maxlen=MAX_KEPT_GAPS)

    def replace(self, objects: Iterable[CopiedObject], revision: int) -> None:
        """Replace all objects by a listing at a revision of the store.

        Only differences from the current copy are recorded as changes, since
        the kind is listed again whenever the store has dropped its history.
        Across eras there are no differences: a follower may have had a later
        copy of the old era than this one.
        """
        listed = {copied.name: copied for copied in objects}
        if self.revision and era_of(self.revision) == era_of(revision):
            deleted = [
                CopiedObject(name=name, revision=revision, spec=None)
                for name in self.objects.keys() - listed.keys()
            ]
            changed = [
                copied
                for copied in listed.values()
                if self.objects.get(copied.name) != copied
            ]
            if len(self.gaps) == MAX_KEPT_GAPS:
                self.history_start = max(self.history_start, self.gaps[0][1])
            self.gaps.append((self.revision, revision))
            self.apply([*deleted, *changed], revision)
            return
        self.objects = listed
        self.changes.clear()
        self.gaps.clear()
        self.revision = revision
        self.history_start = revision

    def apply(self, changed: Iterable[CopiedObject], revision: int) -> None:
        """Apply changes up to a revision of the store."""
        for copied in changed:
            if copied.spec is None:
                self.objects.pop(copied.name, None)
            else:
                self.objects[copied.name] = copied
            self.changes[copied.name] = revision
            self.changes.move_to_end(copied.name)
        self.revision = max(self.revision, revision)
        while len(self.changes) > MAX_KEPT_CHANGES:
            dropped_at = self.changes.popitem(last=False)[1]
            self.history_start = max(self.history_start, dropped_at)

    def changes_since(self, revision: int) -> KindChanges | None:
        """Return the changes since a revision, None if there are none.

        The revision may be ahead of this copy: the follower may have got it
        from another reader that has read the store more recently.
        """
        if revision >= self.revision:
            return None
        whole = revision < self.history_start or any(
            begin < revision < end for begin, end in self.gaps
        )
        if whole:
            reported = list(self.objects.values())
        else:
            reported = self._list_changed(revision)
            if not reported:
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
                    status=copied.status or b'',
                )
                for copied in reported
            ],
        )

    def _list_changed(self, revision: int) -> list[CopiedObject]:
        """Return the objects that have changed after a revision."""
        return [
            self.objects.get(name)
            or CopiedObject(name=name, revision=changed_at, spec=None)
            for name, changed_at in self.changes.items()
            if changed_at > revision
        ]


class StoreCopies:
    """Copies of all followed kinds, and whether they are up to date."""

    def __init__(
        self,
        *,
        kinds: Iterable[str],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initialise as not yet loaded."""
        self.now = now
        self.kinds = {kind: KindCopy() for kind in kinds}
        # Result of the last read of each kind from the store; empty while this
        # instance does not read the store.
        self.read_states: dict[str, ReadState] = {}
        # Until when the copies of a reader count as up to date.
        self.relayed_until: float = 0
        # Last request of a follower.
        self.followed_at = -math.inf
        self.changed = asyncio.Event()

    @property
    def up_to_date(self) -> bool:
        """Whether the store has answered the last reads of all kinds."""
        return self._loaded and all(
            self.read_states.get(kind) is ReadState.CONFIRMED
            for kind in self.kinds
        )

    @property
    def relayed(self) -> bool:
        """Whether a reader that is up to date has just been followed."""
        return self._loaded and self.now() < self.relayed_until

    @property
    def _loaded(self) -> bool:
        """Whether all kinds have been listed."""
        return all(copy.revision for copy in self.kinds.values())

    def start_reading(self) -> None:
        """Count no kind as confirmed until the store has answered."""
        self.read_states = dict.fromkeys(self.kinds, ReadState.UNCONFIRMED)

    def stop_reading(self) -> None:
        """Forget the results of reads from the store."""
        self.read_states = {}

    def record_read(self, kind: str, state: ReadState) -> ReadState | None:
        """Record the result of a read; return the one before."""
        previous = self.read_states.get(kind)
        self.read_states[kind] = state
        if state is not previous:
            self.notify_followers()
        return previous

    def revisions(self) -> dict[str, int]:
        """Return the position of each kind, 0 if it is not loaded."""
        return {kind: copy.revision for kind, copy in self.kinds.items()}

    def notify_followers(self) -> None:
        """Notify waiting followers of a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def async_wait_for_changes(
        self,
        revisions: Mapping[str, int],
        wait_s: float,
    ) -> Changes:
        """Return the changes since revisions.

        If there is none, wait for one for up to `wait_s`, unless the copies
        are not up to date. A peer that does not wait asks once and does not
        count as a follower.
        """
        if wait_s > 0:
            self.followed_at = self.now()
        changes = self._collect_changes(revisions)
        if (changes.fresh or changes.relayed) and not changes.kinds:
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await changed.wait()
            changes = self._collect_changes(revisions)
            self._add_revisions(changes)
        return changes

    def _add_revisions(self, changes: Changes) -> None:
        """Add the current revisions of unchanged kinds.

        A follower that later reads the store itself resumes from them; the
        store keeps only a short history.
        """
        for kind, copy in self.kinds.items():
            if kind not in changes.kinds:
                changes.kinds[kind].at_revision = copy.revision

    def _collect_changes(self, revisions: Mapping[str, int]) -> Changes:
        """Return the changes of all kinds since revisions."""
        changes = Changes(fresh=self.up_to_date, relayed=self.relayed)
        for kind, copy in self.kinds.items():
            kind_changes = copy.changes_since(revisions.get(kind, 0))
            if kind_changes is not None:
                changes.kinds[kind].CopyFrom(kind_changes)
        return changes
