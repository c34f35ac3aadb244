"""State and decisions of a member, without I/O."""

from collections.abc import Iterable

from bitternturn.core.ids import (
    FailureDomain,
    Incarnation,
    TargetId,
    Version,
)
from bitternturn.membership.const import (
    MAX_DIGESTS_PER_MESSAGE,
    VOTE_AFTER_LEASE_SHARE,
)
from bitternturn.membership.digests import DigestTable, age_to_ms
from bitternturn.membership.lease import Lease
from bitternturn.membership.models import IsGone, MembershipTimes, never_gone
from bitternturn.membership.quorum import (
    IsGoneMember,
    first_unsettled,
    is_settled,
    lease_extension_end,
    make_gone_check,
)
from bitternturn.membership.target_ownership import TargetOwnership
from bitternturn.membership.view import IsSettled, find_member
from bitternturn.schema.config_pb2 import Target
from bitternturn.schema.membership_pb2 import EarlierView, Member, View
from bitternturn.schema.peers_pb2 import Confirmation, MemberDigest

MS_PER_SECOND = 1000


class MemberState:
    """View, lease and target ownership of one incarnation.

    All times are seconds on the instance's own monotonic clock. Each `now`
    must be read after the corresponding message or reply has arrived.
    """

    def __init__(
        self,
        *,
        me: Incarnation,
        times: MembershipTimes,
        is_gone: IsGone = never_gone,
    ) -> None:
        """Initialise without a view."""
        self.me = me
        self.times = times
        self.is_gone = is_gone
        self.lease = Lease(lease_s=times.lease_s)
        self.digests = DigestTable(me=me, times=times)
        self.ownership = TargetOwnership(me=me, lease=self.lease, times=times)
        # Versions of earlier views that are settled: no lease under them can
        # be extended again.
        self.settled_views: set[int] = set()
        # Whether the latest attempt at a confirmation failed or is overdue.
        self.confirmation_failing = False

    @property
    def view(self) -> View | None:
        """The latest view known."""
        return self.ownership.view

    @property
    def version(self) -> Version:
        """Version of the latest view known, zero without one."""
        return Version(0 if self.view is None else self.view.version)

    @property
    def own_entry(self) -> Member | None:
        """The entry of this member in the view, None if there is none."""
        return None if self.view is None else find_member(self.view, self.me)

    def apply_read(
        self,
        view: View,
        started_at: float,
        targets: Iterable[Target],
        now: float,
    ) -> None:
        """Apply a view whose read began at `started_at`; renew the lease."""
        self.apply_view(view, targets, now)
        self.lease.confirm(Version(view.version), started_at)
        self.confirmation_failing = False

    def record_read_failure(self, now: float) -> None:
        """Record a vote, since the object API is out of reach."""
        self.confirmation_failing = True
        self.digests.record_own_vote(now)

    def apply_view(
        self, view: View, targets: Iterable[Target], now: float
    ) -> bool:
        """Apply a view from any source; return whether it is a later one."""
        if view.version <= self.version:
            return False
        self.digests.record_own_version(Version(view.version), now)
        self.ownership.apply_view(view, targets, now)
        self.digests.retain(_incarnations(view))
        return True

    def update_targets(self, targets: Iterable[Target], now: float) -> None:
        """Apply a change of the configured targets."""
        if self.view is not None:
            self.ownership.apply_view(self.view, targets, now)

    def merge_digests(
        self,
        digests: Iterable[MemberDigest],
        *,
        received_at: float,
        requested_at: float | None,
    ) -> None:
        """Merge a peer's digests; only replies have a `requested_at`."""
        self.digests.merge(
            digests, received_at=received_at, requested_at=requested_at
        )

    def apply_confirmation(
        self, confirmation: Confirmation, requested_at: float
    ) -> bool:
        """Apply a confirmation of a peer; return whether it is recent."""
        age_s = confirmation.age_ms / MS_PER_SECOND
        started_at = requested_at - age_s * (1 + self.times.clock_drift)
        version = Version(confirmation.view_version)
        self.lease.confirm(version, started_at)
        recent = age_s < self.times.lease_s / 2
        if recent and version >= self.version:
            self.confirmation_failing = False
        return recent

    def confirmation(self, now: float) -> Confirmation | None:
        """Return the latest confirmation, to be sent in a probe reply."""
        age_s = now - self.lease.confirmed_at
        if age_s > self.times.lease_s:
            return None
        return Confirmation(
            view_version=self.lease.confirmed_version,
            age_ms=age_to_ms(age_s),
        )

    def outgoing_digests(
        self, now: float, limit: int = MAX_DIGESTS_PER_MESSAGE
    ) -> list[MemberDigest]:
        """Return the digests for a message."""
        return self.digests.outgoing_digests(now=now, limit=limit)

    def tick(self, now: float) -> None:
        """Extend the lease by votes if possible; start due targets."""
        if self.view is None:
            return
        unconfirmed_s = now - self.lease.confirmed_at
        if unconfirmed_s > self.times.lease_s * VOTE_AFTER_LEASE_SHARE:
            self.confirmation_failing = True
        if self.confirmation_failing:
            self.digests.record_own_vote(now)
            self._extend_lease(self.view)
        if not self.ownership.due_to_start(now):
            return
        unsettled = first_unsettled(
            self.view, settled=self.make_settled_check(self.view, now)
        )
        self.ownership.start_due(unsettled, now)

    def make_settled_check(self, view: View, now: float) -> IsSettled:
        """Return a predicate that tells whether an earlier view is settled."""
        self.settled_views.intersection_update(
            earlier.version for earlier in view.unsettled
        )
        is_gone: IsGoneMember | None = None

        def check_settled(earlier: EarlierView) -> bool:
            """Whether an earlier view is settled, from the cache if known."""
            nonlocal is_gone
            if earlier.version in self.settled_views:
                return True
            is_gone = is_gone or self.make_gone_check(now)
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

        return check_settled

    def make_gone_check(self, now: float) -> IsGoneMember:
        """Return a predicate that tells whether a member's process ended."""
        return make_gone_check(
            self.view or View(), is_gone=self.is_gone, now=now
        )

    def owner(self, target: Target) -> Member | None:
        """Return the owner of a target under the latest view known."""
        return self.ownership.table.owner(
            TargetId(target.id), FailureDomain(target.failure_domain)
        )

    def may_send(self, target: TargetId, now: float) -> bool:
        """Whether a request may be written to a target at this moment."""
        return self.ownership.may_send(target, now)

    def _extend_lease(self, view: View) -> None:
        """Extend the lease by the known votes, if they are enough."""
        until = lease_extension_end(
            view=view, table=self.digests, times=self.times
        )
        if until is not None:
            self.lease.extend(Version(view.version), until)


def _incarnations(view: View) -> set[int]:
    """Return the incarnations of members and of unsettled views."""
    return {member.incarnation for member in view.members}.union(
        *(earlier.incarnations for earlier in view.unsettled)
    )
