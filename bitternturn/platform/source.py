"""Where an instance learns of the store's objects: the store, or a peer."""

import asyncio
import zlib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, unique
from functools import partial

import msgspec

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway.gateway import Gateway
from bitternturn.gateway.models import Address, InstanceSettings
from bitternturn.platform import names
from bitternturn.platform.mirror import async_mirror
from bitternturn.platform.outage import OutageGate, Pauses
from bitternturn.platform.store import (
    Event,
    Meta,
    PlatformObject,
    PlatformStore,
)
from bitternturn.relay import const as relay
from bitternturn.relay.copies import CopiedObject, KindCopy, StoreCopies
from bitternturn.relay.delegation import Delegation
from bitternturn.relay.peer import PeerFailure, async_request
from bitternturn.schema.relay_pb2 import (
    Follow,
    Frame,
    KindChanges,
    StoredObject,
)

# Pause between looks at the readers, in seconds.
PEER_CHECK_S = 0.2
# Time without a reader that follows the store after which an instance reads it
# itself, in seconds: longer than readers take that start at the same time,
# shorter than a reader that is silent is waited for.
READ_AFTER_S = 0.8
# The same while the whole system starts, and how long the number of instances
# tells nothing then: no callers wait yet, and instances are up seconds after
# each other.
FIRST_READ_AFTER_S = 3.0
# Pauses between probes of a failing store: of a reader that can't serve yet, and
# of the many that follow readers, where every call is priced but a
# configuration has to arrive within seconds of the store's return.
HURRIED_PAUSE_S = 0.3
HURRIED_PAUSES = Pauses(longest_s=HURRIED_PAUSE_S)
FOLLOWER_PAUSE_S = 2.0
FOLLOWER_PAUSES = Pauses(
    first_s=FOLLOWER_PAUSE_S / 2,
    longest_s=FOLLOWER_PAUSE_S,
)
# Number of instances up to which each reads the store itself, and may call one
# that fails once a second.
SMALL_FLEET = 16
# How long the watches of a small fleet wait, in seconds, and those of the
# readers of a large one: a reader that has gone deaf without knowing it may
# mislead others no longer than a configuration's bound allows.
SMALL_FLEET_WATCH_S = 8.0
READER_WATCH_S = 2.5


@unique
class ReaderState(Enum):
    """What a reader tells of itself when it is asked."""

    FRESH = 'fresh'
    # The store does not answer it.
    FAILING = 'failing'
    SILENT = 'silent'


@dataclass(kw_only=True, frozen=True, slots=True)
class KindFollower:
    """What is done with the objects of one kind."""

    take_all: Callable[[Sequence[PlatformObject]], None]
    take_events: Callable[[Sequence[Event]], None]
    # Time in which changes are read together, in seconds.
    gather_s: float = 0


