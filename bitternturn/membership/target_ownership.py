"""Target ownership: when an instance may start and must stop sending."""

from collections.abc import Iterable
from dataclasses import dataclass

from bitternturn.core.ids import (
    FailureDomain,
    Incarnation,
    TargetId,
    Version,
)
from bitternturn.membership.history import (
    find_next_owner,
    owned_continuously,
    owned_since,
    previous_owner_is_member,
)
from bitternturn.membership.lease import Lease
from bitternturn.membership.models import (
    MembershipTimes,
    OwnedTargetKey,
    OwnershipState,
    Release,
    StartedTarget,
)
from bitternturn.membership.ownership import OwnershipTable
from bitternturn.membership.view import find_member
from bitternturn.schema.config_pb2 import Target
from bitternturn.schema.membership_pb2 import Member, View


@dataclass(kw_only=True)
class Ownership:
    """Ownership of a target that waits, is active or is being released."""

    key: OwnedTargetKey
    state: OwnershipState
    # First and last version of the views that assign the target to this
    # instance without interruption.
    first_version: Version
    last_version: Version
    # When all leases of earlier owners have expired, unless votes extend them.
    wait_ends_at: float
    # Whether the previous owner may still be a member and hand over.
    handover_possible: bool = True
    release: Release | None = None
    # Expiry of the lease under the views first..last. It is fixed when the
    # release starts.
    may_send_until: float = float('-inf')


@dataclass(frozen=True, kw_only=True)
class ReleaseAnnouncement:
    """A release announced by the previous owner."""

    from_incarnation: Incarnation
    view_version: Version


