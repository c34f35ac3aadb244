"""Gives released targets to their next owners and takes over given ones."""

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


class Handover:
    """Hand-overs of one incarnation."""

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
        """Start with nothing to give or take."""
        self.state = state
        self.hooks = hooks
        self.links = links
        self.tasks = tasks
        self.event = event
        self.on_change = on_change
        self.releasing: dict[TargetId, asyncio.Task[None]] = {}
        self.given: dict[TargetId, TargetState] = {}

    def on_request(self, request: HandoverRequest, now: float) -> None:
        """Take in which targets a previous owner has released."""
        for released in request.released:
            target = TargetId(released.target)
            self.given[target] = released
            self.state.ownership.on_released(
                target,
                Incarnation(request.hello.incarnation),
                Version(request.view_version),
                now,
            )
        self.advance(now)

    def advance(self, now: float) -> None:
        """Adopt started targets and begin the releases that are due."""
        for start in self.state.ownership.take_started():
            given = self.given.pop(start.target, None)
            if given is None or not start.handed_over:
                given = TargetState(target=start.target)
            self.hooks.adopt(given)
            self.event(MembershipEvent.TARGET_STARTED, target=start.target)
        for release in self.state.ownership.to_release(now):
            if release.target not in self.releasing:
                self.releasing[release.target] = self.tasks.spawn(
                    self._async_release(release), name='membership release'
                )

    async def async_finish(self) -> None:
        """Wait for the releases that have begun."""
        while self.releasing:
            await asyncio.gather(*self.releasing.values())

    async def _async_release(self, release: Release) -> None:
        """Release one target and tell its next owner."""
        try:
            state = self.given.pop(release.target, None)
            if state is None:
                state = await self.hooks.release(release.target)
            announce = self.state.ownership.on_release_done(release)
            self.event(MembershipEvent.TARGET_RELEASED, target=release.target)
            if announce and release.to is not None:
                await self._async_announce(release, release.to, state)
        finally:
            self.releasing.pop(release.target, None)
            self.on_change()

    async def _async_announce(
        self, release: Release, to: Member, state: TargetState
    ) -> None:
        """Tell the next owner that it may start at once."""
        request = HandoverRequest(
            hello=Hello(incarnation=self.state.me),
            view_version=release.view_version,
            released=[state],
        )
        link = self.links(to.peer_host, to.peer_port)
        for _ in range(HANDOVER_ATTEMPTS):
            try:
                await link.async_handover(request)
            except BitternturnError:
                continue
            self.event(
                MembershipEvent.HANDED_OVER,
                target=release.target,
                peer=to.instance_id,
            )
            return
