"""Handovers of targets to and from other members."""

import asyncio
from collections.abc import Callable

from bitternturn.core.errors import BitternturnError
from bitternturn.core.ids import Incarnation, TargetId, Version
from bitternturn.core.tasks import TaskSet
from bitternturn.membership.const import HANDOVER_ATTEMPTS
from bitternturn.membership.models import (
    EventSink,
    Links,
    MembershipEvent,
    MembershipHooks,
    Release,
)
from bitternturn.membership.state import MemberState
from bitternturn.schema.membership_pb2 import Member
from bitternturn.schema.peers_pb2 import (
    HandoverRequest,
    Hello,
    TargetState,
)


class HandoverManager:
    """Releases and starts the targets of one incarnation."""

    def __init__(
        self,
        *,
        state: MemberState,
        hooks: MembershipHooks,
        links: Links,
        tasks: TaskSet,
        event: EventSink,
        on_change: Callable[[], None],
    ) -> None:
        """Initialise without pending handovers."""
        self.state = state
        self.hooks = hooks
        self.links = links
        self.tasks = tasks
        self.event = event
        self.on_change = on_change
        self.release_tasks: dict[TargetId, asyncio.Task[None]] = {}
        self.received_states: dict[TargetId, TargetState] = {}

    def handle_request(self, request: HandoverRequest, now: float) -> None:
        """Record the targets that a previous owner has released."""
        for released in request.released:
            target = TargetId(released.target)
            self.received_states[target] = released
            self.state.ownership.apply_handover(
                target,
                Incarnation(request.hello.incarnation),
                Version(request.view_version),
                now,
            )
        self.process_due(now)

    def process_due(self, now: float) -> None:
        """Start the targets that are owned now and begin pending releases."""
        for start in self.state.ownership.pop_started():
            state = self.received_states.pop(start.target, None)
            if state is None or not start.handed_over:
                state = TargetState(target=start.target)
            self.hooks.start_target(state)
            self.event(MembershipEvent.TARGET_STARTED, target=start.target)
        for release in self.state.ownership.pending_releases(now):
            if release.target not in self.release_tasks:
                self.release_tasks[release.target] = self.tasks.spawn(
                    self._async_release(release), name='membership release'
                )

    async def async_wait_for_releases(self) -> None:
        """Wait until all running releases have ended."""
        while self.release_tasks:
            await asyncio.gather(*self.release_tasks.values())

    async def _async_release(self, release: Release) -> None:
        """Release one target and announce that to its next owner.

        A received state that has not been used here is passed on unchanged.
        """
        try:
            state = self.received_states.pop(release.target, None)
            if state is None:
                state = await self.hooks.async_release_target(release.target)
            announce = self.state.ownership.finish_release(release)
            self.event(MembershipEvent.TARGET_RELEASED, target=release.target)
            if announce and release.next_owner is not None:
                await self._async_announce(release, release.next_owner, state)
        finally:
            self.release_tasks.pop(release.target, None)
            self.on_change()

    async def _async_announce(
        self, release: Release, next_owner: Member, state: TargetState
    ) -> None:
        """Send the released state to the next owner, which starts at once."""
        request = HandoverRequest(
            hello=Hello(incarnation=self.state.me),
            view_version=release.view_version,
            released=[state],
        )
        link = self.links(next_owner.peer_host, next_owner.peer_port)
        for _ in range(HANDOVER_ATTEMPTS):
            try:
                await link.async_handover(request)
            except BitternturnError:
                continue
            self.event(
                MembershipEvent.HANDED_OVER,
                target=release.target,
                peer=next_owner.instance_id,
            )
            return
