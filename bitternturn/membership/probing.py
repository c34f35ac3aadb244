"""Probes of other members, and what their answers tell."""

import asyncio
import random

from bitternturn.core.clock import Clock
from bitternturn.core.errors import BitternturnError
from bitternturn.core.ids import FailureDomain, Incarnation, TargetId
from bitternturn.membership.const import (
    DOMAIN_PROBES,
    INDIRECT_PROBES,
    READER_KEY,
    READERS_PER_DOMAIN,
    REJOIN_CHECK_S,
    REJOIN_DELAY_LIMIT_S,
    SAMPLE_PROBES,
)
from bitternturn.membership.detector import Detector
from bitternturn.membership.models import Links
from bitternturn.membership.ownership import order_of
from bitternturn.membership.state import MemberState
from bitternturn.membership.view import member_of
from bitternturn.schema.membership_pb2 import Member, View
from bitternturn.schema.peers_pb2 import (
    Hello,
    ProbeReply,
    ProbeRequest,
    Versions,
)


class Prober:
    """Probes members directly and through others."""

    def __init__(
        self,
        *,
        state: MemberState,
        links: Links,
        now: Clock,
        rng: random.Random,
    ) -> None:
        """Start with no suspicion."""
        self.state = state
        self.links = links
        self.now = now
        self.rng = rng
        self.detector = Detector(me=state.me, times=state.times, rng=rng)

    async def async_probe(
        self, member: Member, relay_to: str = ''
    ) -> ProbeReply | None:
        """Probe a member and take in its digests; None without an answer.

        An answer of another process at the same address counts as none.
        """
        asked_at = self.now()
        timeout = self.state.times.probe_timeout_s
        if relay_to:
            timeout += timeout
        request = self._request(asked_at, relay_to)
        link = self.links(member.peer_host, member.peer_port)
        try:
            async with asyncio.timeout(timeout):
                reply = await link.async_probe(request)
        except (BitternturnError, TimeoutError):
            return None
        if reply.hello.incarnation != member.incarnation:
            return None
        self._take_in(reply, asked_at)
        return reply

    async def async_check(self, member: Member) -> bool:
        """Probe a member, through others if need be; suspect a silent one."""
        incarnation = Incarnation(member.incarnation)
        asked_at = self.now()
        if await self.async_probe(member) is not None:
            self.detector.on_alive(incarnation)
            return True
        self.detector.on_silent(incarnation, asked_at)
        if self.detector.cut_off():
            # Others are no help while nearly nobody is heard.
            return False
        if not await self._async_check_through_others(member):
            return False
        self.detector.on_alive(incarnation)
        return True

    async def async_reaches_half(self) -> bool:
        """Whether half of a sample of the members not suspected answer."""
        view = self.state.view or View()
        others = [
            member
            for member in view.members
            if member.incarnation not in self.detector.suspicions
            and member.incarnation != self.state.me
        ]
        sample = self.rng.sample(others, min(SAMPLE_PROBES, len(others)))
        if not sample:
            return not self.detector.cut_off()
        replies = await asyncio.gather(*map(self.async_probe, sample))
        answered = sum(reply is not None for reply in replies)
        return answered * 2 >= len(sample)

    async def async_await_peers(self) -> None:
        """Wait until peers answer: joining while cut off moves targets only."""
        until = self.now() + REJOIN_DELAY_LIMIT_S
        while self.now() < until:
            if await self.async_reaches_half():
                return
            await asyncio.sleep(REJOIN_CHECK_S)

    async def async_confirm(self, readers: list[Member]) -> bool:
        """Ask the readers for a fresh confirmation; whether one had it.

        In any order, so that they share the members of a large domain.
        """
        for reader in self.rng.sample(readers, len(readers)):
            asked_at = self.now()
            reply = await self.async_probe(reader)
            if reply is None or not reply.HasField('confirmation'):
                continue
            if self.state.on_confirmation(reply.confirmation, asked_at):
                return True
        return False

    async def async_answer(self, request: ProbeRequest) -> ProbeReply:
        """Answer a probe, for another member if it asks for that."""
        received_at = self.now()
        self.detector.on_alive(Incarnation(request.hello.incarnation))
        self.state.on_digests(
            request.digests, received_at=received_at, asked_at=None
        )
        alive = False
        if request.relay_to:
            alive = await self._async_relay(request.relay_to)
        now = self.now()
        return ProbeReply(
            hello=self._hello(),
            versions=Versions(view=self.state.version),
            digests=self.state.outgoing(now),
            confirmation=self.state.confirmation(now),
            relayed_alive=alive,
        )

    def domain_probes(self) -> list[Incarnation]:
        """Return members whose failure domain may be lost with a suspect."""
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
        return self.rng.sample(others, min(len(others), DOMAIN_PROBES))

    async def _async_relay(self, instance_id: str) -> bool:
        """Probe a member by its instance id for a peer."""
        view = self.state.view or View()
        for member in view.members:
            if member.instance_id == instance_id:
                return await self.async_probe(member) is not None
        return False

    async def _async_check_through_others(self, member: Member) -> bool:
        """Ask other members whether they reach a silent one."""
        relays = self.detector.relays(
            Incarnation(member.incarnation), INDIRECT_PROBES
        )
        view = self.state.view or View()
        replies = await asyncio.gather(
            *(
                self.async_probe(relay, relay_to=member.instance_id)
                for key in relays
                if (relay := member_of(view, key)) is not None
            )
        )
        return any(
            reply is not None and reply.relayed_alive for reply in replies
        )

    def _request(self, now: float, relay_to: str) -> ProbeRequest:
        """Return a probe."""
        return ProbeRequest(
            hello=self._hello(),
            versions=Versions(view=self.state.version),
            digests=self.state.outgoing(now),
            relay_to=relay_to,
        )

    def _hello(self) -> Hello:
        """Return who this instance is; the link adds the rest."""
        return Hello(incarnation=self.state.me)

    def _take_in(self, reply: ProbeReply, asked_at: float) -> None:
        """Take in the digests of an answer."""
        self.state.on_digests(
            reply.digests, received_at=self.now(), asked_at=asked_at
        )


def readers_of(view: View, failure_domain: str) -> list[Member]:
    """Return the members of a failure domain that read the object API."""
    order = order_of(
        target_id=TargetId(READER_KEY),
        failure_domain=FailureDomain(failure_domain),
        members=view.members,
    )
    return [
        member for member in order if member.failure_domain == failure_domain
    ][:READERS_PER_DOMAIN]
