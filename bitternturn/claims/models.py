"""Interfaces that claims need from other packages."""

from typing import Protocol

from bitternturn.core.ids import Version
from bitternturn.platform.models import StoredObject
from bitternturn.schema.peers_pb2 import ClaimReply, ClaimRequest


class ObjectStore(Protocol):
    """Calls of the object API that a coordinator makes."""

    async def async_get(self, kind: str, name: str) -> StoredObject | None:
        """Return the current version of an object, or None."""

    async def async_put(
        self,
        *,
        kind: str,
        name: str,
        value: bytes,
        if_version: Version,
    ) -> Version:
        """Write an object if its current version is `if_version`."""


class ClaimPeer(Protocol):
    """A link to the instance that coordinates a bucket."""

    async def async_claim(self, request: ClaimRequest) -> ClaimReply:
        """Call the coordinator; raises PEER_UNREACHABLE."""
