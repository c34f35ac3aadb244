"""Exchange of what instances observe: requests that crash targets.

Guards against an instance that acts on what it alone has seen: a request that
crashes targets comes again at any instance, so that each of them sees few ends.
"""

import asyncio
import contextlib
import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from functools import partial
from typing import Final

from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.core.ids import (
    RequestKey,
    ServiceName,
    TargetId,
)
from bitternturn.core.tasks import TaskSet, async_supervise
from bitternturn.gateway.gateway import Gateway
from bitternturn.policy.crash_evidence import CrashEvidence, TargetEnd
from bitternturn.policy.observation_spread import (
    GOSSIP_INTERVAL_S,
    choose_receivers,
    gossip_delay_s,
)
from bitternturn.relay.delegation import Delegation
from bitternturn.relay.peer import Peer, PeerFailure
from bitternturn.schema import relay_pb2
from bitternturn.schema.relay_pb2 import CrashReport, Frame, Observations

# Requests in one message, those with the newest evidence first.
MAX_REPORTED: Final = 32
# Peers that an instance asks for what they know when it starts.
PEERS_ASKED_AT_START: Final = 2
# Interval at which a starting instance looks for peers.
START_INTERVAL_S: Final = 0.2
# Time after which a reply is not awaited any longer.
REPLY_TIMEOUT_S: Final = 2.0
# Time until a job that has failed unexpectedly is started again.
RESTART_DELAY_S: Final = 0.5


class ObservationExchange:
    """Tells peers what this instance observes, and applies what they tell."""

    def __init__(
        self, *, gateway: Gateway, delegation: Delegation, tasks: TaskSet
    ) -> None:
        """Initialise and register for new evidence; `start` begins to gossip."""
        self.gateway = gateway
        self.suspects = gateway.crash_suspects
        self.delegation = delegation
        self.tasks = tasks
        # When the evidence has changed last.
        self.changed_at: float = 0
        self.changed = asyncio.Event()
        # Number of pauses of this process after which it has asked a peer.
        self.pause_count = gateway.pauses.count
        self.suspects.on_change = self.push

    def start(self) -> None:
        """Start to exchange observations in the background."""
        self.tasks.spawn(
            async_supervise(self._async_run, restart_delay_s=RESTART_DELAY_S)
        )

    def push(self, keys: Collection[RequestKey]) -> None:
        """Send new evidence to all instances."""
        now = self.gateway.now()
        self._record_change(now)
        crashes = self._encode(keys, now)
        own_name = self.gateway.settings.name
        for domain, members in self.delegation.members.items():
            receivers = choose_receivers(
                domain,
                members,
                own_name=own_name,
                own_domain=self.gateway.settings.failure_domain,
                is_available=partial(self._is_available, now),
            )
            for name in receivers.names:
                self._send(
                    self.delegation.peers[name],
                    Observations(crashes=crashes, forward=receivers.forward),
                )

    def receive(self, observations: Observations) -> Observations | None:
        """Apply what a peer has sent; return the reply, if it wants one."""
        self._merge(observations)
        if observations.forward:
            self._forward(observations.crashes)
        if not observations.want_all:
            return None
        return Observations(
            crashes=self._encode(self._newest(), self.gateway.now())
        )

    def _forward(self, crashes: Iterable[CrashReport]) -> None:
        """Pass on observations to the other instances of the domain."""
        now = self.gateway.now()
        settings = self.gateway.settings
        for member in self.delegation.members.get(settings.failure_domain, ()):
            if member.name != settings.name and self._is_available(
                now, member.name
            ):
                self._send(
                    self.delegation.peers[member.name],
                    Observations(crashes=crashes),
                )

    def _merge(self, observations: Observations) -> None:
        """Add the evidence of a peer to that of this instance."""
        now = self.gateway.now()
        if self.suspects.merge(decode_reports(observations.crashes, now), now):
            self._record_change(now)

    async def _async_run(self) -> None:
        """Ask some peers at the start, then exchange evidence while any is new."""
        asked = 0
        while True:
            asked = asked or self.ask(PEERS_ASKED_AT_START)
            await self._async_wait(
                self._gossip_delay_s() if asked else START_INTERVAL_S
            )
            self.suspects.forget_old(self.gateway.now())
            paused = self.pause_count != self.gateway.pauses.count
            self.pause_count = self.gateway.pauses.count
            if paused or self.suspects.evidence:
                self.ask(1)

    def _gossip_delay_s(self) -> float:
        """Return the time until the next exchange with a random peer."""
        return gossip_delay_s(self.gateway.now() - self.changed_at)

    async def _async_wait(self, delay_s: float) -> None:
        """Wait for a time, or for shortly after the next new evidence."""
        self.changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await self.changed.wait()
                await asyncio.sleep(GOSSIP_INTERVAL_S)

    def _record_change(self, now: float) -> None:
        """Record that there is new evidence."""
        self.changed_at = now
        self.changed.set()

    def ask(self, count: int) -> int:
        """Exchange all evidence with random peers; return their number."""
        now = self.gateway.now()
        own_name = self.gateway.settings.name
        available = [
            member.name
            for members in self.delegation.members.values()
            for member in members
            if member.name != own_name and self._is_available(now, member.name)
        ]
        chosen = self.gateway.rng.sample(available, min(count, len(available)))
        for name in chosen:
            self._send(
                self.delegation.peers[name],
                Observations(
                    crashes=self._encode(self._newest(), now), want_all=True
                ),
            )
        return len(chosen)

    def _is_available(self, now: float, name: str) -> bool:
        """Return whether a member may be sent to."""
        return self.delegation.peers[name].is_available(now)

    def _send(self, peer: Peer, observations: Observations) -> None:
        """Send observations to a peer and apply its reply, if one comes."""
        frame = Frame(observations=observations)

        def handle_reply(reply: Frame | PeerFailure) -> None:
            """Apply the observations in a reply."""
            peer.drop_handler(number)
            if isinstance(reply, Frame):
                self._merge(reply.observations)

        number = peer.send_request(lambda: frame, handle_reply)
        if not observations.want_all:
            peer.drop_handler(number)
            return
        asyncio.get_running_loop().call_later(
            REPLY_TIMEOUT_S, peer.drop_handler, number
        )

    def _newest(self) -> Sequence[RequestKey]:
        """Return the requests with the newest evidence."""
        evidence = self.suspects.evidence
        return sorted(
            evidence, key=lambda key: evidence[key].updated_at, reverse=True
        )[:MAX_REPORTED]

    def _encode(
        self, keys: Iterable[RequestKey], now: float
    ) -> list[CrashReport]:
        """Return the evidence of some requests as messages."""
        return [
            encode_report(key, self.suspects.evidence[key], now)
            for key in keys
            if key in self.suspects.evidence
        ]