class StoreSource:
    """Follows the store directly or through the readers.

    Each instance of a small fleet reads the store. In a large one only the
    readers do, the instances that the settings of all name as seeds, and the
    others ask them in turns, so that the calls to the store do not grow with
    the fleet. Readers ask each other too: the store may be deaf to one of
    them. An instance that no reader serves reads the store itself.
    """

    def __init__(
        self,
        *,
        settings: InstanceSettings,
        gateway: Gateway,
        store: PlatformStore,
        delegation: Delegation,
        tasks: TaskSet,
        kinds: Mapping[str, KindFollower],
    ) -> None:
        """Hold what is followed; `start` follows."""
        self.settings = settings
        self.gateway = gateway
        self.decisions = gateway.decisions
        self.store = store
        self.delegation = delegation
        self.tasks = tasks
        self.kinds = kinds
        self.copies = StoreCopies(kinds=kinds)
        self.mirrors: list[asyncio.Task[None]] = []
        self.created_at = gateway.now()
        # Counts the readers that were asked; instances begin at several ones.
        self.reader = zlib.crc32(settings.name.encode())

    def start(self) -> None:
        """Follow every kind in the background."""
        if self.is_reader or not self.readers:
            self.read_store()
        self.tasks.spawn(self._async_follow_peers())

    @property
    def is_reader(self) -> bool:
        """Whether this instance reads the store, as all of a small fleet do."""
        if self.small_fleet:
            return True
        return self.settings.peers in self.settings.seeds

    @property
    def small_fleet(self) -> bool:
        """Whether there are so few instances that each reads the store."""
        known = self.gateway.knowledge.instances_known
        if not known or self._is_gathering():
            return False
        return self.gateway.instances <= SMALL_FLEET

    def _is_gathering(self) -> bool:
        """Return whether more instances are likely to start soon."""
        age_s = self.gateway.now() - self.created_at
        return self.settings.first_start and age_s < FIRST_READ_AFTER_S

    @property
    def readers(self) -> Sequence[Address]:
        """Other instances that follow the store for all."""
        seeds = self.settings.seeds
        return [seed for seed in seeds if seed != self.settings.peers]

    def read_store(self, *, failing: bool = False) -> None:
        """Follow the store itself, carefully if it is likely to fail."""
        if self.mirrors:
            return
        self.copies.reads_store = True
        self.store.watch_s = (
            SMALL_FLEET_WATCH_S if self.small_fleet else READER_WATCH_S
        )
        gate = OutageGate(pauses=self._pauses)
        if failing:
            gate.note_failure()
        self.mirrors = [
            self.tasks.spawn(
                async_mirror(
                    self.store,
                    kind,
                    on_all=partial(self._read_all, kind),
                    on_events=partial(self._read_events, kind),
                    on_failure=self.note_failure,
                    since=self.copies.kinds[kind].revision,
                    gather_s=follows.gather_s,
                    gate=gate,
                ),
            )
            for kind, follows in self.kinds.items()
        ]

    def leave_store(self) -> None:
        """Follow the store through peers only."""
        for mirror in self.mirrors:
            mirror.cancel()
        self.mirrors = []
        self.copies.reads_store = False
        self.copies.failing_kinds.clear()

    async def _async_follow_peers(self) -> None:
        """Learn from a reader; read the store when none is fresh."""
        stale_since: float | None = None
        while True:
            if self.small_fleet:
                self.read_store()
                if self.copies.up_to_date:
                    await asyncio.sleep(PEER_CHECK_S)
                    continue
            asked_at = self.gateway.now()
            # A reader may be deaf without knowing it: no two questions in a
            # row go to the same one.
            self.reader += 1
            state = await self._async_ask_reader()
            if state is ReaderState.FRESH:
                stale_since = None
                if not self.is_reader:
                    self.leave_store()
                continue
            stale_since = asked_at if stale_since is None else stale_since
            if self.gateway.now() - stale_since >= self._patience_s():
                self.read_store(failing=state is ReaderState.FAILING)
            await asyncio.sleep(PEER_CHECK_S)

    def _patience_s(self) -> float:
        """Return how long to do without a reader that follows the store."""
        return FIRST_READ_AFTER_S if self._is_gathering() else READ_AFTER_S

    async def _async_ask_reader(self) -> ReaderState:
        """Take what a reader tells."""
        if not self.readers:
            return ReaderState.SILENT
        address = self.readers[self.reader % len(self.readers)]
        peer = self.delegation.get_or_add_peer(address)
        answer = await async_request(
            peer,
            Frame(
                follow=Follow(
                    revisions={
                        kind: copy.revision
                        for kind, copy in self.copies.kinds.items()
                    },
                    wait_ms=int(
                        relay.FOLLOW_POLL_TIMEOUT_S * names.MS_PER_SECOND
                    ),
                ),
            ),
            relay.FOLLOW_POLL_TIMEOUT_S + relay.FOLLOW_REPLY_MARGIN_S,
        )
        if isinstance(answer, PeerFailure):
            return ReaderState.SILENT
        for kind, told in answer.changes.kinds.items():
            self._take_told(kind, told)
        if answer.changes.fresh:
            return ReaderState.FRESH
        self.gateway.knowledge.store_failed_at = self.gateway.now()
        return ReaderState.FAILING

    def _take_told(self, kind: str, told: KindChanges) -> None:
        """Take what a reader tells of a kind, unless it is behind."""
        copy = self.copies.kinds.get(kind)
        if copy is None or told.at_revision <= copy.revision:
            return
        events = [_read_told(stored) for stored in told.objects]
        if told.whole:
            found = [event.object for event in events if not event.deleted]
            self._take_all(kind, found, told.at_revision)
        else:
            self._take_events(kind, events, told.at_revision)

    def _read_all(
        self,
        kind: str,
        found: Sequence[PlatformObject],
        revision: int,
    ) -> None:
        """Take all objects of a kind from the store itself."""
        self._note_success(kind)
        self._take_all(kind, found, revision)

    def _read_events(
        self,
        kind: str,
        events: Sequence[Event],
        revision: int,
    ) -> None:
        """Take changes of a kind from the store itself."""
        self._note_success(kind)
        self._take_events(kind, events, revision)

    def _take_all(
        self,
        kind: str,
        found: Sequence[PlatformObject],
        revision: int,
    ) -> None:
        """Take all objects of a kind, unless later ones are known."""
        copy = self.copies.kinds[kind]
        if revision < copy.revision:
            return
        copy.replace(
            [_copy(stored, deleted=False) for stored in found],
            revision,
        )
        self.copies.notify_followers()
        self.kinds[kind].take_all(found)

    def _take_events(
        self,
        kind: str,
        events: Sequence[Event],
        revision: int,
    ) -> None:
        """Take changes of a kind that are not known yet.

        The store and the readers tell in an order of their own.
        """
        copy = self.copies.kinds[kind]
        fresh = [
            event
            for event in events
            if revision > copy.revision and not _is_known(event, copy)
        ]
        copy.apply(
            [_copy(event.object, deleted=event.deleted) for event in fresh],
            revision,
        )
        if fresh:
            self.copies.notify_followers()
            self.kinds[kind].take_events(fresh)

    def _pauses(self) -> Pauses:
        """Return the pauses between probes of a store that fails."""
        if not self.is_reader and self.readers:
            return FOLLOWER_PAUSES
        if self.gateway.knowledge.complete:
            return Pauses()
        return HURRIED_PAUSES

    def note_failure(self, kind: str, error: BitternturnError) -> None:
        """Note that the store does not answer."""
        if error.code is ErrorCode.WATCH_GONE:
            self.decisions.note('history_gone', of=kind)
            return
        self.gateway.knowledge.store_failed_at = self.gateway.now()
        if kind not in self.copies.failing_kinds:
            self.copies.failing_kinds.add(kind)
            self.copies.notify_followers()
            self.decisions.note('store_lost', of=kind, error=str(error))

    def _note_success(self, kind: str) -> None:
        """Note that the store answers again."""
        if kind in self.copies.failing_kinds:
            self.copies.failing_kinds.discard(kind)
            self.copies.notify_followers()
            self.decisions.note('store_regained', of=kind)


def _is_known(event: Event, copy: KindCopy) -> bool:
    """Return whether a copy shows a change already, or a later one."""
    meta = event.object.meta
    if not event.deleted:
        return meta.revision <= copy.revision
    present = copy.objects.get(meta.name)
    return present is None or present.revision > meta.revision


def _copy(stored: PlatformObject, *, deleted: bool) -> CopiedObject:
    """Return an object in the form that peers are told."""
    return CopiedObject(
        name=stored.meta.name,
        revision=stored.meta.revision,
        spec=None if deleted else msgspec.json.encode(stored.spec),
    )


def _read_told(told: StoredObject) -> Event:
    """Return the change that a peer tells."""
    return Event(
        object=PlatformObject(
            meta=Meta(name=told.name, revision=told.revision),
            spec=None if told.deleted else msgspec.json.decode(told.spec),
        ),
        deleted=told.deleted,
    )
