"""What targets have announced about the requests that they want."""

from collections.abc import Iterable
from typing import Final

from bitternturn.core.ids import TargetId
from bitternturn.gateway.models import TargetLife
from bitternturn.gateway.rate_limits import RateLimit

# Time after which the announcement of a target without an entry is forgotten.
# It outlasts every copy from which an old entry may come back.
ANNOUNCEMENT_MEMORY_S: Final = 600.0


class Announcement:
    """What one life of a target has announced."""

    __slots__ = (
        'announced_at',
        'leaving',
        'paused_until',
        'rate_limit',
        'unread',
    )

    def __init__(self) -> None:
        """Initialise as a target that wants requests."""
        self.leaving = False
        self.announced_at: float = 0
        # Until when the target wants no requests.
        self.paused_until: float = 0
        # Whether it has asked for a pause of an unreadable length.
        self.unread = False
        self.rate_limit = RateLimit()

    def announce_leaving(self, now: float) -> bool:
        """Record that the target leaves; return whether this is new."""
        is_new = not self.leaving
        self.leaving = True
        self.announced_at = now
        return is_new

    def announce_pause(self, until: float, now: float) -> None:
        """Record that the target wants no requests until a time."""
        self.paused_until = max(self.paused_until, until)
        self.announced_at = now

    def allows_send(self, now: float) -> bool:
        """Return whether the target wants requests."""
        return not self.leaving and now >= self.paused_until


class Announcements:
    """Announcements by life of a target.

    They outlast the entry: an outdated list, reader or store may bring back
    the entry of a target that has left.
    """

    def __init__(self) -> None:
        """Initialise without announcements."""
        self.by_life: dict[TargetLife, Announcement] = {}
        # Lives without an entry.
        self.unlisted: set[TargetLife] = set()
        # End of the last pause that a target has asked for.
        self.pauses_end_at: float = 0
        # Targets that may leave or want no requests.
        self.sources: set[TargetId] = set()

    def get(self, life: TargetLife) -> Announcement:
        """Return the announcement of a listed life, created at its first use."""
        self.unlisted.discard(life)
        return self.by_life.setdefault(life, Announcement())

    def announce_pause(
        self, announcement: Announcement, until: float, now: float
    ) -> None:
        """Record that a target wants no requests until a time."""
        announcement.announce_pause(until, now)
        self.pauses_end_at = max(self.pauses_end_at, until)

    def forget_old(self, gone: Iterable[TargetLife], now: float) -> None:
        """Forget lives without an entry that have announced nothing lately.

        `gone` are those whose entries were removed or replaced.
        """
        self.unlisted.update(gone)
        for life in list(self.unlisted):
            announcement = self.by_life[life]
            forgotten_at = max(
                announcement.paused_until,
                announcement.announced_at + ANNOUNCEMENT_MEMORY_S,
            )
            holds = announcement.announced_at and now < forgotten_at
            if not holds:
                del self.by_life[life]
                self.unlisted.remove(life)
