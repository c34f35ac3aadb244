"""Delegates sends over shards to peers near the targets."""

import asyncio
import zlib
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from bitternturn.core.ids import FailureDomain, ServiceName
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway.gateway import Gateway
from bitternturn.gateway.links import LinkState
from bitternturn.gateway.models import (
    Address,
    SendOutcome,
    TargetEntry,
)
from bitternturn.gateway.parts import Part
from bitternturn.gateway.send import Send
from bitternturn.gateway.target import start_directly
from bitternturn.policy.delegate_selection import DelegateCandidate
from bitternturn.policy.further_send_budget import (
    FurtherSendBudget,
    SendReason,
    delegate_slack,
)
from bitternturn.policy.rate_shares import DELEGATE_RATE_PARTS
from bitternturn.policy.relay_selection import RELAYS_PER_DOMAIN, rank_relays
from bitternturn.relay import const
from bitternturn.relay.group_keys import GroupKeys
from bitternturn.relay.member_rankings import MemberRankings
from bitternturn.relay.outgoing_batch import OutgoingBatch
from bitternturn.relay.outgoing_gather import PeerGatherers
from bitternturn.relay.peer import Peer
from bitternturn.relay.quota_messages import PeerQuotaMessages
from bitternturn.relay.target_notices import apply_notices
from bitternturn.relay.traffic import RelayTraffic
from bitternturn.schema.relay_pb2 import Notices

# Name of the peer, id of the request, and whether the peer's budget has to allow
# the sends.
OutboxKey = tuple[str, str, bool]


@dataclass(kw_only=True, frozen=True, slots=True)
class MemberEntry:
    """One instance as registered in the store."""

    name: str
    address: Address
    domain: FailureDomain
    cores: float


