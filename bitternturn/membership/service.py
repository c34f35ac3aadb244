"""Membership of this instance: joining, leases, probing and leaving."""

import asyncio
from functools import partial

import logbook

from bitternturn.core.errors import BitternturnError
from bitternturn.core.ids import Incarnation, TargetId
from bitternturn.membership import const
from bitternturn.membership import view as views
from bitternturn.membership.background_jobs import BackgroundJobs
from bitternturn.membership.handover import HandoverManager
from bitternturn.membership.models import (
    Links,
    MembershipEvent,
    MembershipHooks,
    ObjectStore,
    OwnershipState,
    Runtime,
    times_from_settings,
)
from bitternturn.membership.probing import Prober, domain_readers
from bitternturn.membership.state import MemberState
from bitternturn.membership.view_store import Edit, ViewRead, ViewStore
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
        """Initialise; `async_start` joins."""
        self.me = me
        self.times = times_from_settings(settings)
        self.links = links
        self.now = runtime.now
        self.rng = runtime.rng
        self.tasks = runtime.tasks
        self.event = runtime.event
        self.hooks = hooks
        self.store = ViewStore(objects=objects, now=self.now, rng=self.rng)
        self.ownership_changed = asyncio.Event()
        self.joined = False
        self.leaving = False
        self.background = BackgroundJobs(tasks=self.tasks)
        self._start_incarnation(me)

    @property
    def view(self) -> View | None:
        """The latest view known."""
        return self.state.view

    def may_send(self, target: TargetId, now: float) -> bool:
        """Whether a request may be written to a target at this moment."""
        return self.state.may_send(target, now)

    def earliest_send_at(self, target: TargetId) -> float:
        """Return the earliest time at which a request may be written."""
        return self.state.ownership.earliest_send_at(target)

    def owner(self, target: Target) -> Member | None:
        """Return the owner of a target under the latest view known."""
        return self.state.owner(target)

    def accepts_requests(self, target: TargetId) -> bool:
        """Whether this instance accepts work for a target, to send or queue."""
        state = self.ownership_state(target)
        return state in {OwnershipState.WAITING, OwnershipState.OWNED}

    def ownership_state(self, target: TargetId) -> OwnershipState:
        """Return the state of a target at this instance."""
        return self.state.ownership.state(target)

    def lease_s(self, now: float) -> float:
        """Return the remaining duration of the lease under the latest view."""
        until = self.state.lease.valid_until(self.state.version)
        return max(0, until - now)

    async def async_start(self) -> None:
        """Start membership and join; retry in the background on failure."""
        if not await self._async_try_join():
            self.tasks.spawn(
                self._async_join_with_retries(), name='membership join'
            )
        interval_s = self.times.read_interval_s
        self.background.start_periodic(
            'confirm', interval_s, self._async_confirm_view
        )
        self.background.start_periodic(
            'tick', const.TICK_INTERVAL_S, self._async_tick
        )
        self.tasks.spawn(self._async_probe_loop(), name='membership probe')

    async def async_leave(self) -> None:
        """Hand over all targets and leave the view; retry failed edits.

        The caller limits the duration. If the process ends earlier, other
        members detect its failure and remove it.
        """
        self.leaving = True
        await self._async_edit_until_done(
            partial(views.leave, incarnation=self._incarnation())
        )
        while self.state.ownership.ownerships:
            self.ownership_changed.clear()
            await self.ownership_changed.wait()
        await self.handover.async_wait_for_releases()
        await self._async_edit_until_done(
            lambda view: views.remove(view, [self._incarnation()])
        )
        self.event(MembershipEvent.LEFT)

    def apply_view(self, view: View) -> None:
        """Apply a view received from the configuration watch or a peer."""
        if self.state.apply_view(view, self.hooks.targets(), self.now()):
            self._on_later_view(view)

    def update_targets(self) -> None:
        """Apply a change of the configured targets."""
        self.state.update_targets(self.hooks.targets(), self.now())
        self.handover.process_due(self.now())

    def on_peer_message(self, hello: Hello, versions: Versions) -> None:
        """Record a sign of life of a peer; fetch its view if it is later."""
        self.prober.detector.record_alive(Incarnation(hello.incarnation))
        if versions.view > self.state.version and hello.HasField('member'):
            self.background.start_unless_running(
                'fetch',
                self._async_fetch_view,
                hello.member.peer_host,
                hello.member.peer_port,
            )

    async def async_handle_probe(self, request: ProbeRequest) -> ProbeReply:
        """Answer a probe."""
        self.on_peer_message(request.hello, request.versions)
        return await self.prober.async_answer_probe(request)

    async def async_handle_handover(
        self, request: HandoverRequest
    ) -> HandoverReply:
        """Record the released targets and start those owned here."""
        self.on_peer_message(request.hello, Versions(view=request.view_version))
        self.handover.handle_request(request, self.now())
        return HandoverReply(versions=Versions(view=self.state.version))

    def _start_incarnation(self, me: Member) -> None:
        """Initialise the state of a new incarnation."""
        self.me = me
        self.state = MemberState(
            me=self._incarnation(), times=self.times, is_gone=self.hooks.is_gone
        )
        self.prober = Prober(
            state=self.state, links=self.links, now=self.now, rng=self.rng
        )
        self.handover = HandoverManager(
            state=self.state,
            hooks=self.hooks,
            links=self.links,
            tasks=self.tasks,
            event=self.event,
            on_change=self.ownership_changed.set,
        )

    def _renew_incarnation(self) -> None:
        """Start a new incarnation that keeps the known view and digests."""
        view = self.view
        digests = self.state.digests
        me = Member()
        me.CopyFrom(self.me)
        me.incarnation = self.rng.getrandbits(const.INCARNATION_BITS)
        self._start_incarnation(me)
        self.state.digests.copy_from(digests)
        if view is not None:
            self.apply_view(view)

    def _incarnation(self) -> Incarnation:
        """Return the current incarnation."""
        return Incarnation(self.me.incarnation)

    def _on_later_view(self, view: View) -> None:
        """Update detector and ownership after a later view."""
        self.prober.detector.set_members(
            Incarnation(member.incarnation) for member in view.members
        )
        self.event(MembershipEvent.VIEW, detail=str(view.version))
        self.handover.process_due(self.now())
        if self.state.ownership.has_owned_without_lease(self.now()):
            self.background.start_unless_running(
                'confirm', self._async_confirm_view
            )
        self.ownership_changed.set()

    def _apply_read(self, read: ViewRead) -> None:
        """Apply a read or a write of the view, which renews the lease."""
        later = read.view.version > self.state.version
        self.state.apply_read(
            read.view, read.started_at, self.hooks.targets(), read.received_at
        )
        if later:
            self._on_later_view(read.view)

    async def _async_edit_view(self, edit: Edit) -> None:
        """Edit the stored view and apply the result."""
        self._apply_read(await self.store.async_edit(edit, self.state))

    async def _async_edit_until_done(self, edit: Edit) -> None:
        """Edit the view, retrying with backoff until it succeeds."""
        backoff_s = const.JOIN_BACKOFF_S
        while True:
            try:
                await self._async_edit_view(edit)
            except BitternturnError as error:
                LOGGER.warning('failed to edit the view, retrying: {}', error)
            else:
                return
            await asyncio.sleep(backoff_s * self.rng.random())
            backoff_s = min(backoff_s * 2, const.JOIN_BACKOFF_LIMIT_S)

    async def _async_try_join(self) -> bool:
        """Attempt to join; on failure, fetch the view from a peer."""
        try:
            await self._async_edit_view(partial(views.join, member=self.me))
        except BitternturnError as error:
            LOGGER.warning('failed to join: {}', error)
            for seed in self.hooks.seeds():
                if self.view is None:
                    await self._async_fetch_view(seed.host, seed.port)
            return False
        self.joined = True
        self.event(MembershipEvent.JOINED)
        return True

    async def _async_join_with_retries(self) -> None:
        """Retry joining with backoff until it succeeds.

        Each attempt uses a new incarnation: an earlier one may have joined
        although its write failed, and have been removed since.
        """
        backoff_s = const.JOIN_BACKOFF_S
        while not self.leaving:
            await asyncio.sleep(backoff_s * (1 + self.rng.random()))
            self._renew_incarnation()
            if await self._async_try_join():
                return
            backoff_s = min(backoff_s * 2, const.JOIN_BACKOFF_LIMIT_S)

    async def _async_fetch_view(self, host: str, port: int) -> None:
        """Fetch a later view from a peer and apply it."""
        request = FetchRequest(
            hello=Hello(incarnation=self._incarnation()),
            versions=Versions(view=self.state.version),
        )
        try:
            reply = await self.links(host, port).async_fetch(request)
        except BitternturnError:
            return
        if reply.HasField('view'):
            self.apply_view(reply.view)

    async def _async_confirm_view(self) -> None:
        """Renew the lease by a confirmation of a reader or by a read.

        A reader of the failure domain, and an instance that owns a target
        without a valid lease, reads the view itself.
        """
        view = self.view
        if view is not None and self.state.own_entry is not None:
            readers = domain_readers(view, self.me.failure_domain)
            others = [
                reader
                for reader in readers
                if reader.incarnation != self._incarnation()
            ]
            lacks_lease = self.state.ownership.has_owned_without_lease(
                self.now()
            )
            if len(others) == len(readers) and not lacks_lease:
                if await self.prober.async_request_confirmation(readers):
                    return
        await self._async_read_view()

    async def _async_read_view(self) -> None:
        """Read the view; record a vote if that fails."""
        state = self.state
        try:
            read = await self.store.async_read()
        except BitternturnError:
            state.record_read_failure(self.now())
            return
        if state is self.state and read.view.version:
            self._apply_read(read)

    async def _async_tick(self) -> None:
        """Start and release due targets; start due background jobs."""
        now = self.now()
        self.state.tick(now)
        self.handover.process_due(now)
        if self.state.ownership.has_owned_without_lease(now):
            self.background.start_unless_running(
                'confirm', self._async_confirm_view
            )
        if self._was_removed():
            self.background.start_unless_running('rejoin', self._async_rejoin)
        if self._members_to_remove(
            now, is_isolated=self.prober.detector.is_isolated()
        ):
            self.background.start_unless_running(
                'remove', self._async_remove_dead
            )

    def _was_removed(self) -> bool:
        """Whether another member has removed this incarnation."""
        return (
            self.joined
            and not self.leaving
            and self.view is not None
            and self.state.own_entry is None
        )

    def _members_to_remove(
        self, now: float, *, is_isolated: bool
    ) -> list[Incarnation]:
        """Return the dead members that this instance should remove.

        An isolated instance removes only those whose process has ended.
        """
        expired_suspects = self.prober.detector.expired_suspects(now)
        if not self.joined or self._was_removed():
            return []
        if not is_isolated:
            return expired_suspects
        is_gone = self.state.make_gone_check(now)
        return [member for member in expired_suspects if is_gone(member)]

    async def _async_remove_dead(self) -> None:
        """Remove the dead members, unless another instance did so first."""
        max_delay_s = self.times.probe_interval_s / 2
        await asyncio.sleep(self.rng.random() * max_delay_s)
        is_isolated = not await self.prober.async_reaches_half_of_sample()
        dead = set(self._members_to_remove(self.now(), is_isolated=is_isolated))
        # Those that the last attempt to edit the view removes.
        removed: set[Incarnation] = set()

        def edit(view: View) -> View | None:
            """Remove the dead members that the view still contains."""
            remaining = dead.intersection(
                Incarnation(member.incarnation) for member in view.members
            )
            removed.clear()
            removed.update(remaining)
            return views.remove(view, remaining) if remaining else None

        try:
            await self._async_edit_view(edit)
        except BitternturnError as error:
            LOGGER.warning('failed to remove dead members: {}', error)
            return
        if removed:
            self.event(MembershipEvent.REMOVED, detail=str(len(removed)))

    async def _async_rejoin(self) -> None:
        """Join again as a new incarnation after all releases have ended."""
        self.event(MembershipEvent.REPLACED)
        await self.handover.async_wait_for_releases()
        self.joined = False
        self._renew_incarnation()
        await self.prober.async_wait_for_peers()
        await self._async_join_with_retries()

    async def _async_probe_loop(self) -> None:
        """Start probes periodically, more often while confirmations fail."""
        while True:
            interval_s = self.times.probe_interval_s
            if self.state.confirmation_failing:
                interval_s /= const.OUTAGE_PROBE_FACTOR
            await asyncio.sleep(
                interval_s * self.rng.uniform(*const.PROBE_JITTER)
            )
            self._start_due_probes()

    def _start_due_probes(self) -> None:
        """Start the probes that are due."""
        now = self.now()
        detector = self.prober.detector
        chosen = detector.next_probe(now)
        due = detector.due_suspects(now)
        if chosen is not None:
            due.append(chosen)
        due.extend(self.prober.domain_peers_to_probe())
        view = self.view or View()
        for key in due:
            member = views.find_member(view, key)
            if member is not None:
                self.tasks.spawn(
                    self.prober.async_check_member(member),
                    name='membership check',
                )
