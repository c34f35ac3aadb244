"""When this instance may start and has to stop sending to each target."""

from collections.abc import Iterable
from dataclasses import dataclass

from bitternturn.core.ids import (
    FailureDomain,
    Incarnation,
    TargetId,
    Version,
)
from bitternturn.membership.history import (
    may_hand_over,
    next_owner,
    owned_since,
    owned_throughout,
)
from bitternturn.membership.lease import Lease
from bitternturn.membership.models import (
    MembershipTimes,
    OwnedTargetKey,
    OwnershipState,
    Release,
    Start,
)
from bitternturn.membership.ownership import OwnershipTable
from bitternturn.membership.view import member_of
from bitternturn.schema.config_pb2 import Target
from bitternturn.schema.membership_pb2 import Member, View


@dataclass(kw_only=True)
class Ownership:
    """One target that this instance owns or is giving up."""

    key: OwnedTargetKey
    state: OwnershipState
    # Views from `since` to `last` all name this instance as the owner.
    since: Version
    last: Version
    wait_until: float
    # Whether the owner before is still a member and may hand over.
    handed_over: bool = True
    release: Release | None = None
    # The lease under the views since..last, frozen while releasing.
    send_until: float = float('-inf')


@dataclass(frozen=True, kw_only=True)
class Announcement:
    """A release that the previous owner announced."""

    from_incarnation: Incarnation
    view_version: Version