class Delegation:
    """Chooses peers for sends and batches them per peer and request."""

    def __init__(self, *, gateway: Gateway, tasks: TaskSet) -> None:
        """Initialise and register as the gateway's dispatcher."""
        self.gateway = gateway
        self.tasks = tasks
        self.traffic = RelayTraffic(
            metrics=gateway.metrics, domain=gateway.settings.failure_domain
        )
        self.peers: dict[str, Peer] = {}
        self.members: Mapping[FailureDomain, Sequence[DelegateCandidate]] = {}
        self.rankings = MemberRankings()
        # Delegates that were found at a time, by domain and key.
        self.found: dict[tuple[FailureDomain, str], str | None] = {}
        self.found_at: float = 0
        self.group_keys = GroupKeys()
        # Sends queued until the next event loop iteration.
        self.outbox: dict[OutboxKey, list[Send]] = {}
        # Budgets of further sends that other instances ask for.
        self.sponsor_budgets: dict[ServiceName, FurtherSendBudget] = {}
        gateway.sender = self
        self.gatherers = PeerGatherers(gateway=gateway, directory=self)
        gateway.gatherers = self.gatherers
        gateway.find_sponsor = self.find_sponsor
        gateway.sponsor = self.sponsor
        gateway.rate_limits.find_delegate_rank = self.find_own_rank
        gateway.rate_limits.needs_own_permit = self.needs_own_permit
        gateway.quotas.messages = PeerQuotaMessages(
            find_peers=lambda: self.peers, now=gateway.now
        )

    def update_members(self, entries: Sequence[MemberEntry]) -> None:
        """Update the peers from the registered instances."""
        domains: dict[FailureDomain, list[DelegateCandidate]] = {}
        for entry in entries:
            domains.setdefault(entry.domain, []).append(
                DelegateCandidate(
                    name=entry.name, domain=entry.domain, cores=entry.cores
                ),
            )
            known = self.peers.get(entry.name)
            if known is None or known.address != entry.address:
                self.peers[entry.name] = self._make_peer(
                    entry.name, entry.address
                )
        self.traffic.domains = {
            entry.address.host: entry.domain for entry in entries
        }
        self.members = domains
        self.rankings = MemberRankings(members=domains)
        self.found.clear()
        self.gateway.rate_limits.invalidate_shares()

    def find_relays(self, domain: FailureDomain, now: float) -> list[Peer]:
        """Return the available relays of a failure domain, best first."""
        names = rank_relays(domain, self.members.get(domain, ()))
        available = [name for name in names if self._is_usable(name, now)]
        return [self.peers[name] for name in available[:RELAYS_PER_DOMAIN]]

    def list_members(self) -> list[Peer]:
        """Return the registered instances, in the order of their names."""
        names = sorted(
            member.name
            for members in self.members.values()
            for member in members
        )
        return [self.peers[name] for name in names]

    def get_or_add_peer(self, address: Address) -> Peer:
        """Return the peer at an address; add it if it is not registered."""
        for peer in self.peers.values():
            if peer.address == address:
                return peer
        name = f'{address.host}:{address.port}'
        return self.peers.setdefault(name, self._make_peer(name, address))

    def _make_peer(self, name: str, address: Address) -> Peer:
        """Return a client of an instance, not connected yet."""
        return Peer(
            name=name,
            address=address,
            tasks=self.tasks,
            now=self.gateway.now,
            traffic=self.traffic,
            on_cut_off=self._handle_peer_cut_off,
            on_notices=self._handle_notices,
        )

    def _handle_notices(self, notices: Notices) -> None:
        """Apply what targets have announced to a peer."""
        now = self.gateway.now()
        apply_notices(self.gateway, notices.by_target, since=now)

    def _handle_peer_cut_off(self, domains: Sequence[FailureDomain]) -> None:
        """Find out whether this instance is cut off as well."""
        self.gateway.links.check_idle(domains, self.gateway.now())

    def dispatch(self, send: Send, now: float) -> None:
        """Start a send directly, or queue it for a peer.

        It ends at once if no instance reaches the target.
        """
        name = self._find_path(send, now)
        if name == self.gateway.settings.name:
            start_directly(send, now)
            return
        if name is None:
            send.target.end_send(send, SendOutcome.NO_PATH, None)
            return
        peer = self.peers[name]
        if self._sent_by_instances(send.target.entry) and (
            not send.target.take_permit(send, now)
        ):
            send.target.end_send(send, SendOutcome.UNWANTED, None)
            return
        key = (peer.name, send.caller.id, send.sponsored)
        queued = self.outbox.get(key)
        if queued is None:
            queued = []
            self.outbox[key] = queued
            asyncio.get_running_loop().call_soon(self._flush, key)
        queued.append(send)
        send.target.register_delegated(
            send,
            via=peer.name,
            link=peer.get_link(send.target.entry.failure_domain),
            relay_delay_s=const.REPORT_LATENCY_S,
        )

    def group_parts(self, parts: Sequence[Part]) -> Iterable[Sequence[Part]]:
        """Divide the parts of a request by the delegates that get most of them.

        These are in the preferred domain. The parts of other requests are sent
        directly, or few by each peer.
        """
        wide_services = self.gateway.wide_services
        if not parts or parts[0].service not in wide_services:
            return (parts,)
        by_key: dict[str, list[Part]] = {}
        for part in parts:
            key = self.group_keys.find(part.service, wide_services)
            by_key.setdefault(key, []).append(part)
        now = self.gateway.now()
        domain = self.gateway.domains.preferred
        groups: dict[str | None, list[Part]] = {}
        for key, members in by_key.items():
            name = self.find_delegate(domain, key, now)
            groups.setdefault(name, []).extend(members)
        # Peers are at work while this instance sends its own parts.
        own_name = self.gateway.settings.name
        own = groups.pop(own_name, None)
        return [*groups.values(), *([own] if own else [])]

    def flush(self) -> None:
        """Send all queued sends to their peers."""
        for key in list(self.outbox):
            self._flush(key)

    def _find_path(self, send: Send, now: float) -> str | None:
        """Return the instance that makes a send, None if no one reaches it.

        This is the delegate of the target if there is one, else this instance,
        unless it is cut off from the domain of the target.
        """
        own_name = self.gateway.settings.name
        domain = send.target.entry.failure_domain
        link = self.gateway.links.get(domain)
        key = self._delegate_key(send)
        if key is not None:
            name = self.find_delegate(domain, key, now)
            if name is not None:
                return name
        if link.usable:
            return own_name
        detour = self._find_detour(send, now)
        if detour is None and link.state is not LinkState.CUT_OFF:
            return own_name
        return detour

    def _find_detour(self, send: Send, now: float) -> str | None:
        """Return a peer that reaches a target, one in its domain if possible.

        Requests are spread over some peers; the parts of one take the same.
        """
        if len(send.caller.body) > const.MAX_WHOLE_BODY_BYTES:
            return None
        domain = send.target.entry.failure_domain
        others = [it for it in self.members if it != domain]
        for reaches in (self._reaches, self._may_reach):
            for near in ((domain,), others):
                usable = [
                    name
                    for name in self._ranked_peers(near)
                    if reaches(name, domain, now)
                ][: const.PATHS_PER_DOMAIN]
                if usable:
                    position = zlib.crc32(send.caller.id.encode())
                    return usable[position % len(usable)]
        return None

    def _ranked_peers(self, domains: Iterable[FailureDomain]) -> Iterator[str]:
        """Yield the peers in some domains, in the order for this instance."""
        own_name = self.gateway.settings.name
        for domain in domains:
            for name in self.rankings.rank_members(domain, own_name):
                if name != own_name:
                    yield name

    def find_delegate(
        self, domain: FailureDomain, key: str, now: float
    ) -> str | None:
        """Return the first usable instance of a domain for a key, if any.

        All parts of a request are sent at the same time, many of them to the
        same delegate.
        """
        if now != self.found_at:
            self.found.clear()
            self.found_at = now
        place = (domain, key)
        if place not in self.found:
            self.found[place] = self._choose_delegate(domain, key, now)
        return self.found[place]

    def _choose_delegate(
        self, domain: FailureDomain, key: str, now: float
    ) -> str | None:
        """Return the first usable instance, one that is not busy if possible."""
        busy: str | None = None
        for name in self.rankings.rank_delegates(domain, key):
            if self._reaches(name, domain, now):
                own = name == self.gateway.settings.name
                if own or not self.peers[name].is_busy(now):
                    return name
                busy = busy or name
        return busy

    def _reaches(self, name: str, domain: FailureDomain, now: float) -> bool:
        """Return whether a member can send to the targets of a domain."""
        if name == self.gateway.settings.name:
            return self.gateway.links.get(domain).usable
        peer = self.peers[name]
        return peer.is_available(now) and peer.get_link(domain).is_usable(now)

    def _may_reach(self, name: str, domain: FailureDomain, now: float) -> bool:
        """Return whether a connected peer is not known to be cut off."""
        peer = self.peers[name]
        connected = peer.connection is not None
        return connected and peer.get_link(domain).is_possible(now)

    def _is_usable(self, name: str, now: float) -> bool:
        """Return whether a member is this instance or an available peer."""
        own = name == self.gateway.settings.name
        return own or self.peers[name].is_available(now)

    def _delegate_key(self, send: Send) -> str | None:
        """Return the key that ranks the delegates, None to send directly."""
        entry = send.target.entry
        if send.direct or not send.max_records:
            return None
        if entry.service in self.gateway.wide_services:
            return self._group_key(entry)
        settings = self.gateway.settings
        if send.is_further or entry.failure_domain == settings.failure_domain:
            return None
        return settings.name

    def _sent_by_instances(self, entry: TargetEntry) -> bool:
        """Return whether instances use a target on their own behalf."""
        return entry.service not in self.gateway.wide_services

    def needs_own_permit(self, entry: TargetEntry, now: float) -> bool:
        """Return whether sends to a target need a permit of this instance.

        To the targets of wide services the delegate sends for all instances.
        """
        if self._sent_by_instances(entry):
            return True
        name = self.find_delegate(
            entry.failure_domain, self._group_key(entry), now
        )
        return name is None or name == self.gateway.settings.name

    def find_own_rank(self, entry: TargetEntry) -> int | None:
        """Return the rank of this instance among a target's delegates.

        Returns None if instances send to it on their own behalf.
        """
        if self._sent_by_instances(entry):
            return None
        rank = self._own_rank(entry)
        if rank < self._count_delegates(entry):
            return rank
        # Instances of other domains have no share, however few delegates the
        # domain of the target has.
        return max(rank, len(DELEGATE_RATE_PARTS))

    def _count_delegates(self, entry: TargetEntry) -> int:
        """Return the number of instances that may send to a target."""
        return len(self.members.get(entry.failure_domain, ()))

    def _own_rank(self, entry: TargetEntry) -> int:
        """Return the rank of this instance among a target's delegates."""
        ranked = self.rankings.rank_delegates(
            entry.failure_domain, self._group_key(entry)
        )
        own_name = self.gateway.settings.name
        return ranked.index(own_name) if own_name in ranked else len(ranked)

    def find_sponsor(self, entry: TargetEntry, now: float) -> bool:
        """Return whether a further send to a target may exceed the own budget.

        Asks the budget of this instance if it is the delegate; a peer decides
        when it receives the send.
        """
        if self._sent_by_instances(entry):
            return False
        name = self.find_delegate(
            entry.failure_domain, self._group_key(entry), now
        )
        if name == self.gateway.settings.name:
            return self.sponsor(entry, now)
        return name is not None

    def sponsor(self, entry: TargetEntry, now: float) -> bool:
        """Spend the delegate's budget for a further send if it allows it."""
        budget = self.sponsor_budgets.get(entry.service)
        global_limits = self.gateway.settings.global_limits
        if budget is None:
            budget = FurtherSendBudget(
                ratio=0,
                slack=0,
                window_s=global_limits.retry_window_s,
                restarted_at=self.gateway.restarted_at,
            )
            self.sponsor_budgets[entry.service] = budget
        budget.slack = delegate_slack(
            global_limits.retry_slack,
            domains=self._count_domains(entry.service),
            rank=self._own_rank(entry),
        )
        return budget.try_spend(SendReason.RETRY, now)

    def _count_domains(self, service: ServiceName) -> int:
        """Return the number of failure domains with targets of a service."""
        ready = self.gateway.ready.get(service, ())
        return len({target.entry.failure_domain for target in ready})

    def _group_key(self, entry: TargetEntry) -> str:
        """Return the key of the shard group of a target of a wide route."""
        return self.group_keys.find(entry.service, self.gateway.wide_services)

    def _flush(self, key: OutboxKey) -> None:
        """Send the queued sends of one request to a peer, or directly.

        They may have been sent already, with their group.
        """
        sends = [it for it in self.outbox.pop(key, ()) if not it.ended]
        if not sends:
            return
        direct = all(
            self._sent_by_instances(send.target.entry)
            and send.target.link.usable
            for send in sends
        )
        if direct and len(sends) < const.MIN_DELEGATED_PARTS:
            now = self.gateway.now()
            for send in sends:
                send.target.start_undelegated(send, now)
            return
        OutgoingBatch(
            peer=self.peers[key[0]],
            sends=sends,
            gateway=self.gateway,
        ).start()
