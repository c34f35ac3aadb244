"""Everything that one member knows and decides, without input or output."""

from collections.abc import Iterable

from bitternturn.core.ids import (
    FailureDomain,
    Incarnation,
    TargetId,
    Version,
)
from bitternturn.membership.const import DIGESTS_PER_MESSAGE, VOUCH_AFTER
from bitternturn.membership.digests import DigestTable, age_to_ms
from bitternturn.membership.lease import Lease
from bitternturn.membership.models import IsGone, MembershipTimes, never_gone
from bitternturn.membership.takeover import TargetOwnership
from bitternturn.membership.view import IsSettled, member_of
from bitternturn.membership.vouches import (
    IsGoneMember,
    extension_until,
    first_unsettled,
    gone_members,
    is_settled,
)
from bitternturn.schema.config_pb2 import Target
from bitternturn.schema.membership_pb2 import EarlierView, Member, View
from bitternturn.schema.peers_pb2 import Confirmation, MemberDigest

MS_PER_SECOND = 1000


class MemberState:
    """The view, the lease and the ownership of one incarnation.

    All times are seconds on the instance's own monotonic clock. Each `now`
    must be read after the message or answer that it goes with has arrived.
    """

    def __init__(
        self,
        *,
        me: Incarnation,
        times: MembershipTimes,
        is_gone: IsGone = never_gone,
    ) -> None:
        """Start without a view."""
        self.me = me
        self.times = times
        self.is_gone = is_gone
        self.lease = Lease(lease_s=times.lease_s)
        self.digests = DigestTable(me=me, times=times)
        self.ownership = TargetOwnership(me=me, lease=self.lease, times=times)
        # Earlier views whose leases are over; they stay so.
        self.settled_views: set[int] = set()
        # The last attempt at a confirmation failed.
        self.failing = False

    @property
    def view(self) -> View | None:
        """The latest view known."""
        return self.ownership.view

    @property
    def version(self) -> Version:
        """Version of the latest view known, zero without one."""
        return Version(0 if self.view is None else self.view.version)

    @property
    def listed(self) -> Member | None:
        """The entry of this member in the view, None without one."""
        return None if self.view is None else member_of(self.view, self.me)

    def on_read(
        self, view: View, started: float, targets: Iterable[Target], now: float
    ) -> None:
        """Take in the answer to a read that began at `started`."""
        self.on_view(view, targets, now)
        self.lease.confirm(Version(view.version), started)
        self.failing = False

    def on_read_failed(self, now: float) -> None:
        """Vouch that the object API is out of reach."""
        self.failing = True
        self.digests.vouch(now)

    def on_view(
        self, view: View, targets: Iterable[Target], now: float
    ) -> bool:
        """Take in a view from anywhere; return whether it is a later one."""
        if view.version <= self.version:
            return False
        self.digests.hold(Version(view.version), now)
        self.ownership.on_view(view, targets, now)
        self.digests.keep(_incarnations(view))
        return True

    def on_targets(self, targets: Iterable[Target], now: float) -> None:
        """Take in a change of the targets."""
        if self.view is not None:
            self.ownership.on_view(self.view, targets, now)

    def on_digests(
        self,
        digests: Iterable[MemberDigest],
        *,
        received_at: float,
        asked_at: float | None,
    ) -> None:
        """Take in a peer's digests; `asked_at` is given for those of replies."""
        self.digests.merge(digests, received_at=received_at, asked_at=asked_at)

    def on_confirmation(
        self, confirmation: Confirmation, asked_at: float
    ) -> bool:
        """Take in a relayed read; return whether it is a fresh one."""
        age = confirmation.age_ms / MS_PER_SECOND
        started = asked_at - age * (1 + self.times.clock_drift)
        version = Version(confirmation.view_version)
        self.lease.confirm(version, started)
        fresh = age < self.times.lease_s / 2
        if fresh and version >= self.version:
            self.failing = False
        return fresh

    def confirmation(self, now: float) -> Confirmation | None:
        """Return the latest confirmation for a peer that asked by probe."""
        age = now - self.lease.confirmed_at
        if age > self.times.lease_s:
            return None
        return Confirmation(
            view_version=self.lease.confirmed_version,
            age_ms=age_to_ms(age),
        )

    def outgoing(
        self, now: float, limit: int = DIGESTS_PER_MESSAGE
    ) -> list[MemberDigest]:
        """Return the digests of a message."""
        return self.digests.outgoing(now=now, limit=limit)

    def tick(self, now: float) -> None:
        """Extend the lease where it may be; start targets that are due."""
        if self.view is None:
            return
        silence = now - self.lease.confirmed_at
        if silence > self.times.lease_s * VOUCH_AFTER:
            self.failing = True
        if self.failing:
            self.digests.vouch(now)
            self._extend(self.view)
        if not self.ownership.due(now):
            return
        unsettled = first_unsettled(
            self.view, settled=self.settled(self.view, now)
        )
        self.ownership.start_due(unsettled, now)

    def settled(self, view: View, now: float) -> IsSettled:
        """Return the test whether an earlier view's leases are all over."""
        self.settled_views.intersection_update(
            earlier.version for earlier in view.unsettled
        )
        is_gone: IsGoneMember | None = None

        def test(earlier: EarlierView) -> bool:
            """Whether an earlier view is settled."""
            nonlocal is_gone
            if earlier.version in self.settled_views:
                return True
            is_gone = is_gone or self.gone(now)
            settled = is_settled(
                earlier,
                table=self.digests,
                times=self.times,
                is_gone=is_gone,
                now=now,
            )
            if settled:
                self.settled_views.add(earlier.version)
            return settled

        return test

    def gone(self, now: float) -> IsGoneMember:
        """Return the test whether a member's process has ended."""
        return gone_members(self.view or View(), is_gone=self.is_gone, now=now)

    def owner(self, target: Target) -> Member | None:
        """Return the owner of a target under the latest view known."""
        return self.ownership.table.owner(
            TargetId(target.id), FailureDomain(target.failure_domain)
        )

    def may_send(self, target: TargetId, now: float) -> bool:
        """Whether a request may be written to a target at this moment."""
        return self.ownership.may_send(target, now)

    def _extend(self, view: View) -> None:
        """Extend the lease by the vouches known."""
        until = extension_until(view=view, table=self.digests, times=self.times)
        if until is not None:
            self.lease.extend(Version(view.version), until)


def _incarnations(view: View) -> set[int]:
    """Return all incarnations that a view still needs to know of."""
    return {member.incarnation for member in view.members}.union(
        *(earlier.incarnations for earlier in view.unsettled)
    )
