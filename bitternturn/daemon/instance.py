"""One instance: its components and the calls between them."""

import random
import secrets

import logbook

from bitternturn.callers.const import REASON_DRAINING
from bitternturn.callers.handler import HandlerServices, create_handler
from bitternturn.callers.models import QueryServices
from bitternturn.callers.observed_state import ObservedState
from bitternturn.claims.client import ClaimClient
from bitternturn.claims.coordinator import ClaimCoordinator
from bitternturn.claims.models import ClaimPeer
from bitternturn.configuration.models import ConfigurationKind
from bitternturn.configuration.state import ConfigurationState
from bitternturn.configuration.store import ConfigurationStore
from bitternturn.configuration.switches import emit_change_events
from bitternturn.configuration.sync import (
    ConfigurationSync,
    SyncCallbacks,
)
from bitternturn.core.clock import (
    MS_PER_SECOND,
    HybridClock,
    monotonic,
    wall_ms,
)
from bitternturn.core.ids import FailureDomain, InstanceId, TargetId
from bitternturn.core.metrics import Metrics
from bitternturn.core.tasks import TaskSet
from bitternturn.daemon import const
from bitternturn.daemon.coordinators import coordinators_of
from bitternturn.daemon.instance_list import InstanceListReader
from bitternturn.daemon.instance_metrics import create_answer_recorder
from bitternturn.http.server import HttpServer, ServerLimits
from bitternturn.membership.models import MembershipHooks, Runtime
from bitternturn.membership.service import MembershipService
from bitternturn.owners.models import (
    OwnershipQueries,
    get_queue_capacity,
    make_pool_settings,
)
from bitternturn.owners.service import OwnerService
from bitternturn.peers.handshake import set_protocol_range
from bitternturn.peers.models import PeerHandlers
from bitternturn.peers.pool import Link, PeerAddress, PeerPool
from bitternturn.peers.server import PeerServer
from bitternturn.platform.client import ObjectClient
from bitternturn.policy.query_admission import QueryAdmission
from bitternturn.schema.membership_pb2 import (
    MEMBER_STATE_ACTIVE,
    Member,
)
from bitternturn.schema.peers_pb2 import (
    FetchReply,
    FetchRequest,
    Hello,
    TargetState,
    TimelineReply,
    TimelineRequest,
    Versions,
)
from bitternturn.schema.settings_pb2 import NodeSettings
from bitternturn.timeline.ring_buffer import Timeline

LOGGER = logbook.Logger('daemon')

REASON_NO_VIEW = 'no view of the members from store or peers'


