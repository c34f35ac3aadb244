"""Operators' listener of an instance: status and time line."""

import asyncio
from collections.abc import Iterator

import logbook

from bitternturn.administration.handler import create_handler
from bitternturn.administration.models import (
    AdministrationDependencies,
    MemberStatus,
    StatusReport,
    TargetStatus,
    VersionStatus,
)
from bitternturn.core.errors import BitternturnError
from bitternturn.core.ids import TargetId
from bitternturn.daemon.instance import Instance
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


def create_operators_handler(instance: Instance) -> Handler:
    """Return the HTTP handler of the operators' listener."""

    async def async_timeline(request: TimelineRequest) -> list[Event]:
        return await async_merge_timeline(instance, request)

    return create_handler(
        dependencies=AdministrationDependencies(
            state=instance.configuration,
            store=instance.store,
            status=lambda: make_status_report(instance),
            timeline=async_timeline,
            metrics=instance.metrics.render,
        ),
    )


async def async_merge_timeline(
    instance: Instance,
    request: TimelineRequest,
) -> list[Event]:
    """Return the events of all members in clock order.

    Members that do not answer are left out.
    """
    view = instance.membership.view or View()
    replies = await asyncio.gather(
        *(
            _async_fetch_events(instance, member, request)
            for member in view.members
        ),
    )
    own = await instance.handlers.timeline(request)
    return merge_events([own.events, *(reply.events for reply in replies)])


async def _async_fetch_events(
    instance: Instance,
    member: Member,
    request: TimelineRequest,
) -> TimelineReply:
    """Return the events of one member; none if it does not answer."""
    if member.instance_id == instance.instance_id:
        return TimelineReply()
    try:
        return await instance.link_to(member).async_timeline(request)
    except BitternturnError as error:
        LOGGER.info(
            'failed to fetch time line events of {}: {}',
            member.instance_id,
            error,
        )
        return TimelineReply()


def make_status_report(instance: Instance) -> StatusReport:
    """Return the status of this instance and its view of the others."""
    versions = instance.versions
    view = instance.membership.view or View()
    reason = instance.not_ready_reason()
    return StatusReport(
        instance_id=instance.instance_id,
        failure_domain=instance.member.failure_domain,
        ready=not reason,
        why_not_ready=reason,
        draining=instance.draining,
        versions=VersionStatus(
            view=versions.view,
            profiles=versions.profiles,
            indexes=versions.indexes,
            switches=versions.switches,
        ),
        lease_s=instance.membership.lease_s(instance.now()),
        store_reached=store_reached(instance),
        members=tuple(_make_member_status(member) for member in view.members),
        targets=tuple(_iter_target_statuses(instance)),
        profiles=tuple(instance.configuration.profile_names()),
    )


def store_reached(instance: Instance) -> bool:
    """Return whether the last call to the object API was answered."""
    reached = instance.objects.reached_at or 0
    failed = instance.objects.failed_at or 0
    return reached >= failed


def _make_member_status(member: Member) -> MemberStatus:
    """Return the status of one member of the view."""
    leaving = member.state == MEMBER_STATE_LEAVING
    return MemberStatus(
        instance_id=member.instance_id,
        incarnation=member.incarnation,
        failure_domain=member.failure_domain,
        state='leaving' if leaving else 'active',
        peer=f'{member.peer_host}:{member.peer_port}',
        operators=f'{member.operator_host}:{member.operator_port}',
    )


def _iter_target_statuses(instance: Instance) -> Iterator[TargetStatus]:
    """Yield the status of each target.

    Limit, in-flight and queued requests are 0 for targets of other instances.
    """
    readings = {
        reading.target: reading for reading in instance.owners.iter_readings()
    }
    for target in instance.configuration.targets():
        owner = instance.membership.owner(target)
        reading = readings.get(TargetId(target.id))
        yield TargetStatus(
            target=target.id,
            failure_domain=target.failure_domain,
            owner='' if owner is None else owner.instance_id,
            state=_describe_target_state(instance, target),
            limit=0 if reading is None else reading.limit,
            in_flight=0 if reading is None else reading.in_flight,
            queued=0 if reading is None else reading.queued,
        )


def _describe_target_state(instance: Instance, target: Target) -> str:
    """Return whether a target is out, else its ownership or cold-start state.

    Empty if this instance neither owns, awaits nor releases the target.
    """
    target_id = TargetId(target.id)
    if instance.configuration.is_out(target_id):
        return STATE_OUT
    state = instance.membership.ownership_state(target_id)
    if state is not OwnershipState.OWNED:
        return '' if state is OwnershipState.NONE else state.value
    owned = instance.owners.targets.get(target_id)
    return '' if owned is None else owned.cold_start_state
