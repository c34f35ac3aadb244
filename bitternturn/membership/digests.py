"""What members say of themselves, as known here, with ages on the safe side."""

import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Self

from bitternturn.core.ids import Incarnation, Version
from bitternturn.membership.const import DIGEST_SENDS, KNOWN_DIGESTS
from bitternturn.membership.models import MembershipTimes
from bitternturn.schema.peers_pb2 import MemberDigest

MS_PER_SECOND = 1000


@dataclass(kw_only=True)
class DigestEntry:
    """The latest known of one member; times are on this instance's clock."""

    view_version: Version
    # When this instance learnt of the version: the member held it by then.
    learnt_at: float
    # Whether no vouch under an earlier version can extend a lease.
    clear: bool = False
    # The member vouched under `view_version` at this time or later.
    vouched_at: float | None = None
    # Messages sent since the entry changed.
    sent: int = 0


class DigestTable:
    """Digests of all members, merged by freshness."""

    def __init__(self, *, me: Incarnation, times: MembershipTimes) -> None:
        """Start with nothing known."""
        self.me = me
        self.times = times
        self.entries: dict[Incarnation, DigestEntry] = {}
        # When this instance first saw that a member's process had ended.
        self.gone_at: dict[Incarnation, float] = {}
        # Last vouch of this instance, and under which version.
        self.own_vouch_at = float('-inf')
        self.own_clear_at = float('-inf')

    def hold(self, version: Version, now: float) -> None:
        """Note that this instance holds a view; it never holds an earlier."""
        entry = self.entries.get(self.me)
        if entry is not None and entry.view_version >= version:
            return
        self.own_clear_at = self.own_vouch_at + self.times.vouch_wait_s
        self.entries[self.me] = DigestEntry(
            view_version=version,
            learnt_at=now,
            clear=now >= self.own_clear_at,
        )

    def vouch(self, now: float) -> None:
        """Vouch under the version held that the store is out of reach."""
        entry = self.entries.get(self.me)
        if entry is None:
            return
        self.own_vouch_at = now
        entry.vouched_at = now
        entry.sent = 0

    def merge(
        self,
        digests: Iterable[MemberDigest],
        *,
        received_at: float,
        asked_at: float | None,
    ) -> None:
        """Take in digests of a peer.

        Vouches count only from a reply: its age is bounded by the time
        `asked_at` of the request. A request may have been under way for long.
        """
        for digest in digests:
            if digest.incarnation != self.me:
                self._merge_one(digest, received_at, asked_at)

    def outgoing(self, *, now: float, limit: int) -> list[MemberDigest]:
        """Return this member's digest and those sent least often.

        Digests that were sent often enough make up few of them.
        """
        own = self.entries.get(self.me)
        if own is None:
            return []
        own.clear = own.clear or now >= self.own_clear_at
        others = heapq.nsmallest(
            limit - 1,
            (key for key in self.entries if key != self.me),
            key=lambda key: self.entries[key].sent,
        )
        # What everyone has heard costs bytes only; some go on being sent, in
        # case a member missed them.
        chosen = [
            key
            for place, key in enumerate(others)
            if place < KNOWN_DIGESTS or self.entries[key].sent < DIGEST_SENDS
        ]
        return [self._digest(key, now) for key in (self.me, *chosen)]

    def inherit(self, earlier: Self) -> None:
        """Take over what an earlier incarnation of this process knew."""
        self.entries.update(earlier.entries)
        self.entries.pop(earlier.me, None)
        self.gone_at.update(earlier.gone_at)

    def keep(self, incarnations: set[int]) -> None:
        """Forget members that no listed view knows."""
        for key in list(self.entries):
            if key not in incarnations and key != self.me:
                self.entries.pop(key)
        for key in self.gone_at.keys() - incarnations:
            self.gone_at.pop(key)

    def vouches_gone(
        self, member: Incarnation, *, gone: bool, now: float
    ) -> bool:
        """Whether a member has been gone until its vouches expired."""
        if not gone:
            self.gone_at.pop(member, None)
            return False
        gone_at = self.gone_at.setdefault(member, now)
        return now >= gone_at + self.times.vouch_wait_s

    def _merge_one(
        self,
        digest: MemberDigest,
        received_at: float,
        asked_at: float | None,
    ) -> None:
        """Take in one digest."""
        key = Incarnation(digest.incarnation)
        entry = self.entries.get(key)
        if entry is None or digest.view_version > entry.view_version:
            entry = DigestEntry(
                view_version=Version(digest.view_version),
                learnt_at=received_at,
            )
            self.entries[key] = entry
        if digest.view_version < entry.view_version:
            return
        if digest.clear and not entry.clear:
            entry.clear = True
            entry.sent = 0
        if asked_at is not None and digest.HasField('vouch_age_ms'):
            self._take_vouch(entry, digest.vouch_age_ms, asked_at)

    def _take_vouch(
        self, entry: DigestEntry, age_ms: int, asked_at: float
    ) -> None:
        """Raise the time of a member's vouch."""
        age = age_ms / MS_PER_SECOND * (1 + self.times.clock_drift)
        vouched_at = asked_at - age
        if entry.vouched_at is None or vouched_at > entry.vouched_at:
            entry.vouched_at = vouched_at
            entry.sent = 0

    def _digest(self, key: Incarnation, now: float) -> MemberDigest:
        """Return the message of an entry."""
        entry = self.entries[key]
        entry.sent += 1
        digest = MemberDigest(
            incarnation=key,
            view_version=entry.view_version,
            clear=entry.clear,
        )
        if entry.vouched_at is not None:
            age = now - entry.vouched_at
            if age < self.times.vouch_s:
                digest.vouch_age_ms = age_to_ms(age)
        return digest


def age_to_ms(age_s: float) -> int:
    """Return an age in whole milliseconds, rounded up."""
    return max(0, math.ceil(age_s * MS_PER_SECOND))
