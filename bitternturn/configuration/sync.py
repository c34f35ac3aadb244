"""Distribution of configurations, by a watch on the store and by peers."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import logbook
from google.protobuf.message import DecodeError

from bitternturn.configuration import const
from bitternturn.configuration.models import ConfigurationKind
from bitternturn.configuration.state import ConfigurationState
from bitternturn.configuration.store import decode_stored
from bitternturn.core.clock import Clock
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import Version
from bitternturn.core.tasks import TaskSet
from bitternturn.platform.client import ObjectClient
from bitternturn.platform.models import ObjectList, StoredObject
from bitternturn.schema.membership_pb2 import Member, View
from bitternturn.schema.peers_pb2 import FetchReply, Versions

LOGGER = logbook.Logger('configuration.spread')

# Fetches from a peer the objects that are newer than the given versions.
PeerFetch = Callable[[Member, Versions], Awaitable[FetchReply]]

CONFIGURATION_NAMES = frozenset(kind.value for kind in ConfigurationKind)
# After these errors a watch resumes at its last version; after others the
# objects are listed again first.
RESUMABLE_ERRORS = frozenset(
    (ErrorCode.PLATFORM_UNREACHABLE, ErrorCode.PLATFORM_BUSY),
)


@dataclass(kw_only=True, frozen=True, slots=True)
class SyncCallbacks:
    """Access to peers and to the membership view."""

    fetch: PeerFetch
    # Peers to load from at the start while the store is unreachable.
    peers: Callable[[], Sequence[Member]]
    view: Callable[[], View | None]
    # May be called with views in any order; must ignore outdated ones.
    on_view: Callable[[View], None]


class ConfigurationSync:
    """Keeps the configuration in force up to date with store and peers."""

    def __init__(
        self,
        *,
        client: ObjectClient,
        state: ConfigurationState,
        callbacks: SyncCallbacks,
        rng: random.Random,
        now: Clock,
        tasks: TaskSet,
        retry_delay_s: float = const.DEFAULT_RETRY_DELAY_S,
    ) -> None:
        """Initialise; `async_run` starts following the store."""
        self.client = client
        self.state = state
        self.callbacks = callbacks
        self.rng = rng
        self.now = now
        self.tasks = tasks
        self.retry_delay_s = retry_delay_s
        self.loaded = asyncio.Event()
        self.last_error = ''
        self._catching_up = False
        self._catch_up_failures = 0
        self._next_catch_up_at = 0.0

    @property
    def not_loaded_reason(self) -> str:
        """Return why no configuration is loaded yet; empty once it is."""
        if self.loaded.is_set():
            return ''
        return f'no configuration from store or peers: {self.last_error}'

    def versions(self) -> Versions:
        """Return the versions in force, including that of the view."""
        versions = self.state.versions()
        view = self.callbacks.view()
        versions.view = 0 if view is None else view.version
        return versions

    def make_fetch_reply(self, versions: Versions) -> FetchReply:
        """Return the objects that are newer than the versions of a peer."""
        reply = FetchReply(
            versions=self.versions(),
            objects=self.state.objects_newer_than(versions),
        )
        view = self.callbacks.view()
        if view is not None and view.version > versions.view:
            reply.view.CopyFrom(view)
        return reply

    def is_behind(self, versions: Versions) -> bool:
        """Return whether any of these versions is newer than the one held."""
        view = self.callbacks.view()
        held = 0 if view is None else view.version
        return versions.view > held or self.state.is_behind(versions)

    def observe_versions(self, member: Member, versions: Versions) -> None:
        """Compare the versions in a peer's message; fetch newer objects."""
        if self._catching_up or not self.is_behind(versions):
            return
        if self.now() < self._next_catch_up_at:
            return
        self._catching_up = True
        self.tasks.spawn(
            self._async_catch_up(member, versions),
            name='catch up',
        )

    def apply_stored(self, stored: StoredObject) -> None:
        """Apply a stored object if it is newer.

        A deletion is ignored: the accepted object stays in force.
        """
        if stored.deleted:
            LOGGER.warning(
                'ignoring the deletion of {} from the store', stored.name
            )
            return
        try:
            self._apply_object(stored)
        except (BitternturnError, DecodeError) as error:
            LOGGER.error(
                'cannot apply {} from the store: {}', stored.name, error
            )

    def apply_list(self, listed: ObjectList) -> None:
        """Apply the newer objects of a list."""
        for stored in listed.items:
            self.apply_stored(stored)
        self.loaded.set()

    def apply_reply(self, reply: FetchReply) -> None:
        """Apply the newer objects and the view that a peer sent."""
        for accepted in reply.objects:
            self.state.apply_if_newer(accepted)
        if reply.HasField('view'):
            self.callbacks.on_view(reply.view)
        if self.state.objects:
            self.loaded.set()

    async def async_run(self) -> None:
        """Watch the store until cancelled, reconnecting with backoff."""
        watch_version: Version | None = None
        failures = 0
        while True:
            previous_version = watch_version
            try:
                if watch_version is None:
                    watch_version = await self._async_relist()
                async for stored in self.client.watch(
                    const.KIND_CONTROL,
                    watch_version,
                ):
                    self.apply_stored(stored)
                    watch_version = stored.version
            except BitternturnError as error:
                self.last_error = str(error)
                if error.code not in RESUMABLE_ERRORS:
                    watch_version = None
            failures = 1 if watch_version != previous_version else failures + 1
            if not self.loaded.is_set():
                await self._async_load_from_peers()
            await asyncio.sleep(self._draw_backoff_s(failures))

    async def _async_relist(self) -> Version:
        """List and apply all objects; return the version to watch from."""
        listed = await self.client.async_list(const.KIND_CONTROL)
        self.apply_list(listed)
        return listed.version

    async def _async_load_from_peers(self) -> None:
        """Load from the first peer that has a configuration."""
        peers = list(self.callbacks.peers())
        self.rng.shuffle(peers)
        for member in peers:
            try:
                self.apply_reply(
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
        """Fetch newer objects; delay the next attempt if still behind."""
        try:
            await self._async_fetch_newer(member, versions)
        except BitternturnError as error:
            self.last_error = str(error)
        finally:
            self._catching_up = False
        if self.is_behind(versions):
            self._catch_up_failures += 1
            backoff_s = self._draw_backoff_s(self._catch_up_failures)
            self._next_catch_up_at = self.now() + backoff_s
        else:
            self._catch_up_failures = 0

    async def _async_fetch_newer(
        self,
        member: Member,
        versions: Versions,
    ) -> None:
        """Fetch from the peer, then from the store if still behind."""
        try:
            self.apply_reply(
                await self.callbacks.fetch(member, self.versions())
            )
        except BitternturnError as error:
            LOGGER.info('fetch from {} failed: {}', member.instance_id, error)
        if self.is_behind(versions):
            await self._async_relist()

    def _draw_backoff_s(self, failures: int) -> float:
        """Return an exponential backoff delay with full jitter."""
        factor = 2 ** min(failures - 1, const.MAX_RETRY_DOUBLINGS)
        max_delay_s = min(self.retry_delay_s * factor, const.MAX_RETRY_DELAY_S)
        return self.rng.uniform(0, max_delay_s)

    def _apply_object(self, stored: StoredObject) -> None:
        """Apply an object of kind `control`; ignore unknown names."""
        if stored.name == const.NAME_VIEW:
            view = View.FromString(stored.value)
            view.version = stored.version
            self.callbacks.on_view(view)
        elif stored.name in CONFIGURATION_NAMES:
            kind = ConfigurationKind(stored.name)
            self.state.apply_if_newer(decode_stored(kind, stored))
