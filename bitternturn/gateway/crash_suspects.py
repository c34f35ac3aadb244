"""Requests that were under way when targets ended, and those it refuses."""

import asyncio
import contextlib
import math
from collections.abc import Callable, Collection, Mapping
from typing import Final, Protocol

from bitternturn.core.ids import RequestKey, ServiceName
from bitternturn.gateway.decision_log import DecisionLog
from bitternturn.gateway.identity import (
    fingerprint_request,
    identify_request,
)
from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.gateway.models import CallerRequest, TargetEntry
from bitternturn.policy.crash_evidence import (
    REFUSAL_S,
    CrashEvidence,
    TargetEnd,
    find_crashing,
    is_refused,
)

# Time after an answer to a request in which the end of a target is not held
# against it: a popular request has just been answered when a target ends, while
# one that crashes targets is not answered at all.
RECENT_ANSWER_S: Final = 2.0
# Answers that are remembered; one for each shard of a request.
MAX_RECENT_ANSWERS: Final = 8192
# Requests of which evidence is kept; that of the others is dropped, the oldest
# first and requests that crash targets last.
MAX_REQUESTS: Final = 256


class DecisionListener(Protocol):
    """Called when a request becomes a suspect or is cleared."""

    def __call__(self, key: RequestKey, *, deciding: bool) -> None:
        """Handle it; `deciding` is whether this instance had the last evidence."""


def _ignore_decision(key: RequestKey, *, deciding: bool) -> None:
    """Do nothing: decisions are not kept."""


def _ignore_change(keys: Collection[RequestKey]) -> None:
    """Do nothing: there is no other instance to notify."""