def encode_report(
    key: RequestKey, known: CrashEvidence, now: float
) -> CrashReport:
    """Return the evidence of a request as a message."""
    report = CrashReport(
        request_key=key,
        ends=[
            relay_pb2.TargetEnd(
                target=end.life[0],
                started_ms=end.life[1],
                service=end.service,
                age_ms=_to_age_ms(end.at, now),
            )
            for end in known.ends.values()
        ],
        answer_ages_ms={
            service: _to_age_ms(at, now)
            for service, at in known.answers.items()
        },
    )
    if known.probed_at > -math.inf:
        report.probe_age_ms = _to_age_ms(known.probed_at, now)
    return report


def decode_reports(
    crashes: Iterable[CrashReport], now: float
) -> Mapping[RequestKey, CrashEvidence]:
    """Return the evidence in messages."""
    evidence: dict[RequestKey, CrashEvidence] = {}
    for report in crashes:
        known = evidence.setdefault(
            RequestKey(report.request_key), CrashEvidence()
        )
        if report.HasField('probe_age_ms'):
            known.add_probe(now - report.probe_age_ms / MS_PER_SECOND)
        for service, age_ms in report.answer_ages_ms.items():
            known.add_answer(ServiceName(service), now - age_ms / MS_PER_SECOND)
        for end in report.ends:
            known.add_end(
                TargetEnd(
                    life=(TargetId(end.target), end.started_ms),
                    service=ServiceName(end.service),
                    at=now - end.age_ms / MS_PER_SECOND,
                )
            )
    return evidence


def _to_age_ms(at: float, now: float) -> int:
    """Return the age of an event in whole milliseconds."""
    return max(0, round((now - at) * MS_PER_SECOND))
