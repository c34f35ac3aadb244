"""Requests that crash targets, in fleets of different sizes.

Simulated time: the instances decide, and tell each other, by the code of the
gateway, without connections. Beside the crashing requests there are a popular
ordinary one, targets that end by themselves, a rolling restart, and a failure
domain that is cut off from the others.
"""

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace

from bench.options import Options
from bitternturn.core.ids import ServiceName, TargetId
from bitternturn.gateway.crash_suspects import CrashSuspects
from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.gateway.models import CallerRequest
from bitternturn.policy.crash_evidence import (
    MIN_ENDS,
    PROBE_S,
    probe_delay_s,
)
from bitternturn.policy.delegate_selection import DelegateCandidate
from bitternturn.policy.observation_spread import GOSSIP_INTERVAL_S
from bitternturn.relay.const import LENGTH_BYTES
from bitternturn.relay.observations import ObservationExchange
from bitternturn.schema.relay_pb2 import Frame

# Instances and failure domains of each fleet.
FLEETS = ((8, 4), (73, 3), (195, 6), (440, 7))
CRASHING_COUNTS = (1, 20)
SERVICE = ServiceName('service')
MUTE = SimpleNamespace(write=lambda kind, **fields: None)
# Time for which a target runs a crashing request before it ends, and an
# ordinary one, until an instance has found out that a target has ended.
CRASH_S = 0.08
ANSWER_S = 0.02
CHECK_S = 0.003
# Mean time between two arrivals of one crashing request, in bursts of up to
# three attempts.
ARRIVAL_S = 1.5
MAX_BURST = 3
ORDINARY_PER_S = 100.0
POPULAR_SHARE = 0.3
SELF_ENDS = 20
# Delay of a message within a failure domain and to another one, at most.
DOMAIN_DELAY_S = 0.004
FAR_DELAY_S = 0.012
# Time without a disturbance after which an instance counts as in touch.
STABILITY_S = 4.0
WAIT_STEP_S = 0.005


@dataclass(kw_only=True)
class Instance:
    """One instance with its evidence and its exchange."""

    name: str
    domain: str
    suspects: CrashSuspects
    exchange: ObservationExchange
    # When it was last started or reconnected.
    disturbed_at: float = -math.inf

    def in_touch(self, now: float) -> bool:
        """Return whether it was not disturbed lately."""
        return now - self.disturbed_at > STABILITY_S


@dataclass(kw_only=True)
class Measures:
    """What is counted in one play."""

    ends: Counter[str] = field(default_factory=Counter)
    third_end_at: dict[str, float] = field(default_factory=dict)
    late_sends: Counter[str] = field(default_factory=Counter)
    first_known_at: dict[str, float] = field(default_factory=dict)
    known_everywhere_s: float = 0
    innocents_refused: int = 0
    messages: int = 0
    bytes: int = 0


