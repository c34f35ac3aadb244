"""Kinds of timeline events."""

from collections.abc import Callable
from enum import Enum, unique

# Has the signature of Timeline.emit.
EventSink = Callable[..., None]


@unique
class EventKind(Enum):
    """Kind of a timeline event."""

    QUERY_STARTED = 'query_started'
    QUERY_ANSWERED = 'query_answered'
    QUERY_REFUSED = 'query_refused'
    SUB_REQUEST_SENT = 'sub_request_sent'
    SUB_REQUEST_ANSWERED = 'sub_request_answered'
    SUB_REQUEST_FAILED = 'sub_request_failed'
    SUB_REQUEST_HEDGED = 'sub_request_hedged'
    SUB_REQUEST_RETRIED = 'sub_request_retried'
    SUB_REQUEST_CANCELLED = 'sub_request_cancelled'
    TARGET_COLD = 'target_cold'
    TARGET_RAMPING = 'target_ramping'
    TARGET_WARM = 'target_warm'
    TARGET_EJECTED = 'target_ejected'
    VIEW_CHANGED = 'view_changed'
    LEASE_LOST = 'lease_lost'
    LEASE_EXTENDED = 'lease_extended'
    TAKEOVER = 'takeover'
    HANDOVER = 'handover'
    CONFIGURATION_IN_FORCE = 'configuration_in_force'
    DOMAIN_OUT = 'domain_out'
    DOMAIN_IN = 'domain_in'
    TARGET_OUT = 'target_out'
    TARGET_IN = 'target_in'
    CLAIM_MADE = 'claim_made'
    CLAIM_RECORDED = 'claim_recorded'
    INSTANCE_STARTED = 'instance_started'
    INSTANCE_DRAINING = 'instance_draining'
    INSTANCE_STOPPED = 'instance_stopped'