class TargetOwnership:
    """Ownership of all targets at this instance."""

    def __init__(
        self, *, me: Incarnation, lease: Lease, times: MembershipTimes
    ) -> None:
        """Initialise without a view."""
        self.me = me
        self.lease = lease
        self.times = times
        self.view: View | None = None
        self.table = OwnershipTable(view=View())
        self.ownerships: dict[TargetId, Ownership] = {}
        self.announcements: dict[TargetId, ReleaseAnnouncement] = {}
        self.started: list[StartedTarget] = []
        self.target_keys: dict[TargetId, OwnedTargetKey] = {}
        # Lowest version under which leases may still be extended, as of the
        # latest tick.
        self.first_unsettled: Version | None = None

    def apply_view(
        self, view: View, targets: Iterable[Target], now: float
    ) -> None:
        """Apply a view or a change of the targets.

        `now` must be read after the view was received.
        """
        known = Version(self.view.version) if self.view is not None else None
        if known is None or view.version > known:
            self.table.update(view)
            self.view = view
        assert self.view is not None
        self._index_targets(targets)
        for key in self.target_keys.values():
            self._update_target(key, self.view, now)
        for target_id in self.ownerships.keys() - self.target_keys.keys():
            self._start_release(self.ownerships[target_id], self.view)

    def apply_handover(
        self,
        target: TargetId,
        from_incarnation: Incarnation,
        view_version: Version,
        now: float,
    ) -> bool:
        """Apply a handover; return whether it starts the target."""
        announcement = ReleaseAnnouncement(
            from_incarnation=from_incarnation, view_version=view_version
        )
        ownership = self.ownerships.get(target)
        if ownership is None and self._forward_handover(target, announcement):
            return False
        if ownership is not None and self._start_by_handover(
            ownership, announcement
        ):
            return True
        latest = self.announcements.get(target)
        if latest is None or latest.view_version < view_version:
            self.announcements[target] = announcement
        return False

    def start_due(self, first_unsettled: Version | None, now: float) -> None:
        """Start the targets whose wait has ended.

        Leases may still be extended under versions from `first_unsettled` on.
        """
        self.first_unsettled = first_unsettled
        for ownership in self.due_to_start(now):
            if not self._waits_for_unsettled(ownership):
                self._mark_owned(ownership, handed_over=False)

    def due_to_start(self, now: float) -> list[Ownership]:
        """Return the waiting ownerships whose lease wait has ended."""
        return [
            ownership
            for ownership in self.ownerships.values()
            if ownership.state is OwnershipState.WAITING
            and now >= ownership.wait_ends_at
        ]

    def pop_started(self) -> list[StartedTarget]:
        """Return the targets started since the last call."""
        started = self.started
        self.started = []
        return started

    def may_send(self, target: TargetId, now: float) -> bool:
        """Whether a request may be written to a target at this moment."""
        ownership = self.ownerships.get(target)
        if ownership is None or ownership.state is OwnershipState.WAITING:
            return False
        if ownership.state is OwnershipState.RELEASING:
            return now < ownership.may_send_until
        if now < self.lease.end_by_version.get(
            ownership.last_version, float('-inf')
        ):
            return True
        return now < self.lease.valid_until(
            ownership.first_version, ownership.last_version
        )

    def earliest_send_at(self, target: TargetId) -> float:
        """Return the earliest time at which a request may be written.

        Minus infinity if the target may start at any time, such as by a
        handover; infinity while leases under an earlier view may still be
        extended, since their end is unknown.
        """
        ownership = self.ownerships.get(target)
        if ownership is None or ownership.handover_possible:
            return float('-inf')
        if ownership.state is not OwnershipState.WAITING:
            return float('-inf')
        if self._waits_for_unsettled(ownership):
            return float('inf')
        return ownership.wait_ends_at

    def has_owned_without_lease(self, now: float) -> bool:
        """Whether this instance owns a target without a valid lease."""
        return any(
            ownership.state is OwnershipState.OWNED
            and not self.may_send(target_id, now)
            for target_id, ownership in self.ownerships.items()
        )

    def state(self, target: TargetId) -> OwnershipState:
        """Return the state of a target."""
        ownership = self.ownerships.get(target)
        return OwnershipState.NONE if ownership is None else ownership.state

    def pending_releases(self, now: float) -> list[Release]:
        """Return the releases that have not finished."""
        return [
            ownership.release
            for ownership in self.ownerships.values()
            if ownership.release is not None
        ]

    def finish_release(self, release: Release) -> bool:
        """Record that nothing is in flight at a released target.

        Returns whether the release is still current and has a next owner to
        announce it to.
        """
        ownership = self.ownerships.get(release.target)
        if ownership is not None and ownership.release is release:
            self.ownerships.pop(release.target)
            return release.next_owner is not None
        return False

    def _waits_for_unsettled(self, ownership: Ownership) -> bool:
        """Whether leases under earlier views may still be extended."""
        return (
            self.first_unsettled is not None
            and self.first_unsettled < ownership.first_version
        )

    def _index_targets(self, targets: Iterable[Target]) -> None:
        """Index the configured targets."""
        self.target_keys = {
            TargetId(target.id): OwnedTargetKey(
                target=TargetId(target.id),
                failure_domain=FailureDomain(target.failure_domain),
            )
            for target in targets
        }

    def _update_target(
        self, key: OwnedTargetKey, view: View, now: float
    ) -> None:
        """Update the ownership of one target to the view."""
        owner = self.table.owner(key.target, key.failure_domain)
        ownership = self.ownerships.get(key.target)
        if owner is not None and owner.incarnation == self.me:
            self._update_owned(key, owner, view, now)
            return
        if ownership is not None:
            self._start_release(ownership, view)
        announcement = self.announcements.get(key.target)
        if announcement is None or key.target in self.ownerships:
            return
        if announcement.view_version <= view.version:
            self.announcements.pop(key.target)
            self._forward_handover(key.target, announcement)

    def _update_owned(
        self, key: OwnedTargetKey, me: Member, view: View, now: float
    ) -> None:
        """Continue an uninterrupted ownership, or wait with a new one."""
        ownership = self.ownerships.get(key.target)
        if ownership is not None and ownership.release is None:
            if ownership.last_version == view.version:
                return
            if owned_continuously(view, key, me, ownership.last_version):
                ownership.last_version = Version(view.version)
                self._apply_announcement(ownership)
                return
        first_version = owned_since(view, key, self.me)
        assert first_version is not None
        ownership = Ownership(
            key=key,
            state=OwnershipState.WAITING,
            first_version=first_version,
            last_version=Version(view.version),
            wait_ends_at=now + self.times.lease_expiry_wait_s,
            handover_possible=previous_owner_is_member(view, key),
        )
        self.ownerships[key.target] = ownership
        self._apply_announcement(ownership)

    def _apply_announcement(self, ownership: Ownership) -> None:
        """Start a target by a handover that arrived before the view."""
        announcement = self.announcements.pop(ownership.key.target, None)
        if announcement is None:
            return
        if announcement.view_version > ownership.last_version:
            self.announcements[ownership.key.target] = announcement
            return
        self._start_by_handover(ownership, announcement)

    def _start_by_handover(
        self, ownership: Ownership, announcement: ReleaseAnnouncement
    ) -> bool:
        """Start a target if the handover applies to this ownership."""
        if ownership.state is not OwnershipState.WAITING:
            return False
        if (
            not ownership.first_version
            <= announcement.view_version
            <= ownership.last_version
        ):
            return False
        self._mark_owned(ownership, handed_over=True)
        return True

    def _mark_owned(self, ownership: Ownership, *, handed_over: bool) -> None:
        """Mark a target as owned and record its start."""
        ownership.state = OwnershipState.OWNED
        self.started.append(
            StartedTarget(target=ownership.key.target, handed_over=handed_over)
        )

    def _forward_handover(
        self, target: TargetId, announcement: ReleaseAnnouncement
    ) -> bool:
        """Forward a handover of a target that has a later owner by now.

        This instance has not started under the view of the handover and
        never will, since it holds a later view.
        """
        key = self.target_keys.get(target)
        if key is None or self.view is None:
            return False
        version = announcement.view_version
        release = self._make_release(key, self.view, version)
        if release.next_owner is None:
            return False
        self.ownerships[target] = Ownership(
            key=key,
            state=OwnershipState.RELEASING,
            first_version=version,
            last_version=version,
            wait_ends_at=float('inf'),
            release=release,
        )
        return True

    def _make_release(
        self, key: OwnedTargetKey, view: View, version: Version
    ) -> Release:
        """Return the release to the owner after this one at a version.

        A next owner that has lost the target itself forwards the handover.
        """
        span = find_next_owner(view, key, self.me, version)
        next_owner = None
        if span is not None and span.owner is not None:
            next_owner = find_member(view, span.owner)
        return Release(
            target=key.target,
            next_owner=next_owner,
            view_version=Version(0) if span is None else span.first,
        )

    def _start_release(self, ownership: Ownership, view: View) -> None:
        """Start releasing a target; drop it if it has not started."""
        if ownership.release is not None:
            return
        if ownership.state is OwnershipState.WAITING:
            self.ownerships.pop(ownership.key.target)
            return
        ownership.state = OwnershipState.RELEASING
        ownership.may_send_until = self.lease.valid_until(
            ownership.first_version, ownership.last_version
        )
        ownership.release = self._make_release(
            ownership.key, view, ownership.last_version
        )
