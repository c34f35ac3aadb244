"""Source of the store's objects: the store itself or a peer that reads it."""

import asyncio
import math
import zlib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, unique
from functools import partial

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.store_position import era_of, revision_of
from bitternturn.core.tasks import TaskSet, async_supervise
from bitternturn.gateway.gateway import Gateway
from bitternturn.gateway.models import Address, InstanceSettings
from bitternturn.platform import wire_names
from bitternturn.platform.copied_objects import (
    decode_change,
    decode_known,
    make_copied_object,
)
from bitternturn.platform.mirror import WatchTiming, async_mirror
from bitternturn.platform.object_messages import (
    ObjectEvent,
    PlatformObject,
)
from bitternturn.platform.outage import OutageGate, ProbeBackoff
from bitternturn.platform.store import PlatformStore
from bitternturn.platform.unreadable_log import UnreadableLog
from bitternturn.policy.relay_selection import (
    should_poll_relay,
    should_read_store,
)
from bitternturn.policy.watch_waits import choose_watch_wait_s
from bitternturn.relay import const as relay_const
from bitternturn.relay.copies import (
    KindCopy,
    ReadState,
    StoreCopies,
)
from bitternturn.relay.delegation import Delegation
from bitternturn.relay.peer import Peer, PeerFailure, async_request
from bitternturn.schema.relay_pb2 import (
    Changes,
    Follow,
    Frame,
    KindChanges,
)

READER_POLL_INTERVAL_S = 0.2
# Time until a job that has failed unexpectedly is started again.
RESTART_DELAY_S = 0.5
# Timeout of a poll, which the peer answers at the latest after its wait.
POLL_TIMEOUT_S = (
    relay_const.FOLLOW_POLL_TIMEOUT_S + relay_const.FOLLOW_REPLY_MARGIN_S
)
# Time after a poll for which the copies of an up-to-date reader count as up to
# date at a relay: until the next poll has ended.
RELAYED_S = 2 * POLL_TIMEOUT_S
# Time after a request of a follower for which an instance polls the readers
# itself, so that it is up to date for its followers.
RELAY_ROLE_S = 3.0
# Time without an up-to-date reader after which an instance reads the store
# itself. Longer than readers need that start at the same time, shorter than
# the timeout of a request to an unresponsive reader.
READ_AFTER_S = 0.8
# The same during the first start of the whole system, when there are no callers
# yet and instances start seconds apart. Until it has elapsed, the number of
# known instances is not relied on.
FIRST_START_READ_AFTER_S = 3.0
# Backoff of probes by a reader that is not ready to serve yet.
NOT_READY_MAX_BACKOFF_S = 0.3
NOT_READY_BACKOFF = ProbeBackoff(max_s=NOT_READY_MAX_BACKOFF_S)
# Backoff of probes by followers. There are many and every call is billed, but a
# configuration has to arrive within seconds after the store is available again.
FOLLOWER_MAX_BACKOFF_S = 2.0
FOLLOWER_BACKOFF = ProbeBackoff(
    initial_s=FOLLOWER_MAX_BACKOFF_S / 2,
    max_s=FOLLOWER_MAX_BACKOFF_S,
)
# Interval at which an instance asks the other instances that it knows, one after
# the other, while neither the store nor its readers and relays answer. With two
# peers that are silent in a row a change takes effect within 5 s.
ASK_INTERVAL_S = 0.5
ASK_TIMEOUT_S = relay_const.FOLLOW_REPLY_MARGIN_S
# Polls of readers and relays that fail in a row before others are asked.
FAILED_POLLS_BEFORE_ASKING = 2
# Kinds whose names count whatever the content: a domain that is taken out of
# service, and an instance that shares limits with the others.
NAMED_KINDS = frozenset(
    (wire_names.KIND_DOMAINS_OUT, wire_names.KIND_INSTANCES)
)
# Up to this number of instances each reads the store itself and may probe an
# unavailable one every second.
SMALL_FLEET_SIZE = 16
# Name of the store as the source of objects in the log; others are peers.
STORE_SOURCE = 'store'


@unique
class ReaderState(Enum):
    """State of a reader, from its reply to a poll."""

    UP_TO_DATE = 'up_to_date'
    # It can't read the store.
    FAILING = 'failing'
    # It is a relay and has no up-to-date reader.
    NOT_RELAYED = 'not_relayed'
    UNRESPONSIVE = 'unresponsive'


