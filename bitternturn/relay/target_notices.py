"""What targets have announced, in messages between instances."""

import math
from collections.abc import Iterator, Mapping

from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.core.ids import TargetId
from bitternturn.gateway.models import (
    REPLY_OUTCOMES,
    CallerRequest,
    SendOutcome,
)
from bitternturn.gateway.pool import TargetPool
from bitternturn.gateway.target import Target
from bitternturn.relay.outcomes import decode_outcome, encode_outcome
from bitternturn.schema.relay_pb2 import Part


def make_part(index: int, outcome: SendOutcome, target: Target | None) -> Part:
    """Return the report of a send to a target, None if it is not known."""
    part = Part(index=index, outcome=encode_outcome(outcome))
    if target is not None:
        part.leaving = target.announcement.leaving
        pause_s = target.announcement.paused_until - target.now()
        part.pause_ms = max(0, math.ceil(pause_s * MS_PER_SECOND))
        _add_rate_limit(part, target)
    return part


def apply_notice(
    target: Target, part: Part, *, replied: bool, since: float
) -> None:
    """Apply what a peer has heard of a target to which it has sent.

    `replied` is whether the target has replied, so that it has no limit if none is
    stated, and `since` when the send started.
    """
    if part.leaving:
        target.announce_leaving()
    if part.pause_ms:
        target.announce_pause(part.pause_ms / MS_PER_SECOND)
    limited = part.limit_per_s > 0
    if limited or replied:
        target.announce_rate_limit(part.limit_per_s if limited else None, since)


def list_known(pool: TargetPool) -> Iterator[tuple[TargetId, Part]]:
    """Yield what targets have announced to this instance."""
    sources = pool.announcements.sources
    for name in list(sources):
        target = pool.targets.get(name)
        if target is None or target.announcement.allows_send(target.now()):
            sources.discard(name)
    for name in {*sources, *map(TargetId, pool.rate_limits.limited)}:
        target = pool.targets.get(name)
        if target is not None:
            yield name, _make_notice(target, SendOutcome.NOT_SENT)


def list_heard(
    pool: TargetPool, caller: CallerRequest, known: Mapping[str, Part]
) -> Iterator[tuple[TargetId, Part]]:
    """Yield what the targets that a request was sent to have announced.

    Also that one has no limit which a peer knows of, by its notices.
    """
    for name, replied in caller.replies.items():
        target = pool.targets.get(name)
        if target is None:
            continue
        outcome = SendOutcome.ANSWERED if replied else SendOutcome.LOST
        part = _make_notice(target, outcome)
        lifted = replied and name in known
        if lifted or _has_news(part):
            yield name, part


def find_notice(pool: TargetPool, name: TargetId) -> Part | None:
    """Return what a target has announced, None if nothing holds any longer."""
    target = pool.targets.get(name)
    if target is None:
        return None
    part = _make_notice(target, SendOutcome.LOST)
    return part if _has_news(part) else None


def apply_notices(
    pool: TargetPool, notices: Mapping[str, Part], *, since: float
) -> None:
    """Apply what a peer has heard of targets, unless they have restarted.

    `since` is when the requests started whose replies the peer has heard.
    """
    for name, part in notices.items():
        target = pool.targets.get(TargetId(name))
        if target is None or target.entry.started_at_ms != part.started_ms:
            continue
        replied = decode_outcome(part.outcome) in REPLY_OUTCOMES
        apply_notice(target, part, replied=replied, since=since)


def _make_notice(target: Target, outcome: SendOutcome) -> Part:
    """Return what a target has announced."""
    part = make_part(0, outcome, target)
    part.started_ms = target.entry.started_at_ms
    return part


def _has_news(part: Part) -> bool:
    """Return whether a notice states anything that a target has announced."""
    return part.leaving or part.pause_ms > 0 or part.limit_per_s > 0


def _add_rate_limit(part: Part, target: Target) -> None:
    """Add the rate limit that a target has named, if any."""
    limit = target.announcement.rate_limit
    if limit.per_s is None:
        return
    now = target.now()
    wait_s = target.rate_limits.own_next_at(target.entry, limit, now) - now
    part.limit_per_s = limit.per_s
    part.limit_wait_ms = math.ceil(wait_s * MS_PER_SECOND)