class Instance:
    """The components of one instance."""

    def __init__(self, *, settings: NodeSettings) -> None:
        """Build the components; starts nothing."""
        self.settings = settings
        self.instance_id = InstanceId(settings.instance.id)
        self.now = monotonic
        self.rng = random.Random(secrets.randbits(const.RNG_SEED_BITS))
        self.tasks = TaskSet()
        self.clock = HybridClock()
        self.metrics = Metrics()
        self.timeline = Timeline(
            instance_id=self.instance_id,
            capacity=settings.timeline.capacity,
            clock=self.clock,
            enabled=settings.timeline.enabled,
        )
        self.event = self.timeline.emit
        self.draining = False
        self.member = _make_member(settings, self.rng)
        self.objects = ObjectClient(
            host=settings.platform.objects.host,
            port=settings.platform.objects.port,
            timeout_s=settings.platform.call_timeout_ms / MS_PER_SECOND,
            rng=self.rng,
            now=self.now,
        )
        self.instance_list = InstanceListReader(
            objects=self.objects,
            interval_ms=settings.platform.instance_list_interval_ms,
            now=self.now,
        )
        self.configuration = ConfigurationState()
        self.store = ConfigurationStore(
            client=self.objects,
            state=self.configuration,
            instance_id=self.instance_id,
            wall_ms=wall_ms,
        )
        emit_change_events(self.configuration, self.event)
        self._build_peers()
        self._build_membership()
        self._build_callers()

    @property
    def versions(self) -> Versions:
        """Versions of the view and of the configuration in force."""
        return self.configuration_sync.versions()

    def not_ready_reason(self) -> str:
        """Return why the instance is not ready; empty when it is."""
        if self.draining:
            return REASON_DRAINING
        if self.configuration_sync.not_loaded_reason:
            return self.configuration_sync.not_loaded_reason
        if self.membership.view is None:
            return REASON_NO_VIEW
        return ''

    def hello(self) -> Hello:
        """Return the description of this instance for its peers."""
        member = self.membership.me
        return set_protocol_range(
            Hello(
                cluster=self.settings.instance.cluster,
                instance_id=self.instance_id,
                incarnation=member.incarnation,
                member=member,
            ),
        )

    def link_to(self, member: Member) -> Link:
        """Return the link to a member."""
        return self.pool.link(member.peer_host, member.peer_port)

    def owner_link(self, target_id: TargetId) -> Link | None:
        """Return the link to the owner of a target, if it has one."""
        target = self.configuration.target(target_id)
        owner = None if target is None else self.membership.owner(target)
        return None if owner is None else self.link_to(owner)

    def _build_peers(self) -> None:
        """Build the peer server and the pool of peer links."""
        self.handlers = PeerHandlers(
            run_sub_request=lambda group, item: self.owners.submit(group, item),
            probe=lambda request: self.membership.async_handle_probe(request),
            fetch=self._async_handle_fetch,
            handover=lambda request: self.membership.async_handle_handover(
                request
            ),
            claim=lambda request: self.claim_coordinator.async_handle(request),
            timeline=self._async_handle_timeline,
            hello=self.hello,
            versions=lambda: self.versions,
            observe=self._on_peer_message,
            clock=lambda: self.clock.tick(now_ms=wall_ms()),
            observe_clock=self.clock.observe,
        )
        self.peer_server = PeerServer(handlers=self.handlers)
        self.pool = PeerPool(
            handlers=self.handlers,
            tasks=self.tasks,
            own_address=self._own_address,
            now=self.now,
            rng=self.rng,
        )

    def _build_membership(self) -> None:
        """Build membership, target ownership and configuration sync."""
        self.membership = MembershipService(
            me=self.member,
            settings=self.settings.membership,
            objects=self.objects,
            links=self.pool.link,
            runtime=Runtime(
                now=self.now,
                rng=self.rng,
                tasks=self.tasks,
                event=self.event,
            ),
            hooks=MembershipHooks(
                targets=self.configuration.targets,
                async_release_target=self._async_release_target,
                start_target=self._start_target,
                is_gone=self.instance_list.is_gone,
                seeds=self.instance_list.iter_seed_addresses,
            ),
        )
        self.owners = OwnerService(
            find_target=self.configuration.target,
            ownership=OwnershipQueries(
                owns=self.membership.accepts_requests,
                may_send=self.membership.may_send,
                is_switched_out=self.configuration.is_out,
                earliest_send_at=self.membership.earliest_send_at,
            ),
            pool=make_pool_settings(self.settings.connections),
            queue_capacity=get_queue_capacity(self.settings.limits),
            now=self.now,
            rng=self.rng,
            event=self.event,
            tasks=self.tasks,
        )
        self.metrics.register_target_gauges(lambda: self.owners.iter_readings())
        self.configuration_sync = ConfigurationSync(
            client=self.objects,
            state=self.configuration,
            callbacks=SyncCallbacks(
                fetch=self._async_fetch_from,
                peers=self._members_to_fetch_from,
                view=lambda: self.membership.view,
                on_view=self.membership.apply_view,
            ),
            rng=self.rng,
            now=self.now,
            tasks=self.tasks,
        )
        self.configuration.subscribe(self._on_configuration_change)

    def _build_callers(self) -> None:
        """Build the claims, admission and the callers' listener."""
        self.claim_coordinator = ClaimCoordinator(
            objects=self.objects,
            wall_ms=wall_ms,
            tasks=self.tasks,
        )
        self.claims = ClaimClient(
            coordinators=self._coordinators,
            hello=self.hello,
            rng=self.rng,
            tasks=self.tasks,
        )
        self.admission = QueryAdmission()
        services = HandlerServices(
            query_services=QueryServices(
                owner_link=self.owner_link,
                is_out=self.configuration.is_out,
                find_index=self.configuration.index,
                now=self.now,
                rng=self.rng,
                event=self.event,
            ),
            observed_state=ObservedState(
                is_out=self.configuration.is_out,
                failure_domain=FailureDomain(self.member.failure_domain),
            ),
            admission=self.admission,
            claims=self.claims,
            find_profile=self.configuration.profile,
            not_ready_reason=self.not_ready_reason,
            record_answer=create_answer_recorder(self.metrics),
            tasks=self.tasks,
        )
        self.caller_server = HttpServer(
            handler=create_handler(services),
            limits=_make_server_limits(self.settings),
        )

    def _on_configuration_change(self, kind: ConfigurationKind) -> None:
        """Apply a change of the indexes or switches to this instance."""
        if kind is ConfigurationKind.INDEXES:
            self.membership.update_targets()
        self.owners.process_queues()

    def _own_address(self) -> PeerAddress:
        """Return the address of the peer server."""
        return PeerAddress(self.member.peer_host, self.member.peer_port)

    def _coordinators(self, key: str) -> list[ClaimPeer]:
        """Return the links to the coordinators of a key."""
        view = self.membership.view
        if view is None:
            return []
        return coordinators_of(view=view, key=key, link_to=self.link_to)

    def _members_to_fetch_from(self) -> list[Member]:
        """Return the members to fetch newer versions from.

        Before a view is known these are the instances in the instance list.
        """
        view = self.membership.view
        if view is not None:
            return [
                member
                for member in view.members
                if member.instance_id != self.instance_id
            ]
        return [
            Member(peer_host=seed.host, peer_port=seed.port)
            for seed in self.instance_list.iter_seed_addresses()
        ]

    def _on_peer_message(self, hello: Hello, versions: Versions) -> None:
        """Pass on the sender and the versions of a peer's message."""
        self.membership.on_peer_message(hello, versions)
        if hello.HasField('member'):
            self.configuration_sync.observe_versions(hello.member, versions)

    async def _async_handle_fetch(self, request: FetchRequest) -> FetchReply:
        """Return newer versions for a peer's request."""
        return self.configuration_sync.make_fetch_reply(request.versions)

    async def _async_fetch_from(
        self,
        member: Member,
        versions: Versions,
    ) -> FetchReply:
        """Fetch newer versions from a peer."""
        request = FetchRequest(hello=self.hello(), versions=versions)
        return await self.link_to(member).async_fetch(request)

    async def _async_handle_timeline(
        self,
        request: TimelineRequest,
    ) -> TimelineReply:
        """Return this instance's time line events."""
        return TimelineReply(
            events=self.timeline.events(
                since=request.since,
                request_id=request.request_id,
                target=request.target,
                limit=request.limit,
            ),
        )

    async def _async_release_target(self, target: TargetId) -> TargetState:
        """Stop sending to a target; return its state once it is idle."""
        states = await self.owners.async_release([target])
        return states[0] if states else TargetState(target=target)

    def _start_target(self, state: TargetState) -> None:
        """Start sending to a target."""
        self.owners.restore_target(state)
        self.owners.process_queues()


def _make_member(settings: NodeSettings, rng: random.Random) -> Member:
    """Return this instance as a member with a new incarnation."""
    listeners = settings.listeners
    return Member(
        instance_id=settings.instance.id,
        incarnation=rng.getrandbits(const.INCARNATION_BITS),
        failure_domain=settings.instance.failure_domain,
        region=settings.instance.region,
        peer_host=listeners.advertised_peers.host or listeners.peers.host,
        peer_port=listeners.advertised_peers.port or listeners.peers.port,
        operator_host=listeners.operators.host,
        operator_port=listeners.operators.port,
        state=MEMBER_STATE_ACTIVE,
    )


def _make_server_limits(settings: NodeSettings) -> ServerLimits:
    """Return the limits of the callers' listener."""
    limits = settings.limits
    return ServerLimits(
        max_body_bytes=limits.body_bytes,
        max_header_bytes=limits.header_bytes,
        header_timeout_s=limits.header_timeout_ms / MS_PER_SECOND,
        max_connections=limits.callers_connections,
    )
