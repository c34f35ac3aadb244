"""Probes of other members and the processing of their replies."""

import asyncio
import random

from bitternturn.core.clock import Clock
from bitternturn.core.errors import BitternturnError
from bitternturn.core.ids import FailureDomain, Incarnation, TargetId
from bitternturn.membership.const import (
    INDIRECT_PROBES,
    MAX_DOMAIN_PROBES,
    REACHABILITY_SAMPLE_SIZE,
    READER_KEY,
    READERS_PER_DOMAIN,
    REJOIN_PEERS_TIMEOUT_S,
    REJOIN_PROBE_INTERVAL_S,
)
from bitternturn.membership.detector import FailureDetector
from bitternturn.membership.models import Links
from bitternturn.membership.ownership import members_by_rank
from bitternturn.membership.state import MemberState
from bitternturn.membership.view import find_member
from bitternturn.schema.membership_pb2 import Member, View
from bitternturn.schema.peers_pb2 import (
    Hello,
    ProbeReply,
    ProbeRequest,
    Versions,
)


class Prober:
    """Probes members directly and indirectly, through other members."""

    def __init__(
        self,
        *,
        state: MemberState,
        links: Links,
        now: Clock,
        rng: random.Random,
    ) -> None:
        """Initialise without suspicions."""
        self.state = state
        self.links = links
        self.now = now
        self.rng = rng
        self.detector = FailureDetector(me=state.me, times=state.times, rng=rng)

    async def async_probe(
        self, member: Member, relay_to: str = ''
    ) -> ProbeReply | None:
        """Probe a member and merge its digests; return None on failure.

        A reply of another incarnation at the same address is a failure.
        """
        requested_at = self.now()
        timeout_s = self.state.times.probe_timeout_s
        if relay_to:
            timeout_s += timeout_s
        request = self._make_request(requested_at, relay_to)
        link = self.links(member.peer_host, member.peer_port)
        try:
            async with asyncio.timeout(timeout_s):
                reply = await link.async_probe(request)
        except (BitternturnError, TimeoutError):
            return None
        if reply.hello.incarnation != member.incarnation:
            return None
        self._apply_reply(reply, requested_at)
        return reply

    async def async_check_member(self, member: Member) -> bool:
        """Probe a member, indirectly as a fallback; suspect it on failure."""
        incarnation = Incarnation(member.incarnation)
        requested_at = self.now()
        if await self.async_probe(member) is not None:
            self.detector.record_alive(incarnation)
            return True
        self.detector.record_unanswered(incarnation, requested_at)
        if self.detector.is_isolated():
            # Indirect probes would fail too while this instance is isolated.
            return False
        if not await self._async_probe_indirectly(member):
            return False
        self.detector.record_alive(incarnation)
        return True

    async def async_reaches_half_of_sample(self) -> bool:
        """Whether half of a sample of the unsuspected members answer."""
        view = self.state.view or View()
        others = [
            member
            for member in view.members
            if member.incarnation not in self.detector.suspicions
            and member.incarnation != self.state.me
        ]
        sample = self.rng.sample(
            others, min(REACHABILITY_SAMPLE_SIZE, len(others))
        )
        if not sample:
            return not self.detector.is_isolated()
        replies = await asyncio.gather(*map(self.async_probe, sample))
        answered = sum(reply is not None for reply in replies)
        return answered * 2 >= len(sample)

    async def async_wait_for_peers(self) -> None:
        """Wait for reachable peers, at most for the rejoin timeout.

        Joining again while isolated would move targets without need.
        """
        deadline = self.now() + REJOIN_PEERS_TIMEOUT_S
        while self.now() < deadline:
            if await self.async_reaches_half_of_sample():
                return
            await asyncio.sleep(REJOIN_PROBE_INTERVAL_S)

    async def async_request_confirmation(self, readers: list[Member]) -> bool:
        """Request a confirmation from the readers; whether one was recent.

        The random order spreads the members of a large failure domain evenly
        over its readers.
        """
        for reader in self.rng.sample(readers, len(readers)):
            requested_at = self.now()
            reply = await self.async_probe(reader)
            if reply is None or not reply.HasField('confirmation'):
                continue
            if self.state.apply_confirmation(reply.confirmation, requested_at):
                return True
        return False

    async def async_answer_probe(self, request: ProbeRequest) -> ProbeReply:
        """Answer a probe; relay it first if the request asks for that."""
        received_at = self.now()
        self.detector.record_alive(Incarnation(request.hello.incarnation))
        self.state.merge_digests(
            request.digests, received_at=received_at, requested_at=None
        )
        alive = False
        if request.relay_to:
            alive = await self._async_relay_probe(request.relay_to)
        now = self.now()
        return ProbeReply(
            hello=self._hello(),
            versions=Versions(view=self.state.version),
            digests=self.state.outgoing_digests(now),
            confirmation=self.state.confirmation(now),
            relayed_alive=alive,
        )

    def domain_peers_to_probe(self) -> list[Incarnation]:
        """Return a sample of members in the suspects' failure domains.

        The whole domain may have failed, so they are probed ahead of their
        turn.
        """
        suspects = self.detector.suspicions
        view = self.state.view or View()
        domains = {
            member.failure_domain
            for member in view.members
            if member.incarnation in suspects
        }
        others = [
            Incarnation(member.incarnation)
            for member in view.members
            if member.failure_domain in domains
            and member.incarnation not in suspects
            and member.incarnation != self.state.me
        ]
        return self.rng.sample(others, min(len(others), MAX_DOMAIN_PROBES))

    async def _async_relay_probe(self, instance_id: str) -> bool:
        """Probe a member by its instance id on behalf of a peer."""
        view = self.state.view or View()
        for member in view.members:
            if member.instance_id == instance_id:
                return await self.async_probe(member) is not None
        return False

    async def _async_probe_indirectly(self, member: Member) -> bool:
        """Probe a member through others; whether one of them reached it."""
        relays = self.detector.pick_relays(
            Incarnation(member.incarnation), INDIRECT_PROBES
        )
        view = self.state.view or View()
        replies = await asyncio.gather(
            *(
                self.async_probe(relay, relay_to=member.instance_id)
                for key in relays
                if (relay := find_member(view, key)) is not None
            )
        )
        return any(
            reply is not None and reply.relayed_alive for reply in replies
        )

    def _make_request(self, now: float, relay_to: str) -> ProbeRequest:
        """Return a probe request, with digests."""
        return ProbeRequest(
            hello=self._hello(),
            versions=Versions(view=self.state.version),
            digests=self.state.outgoing_digests(now),
            relay_to=relay_to,
        )

    def _hello(self) -> Hello:
        """Return the incarnation; the link adds the other fields."""
        return Hello(incarnation=self.state.me)

    def _apply_reply(self, reply: ProbeReply, requested_at: float) -> None:
        """Merge the digests of a reply."""
        self.state.merge_digests(
            reply.digests, received_at=self.now(), requested_at=requested_at
        )


def domain_readers(view: View, failure_domain: str) -> list[Member]:
    """Return the members of a failure domain that read the view for it."""
    order = members_by_rank(
        target_id=TargetId(READER_KEY),
        failure_domain=FailureDomain(failure_domain),
        members=view.members,
    )
    return [
        member for member in order if member.failure_domain == failure_domain
    ][:READERS_PER_DOMAIN]
