"""Digests of members: view versions and votes to extend leases.

A member votes for an extension while the object API is out of its reach.
Messages carry the age of a vote as `vouch_age_ms`. Ages are rounded up, so
that a receiver never counts a vote for longer than it is valid.
"""

import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Self

from bitternturn.core.ids import Incarnation, Version
from bitternturn.membership.const import (
    DIGEST_TRANSMIT_LIMIT,
    MAX_REPEATED_DIGESTS,
)
from bitternturn.membership.models import MembershipTimes
from bitternturn.schema.peers_pb2 import MemberDigest

MS_PER_SECOND = 1000


@dataclass(kw_only=True)
class DigestEntry:
    """Latest known state of a member; times are on the local clock."""

    view_version: Version
    # Local time by which the member held the version.
    version_seen_at: float
    # Whether all votes of the member under earlier versions have expired.
    votes_expired: bool = False
    # Lower bound on the time of the latest vote under `view_version`.
    voted_at: float | None = None
    # Number of messages that have carried the entry since it changed.
    transmissions: int = 0


class DigestTable:
    """Latest digests of all members."""

    def __init__(self, *, me: Incarnation, times: MembershipTimes) -> None:
        """Initialise without entries."""
        self.me = me
        self.times = times
        self.entries: dict[Incarnation, DigestEntry] = {}
        # When this instance first found that a member's process had ended.
        self.gone_at: dict[Incarnation, float] = {}
        # Last vote of this instance, under any version, and when the votes
        # under earlier versions than the current one expire.
        self.own_vote_at = float('-inf')
        self.own_votes_expire_at = float('-inf')

    def record_own_version(self, version: Version, now: float) -> None:
        """Record the view version of this instance; ignore earlier ones."""
        entry = self.entries.get(self.me)
        if entry is not None and entry.view_version >= version:
            return
        self.own_votes_expire_at = (
            self.own_vote_at + self.times.vote_expiry_wait_s
        )
        self.entries[self.me] = DigestEntry(
            view_version=version,
            version_seen_at=now,
            votes_expired=now >= self.own_votes_expire_at,
        )

    def record_own_vote(self, now: float) -> None:
        """Record a vote of this instance under its current version."""
        entry = self.entries.get(self.me)
        if entry is None:
            return
        self.own_vote_at = now
        entry.voted_at = now
        entry.transmissions = 0

    def merge(
        self,
        digests: Iterable[MemberDigest],
        *,
        received_at: float,
        requested_at: float | None,
    ) -> None:
        """Merge digests of a peer.

        Votes count only from a reply, since the time `requested_at` of the
        request bounds their age. A request may have been delayed arbitrarily long.
        """
        for digest in digests:
            if digest.incarnation != self.me:
                self._merge_digest(digest, received_at, requested_at)

    def outgoing_digests(self, *, now: float, limit: int) -> list[MemberDigest]:
        """Return the own digest and those sent least often since they changed.

        At most `MAX_REPEATED_DIGESTS` of these have reached the transmit limit.
        """
        own = self.entries.get(self.me)
        if own is None:
            return []
        own.votes_expired = own.votes_expired or now >= self.own_votes_expire_at
        others = heapq.nsmallest(
            limit - 1,
            (key for key in self.entries if key != self.me),
            key=lambda key: self.entries[key].transmissions,
        )
        # Digests past the transmit limit are most likely known to everyone.
        # A few are still repeated, in case a member missed them.
        chosen = [
            key
            for place, key in enumerate(others)
            if place < MAX_REPEATED_DIGESTS
            or self.entries[key].transmissions < DIGEST_TRANSMIT_LIMIT
        ]
        return [self._to_message(key, now) for key in (self.me, *chosen)]

    def copy_from(self, earlier: Self) -> None:
        """Copy the entries that an earlier incarnation has collected."""
        self.entries.update(earlier.entries)
        self.entries.pop(earlier.me, None)
        self.gone_at.update(earlier.gone_at)

    def retain(self, incarnations: set[int]) -> None:
        """Drop all entries except the given ones and that of this member."""
        for key in list(self.entries):
            if key not in incarnations and key != self.me:
                self.entries.pop(key)
        for key in self.gone_at.keys() - incarnations:
            self.gone_at.pop(key)

    def gone_votes_expired(
        self, member: Incarnation, *, gone: bool, now: float
    ) -> bool:
        """Whether a member has been gone for as long as its votes last."""
        if not gone:
            self.gone_at.pop(member, None)
            return False
        gone_at = self.gone_at.setdefault(member, now)
        return now >= gone_at + self.times.vote_expiry_wait_s

    def _merge_digest(
        self,
        digest: MemberDigest,
        received_at: float,
        requested_at: float | None,
    ) -> None:
        """Merge one digest."""
        key = Incarnation(digest.incarnation)
        entry = self.entries.get(key)
        if entry is None or digest.view_version > entry.view_version:
            entry = DigestEntry(
                view_version=Version(digest.view_version),
                version_seen_at=received_at,
            )
            self.entries[key] = entry
        if digest.view_version < entry.view_version:
            return
        if digest.clear and not entry.votes_expired:
            entry.votes_expired = True
            entry.transmissions = 0
        if requested_at is not None and digest.HasField('vouch_age_ms'):
            self._record_vote(entry, digest.vouch_age_ms, requested_at)

    def _record_vote(
        self, entry: DigestEntry, age_ms: int, requested_at: float
    ) -> None:
        """Record a member's vote if it is later than the known one."""
        age_s = age_ms / MS_PER_SECOND * (1 + self.times.clock_drift)
        voted_at = requested_at - age_s
        if entry.voted_at is None or voted_at > entry.voted_at:
            entry.voted_at = voted_at
            entry.transmissions = 0

    def _to_message(self, key: Incarnation, now: float) -> MemberDigest:
        """Return the message for an entry and count the transmission."""
        entry = self.entries[key]
        entry.transmissions += 1
        digest = MemberDigest(
            incarnation=key,
            view_version=entry.view_version,
            clear=entry.votes_expired,
        )
        if entry.voted_at is not None:
            age_s = now - entry.voted_at
            if age_s < self.times.vote_lifetime_s:
                digest.vouch_age_ms = age_to_ms(age_s)
        return digest


def age_to_ms(age_s: float) -> int:
    """Return an age in whole milliseconds, rounded up."""
    return max(0, math.ceil(age_s * MS_PER_SECOND))