class TargetOwnership:
    """State of every target at this instance."""

    def __init__(
        self, *, me: Incarnation, lease: Lease, times: MembershipTimes
    ) -> None:
        """Start without a view."""
        self.me = me
        self.lease = lease
        self.times = times
        self.view: View | None = None
        self.table = OwnershipTable(view=View())
        self.owned: dict[TargetId, Ownership] = {}
        self.announced: dict[TargetId, Announcement] = {}
        self.started: list[Start] = []
        self.keys: dict[TargetId, OwnedTargetKey] = {}
        # Least version under which leases may be extended, at the last tick.
        self.unsettled: Version | None = None

    def on_view(
        self, view: View, targets: Iterable[Target], now: float
    ) -> None:
        """Take in a view or a change of the targets.

        `now` must be read after the view was received.
        """
        held = Version(self.view.version) if self.view is not None else None
        if held is None or view.version > held:
            self.table.advance(view)
            self.view = view
        assert self.view is not None
        self._index(targets)
        for key in self.keys.values():
            self._place(key, self.view, now)
        for target_id in self.owned.keys() - self.keys.keys():
            self._give_up(self.owned[target_id], self.view)

    def on_released(
        self,
        target: TargetId,
        from_incarnation: Incarnation,
        view_version: Version,
        now: float,
    ) -> bool:
        """Take in a hand-over; return whether the target starts by it."""
        announcement = Announcement(
            from_incarnation=from_incarnation, view_version=view_version
        )
        ownership = self.owned.get(target)
        if ownership is None and self._forward(target, announcement):
            return False
        if ownership is not None and self._start(ownership, announcement):
            return True
        latest = self.announced.get(target)
        if latest is None or latest.view_version < view_version:
            self.announced[target] = announcement
        return False

    def start_due(self, unsettled: Version | None, now: float) -> None:
        """Start the targets whose wait is over.

        `unsettled` is the least version under which leases may be extended.
        """
        self.unsettled = unsettled
        for ownership in self.due(now):
            if not self._is_gated(ownership):
                self._own(ownership, handed_over=False)

    def due(self, now: float) -> list[Ownership]:
        """Return what has waited for as long as a lease may last."""
        return [
            ownership
            for ownership in self.owned.values()
            if ownership.state is OwnershipState.WAITING
            and now >= ownership.wait_until
        ]

    def take_started(self) -> list[Start]:
        """Return the targets started since the last call."""
        started = self.started
        self.started = []
        return started

    def may_send(self, target: TargetId, now: float) -> bool:
        """Whether a request may be written to a target at this moment."""
        ownership = self.owned.get(target)
        if ownership is None or ownership.state is OwnershipState.WAITING:
            return False
        if ownership.state is OwnershipState.RELEASING:
            return now < ownership.send_until
        if now < self.lease.ends.get(ownership.last, float('-inf')):
            return True
        return now < self.lease.valid_until(ownership.since, ownership.last)

    def starts_at(self, target: TargetId) -> float:
        """Return before when no request may be written to a target.

        The past where it may start at any moment, by a hand-over for one;
        infinity while the end of an outage's leases is not known.
        """
        ownership = self.owned.get(target)
        if ownership is None or ownership.handed_over:
            return float('-inf')
        if ownership.state is not OwnershipState.WAITING:
            return float('-inf')
        if self._is_gated(ownership):
            return float('inf')
        return ownership.wait_until

    def unconfirmed(self, now: float) -> bool:
        """Whether a target is kept from service just by a missing lease."""
        return any(
            ownership.state is OwnershipState.OWNED
            and not self.may_send(target_id, now)
            for target_id, ownership in self.owned.items()
        )

    def state(self, target: TargetId) -> OwnershipState:
        """Return the state of a target."""
        ownership = self.owned.get(target)
        return OwnershipState.NONE if ownership is None else ownership.state

    def to_release(self, now: float) -> list[Release]:
        """Return what has to be given up."""
        return [
            ownership.release
            for ownership in self.owned.values()
            if ownership.release is not None
        ]

    def on_release_done(self, release: Release) -> bool:
        """Note that nothing is sent to a target any more.

        Returns whether the release still stands and may be announced.
        """
        ownership = self.owned.get(release.target)
        if ownership is not None and ownership.release is release:
            self.owned.pop(release.target)
            return release.to is not None
        return False

    def _is_gated(self, ownership: Ownership) -> bool:
        """Whether leases under an earlier view may still be extended."""
        return self.unsettled is not None and self.unsettled < ownership.since

    def _index(self, targets: Iterable[Target]) -> None:
        """Follow the configured targets."""
        self.keys = {
            TargetId(target.id): OwnedTargetKey(
                target=TargetId(target.id),
                failure_domain=FailureDomain(target.failure_domain),
            )
            for target in targets
        }

    def _place(self, key: OwnedTargetKey, view: View, now: float) -> None:
        """Bring one target in line with the view."""
        owner = self.table.owner(key.target, key.failure_domain)
        ownership = self.owned.get(key.target)
        if owner is not None and owner.incarnation == self.me:
            self._take(key, owner, view, now)
            return
        if ownership is not None:
            self._give_up(ownership, view)
        announcement = self.announced.get(key.target)
        if announcement is None or key.target in self.owned:
            return
        if announcement.view_version <= view.version:
            self.announced.pop(key.target)
            self._forward(key.target, announcement)

    def _take(
        self, key: OwnedTargetKey, me: Member, view: View, now: float
    ) -> None:
        """Own a target: go on where nobody else came between, else wait."""
        ownership = self.owned.get(key.target)
        if ownership is not None and ownership.release is None:
            if ownership.last == view.version:
                return
            if owned_throughout(view, key, me, ownership.last):
                ownership.last = Version(view.version)
                self._start_announced(ownership)
                return
        since = owned_since(view, key, self.me)
        assert since is not None
        ownership = Ownership(
            key=key,
            state=OwnershipState.WAITING,
            since=since,
            last=Version(view.version),
            wait_until=now + self.times.lease_wait_s,
            handed_over=may_hand_over(view, key),
        )
        self.owned[key.target] = ownership
        self._start_announced(ownership)

    def _start_announced(self, ownership: Ownership) -> None:
        """Start by a hand-over that came before the view."""
        announcement = self.announced.pop(ownership.key.target, None)
        if announcement is None:
            return
        if announcement.view_version > ownership.last:
            self.announced[ownership.key.target] = announcement
            return
        self._start(ownership, announcement)

    def _start(self, ownership: Ownership, announcement: Announcement) -> bool:
        """Start by a hand-over made under a view since which it is ours."""
        if ownership.state is not OwnershipState.WAITING:
            return False
        if not ownership.since <= announcement.view_version <= ownership.last:
            return False
        self._own(ownership, handed_over=True)
        return True

    def _own(self, ownership: Ownership, *, handed_over: bool) -> None:
        """Begin to own a target."""
        ownership.state = OwnershipState.OWNED
        self.started.append(
            Start(target=ownership.key.target, handed_over=handed_over)
        )

    def _forward(self, target: TargetId, announcement: Announcement) -> bool:
        """Pass a hand-over on that came after the target had moved on.

        This instance never started under the view of the hand-over, and holds
        a later one, so that it never will.
        """
        key = self.keys.get(target)
        if key is None or self.view is None:
            return False
        version = announcement.view_version
        release = self._release_of(key, self.view, version)
        if release.to is None:
            return False
        self.owned[target] = Ownership(
            key=key,
            state=OwnershipState.RELEASING,
            since=version,
            last=version,
            wait_until=float('inf'),
            release=release,
        )
        return True

    def _release_of(
        self, key: OwnedTargetKey, view: View, version: Version
    ) -> Release:
        """Return the release to whoever followed this owner of a version.

        A next owner that has itself lost the target since passes it on.
        """
        span = next_owner(view, key, self.me, version)
        to = None
        if span is not None and span.owner is not None:
            to = member_of(view, span.owner)
        return Release(
            target=key.target,
            to=to,
            view_version=Version(0) if span is None else span.first,
        )

    def _give_up(self, ownership: Ownership, view: View) -> None:
        """Begin to release a target, or forget one that never started."""
        if ownership.release is not None:
            return
        if ownership.state is OwnershipState.WAITING:
            self.owned.pop(ownership.key.target)
            return
        ownership.state = OwnershipState.RELEASING
        ownership.send_until = self.lease.valid_until(
            ownership.since, ownership.last
        )
        ownership.release = self._release_of(
            ownership.key, view, ownership.last
        )
