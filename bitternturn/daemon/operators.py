"""The operators' side of an instance: status, time line, handler."""

import asyncio
from collections.abc import Iterator

import logbook

from bitternturn.administration.handler import create_handler
from bitternturn.administration.models import (
    AdministrationPieces,
    MemberStatus,
    StatusReport,
    TargetStatus,
    VersionStatus,
)
from bitternturn.core.errors import BitternturnError
from bitternturn.core.ids import TargetId
from bitternturn.daemon.node import Node
from bitternturn.http.server import Handler
from bitternturn.membership.models import OwnershipState
from bitternturn.schema.config_pb2 import Target
from bitternturn.schema.membership_pb2 import (
    MEMBER_STATE_LEAVING,
    Member,
    View,
)
from bitternturn.schema.peers_pb2 import TimelineReply, TimelineRequest
from bitternturn.schema.timeline_pb2 import Event
from bitternturn.timeline.merge import merge_events

LOGGER = logbook.Logger('daemon.operators')

STATE_OUT = 'out'


def create_operators(node: Node) -> Handler:
    """Return the handler of the operators' listener."""

    async def async_timeline(request: TimelineRequest) -> list[Event]:
        return await async_merged_timeline(node, request)

    return create_handler(
        pieces=AdministrationPieces(
            state=node.configuration,
            store=node.store,
            status=lambda: report_status(node),
            timeline=async_timeline,
            metrics=node.metrics.render,
        ),
    )


async def async_merged_timeline(
    node: Node,
    request: TimelineRequest,
) -> list[Event]:
    """Return the events of all members that answer, in one order."""
    view = node.membership.view or View()
    replies = await asyncio.gather(
        *(_async_events(node, member, request) for member in view.members),
    )
    own = await node.handlers.timeline(request)
    return merge_events([own.events, *(reply.events for reply in replies)])


async def _async_events(
    node: Node,
    member: Member,
    request: TimelineRequest,
) -> TimelineReply:
    """Return the events of one member; none when it does not answer."""
    if member.instance_id == node.instance_id:
        return TimelineReply()
    try:
        return await node.link_to(member).async_timeline(request)
    except BitternturnError as error:
        LOGGER.info('no events of {}: {}', member.instance_id, error)
        return TimelineReply()


def report_status(node: Node) -> StatusReport:
    """Return what this instance knows of itself and the others."""
    versions = node.versions
    view = node.membership.view or View()
    reason = node.unready()
    return StatusReport(
        instance_id=node.instance_id,
        failure_domain=node.member.failure_domain,
        ready=not reason,
        why_not_ready=reason,
        draining=node.draining,
        versions=VersionStatus(
            view=versions.view,
            profiles=versions.profiles,
            indexes=versions.indexes,
            switches=versions.switches,
        ),
        lease_s=node.membership.lease_s(node.now()),
        store_reached=store_reached(node),
        members=tuple(_member_status(member) for member in view.members),
        targets=tuple(_target_statuses(node)),
        profiles=tuple(node.configuration.profile_names()),
    )


def store_reached(node: Node) -> bool:
    """Whether the last call to the object API was answered."""
    reached = node.objects.reached_at or 0
    failed = node.objects.failed_at or 0
    return reached >= failed


def _member_status(member: Member) -> MemberStatus:
    """Return one member of the view."""
    leaving = member.state == MEMBER_STATE_LEAVING
    return MemberStatus(
        instance_id=member.instance_id,
        incarnation=member.incarnation,
        failure_domain=member.failure_domain,
        state='leaving' if leaving else 'active',
        peer=f'{member.peer_host}:{member.peer_port}',
        operators=f'{member.operator_host}:{member.operator_port}',
    )


def _target_statuses(node: Node) -> Iterator[TargetStatus]:
    """Yield each target, in detail where this instance owns it."""
    readings = {
        reading.target: reading for reading in node.owners.iter_readings()
    }
    for target in node.configuration.targets():
        owner = node.membership.owner(target)
        reading = readings.get(TargetId(target.id))
        yield TargetStatus(
            target=target.id,
            failure_domain=target.failure_domain,
            owner='' if owner is None else owner.instance_id,
            state=_state_of(node, target),
            limit=0 if reading is None else reading.limit,
            in_flight=0 if reading is None else reading.in_flight,
            queued=0 if reading is None else reading.queued,
        )


def _state_of(node: Node, target: Target) -> str:
    """Return what a target's owner makes of it; empty at the others."""
    target_id = TargetId(target.id)
    if node.configuration.is_out(target_id):
        return STATE_OUT
    state = node.membership.ownership_state(target_id)
    if state is not OwnershipState.OWNED:
        return '' if state is OwnershipState.NONE else state.value
    owned = node.owners.targets.get(target_id)
    return '' if owned is None else owned.cold_start_state
