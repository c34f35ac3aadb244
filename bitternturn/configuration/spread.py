"""Spread of configurations: one watch, and versions told by peers."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import logbook
from google.protobuf.message import DecodeError

from bitternturn.configuration import const
from bitternturn.configuration.models import ConfigurationKind
from bitternturn.configuration.state import ConfigurationState
from bitternturn.configuration.store import read_stored
from bitternturn.core.clock import Clock
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import Version
from bitternturn.core.tasks import TaskSet
from bitternturn.platform.client import ObjectClient
from bitternturn.platform.models import ObjectList, StoredObject
from bitternturn.schema.membership_pb2 import Member, View
from bitternturn.schema.peers_pb2 import FetchReply, Versions

LOGGER = logbook.Logger('configuration.spread')

# Asks a peer for what is newer than the versions given.
PeerFetch = Callable[[Member, Versions], Awaitable[FetchReply]]

NAMES = frozenset(kind.value for kind in ConfigurationKind)
# After these a watch may go on where it ended; after others it starts anew.
RESUMED = frozenset(
    (ErrorCode.PLATFORM_UNREACHABLE, ErrorCode.PLATFORM_BUSY),
)


@dataclass(kw_only=True, frozen=True, slots=True)
class SpreadCallbacks:
    """What the spread needs of peers and of the membership."""

    fetch: PeerFetch
    # Whom to ask at the start while the store can't be reached.
    peers: Callable[[], Sequence[Member]]
    view: Callable[[], View | None]
    # Called with views in any order; must ignore older ones.
    on_view: Callable[[View], None]


class ConfigurationSpread:
    """Keeps the configuration in force as new as the newest that is known."""

    def __init__(
        self,
        *,
        client: ObjectClient,
        state: ConfigurationState,
        callbacks: SpreadCallbacks,
        rng: random.Random,
        now: Clock,
        tasks: TaskSet,
        retry_base_s: float = const.DEFAULT_RETRY_BASE_S,
    ) -> None:
        """Hold the pieces; nothing runs yet."""
        self.client = client
        self.state = state
        self.callbacks = callbacks
        self.rng = rng
        self.now = now
        self.tasks = tasks
        self.retry_base_s = retry_base_s
        self.loaded = asyncio.Event()
        self.last_error = ''
        self._catching_up = False
        self._catch_up_failures = 0
        self._catch_up_at = 0.0

    @property
    def why_not_loaded(self) -> str:
        """Return why nothing is in force yet; empty when it is."""
        if self.loaded.is_set():
            return ''
        return f'no configuration from store or peers: {self.last_error}'

    def versions(self) -> Versions:
        """Return the versions in force, the view's included."""
        versions = self.state.versions()
        view = self.callbacks.view()
        versions.view = 0 if view is None else view.version
        return versions

    def answer_fetch(self, versions: Versions) -> FetchReply:
        """Return what a peer with these versions lacks."""
        reply = FetchReply(
            versions=self.versions(),
            objects=self.state.objects_newer_than(versions),
        )
        view = self.callbacks.view()
        if view is not None and view.version > versions.view:
            reply.view.CopyFrom(view)
        return reply

    def is_behind(self, versions: Versions) -> bool:
        """Whether somebody with these versions has something newer."""
        view = self.callbacks.view()
        held = 0 if view is None else view.version
        return versions.view > held or self.state.is_behind(versions)

    def observe(self, member: Member, versions: Versions) -> None:
        """Take in the versions on a peer's message; fetch newer ones."""
        if self._catching_up or not self.is_behind(versions):
            return
        if self.now() < self._catch_up_at:
            return
        self._catching_up = True
        self.tasks.spawn(
            self._async_catch_up(member, versions),
            name='catch up',
        )

    def take_stored(self, stored: StoredObject) -> None:
        """Put a stored object in force if it is newer.

        A deletion changes nothing: what was accepted stays in force.
        """
        if stored.deleted:
            LOGGER.warning('{} was deleted in the store', stored.name)
            return
        try:
            self._take(stored)
        except (BitternturnError, DecodeError) as error:
            LOGGER.error('{} is not usable: {}', stored.name, error)

    def take_list(self, listed: ObjectList) -> None:
        """Put all objects of a list in force that are newer."""
        for stored in listed.items:
            self.take_stored(stored)
        self.loaded.set()

    def take_reply(self, reply: FetchReply) -> None:
        """Put what a peer sent in force where it is newer."""
        for accepted in reply.objects:
            self.state.offer(accepted)
        if reply.HasField('view'):
            self.callbacks.on_view(reply.view)
        if self.state.objects:
            self.loaded.set()

    async def async_run(self) -> None:
        """Follow the store until cancelled."""
        position: Version | None = None
        failures = 0
        while True:
            before = position
            try:
                if position is None:
                    position = await self._async_relist()
                async for stored in self.client.watch(
                    const.KIND_CONTROL,
                    position,
                ):
                    self.take_stored(stored)
                    position = stored.version
            except BitternturnError as error:
                self.last_error = str(error)
                if error.code not in RESUMED:
                    position = None
            failures = 1 if position != before else failures + 1
            if not self.loaded.is_set():
                await self._async_ask_peers()
            await asyncio.sleep(self._pause_s(failures))

    async def _async_relist(self) -> Version:
        """Read all objects; return the version from which to watch."""
        listed = await self.client.async_list(const.KIND_CONTROL)
        self.take_list(listed)
        return listed.version

    async def _async_ask_peers(self) -> None:
        """Load from any peer while the store can't be reached."""
        peers = list(self.callbacks.peers())
        self.rng.shuffle(peers)
        for member in peers:
            try:
                self.take_reply(
                    await self.callbacks.fetch(member, self.versions())
                )
            except BitternturnError as error:
                self.last_error = str(error)
            if self.loaded.is_set():
                return

    async def _async_catch_up(
        self,
        member: Member,
        versions: Versions,
    ) -> None:
        """Fetch from the peer that has newer versions, else the store."""
        try:
            await self._async_fetch_newer(member, versions)
        except BitternturnError as error:
            self.last_error = str(error)
        finally:
            self._catching_up = False
        if self.is_behind(versions):
            self._catch_up_failures += 1
            pause_s = self._pause_s(self._catch_up_failures)
            self._catch_up_at = self.now() + pause_s
        else:
            self._catch_up_failures = 0

    async def _async_fetch_newer(
        self,
        member: Member,
        versions: Versions,
    ) -> None:
        """Ask the peer, and the store if that did not help."""
        try:
            self.take_reply(await self.callbacks.fetch(member, self.versions()))
        except BitternturnError as error:
            LOGGER.info('fetch from {} failed: {}', member.instance_id, error)
        if self.is_behind(versions):
            await self._async_relist()

    def _pause_s(self, failures: int) -> float:
        """Return a back-off with full jitter."""
        factor = 2 ** min(failures - 1, const.RETRY_DOUBLINGS)
        longest = min(self.retry_base_s * factor, const.DEFAULT_RETRY_CAP_S)
        return self.rng.uniform(0, longest)

    def _take(self, stored: StoredObject) -> None:
        """Pass on an object of the kind `control` by its name."""
        if stored.name == const.NAME_VIEW:
            view = View.FromString(stored.value)
            view.version = stored.version
            self.callbacks.on_view(view)
        elif stored.name in NAMES:
            kind = ConfigurationKind(stored.name)
            self.state.offer(read_stored(kind, stored))
