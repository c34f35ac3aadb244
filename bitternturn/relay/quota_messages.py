"""Messages between instances about the quotas of tenants."""

import asyncio
from collections.abc import Callable, Mapping, Sequence

from bitternturn.core.clock import MS_PER_SECOND, Clock
from bitternturn.gateway.quotas import (
    QuotaAsk,
    QuotaMessages,
    QuotaReply,
    Quotas,
    ReplyHandler,
)
from bitternturn.policy.quota import MAX_LIFETIME_S, Grant
from bitternturn.relay.peer import Peer, PeerFailure
from bitternturn.schema import relay_pb2
from bitternturn.schema.relay_pb2 import Frame


class PeerQuotaMessages(QuotaMessages):
    """Sends messages about quotas to peers."""

    def __init__(
        self, *, find_peers: Callable[[], Mapping[str, Peer]], now: Clock
    ) -> None:
        """Initialise with a way to find the peers by name."""
        self.find_peers = find_peers
        self.now = now

    def ask(self, name: str, ask: QuotaAsk, on_reply: ReplyHandler) -> None:
        """Ask a peer; an old build does not answer."""
        peer = self.find_peers().get(name)
        # A peer that is connected answers also if it is avoided for sends.
        reachable = peer is not None and (
            peer.connection is not None or peer.is_available(self.now())
        )
        if peer is None or not reachable:
            on_reply(None)
            return
        frame = Frame(
            quota_ask=relay_pb2.QuotaAsk(
                tenant=ask.tenant,
                count=ask.count,
                extra=ask.extra,
                holder=ask.holder,
            )
        )

        def handle(reply: Frame | PeerFailure) -> None:
            """Decode the reply."""
            peer.drop_handler(number)
            if isinstance(reply, Frame) and reply.HasField('quota_grant'):
                on_reply(_decode_reply(reply))
            else:
                on_reply(None)

        number = peer.send_request(lambda: frame, handle)
        # Permits of a later reply are void.
        asyncio.get_running_loop().call_later(
            MAX_LIFETIME_S, peer.drop_handler, number
        )

    def hand_back(self, name: str, tenant: str, ids: Sequence[int]) -> None:
        """Hand back permits, if the peer is connected."""
        peer = self.find_peers().get(name)
        if peer is None or peer.connection is None:
            return
        returned = relay_pb2.QuotaReturn(tenant=tenant, ids=ids)
        peer.send_followup(0, Frame(quota_return=returned))


def handle_quota_frame(quotas: Quotas, frame: Frame) -> Frame | None:
    """Handle a message of a peer if it is about quotas; return the reply."""
    if frame.HasField('quota_return'):
        returned = frame.quota_return
        quotas.take_back(returned.tenant, returned.ids)
    if not frame.HasField('quota_ask'):
        return None
    ask = frame.quota_ask
    reply = quotas.answer(
        QuotaAsk(
            tenant=ask.tenant,
            count=ask.count,
            extra=ask.extra,
            holder=ask.holder,
        )
    )
    if reply is None:
        return None
    return Frame(
        number=frame.number,
        quota_grant=relay_pb2.QuotaGrant(
            ids=reply.grant.ids,
            lifetime_ms=reply.grant.lifetime_s * MS_PER_SECOND,
            wait_ms=reply.grant.wait_s * MS_PER_SECOND,
            holds=reply.grant.holds,
            tokens=reply.tokens,
        ),
    )


def _decode_reply(frame: Frame) -> QuotaReply:
    """Return what a peer has granted."""
    granted = frame.quota_grant
    return QuotaReply(
        grant=Grant(
            ids=list(granted.ids),
            lifetime_s=min(MAX_LIFETIME_S, granted.lifetime_ms / MS_PER_SECOND),
            wait_s=max(0, granted.wait_ms) / MS_PER_SECOND,
            holds=granted.holds,
        ),
        tokens=granted.tokens if granted.HasField('tokens') else None,
    )
