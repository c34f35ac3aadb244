"""Lease of a member: renewed by reads of the view, extended by votes."""

from bitternturn.core.ids import Version
from bitternturn.membership.const import MAX_LEASE_VERSIONS


class Lease:
    """Expiry times of the lease, one for each view version."""

    def __init__(self, *, lease_s: float) -> None:
        """Initialise without a lease; `lease_s` is its duration."""
        self.lease_s = lease_s
        self.end_by_version: dict[Version, float] = {}
        # Version and start of the read of the latest confirmation.
        self.confirmed_version = Version(0)
        self.confirmed_at = float('-inf')

    def confirm(self, version: Version, started_at: float) -> None:
        """Renew the lease by a read of the view that began at `started_at`."""
        self._extend_end(version, started_at + self.lease_s)
        if (version, started_at) > (self.confirmed_version, self.confirmed_at):
            self.confirmed_version = version
            self.confirmed_at = started_at

    def extend(self, version: Version, ends_at: float) -> None:
        """Extend the lease of exactly one version by votes."""
        self._extend_end(version, ends_at)

    def valid_until(
        self, first_version: Version, last_version: Version | None = None
    ) -> float:
        """Return the latest expiry under the versions first..last."""
        return max(
            (
                end
                for version, end in self.end_by_version.items()
                if version >= first_version
                and (last_version is None or version <= last_version)
            ),
            default=float('-inf'),
        )

    def _extend_end(self, version: Version, ends_at: float) -> None:
        """Raise the expiry of a version's lease; limit the versions kept."""
        self.end_by_version[version] = max(
            ends_at, self.end_by_version.get(version, ends_at)
        )
        if len(self.end_by_version) > MAX_LEASE_VERSIONS:
            self.end_by_version.pop(min(self.end_by_version))
