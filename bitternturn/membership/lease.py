"""Lease of a member: confirmations by reading, extended by vouches."""

from bitternturn.core.ids import Version
from bitternturn.membership.const import LEASE_VERSIONS


class Lease:
    """Ends of the lease by the view version that each rests on."""

    def __init__(self, *, lease_s: float) -> None:
        """Start without a lease; `lease_s` in seconds."""
        self.lease_s = lease_s
        self.ends: dict[Version, float] = {}
        # Version and start time of the latest confirmation.
        self.confirmed_version = Version(0)
        self.confirmed_at = float('-inf')

    def confirm(self, version: Version, started: float) -> None:
        """Note a read of the view that began at `started` on this clock."""
        self._raise_end(version, started + self.lease_s)
        if (version, started) > (self.confirmed_version, self.confirmed_at):
            self.confirmed_version = version
            self.confirmed_at = started

    def extend(self, version: Version, until: float) -> None:
        """Extend the lease of exactly one version by vouches."""
        self._raise_end(version, until)

    def valid_until(self, since: Version, last: Version | None = None) -> float:
        """Return the end of the lease under the versions since..last."""
        return max(
            (
                end
                for version, end in self.ends.items()
                if version >= since and (last is None or version <= last)
            ),
            default=float('-inf'),
        )

    def _raise_end(self, version: Version, until: float) -> None:
        """Put off the end of a version's lease."""
        self.ends[version] = max(until, self.ends.get(version, until))
        if len(self.ends) > LEASE_VERSIONS:
            self.ends.pop(min(self.ends))