@dataclass(kw_only=True, frozen=True, slots=True)
class KindHandler:
    """Callbacks for the objects of one kind."""

    replace_all: Callable[[Sequence[PlatformObject]], None]
    # The same for a list of a store that came back from an older copy.
    restore_all: Callable[[Sequence[PlatformObject]], None]
    apply_events: Callable[[Sequence[ObjectEvent]], None]
    # Time from the end of an outage of the store within which a change has to
    # take effect.
    effective_within_s: float = math.inf
    # Wait after a change, so that the next read returns several at once.
    batch_s: float = 0


class StoreSource:
    """Follows the store directly or through readers.

    An instance that neither the store nor another source answers asks the other
    instances that it knows, as its seeds may be gone.

    In a small fleet every instance reads the store. In a large one only the
    readers do, which are the seeds in the settings. The other instances, the
    followers, poll the readers in rotation, so that the number of calls to the
    store does not grow with the fleet. Readers poll each other as well, since
    one of them may be cut off from the store. In a large failure domain only
    its relays poll the readers, and the other followers poll the relays. An
    instance that finds no up-to-date source reads the store itself.
    """

    def __init__(
        self,
        *,
        settings: InstanceSettings,
        gateway: Gateway,
        store: PlatformStore,
        delegation: Delegation,
        tasks: TaskSet,
        handlers: Mapping[str, KindHandler],
    ) -> None:
        """Initialise; `start` begins to follow the store."""
        self.settings = settings
        self.gateway = gateway
        self.decisions = gateway.decisions
        self.store = store
        self.delegation = delegation
        self.tasks = tasks
        self.handlers = handlers
        self.copies = StoreCopies(kinds=handlers, now=gateway.now)
        self.unreadable = UnreadableLog(
            decisions=gateway.decisions, metrics=gateway.metrics
        )
        self.mirror_tasks: list[asyncio.Task[None]] = []
        self.created_at = gateway.now()
        # Index of the reader to poll next, modulo their number. Derived from
        # the name at first, to spread the instances over the readers.
        self.next_reader = zlib.crc32(settings.name.encode())
        # The same for the peer to ask next.
        self.next_asked = self.next_reader
        # Latest era of the store that was seen to begin.
        self.era = 0
        # Polls since the last one that found an up-to-date source.
        self.failed_polls = 0

    def start(self) -> None:
        """Start to follow all kinds in the background."""
        if self.is_reader or not self.readers:
            self.start_reading()
        for job in (self._async_follow_readers, self._async_ask_peers):
            self.tasks.spawn(
                async_supervise(job, restart_delay_s=RESTART_DELAY_S)
            )

    @property
    def is_reader(self) -> bool:
        """Whether this instance is a reader, as all are in a small fleet."""
        if self.small_fleet:
            return True
        return self.settings.peers in self.settings.seeds

    @property
    def small_fleet(self) -> bool:
        """Whether the fleet is so small that each instance reads the store."""
        known = self.gateway.fleet_state.instances_known
        if not known or self._is_fleet_starting():
            return False
        return self.gateway.instance_count <= SMALL_FLEET_SIZE

    def _is_fleet_starting(self) -> bool:
        """Return whether the whole system is starting for the first time."""
        age_s = self.gateway.now() - self.created_at
        return self.settings.first_start and age_s < FIRST_START_READ_AFTER_S

    @property
    def readers(self) -> Sequence[Address]:
        """Addresses of the readers other than this instance."""
        seeds = self.settings.seeds
        return [seed for seed in seeds if seed != self.settings.peers]

    def start_reading(self, *, failing: bool = False) -> None:
        """Start to read the store; `failing` makes it begin with probes."""
        if self.mirror_tasks:
            return
        self.copies.start_reading()
        self.decisions.write(
            'reading',
            state='started',
            probing=failing,
            revisions={
                kind: revision_of(position)
                for kind, position in self.copies.revisions().items()
            },
        )
        gate = OutageGate(backoff=self._probe_backoff)
        if failing:
            gate.record_failure()
        self.mirror_tasks = [
            self.tasks.spawn(
                async_supervise(
                    partial(self._async_mirror, kind, gate),
                    restart_delay_s=RESTART_DELAY_S,
                )
            )
            for kind in self.handlers
        ]

    async def _async_mirror(self, kind: str, gate: OutageGate) -> None:
        """Keep the copy of one kind up to date from the store."""
        await async_mirror(
            self.store,
            kind,
            on_list=partial(self._on_store_list, kind),
            on_events=partial(self._on_store_events, kind),
            on_failure=self.record_failure,
            since_revision=self.copies.kinds[kind].revision,
            timing=WatchTiming(
                wait_s=partial(self._watch_wait_s, kind),
                batch_s=self.handlers[kind].batch_s,
            ),
            gate=gate,
        )

    def _watch_wait_s(self, kind: str) -> float:
        """Return how long the next watch of a kind waits."""
        return choose_watch_wait_s(
            effective_within_s=self.handlers[kind].effective_within_s,
            call_timeout_s=self.store.transport.timeout_s,
            relay_s=0 if self.small_fleet else POLL_TIMEOUT_S,
        )

    def stop_reading(self) -> None:
        """Stop reading the store; rely on the readers."""
        if self.mirror_tasks:
            self.decisions.write('reading', state='stopped')
        for task in self.mirror_tasks:
            task.cancel()
        self.mirror_tasks = []
        self.copies.stop_reading()

    async def _async_follow_readers(self) -> None:
        """Poll relays and readers; read the store if none is up to date."""
        not_updated_since: float | None = None
        while True:
            if self.small_fleet:
                self.start_reading()
                if self.copies.up_to_date:
                    await asyncio.sleep(READER_POLL_INTERVAL_S)
                    continue
            polled_at = self.gateway.now()
            relay = self._choose_relay(polled_at)
            state = await self._async_poll(relay)
            if state is ReaderState.UP_TO_DATE:
                not_updated_since = None
                self.failed_polls = 0
                if not self.is_reader:
                    self.stop_reading()
                continue
            self.failed_polls += 1
            not_updated_since = (
                polled_at if not_updated_since is None else not_updated_since
            )
            if should_read_store(
                failed_polls=self.failed_polls,
                not_updated_s=self.gateway.now() - not_updated_since,
                read_after_s=self._read_after_s(),
                has_relay=state is ReaderState.NOT_RELAYED,
            ):
                self.start_reading(failing=state is ReaderState.FAILING)
            if relay is None:
                await asyncio.sleep(READER_POLL_INTERVAL_S)

    def _read_after_s(self) -> float:
        """Return how long to wait for an up-to-date reader."""
        return (
            FIRST_START_READ_AFTER_S
            if self._is_fleet_starting()
            else READ_AFTER_S
        )

    def _choose_relay(self, now: float) -> Peer | None:
        """Return the relay to poll next, None to poll a reader."""
        if self.is_reader or not should_poll_relay(self.failed_polls):
            return None
        relays = self.delegation.find_relays(self.settings.failure_domain, now)
        followed_s = now - self.copies.followed_at
        is_relay = any(peer.name == self.settings.name for peer in relays)
        if not relays or is_relay or followed_s < RELAY_ROLE_S:
            return None
        return relays[self.next_reader % len(relays)]

    async def _async_poll(self, relay: Peer | None) -> ReaderState:
        """Poll a relay or the next reader and count the result."""
        state = await self._async_poll_source(relay)
        self.gateway.metrics.increment('source_polls', state=state.value)
        return state

    async def _async_poll_source(self, relay: Peer | None) -> ReaderState:
        """Poll a relay or the next reader and apply the changes."""
        # Poll another one each time: a reader with a stalled watch reports that
        # it is up to date.
        self.next_reader += 1
        peer = relay or self._next_reader()
        if peer is None:
            return ReaderState.UNRESPONSIVE
        polled_at = self.gateway.now()
        changes = await self._async_exchange(
            peer,
            wait_s=relay_const.FOLLOW_POLL_TIMEOUT_S,
            timeout_s=POLL_TIMEOUT_S,
        )
        if changes is None:
            return ReaderState.UNRESPONSIVE
        if changes.fresh:
            self.copies.relayed_until = polled_at + RELAYED_S
            return ReaderState.UP_TO_DATE
        if relay is not None:
            return (
                ReaderState.UP_TO_DATE
                if changes.relayed
                else ReaderState.NOT_RELAYED
            )
        self.gateway.fleet_state.store_failed_at = self.gateway.now()
        return ReaderState.FAILING

    async def _async_exchange(
        self, peer: Peer, *, wait_s: float, timeout_s: float
    ) -> Changes | None:
        """Get and apply the changes of a peer; return None without a reply."""
        reply = await async_request(
            peer,
            Frame(
                follow=Follow(
                    revisions=self.copies.revisions(),
                    wait_ms=int(wait_s * wire_names.MS_PER_SECOND),
                ),
            ),
            timeout_s,
        )
        if isinstance(reply, PeerFailure):
            return None
        self._apply_changes(reply.changes, peer.name)
        if reply.changes.fresh:
            self.gateway.fleet_state.confirmed_at = self.gateway.now()
        return reply.changes

    async def _async_ask_peers(self) -> None:
        """Ask known peers while there is no other source."""
        while True:
            await asyncio.sleep(ASK_INTERVAL_S)
            rejected = self.failed_polls >= FAILED_POLLS_BEFORE_ASKING
            if rejected and not self.copies.up_to_date:
                await self._async_ask_next_peer()

    async def _async_ask_next_peer(self) -> None:
        """Ask the next known peer that is available, if there is one.

        Its reply does not make this instance a source for others, as the next
        peer may know less.
        """
        now = self.gateway.now()
        peers = [
            peer
            for peer in self.delegation.list_members()
            if peer.address != self.settings.peers and peer.is_available(now)
        ]
        if not peers:
            return
        self.next_asked += 1
        peer = peers[self.next_asked % len(peers)]
        changes = await self._async_exchange(
            peer, wait_s=0, timeout_s=ASK_TIMEOUT_S
        )
        self.gateway.metrics.increment(
            'peers_asked', answered=str(changes is not None).lower()
        )

    def _next_reader(self) -> Peer | None:
        """Return the client of the next reader, None without readers."""
        readers = self.readers
        if not readers:
            return None
        return self.delegation.get_or_add_peer(
            readers[self.next_reader % len(readers)]
        )

    def _apply_changes(self, changes: Changes, source: str) -> None:
        """Apply a peer's changes of all kinds."""
        for kind, kind_changes in changes.kinds.items():
            self._apply_kind_changes(kind, kind_changes, source)

    def _apply_kind_changes(
        self, kind: str, changes: KindChanges, source: str
    ) -> None:
        """Apply a peer's changes of a kind, unless they are outdated."""
        copy = self.copies.kinds.get(kind)
        if copy is None:
            return
        if changes.at_revision <= copy.revision:
            self._log_objects(
                kind, source, changes.at_revision, 0, len(changes.objects)
            )
            return
        events = [
            decode_change(kind, stored, self.unreadable.record)
            for stored in changes.objects
        ]
        if changes.whole:
            objects = [event.object for event in events if not event.deleted]
            self._replace_objects(kind, objects, changes.at_revision, source)
        else:
            self._apply_events(kind, events, changes.at_revision, source)

    def _on_store_list(
        self,
        kind: str,
        objects: Sequence[PlatformObject],
        revision: int,
    ) -> None:
        """Handle a list of a kind that was read from the store."""
        self._record_success(kind)
        self._replace_objects(kind, objects, revision)

    def _on_store_events(
        self,
        kind: str,
        events: Sequence[ObjectEvent],
        revision: int,
    ) -> None:
        """Handle changes of a kind that were read from the store."""
        self._record_success(kind)
        self._apply_events(kind, events, revision)

    def _replace_objects(
        self,
        kind: str,
        objects: Sequence[PlatformObject],
        revision: int,
        source: str = STORE_SOURCE,
    ) -> None:
        """Replace all objects of a kind, unless the copy is newer."""
        copy = self.copies.kinds[kind]
        if revision < copy.revision:
            self._log_objects(kind, source, revision, 0, len(objects))
            return
        objects = self._list_readable(kind, objects)
        self._log_objects(kind, source, revision, len(objects), 0)
        previous = copy.revision
        copy.replace(
            [make_copied_object(stored, deleted=False) for stored in objects],
            revision,
        )
        self.copies.notify_followers()
        if previous and era_of(previous) != era_of(revision):
            self._record_era(previous, revision)
            self.handlers[kind].restore_all(objects)
        else:
            self.handlers[kind].replace_all(objects)

    def _list_readable(
        self, kind: str, objects: Sequence[PlatformObject]
    ) -> Sequence[PlatformObject]:
        """Return the objects of a list that can be decoded.

        One that can't changes nothing: of its kind, the one known before is
        kept. A target is not used any more.
        """
        if kind in NAMED_KINDS:
            return [_keep_name(stored) for stored in objects]
        readable = [stored for stored in objects if stored.readable]
        if kind == wire_names.KIND_TARGETS:
            return readable
        known = self.copies.kinds[kind].objects
        names = {stored.meta.name for stored in objects if not stored.readable}
        kept = [
            decode_known(kind, known[name], self.unreadable.record)
            for name in sorted(names & known.keys())
        ]
        return [*readable, *kept]

    def _record_era(self, previous: int, position: int) -> None:
        """Log, once, that the store came back from an older copy."""
        self.gateway.fleet_state.store_failed_at = self.gateway.now()
        if era_of(position) <= self.era:
            return
        self.era = era_of(position)
        self.decisions.write(
            'store_restored',
            era=self.era,
            revision=revision_of(position),
            previous_era=era_of(previous),
            previous_revision=revision_of(previous),
        )

    def _apply_events(
        self,
        kind: str,
        events: Sequence[ObjectEvent],
        revision: int,
        source: str = STORE_SOURCE,
    ) -> None:
        """Apply the changes of a kind that are newer than the copy.

        Changes from the store and from readers arrive in no common order.
        """
        copy = self.copies.kinds[kind]
        new_events = [
            event
            for event in _list_readable_events(kind, events)
            if revision > copy.revision and not _is_known(event, copy)
        ]
        self._log_objects(
            kind,
            source,
            revision,
            len(new_events),
            len(events) - len(new_events),
        )
        copy.apply(
            [
                make_copied_object(event.object, deleted=event.deleted)
                for event in new_events
            ],
            revision,
        )
        if new_events:
            self.copies.notify_followers()
            self.handlers[kind].apply_events(new_events)

    def _log_objects(
        self, kind: str, source: str, revision: int, applied: int, ignored: int
    ) -> None:
        """Log how many objects were applied or ignored, unless none were."""
        if applied or ignored:
            self.decisions.write(
                'objects',
                of=kind,
                source=source,
                era=era_of(revision),
                revision=revision_of(revision),
                copy_revision=revision_of(self.copies.kinds[kind].revision),
                applied=applied,
                ignored=ignored,
            )

    def _probe_backoff(self) -> ProbeBackoff:
        """Return the backoff for probes of an unavailable store."""
        if not self.is_reader and self.readers:
            return FOLLOWER_BACKOFF
        if self.gateway.fleet_state.complete:
            return ProbeBackoff()
        return NOT_READY_BACKOFF

    def record_failure(self, kind: str, error: BitternturnError) -> None:
        """Record and report that a kind can't be read from the store."""
        if error.code is ErrorCode.WATCH_GONE:
            self.decisions.write('history_gone', of=kind)
            return
        self.gateway.fleet_state.store_failed_at = self.gateway.now()
        previous = self.copies.record_read(kind, ReadState.FAILING)
        if previous is not ReadState.FAILING:
            self.decisions.write('store_lost', of=kind, error=str(error))

    def _record_success(self, kind: str) -> None:
        """Record and report that a kind can be read from the store again."""
        if kind == wire_names.KIND_CONFIGURATION:
            self.gateway.fleet_state.confirmed_at = self.gateway.now()
        previous = self.copies.record_read(kind, ReadState.CONFIRMED)
        if previous is ReadState.FAILING:
            self.decisions.write('store_regained', of=kind)


def _list_readable_events(
    kind: str, events: Sequence[ObjectEvent]
) -> Sequence[ObjectEvent]:
    """Return events without those whose objects can't be decoded.

    A target of which only the name can be decoded counts as removed.
    """
    if kind in NAMED_KINDS:
        return [
            ObjectEvent(object=_keep_name(it.object), deleted=it.deleted)
            for it in events
        ]
    readable = []
    for event in events:
        if event.deleted or event.object.readable:
            readable.append(event)
        elif kind == wire_names.KIND_TARGETS:
            readable.append(ObjectEvent(object=event.object, deleted=True))
    return readable


def _keep_name(stored: PlatformObject) -> PlatformObject:
    """Return an object without its content if that can't be decoded."""
    if stored.readable:
        return stored
    return PlatformObject(meta=stored.meta, spec=None)


def _is_known(event: ObjectEvent, copy: KindCopy) -> bool:
    """Return whether a copy contains a change or a later one."""
    meta = event.object.meta
    if not event.deleted:
        return meta.revision <= copy.revision
    existing = copy.objects.get(meta.name)
    return existing is None or existing.revision > meta.revision
