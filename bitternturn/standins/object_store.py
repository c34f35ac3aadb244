"""The state behind the object API: objects, versions and the write log."""

import asyncio

from bitternturn.core.ids import Version
from bitternturn.platform.models import ObjectList, StoredObject


class ObjectStore:
    """Objects with versions that grow with every write of any object."""

    def __init__(self, *, watch_log: int) -> None:
        """Start empty; a watch may start within the last commits."""
        self.watch_log = watch_log
        self.version = Version(0)
        self.objects: dict[tuple[str, str], StoredObject] = {}
        # Every committed version, for checks.
        self.commits: list[StoredObject] = []
        self.forgotten = Version(0)
        self._changed = asyncio.Event()

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object as it stands."""
        return self.objects.get((kind, name))

    def list_kind(self, kind: str) -> ObjectList:
        """Return all objects of a kind."""
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
        """Commit a write."""
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
        """Commit a deletion."""
        self.objects.pop((kind, name))
        return self._commit(
            StoredObject(
                kind=kind,
                name=name,
                version=Version(self.version + 1),
                deleted=True,
            ),
        )

    def since(self, kind: str, version: Version) -> list[StoredObject]:
        """Return the commits of a kind after a version."""
        # Versions count commits, so a version is also an offset.
        return [
            stored for stored in self.commits[version:] if stored.kind == kind
        ]

    def is_gone(self, version: Version) -> bool:
        """Return whether a watch can't start from a version any more."""
        return version < max(self.forgotten, self.version - self.watch_log)

    def forget(self) -> None:
        """Let no watch start before the present version."""
        self.forgotten = self.version

    def wake(self) -> None:
        """Wake everyone who waits for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def async_wait(self, timeout_s: float) -> bool:
        """Wait for a change; return False when none came in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def _commit(self, stored: StoredObject) -> Version:
        """Log a commit."""
        self.version = stored.version
        self.commits.append(stored)
        self.wake()
        return self.version
