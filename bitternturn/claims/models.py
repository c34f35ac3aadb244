"""What claims need from other parts."""

from typing import Protocol

from bitternturn.core.ids import Version
from bitternturn.platform.models import StoredObject
from bitternturn.schema.peers_pb2 import ClaimReply, ClaimRequest


class ObjectStore(Protocol):
    """The calls of the object API that a keeper makes."""

    async def async_get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object as it stands."""

    async def async_put(
        self,
        *,
        kind: str,
        name: str,
        value: bytes,
        if_version: Version,
    ) -> Version:
        """Write an object if its version is the given one."""


class ClaimPeer(Protocol):
    """A link to the instance that keeps a bucket."""

    async def async_claim(self, request: ClaimRequest) -> ClaimReply:
        """Ask the keeper; raises PEER_UNREACHABLE."""