class CrashSuspects:
    """Evidence of this instance and its peers, and the decisions from it."""

    def __init__(
        self, *, decisions: DecisionLog, metrics: GatewayMetrics
    ) -> None:
        """Initialise without evidence."""
        self.decisions = decisions
        self.metrics = metrics
        self.evidence: dict[RequestKey, CrashEvidence] = {}
        # Requests that crash targets, and when each was last seen to.
        self.crashing: Mapping[RequestKey, float] = {}
        # Set, and replaced, when there is new evidence.
        self.changed = asyncio.Event()
        # When a service last answered a request, by its fingerprint, the earliest
        # first.
        self.recent_answers: dict[tuple[int, ServiceName], float] = {}
        # Called with the requests of which this instance has new evidence.
        self.on_change: Callable[[Collection[RequestKey]], None] = (
            _ignore_change
        )
        # Called with each request that becomes a suspect or is cleared.
        self.on_decision: DecisionListener = _ignore_decision

    def refuses(self, caller: CallerRequest, now: float) -> bool:
        """Return whether a request is not sent, as it crashes targets."""
        return self.refused_for_s(caller, now) > 0

    def refused_for_s(self, caller: CallerRequest, now: float) -> float:
        """Return for how long a request is refused, 0 if it is not."""
        if not self.crashing:
            return 0
        crashed_at = self.crashing.get(identify_request(caller))
        if crashed_at is None or not is_refused(crashed_at, now):
            return 0
        return crashed_at + REFUSAL_S - now

    def doubted_services(self, caller: CallerRequest) -> frozenset[ServiceName]:
        """Return the services in which a request may have ended targets."""
        if not self.evidence:
            return frozenset()
        known = self.evidence.get(identify_request(caller))
        return frozenset() if known is None else known.doubted_services

    def begin_probe(self, caller: CallerRequest, now: float) -> None:
        """Record that this instance tries a request at one target."""
        key = identify_request(caller)
        known = self.evidence.get(key)
        if known is not None and known.add_probe(now):
            self.on_change([key])

    def probe_ends_at(self, caller: CallerRequest) -> float:
        """Return until when the result of a probe may be awaited."""
        known = self.evidence.get(identify_request(caller))
        return -math.inf if known is None else known.probe_ends_at()

    async def async_wait_for_change(self, timeout_s: float) -> None:
        """Wait for new evidence, or until a time has elapsed."""
        changed = self.changed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await changed.wait()

    def record_end(
        self,
        entry: TargetEntry,
        callers: Collection[CallerRequest],
        *,
        ended_at: float,
        now: float,
    ) -> None:
        """Record that a target has ended with some requests under way."""
        end = TargetEnd(
            life=(entry.id, entry.started_at_ms),
            service=entry.service,
            at=ended_at,
        )
        keys = {
            identify_request(caller)
            for caller in callers
            if not self._has_recent_answer(caller, end)
        }
        self.metrics.increment('target_ends')
        self.decisions.write(
            'target_ended',
            target=entry.id,
            service=entry.service,
            requests=sorted(keys),
        )
        changed = [key for key in keys if self._get_or_add(key).add_end(end)]
        if changed:
            self._update(now, deciding=True)
            self.on_change(changed)

    def _has_recent_answer(self, caller: CallerRequest, end: TargetEnd) -> bool:
        """Return whether the service answered a request shortly before an end."""
        answered_at = self.recent_answers.get(
            (fingerprint_request(caller), end.service)
        )
        if answered_at is None:
            return False
        return end.at - answered_at < RECENT_ANSWER_S

    def record_answer(
        self, caller: CallerRequest, service: ServiceName, now: float
    ) -> None:
        """Record that a target has answered a request."""
        answered = (fingerprint_request(caller), service)
        self.recent_answers.pop(answered, None)
        self.recent_answers[answered] = now
        if len(self.recent_answers) > MAX_RECENT_ANSWERS:
            del self.recent_answers[next(iter(self.recent_answers))]
        if not self.evidence:
            return
        key = identify_request(caller)
        known = self.evidence.get(key)
        if known is not None and known.add_answer(service, now):
            self._update(now, deciding=True)
            self.on_change([key])

    def merge(
        self, reported: Mapping[RequestKey, CrashEvidence], now: float
    ) -> Collection[RequestKey]:
        """Add the evidence of a peer; return the requests with new evidence."""
        changed = []
        for key, report in reported.items():
            known = self._get_or_add(key)
            new_ends = [known.add_end(end) for end in report.ends.values()]
            new_answers = [
                known.add_answer(service, at)
                for service, at in report.answers.items()
            ]
            new_probe = known.add_probe(report.probed_at)
            if any(new_ends) or any(new_answers) or new_probe:
                changed.append(key)
        if changed:
            self._update(now, deciding=False)
        return changed

    def forget_old(self, now: float) -> None:
        """Forget old evidence, so that no key is computed for it."""
        if any(known.is_outdated(now) for known in self.evidence.values()):
            self._update(now, deciding=False)

    def _get_or_add(self, key: RequestKey) -> CrashEvidence:
        """Return the evidence of a request."""
        return self.evidence.setdefault(key, CrashEvidence())

    def _update(self, now: float, *, deciding: bool) -> None:
        """Bound the evidence, decide from it, and report new decisions."""
        self._drop_excess(now)
        self.changed.set()
        self.changed = asyncio.Event()
        before = self.crashing
        self.crashing = find_crashing(self.evidence)
        for key in self.crashing.keys() - before.keys():
            self.decisions.write(
                'request_suspected',
                request_key=key,
                ends=[
                    {
                        'target': end.life[0],
                        'service': end.service,
                        'age_s': round(now - end.at, 3),
                    }
                    for end in self.evidence[key].ends.values()
                ],
            )
        for key in before.keys() - self.crashing.keys():
            self.decisions.write('request_cleared', request_key=key)
        for key in before.keys() ^ self.crashing.keys():
            self.on_decision(key, deciding=deciding)

    def _drop_excess(self, now: float) -> None:
        """Forget old evidence, and the oldest if there is too much."""
        oldest_first = sorted(self.evidence, key=self._retention_rank)
        excess = max(0, len(oldest_first) - MAX_REQUESTS)
        for position, key in enumerate(oldest_first):
            if position < excess or self.evidence[key].is_outdated(now):
                del self.evidence[key]

    def _retention_rank(self, key: RequestKey) -> tuple[bool, float]:
        """Return the rank of a request; those with a low one are dropped."""
        return key in self.crashing, self.evidence[key].updated_at
