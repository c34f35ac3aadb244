"""State of the emulated object API: objects, versions and commit log."""

import asyncio

from bitternturn.core.ids import Version
from bitternturn.platform.models import ObjectList, StoredObject


class ObjectStore:
    """Keeps objects, with one version counter for all of them."""

    def __init__(self, *, watch_log_commits: int) -> None:
        """Initialise an empty store.

        A watch can start within the last `watch_log_commits` commits.
        """
        self.watch_log_commits = watch_log_commits
        self.version = Version(0)
        self.objects: dict[tuple[str, str], StoredObject] = {}
        # All commits, for watches and for checks by tests.
        self.commits: list[StoredObject] = []
        self.compacted_version = Version(0)
        self._changed = asyncio.Event()

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the current version of an object, if it exists."""
        return self.objects.get((kind, name))

    def list_kind(self, kind: str) -> ObjectList:
        """Return all objects of a kind and the current version."""
        return ObjectList(
            version=self.version,
            items=tuple(
                stored
                for stored in self.objects.values()
                if stored.kind == kind
            ),
        )

    def put(
        self,
        *,
        kind: str,
        name: str,
        value: bytes,
        token: str,
    ) -> Version:
        """Commit a write; return the new version."""
        stored = StoredObject(
            kind=kind,
            name=name,
            version=Version(self.version + 1),
            token=token,
            value=value,
        )
        self.objects[kind, name] = stored
        return self._commit(stored)

    def delete(self, kind: str, name: str) -> Version:
        """Commit a deletion; return the new version."""
        self.objects.pop((kind, name))
        return self._commit(
            StoredObject(
                kind=kind,
                name=name,
                version=Version(self.version + 1),
                deleted=True,
            ),
        )

    def commits_since(self, kind: str, version: Version) -> list[StoredObject]:
        """Return the commits of a kind after a version."""
        # Each commit increments the version, so a version is also an offset.
        return [
            stored for stored in self.commits[version:] if stored.kind == kind
        ]

    def is_compacted(self, version: Version) -> bool:
        """Return whether a version is too old for a watch to start from."""
        return version < max(
            self.compacted_version, self.version - self.watch_log_commits
        )

    def compact_history(self) -> None:
        """Reject new watches that start before the current version."""
        self.compacted_version = self.version

    def notify_waiters(self) -> None:
        """Wake all tasks that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def async_wait_for_change(self, timeout_s: float) -> bool:
        """Wait for a change; return False if the timeout expired."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def _commit(self, stored: StoredObject) -> Version:
        """Append a commit to the log and notify pending watches."""
        self.version = stored.version
        self.commits.append(stored)
        self.notify_waiters()
        return self.version