class Play:
    """One fleet over simulated time."""

    def __init__(
        self, *, instances: int, domains: int, crashing: int, seed: int
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.order = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.measures = Measures()
        self.cut_domain = ''
        self.target_numbers = itertools.count()
        self.members = {
            f'd{domain}': [
                DelegateCandidate(
                    name=f'i{number}', domain=f'd{domain}', cores=1
                )
                for number in range(domain, instances, domains)
            ]
            for domain in range(domains)
        }
        self.names = [f'i{number}' for number in range(instances)]
        self.instances: dict[str, Instance] = {}
        for domain, members in self.members.items():
            for member in members:
                self.start_instance(member.name, domain)
        self.crashing = [_make_caller(f'/crash/{it}') for it in range(crashing)]
        self.popular = _make_caller('/popular')

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something after a time."""
        heapq.heappush(
            self.events, (self.now + delay_s, next(self.order), action)
        )

    def run(self, seconds: float) -> Measures:
        """Play all events of a time."""
        end_at = self.now + seconds
        self._schedule(seconds)
        while self.events and self.events[0][0] < end_at:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.measures

    def _schedule(self, seconds: float) -> None:
        """Schedule all that does not depend on what the instances do."""
        for caller in self.crashing:
            self.at(self.rng.uniform(0, 3), lambda it=caller: self.arrive(it))
        self.at(0, self.ask_ordinary)
        for _ in range(SELF_ENDS):
            self.at(self.rng.uniform(0, seconds), self.end_by_itself)
        for position, name in enumerate(self.names):
            stop_s = seconds * (0.3 + 0.4 * position / len(self.names))
            self.at(stop_s, lambda it=name: self.restart(it))
            self.at(
                self.rng.uniform(0, GOSSIP_INTERVAL_S),
                lambda it=name: self.gossip(it),
            )
        self.at(seconds * 0.5, lambda: self.cut('d0'))
        self.at(seconds * 0.5 + 3, lambda: self.cut(''))

    # Instances

    def start_instance(self, name: str, domain: str) -> None:
        """Start an instance without any evidence."""
        suspects = CrashSuspects(decisions=MUTE, metrics=GatewayMetrics())
        gateway = SimpleNamespace(
            now=lambda: self.now,
            rng=self.rng,
            crash_suspects=suspects,
            pauses=SimpleNamespace(count=0),
            settings=SimpleNamespace(name=name, failure_domain=domain),
        )
        peers = {
            other: SimpleNamespace(
                is_available=lambda _now: True,
                send_request=self._make_sender(name, other),
                drop_handler=lambda _number: None,
            )
            for other in self.names
        }
        delegation = SimpleNamespace(members=self.members, peers=peers)
        self.instances[name] = Instance(
            name=name,
            domain=domain,
            suspects=suspects,
            exchange=ObservationExchange(
                gateway=gateway, delegation=delegation, tasks=None
            ),
        )

    def restart(self, name: str) -> None:
        """Replace an instance, which asks two others."""
        self.start_instance(name, self.instances[name].domain)
        self.instances[name].disturbed_at = self.now
        self.instances[name].exchange.ask(2)

    def gossip(self, name: str) -> None:
        """Let an instance with evidence exchange it with a random one."""
        instance = self.instances[name]
        if instance.suspects.evidence:
            instance.exchange.ask(1)
        self.at(GOSSIP_INTERVAL_S, lambda: self.gossip(name))

    def cut(self, domain: str) -> None:
        """Cut off a failure domain, or reconnect the one that is."""
        for instance in self.instances.values():
            if instance.domain in {domain, self.cut_domain}:
                instance.disturbed_at = self.now
        self.cut_domain = domain

    def _make_sender(self, sender: str, receiver: str) -> Callable[..., int]:
        """Return a function that sends a request to another instance."""

        def send(make_frame, on_reply) -> int:
            frame = make_frame()
            self._transmit(
                sender,
                receiver,
                frame,
                lambda: self._receive(sender, receiver, frame, on_reply),
            )
            return 0

        return send

    def _receive(self, sender, receiver, frame, on_reply) -> None:
        """Let an instance handle a request and reply."""
        exchange = self.instances[receiver].exchange
        observations = exchange.receive(frame.observations)
        if observations is not None:
            reply = Frame(observations=observations)
            self._transmit(receiver, sender, reply, lambda: on_reply(reply))
        self._check_known()

    def _transmit(self, sender, receiver, frame, deliver) -> None:
        """Deliver a message after a time, unless it is lost in the cut."""
        self.measures.messages += 1
        self.measures.bytes += frame.ByteSize() + LENGTH_BYTES
        domains = {
            self.instances[sender].domain,
            self.instances[receiver].domain,
        }
        if len(domains) == 2 and self.cut_domain in domains:
            return
        most_s = DOMAIN_DELAY_S if len(domains) == 1 else FAR_DELAY_S
        self.at(self.rng.uniform(most_s / 4, most_s), deliver)

    # Requests

    def arrive(self, caller: CallerRequest) -> None:
        """Let attempts of a crashing request come to any instances."""
        for _ in range(self.rng.randint(1, MAX_BURST)):
            name = self.rng.choice(self.names)
            self.attempt(caller, name, self.now)
        self.at(
            self.rng.expovariate(1 / ARRIVAL_S), lambda: self.arrive(caller)
        )

    def attempt(self, caller, name: str, begun_at: float) -> None:
        """Decide on an attempt as the gateway does."""
        instance = self.instances[name]
        suspects = instance.suspects
        if suspects.refuses(caller, self.now):
            return
        if suspects.doubted_services(caller):
            delay_s = probe_delay_s(caller.key, name, self.names)
            wait_until = max(begun_at + delay_s, suspects.probe_ends_at(caller))
            if self.now < wait_until:
                if self.now - begun_at < PROBE_S:
                    self.at(
                        WAIT_STEP_S,
                        lambda: self.attempt(caller, name, begun_at),
                    )
                return
            suspects.begin_probe(caller, self.now)
        self._count_send(caller, instance)
        self.at(CRASH_S, lambda: self.crash(caller, name))

    def _count_send(self, caller: CallerRequest, instance: Instance) -> None:
        """Count a send after the third end, by an instance in touch."""
        path = caller.request_target
        if path in self.measures.third_end_at and instance.in_touch(self.now):
            self.measures.late_sends[path] += 1

    def crash(self, caller: CallerRequest, name: str) -> None:
        """Let a target end, sometimes with the popular request under way."""
        path = caller.request_target
        self.measures.ends[path] += 1
        if self.measures.ends[path] == MIN_ENDS:
            self.measures.third_end_at[path] = self.now
        callers = [caller]
        if self.rng.random() < POPULAR_SHARE:
            callers.append(self.popular)
        self.end_target(name, callers)

    def end_by_itself(self) -> None:
        """Let a target end with ordinary requests under way."""
        ordinary = _make_caller(f'/ordinary/{self.now}')
        self.end_target(self.rng.choice(self.names), [self.popular, ordinary])

    def end_target(self, name: str, callers: list[CallerRequest]) -> None:
        """Let an instance find out that a target has ended."""
        ended_at = self.now
        entry = SimpleNamespace(
            id=TargetId(f't{next(self.target_numbers)}'),
            started_at_ms=1_700_000_000_000,
            service=SERVICE,
        )

        def notice() -> None:
            self.instances[name].suspects.record_end(
                entry, callers, ended_at=ended_at, now=self.now
            )
            self._check_known()

        self.at(CHECK_S, notice)

    def ask_ordinary(self) -> None:
        """Let a caller send an ordinary request, often the popular one."""
        name = self.rng.choice(self.names)
        suspects = self.instances[name].suspects
        popular = self.rng.random() < POPULAR_SHARE
        caller = (
            self.popular if popular else _make_caller(f'/ordinary/{self.now}')
        )
        if suspects.refuses(caller, self.now):
            self.measures.innocents_refused += 1
        else:
            self.at(
                ANSWER_S,
                lambda: self.instances[name].suspects.record_answer(
                    caller, SERVICE, self.now
                ),
            )
        self.at(self.rng.expovariate(ORDINARY_PER_S), self.ask_ordinary)

    def _check_known(self) -> None:
        """Measure the time until all instances in touch refuse a request."""
        for caller in self.crashing:
            path = caller.request_target
            if path in self.measures.first_known_at:
                continue
            if any(
                it.suspects.refuses(caller, self.now)
                for it in self.instances.values()
            ):
                self.measures.first_known_at[path] = self.now
                self.at(0, lambda it=caller: self._await_known(it))

    def _await_known(self, caller: CallerRequest) -> None:
        """Record how long instances in touch do not know a request."""
        if all(
            it.suspects.refuses(caller, self.now)
            for it in self.instances.values()
            if it.in_touch(self.now)
        ):
            first_at = self.measures.first_known_at[caller.request_target]
            self.measures.known_everywhere_s = max(
                self.measures.known_everywhere_s, self.now - first_at
            )
            return
        self.at(WAIT_STEP_S, lambda: self._await_known(caller))


def _make_caller(path: str) -> CallerRequest:
    """Return a caller's request."""
    return CallerRequest(
        id='q',
        method='GET',
        request_target=path,
        path=path,
        host='search.example',
        remaining_s=1,
        headers=[(b'host', b'search.example')],
        body=b'',
    )


def simulate(
    *, instances: int, domains: int, crashing: int, seconds: float, seed: int
) -> dict[str, float]:
    """Return the measures of one fleet."""
    play = Play(
        instances=instances, domains=domains, crashing=crashing, seed=seed
    )
    measures = play.run(seconds)
    return {
        'instances': instances,
        'crashing': crashing,
        'ends': sum(measures.ends.values()),
        'sent_after_third': max(measures.late_sends.values(), default=0),
        'innocents_refused': measures.innocents_refused,
        'known_everywhere_s': round(measures.known_everywhere_s, 3),
        'messages_per_end': round(
            measures.messages / (sum(measures.ends.values()) + SELF_ENDS)
        ),
        'control_kb_s': round(measures.bytes / seconds / instances / 1000, 2),
    }


async def async_run(options: Options) -> dict[str, object]:
    """Play all fleets; return a row for each."""
    seconds = options.choose_seconds(10, 30)
    rows = [
        simulate(
            instances=instances,
            domains=domains,
            crashing=crashing,
            seconds=seconds,
            seed=options.seed,
        )
        for instances, domains in FLEETS
        for crashing in CRASHING_COUNTS
    ]
    return {
        'rows': rows,
        'sent_after_third': max(row['sent_after_third'] for row in rows),
        'innocents_refused': sum(row['innocents_refused'] for row in rows),
        'known_everywhere_s': max(row['known_everywhere_s'] for row in rows),
        'control_kb_s_at_440': max(
            row['control_kb_s'] for row in rows if row['instances'] == 440
        ),
    }
