"""Membership of this instance: joins, confirms, probes, hands over, leaves."""

import asyncio
from functools import partial

import logbook

from bitternturn.core.errors import BitternturnError
from bitternturn.core.ids import Incarnation, TargetId
from bitternturn.membership import const
from bitternturn.membership import view as views
from bitternturn.membership.background import Background
from bitternturn.membership.editing import Edit, ViewRead, ViewStore
from bitternturn.membership.handover import Handover
from bitternturn.membership.models import (
    Links,
    MembershipEvent,
    MembershipHooks,
    ObjectStore,
    OwnershipState,
    Runtime,
    times_of,
)
from bitternturn.membership.probing import Prober, readers_of
from bitternturn.membership.state import MemberState
from bitternturn.schema.config_pb2 import Target
from bitternturn.schema.membership_pb2 import (
    Member,
    View,
)
from bitternturn.schema.peers_pb2 import (
    FetchRequest,
    HandoverReply,
    HandoverRequest,
    Hello,
    ProbeReply,
    ProbeRequest,
    Versions,
)
from bitternturn.schema.settings_pb2 import MembershipSettings

LOGGER = logbook.Logger('membership')


class MembershipService:
    """Runs the membership of one instance."""

    def __init__(
        self,
        *,
        me: Member,
        settings: MembershipSettings,
        objects: ObjectStore,
        links: Links,
        runtime: Runtime,
        hooks: MembershipHooks,
    ) -> None:
        """Prepare; `async_start` joins."""
        self.me = me
        self.times = times_of(settings)
        self.links = links
        self.now = runtime.now
        self.rng = runtime.rng
        self.tasks = runtime.tasks
        self.event = runtime.event
        self.hooks = hooks
        self.store = ViewStore(objects=objects, now=self.now, rng=self.rng)
        self.changed = asyncio.Event()
        self.joined = False
        self.leaving = False
        self.background = Background(tasks=self.tasks)
        self._reset(me)

    @property
    def view(self) -> View | None:
        """The latest view known."""
        return self.state.view

    def may_send(self, target: TargetId, now: float) -> bool:
        """Whether a request may be written to a target at this moment."""
        return self.state.may_send(target, now)

    def starts_at(self, target: TargetId) -> float:
        """Return before when no request may be written to a target."""
        return self.state.ownership.starts_at(target)

    def owner(self, target: Target) -> Member | None:
        """Return the owner of a target under the latest view known."""
        return self.state.owner(target)

    def owns(self, target: TargetId) -> bool:
        """Whether this instance takes work for a target, if only to wait."""
        state = self.ownership_state(target)
        return state in {OwnershipState.WAITING, OwnershipState.OWNED}

    def ownership_state(self, target: TargetId) -> OwnershipState:
        """Return what this instance may do with a target."""
        return self.state.ownership.state(target)

    def lease_s(self, now: float) -> float:
        """Return how long the lease of the latest view still lasts."""
        until = self.state.lease.valid_until(self.state.version)
        return max(0, until - now)

    async def async_start(self) -> None:
        """Join, or fetch the view from a peer and join as soon as it works."""
        if not await self._async_try_join():
            self.tasks.spawn(self._async_join(), name='membership join')
        interval = self.times.read_interval_s
        self.background.loop('confirm', interval, self._async_confirm)
        self.background.loop('tick', const.TICK_S, self._async_tick)
        self.tasks.spawn(self._async_probe_loop(), name='membership probe')

    async def async_leave(self) -> None:
        """Hand every target over and leave the view, when the store lets it.

        The caller bounds the time; a member that ends before is found dead.
        """
        self.leaving = True
        await self._async_insist(partial(views.leave, incarnation=self._key()))
        while self.state.ownership.owned:
            self.changed.clear()
            await self.changed.wait()
        await self.handover.async_finish()
        await self._async_insist(lambda view: views.remove(view, [self._key()]))
        self.event(MembershipEvent.LEFT)

    def on_view(self, view: View) -> None:
        """Take in a view of the configuration watch or of a peer."""
        if self.state.on_view(view, self.hooks.targets(), self.now()):
            self._follow_view(view)

    def on_targets(self) -> None:
        """Take in a change of the targets."""
        self.state.on_targets(self.hooks.targets(), self.now())
        self.handover.advance(self.now())

    def observe(self, hello: Hello, versions: Versions) -> None:
        """Take in who sent a message and which versions it has."""
        self.prober.detector.on_alive(Incarnation(hello.incarnation))
        if versions.view > self.state.version and hello.HasField('member'):
            self.background.once(
                'fetch',
                self._async_fetch,
                hello.member.peer_host,
                hello.member.peer_port,
            )

    async def handle_probe(self, request: ProbeRequest) -> ProbeReply:
        """Answer a probe."""
        self.observe(request.hello, request.versions)
        return await self.prober.async_answer(request)

    async def handle_handover(self, request: HandoverRequest) -> HandoverReply:
        """Start the targets that their previous owner has released."""
        self.observe(request.hello, Versions(view=request.view_version))
        self.handover.on_request(request, self.now())
        return HandoverReply(versions=Versions(view=self.state.version))

    def _reset(self, me: Member) -> None:
        """Begin as a new incarnation."""
        self.me = me
        self.state = MemberState(
            me=self._key(), times=self.times, is_gone=self.hooks.is_gone
        )
        self.prober = Prober(
            state=self.state, links=self.links, now=self.now, rng=self.rng
        )
        self.handover = Handover(
            state=self.state,
            hooks=self.hooks,
            links=self.links,
            tasks=self.tasks,
            event=self.event,
            on_change=self.changed.set,
        )

    def _renew(self) -> None:
        """Go on with the view known under a new incarnation."""
        view = self.view
        digests = self.state.digests
        me = Member()
        me.CopyFrom(self.me)
        me.incarnation = self.rng.getrandbits(const.INCARNATION_BITS)
        self._reset(me)
        self.state.digests.inherit(digests)
        if view is not None:
            self.on_view(view)

    def _key(self) -> Incarnation:
        """Return the present incarnation."""
        return Incarnation(self.me.incarnation)

    def _follow_view(self, view: View) -> None:
        """Act on a later view."""
        self.prober.detector.set_members(
            Incarnation(member.incarnation) for member in view.members
        )
        self.event(MembershipEvent.VIEW, detail=str(view.version))
        self.handover.advance(self.now())
        if self.state.ownership.unconfirmed(self.now()):
            self.background.once('confirm', self._async_confirm)
        self.changed.set()

    def _on_read(self, read: ViewRead) -> None:
        """Take in a read or a write of the view."""
        later = read.view.version > self.state.version
        self.state.on_read(
            read.view, read.started, self.hooks.targets(), read.received
        )
        if later:
            self._follow_view(read.view)

    async def _async_edit(self, edit: Edit) -> None:
        """Edit the view and take in the result."""
        self._on_read(await self.store.async_edit(edit, self.state))

    async def _async_insist(self, edit: Edit) -> None:
        """Edit the view, however often it takes."""
        delay = const.JOIN_RETRY_S
        while True:
            try:
                await self._async_edit(edit)
            except BitternturnError as error:
                LOGGER.warning('can not edit the view: {}', error)
            else:
                return
            await asyncio.sleep(delay * self.rng.random())
            delay = min(delay * 2, const.JOIN_RETRY_LIMIT_S)

    async def _async_try_join(self) -> bool:
        """Join once; else learn the view from a peer."""
        try:
            await self._async_edit(partial(views.join, member=self.me))
        except BitternturnError as error:
            LOGGER.warning('can not join: {}', error)
            for seed in self.hooks.seeds():
                if self.view is None:
                    await self._async_fetch(seed.host, seed.port)
            return False
        self.joined = True
        self.event(MembershipEvent.JOINED)
        return True

    async def _async_join(self) -> None:
        """Try to join until it works.

        Each try has an incarnation of its own: an earlier one may have joined
        after all and have been removed since.
        """
        delay = const.JOIN_RETRY_S
        while not self.leaving:
            await asyncio.sleep(delay * (1 + self.rng.random()))
            self._renew()
            if await self._async_try_join():
                return
            delay = min(delay * 2, const.JOIN_RETRY_LIMIT_S)

    async def _async_fetch(self, host: str, port: int) -> None:
        """Fetch a later view from a peer."""
        request = FetchRequest(
            hello=Hello(incarnation=self._key()),
            versions=Versions(view=self.state.version),
        )
        try:
            reply = await self.links(host, port).async_fetch(request)
        except BitternturnError:
            return
        if reply.HasField('view'):
            self.on_view(reply.view)

    async def _async_confirm(self) -> None:
        """Get the view confirmed, by a reader of the domain if need be."""
        view = self.view
        if view is not None and self.state.listed is not None:
            readers = readers_of(view, self.me.failure_domain)
            others = [
                reader
                for reader in readers
                if reader.incarnation != self._key()
            ]
            needed = self.state.ownership.unconfirmed(self.now())
            if len(others) == len(readers) and not needed:
                if await self.prober.async_confirm(readers):
                    return
        await self._async_read()

    async def _async_read(self) -> None:
        """Read the view, or vouch that it is out of reach."""
        state = self.state
        try:
            read = await self.store.async_read()
        except BitternturnError:
            state.on_read_failed(self.now())
            return
        if state is self.state and read.view.version:
            self._on_read(read)

    async def _async_tick(self) -> None:
        """Start, release and remove what is due."""
        now = self.now()
        self.state.tick(now)
        self.handover.advance(now)
        if self.state.ownership.unconfirmed(now):
            self.background.once('confirm', self._async_confirm)
        if self._replaced():
            self.background.once('rejoin', self._async_rejoin)
        if self._dead(now, cut_off=self.prober.detector.cut_off()):
            self.background.once('remove', self._async_remove)

    def _replaced(self) -> bool:
        """Whether others have removed this incarnation from the view."""
        return (
            self.joined
            and not self.leaving
            and self.view is not None
            and self.state.listed is None
        )

    def _dead(self, now: float, *, cut_off: bool) -> list[Incarnation]:
        """Return the members that this instance should remove."""
        overdue = self.prober.detector.overdue(now)
        if not self.joined or self._replaced():
            return []
        if not cut_off:
            return overdue
        is_gone = self.state.gone(now)
        return [member for member in overdue if is_gone(member)]

    async def _async_remove(self) -> None:
        """Remove the dead members, unless another instance comes first."""
        spread = self.times.probe_interval_s / 2
        await asyncio.sleep(self.rng.random() * spread)
        cut_off = not await self.prober.async_reaches_half()
        dead = set(self._dead(self.now(), cut_off=cut_off))

        def edit(view: View) -> View | None:
            """Remove those that are still in the view."""
            left = dead.intersection(
                Incarnation(member.incarnation) for member in view.members
            )
            return views.remove(view, left) if left else None

        try:
            await self._async_edit(edit)
        except BitternturnError as error:
            LOGGER.warning('can not remove dead members: {}', error)
            return
        self.event(MembershipEvent.REMOVED, detail=str(len(dead)))

    async def _async_rejoin(self) -> None:
        """Join again under a new incarnation once all is handed over."""
        self.event(MembershipEvent.REPLACED)
        await self.handover.async_finish()
        self.joined = False
        self._renew()
        await self.prober.async_await_peers()
        await self._async_join()

    async def _async_probe_loop(self) -> None:
        """Probe one member per interval, and the suspects again."""
        while True:
            pause = self.times.probe_interval_s
            if self.state.failing:
                pause /= const.HURRIED_PROBES
            await asyncio.sleep(pause * self.rng.uniform(*const.PROBE_JITTER))
            self._probe_due()

    def _probe_due(self) -> None:
        """Begin the probes that are due."""
        now = self.now()
        detector = self.prober.detector
        chosen = detector.next_probe(now)
        due = detector.due_suspects(now)
        if chosen is not None:
            due.append(chosen)
        due.extend(self.prober.domain_probes())
        view = self.view or View()
        for key in due:
            member = views.member_of(view, key)
            if member is not None:
                self.tasks.spawn(
                    self.prober.async_check(member), name='membership check'
                )
