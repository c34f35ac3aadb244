"""Links of this instance to the targets of each failure domain."""

import asyncio
import math
import random
from collections.abc import Callable, Iterable, Sequence
from enum import Enum, unique
from typing import Final, Protocol

from bitternturn.core.errors import BitternturnError
from bitternturn.core.ids import FailureDomain, TargetId
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway.decision_log import DecisionLog
from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.gateway.models import Address, TargetEntry
from bitternturn.http.client import async_connect
from bitternturn.policy.link_health import LinkHealth

# Targets to which a link is tried, and the time within which one accepts a
# connection unless its queue of new ones is full. More targets are tried if none
# of the first does, as many may have ended at the same time.
PROBE_STAGES: Final = ((3, 0.02), (9, 0.04))
# Interval at which a link that is cut off is tried again.
RETURN_INTERVAL_S: Final = 0.25
# Minimum time from a probe that succeeded to the next one: targets that hang
# accept connections.
MIN_PROBE_INTERVAL_S: Final = 0.5
# Time after an answer in which a link is not tried although others are cut off, or
# although one or two targets leave requests unanswered.
RECENTLY_HEARD_S: Final = 0.25
# Delay of a probe on a busy host beyond which its failure shows nothing.
MAX_PROBE_DELAY_S: Final = 0.05

# Called with whether the link works.
LinkVerdict = Callable[[bool], None]


class SendLink(Protocol):
    """Link over which a send goes: a direct one, or a peer."""

    def record_overdue(
        self, target: TargetId, usual_s: float, now: float
    ) -> None:
        """Record that a target has not answered within the usual time."""


@unique
class LinkState(Enum):
    """State of a link."""

    CONNECTED = 'connected'
    # No target answers; until connections to some have been tried, sends take
    # other paths.
    SUSPECT = 'suspect'
    CUT_OFF = 'cut_off'


class DomainLink:
    """Direct link to the targets of one failure domain."""

    def __init__(self, *, domain: FailureDomain, links: 'TargetLinks') -> None:
        """Initialise as connected."""
        self.domain = domain
        self.links = links
        self.health = LinkHealth()
        self.state = LinkState.CONNECTED
        # Number of targets in the domain.
        self.size = 0
        # Rank of the domain, see `Candidate`.
        self.rank = 0
        self.probing = False
        # Timer of the next check, if the link may become suspect.
        self.check_timer: asyncio.TimerHandle | None = None
        # End of the last probe, and of the last cut.
        self.probed_at = -math.inf
        # Begin of the last attempt of the current probe.
        self.tried_at = -math.inf
        self.restored_at = -math.inf
        # Callers that wait for the verdict of the current probe.
        self.waiting: list[LinkVerdict] = []

    @property
    def usable(self) -> bool:
        """Whether sends take the link, and their failures are not its own."""
        connected = self.state is LinkState.CONNECTED
        return connected and not self.health.is_doubtful(self.size)

    def was_usable_since(self, started_at: float) -> bool:
        """Return whether failures of sends since a time are not its own."""
        return self.usable and started_at >= self.restored_at

    def handle_connected(self, now: float) -> None:
        """Use the link, as a target has accepted a connection."""
        self.state = LinkState.CONNECTED
        self.probing = False
        self.probed_at = now
        self.record_heard(now)

    def verify(self, since: float, on_verdict: LinkVerdict) -> None:
        """Find out whether the link has worked after a time.

        Without other targets in the domain only the target can be at fault.
        """
        if self.state is LinkState.CUT_OFF:
            on_verdict(False)
        elif self.health.heard_at > since or self.size < 2:
            on_verdict(True)
        else:
            self.waiting.append(on_verdict)
            self.links.begin_probe(self)

    def record_heard(self, now: float) -> None:
        """Record that a target has answered or accepted a connection."""
        self.health.record_heard(now)

    def record_overdue(
        self, target: TargetId, usual_s: float, now: float
    ) -> None:
        """Record that a target has not answered within the usual time."""
        self.health.record_overdue(target, usual_s)
        self.links.check(self, now)

    def record_unreachable(self, target: TargetId, now: float) -> None:
        """Record that no connection to a target could be opened."""
        self.health.record_unreachable(target)
        self.links.check(self, now)


class TargetLinks:
    """Finds out which links are cut off, and when they are back."""

    def __init__(
        self,
        *,
        now: Callable[[], float],
        list_entries: Callable[[], Iterable[TargetEntry]],
        tasks: TaskSet,
        decisions: DecisionLog,
        metrics: GatewayMetrics,
        rng: random.Random,
    ) -> None:
        """Initialise without links; `list_entries` returns all targets."""
        self.now = now
        self.list_entries = list_entries
        self.tasks = tasks
        self.decisions = decisions
        self.metrics = metrics
        self.rng = rng
        self.domains: dict[FailureDomain, DomainLink] = {}
        # Called with a link that is cut off.
        self.on_cut_off: Callable[[DomainLink], None] = _ignore_link
        # Called when a link has been cut off or restored.
        self.on_change: Callable[[], None] = _ignore_change

    def get(self, domain: FailureDomain) -> DomainLink:
        """Return the link to a failure domain."""
        link = self.domains.get(domain)
        if link is None:
            link = DomainLink(domain=domain, links=self)
            self.domains[domain] = link
        return link

    def check(self, link: DomainLink, now: float) -> None:
        """Try a link if none of its targets answers."""
        if now - link.probed_at < MIN_PROBE_INTERVAL_S or link.probing:
            return
        if link.health.is_suspect(link.size, now):
            link.state = LinkState.SUSPECT
            self.begin_probe(link)
        elif link.health.is_doubtful(link.size):
            self._schedule_check(link, link.health.quiet_at() - now)
        elif now - link.health.heard_at >= RECENTLY_HEARD_S:
            # Too few targets are used to tell.
            self.begin_probe(link)

    def _schedule_check(self, link: DomainLink, delay_s: float) -> None:
        """Check a link again once it has been quiet for long enough."""
        if link.check_timer is None:
            loop = asyncio.get_running_loop()
            link.check_timer = loop.call_later(
                delay_s, self._handle_check_due, link
            )

    def _handle_check_due(self, link: DomainLink) -> None:
        """Check a link again."""
        link.check_timer = None
        self.check(link, self.now())

    def check_idle(self, domains: Iterable[FailureDomain], now: float) -> None:
        """Try links from which other instances are cut off.

        An instance that sends nothing would only find out with its next send
        that it is cut off as well.
        """
        for domain in domains:
            link = self.get(domain)
            heard = now - link.health.heard_at < RECENTLY_HEARD_S
            probed = now - link.probed_at < MIN_PROBE_INTERVAL_S
            if not heard and not probed:
                self.begin_probe(link)

    def list_cut_off(self) -> list[FailureDomain]:
        """Return the failure domains from which this instance is cut off."""
        return [
            link.domain
            for link in self.domains.values()
            if link.state is LinkState.CUT_OFF
        ]

    def begin_probe(self, link: DomainLink) -> None:
        """Try a link, unless it is being tried."""
        if not link.probing:
            link.probing = True
            self.tasks.spawn(self._async_probe(link))

    async def _async_probe(self, link: DomainLink) -> None:
        """Find out whether a link works, and wait until it does."""
        unheard = len(link.health.unheard)
        try:
            connected = await self._async_try(link)
            # A probe may have begun long ago on a busy host, and answers from
            # before a cut say nothing of the link now.
            if not connected and link.health.heard_at < link.tried_at:
                await self._async_wait_for_return(link, unheard)
        finally:
            self._finish_probe(link)

    async def _async_wait_for_return(
        self, link: DomainLink, unheard: int
    ) -> None:
        """Report that a link is cut off, and try it until it works again."""
        link.state = LinkState.CUT_OFF
        cut_at = self.now()
        self.metrics.increment('links_cut_off', domain=link.domain)
        self.decisions.write(
            'link_cut_off',
            domain=link.domain,
            unheard=unheard,
            heard_age_s=_finite_age(link.health.heard_at, cut_at),
        )
        self._answer_waiting(link, connected=False)
        self.on_cut_off(link)
        self.on_change()
        self.check_idle(list(self.domains), cut_at)
        connected = False
        while not connected:
            await asyncio.sleep(RETURN_INTERVAL_S)
            # An open connection may have lived on.
            heard = link.health.heard_at >= cut_at
            connected = heard or await self._async_try(link)
        link.restored_at = self.now()
        self.decisions.write(
            'link_restored',
            domain=link.domain,
            after_s=round(link.restored_at - cut_at, 3),
        )

    def _finish_probe(self, link: DomainLink) -> None:
        """Use a link, as a target has accepted a connection."""
        was_cut_off = link.state is LinkState.CUT_OFF
        link.handle_connected(self.now())
        self._answer_waiting(link, connected=True)
        if was_cut_off:
            self.on_change()

    def _answer_waiting(self, link: DomainLink, *, connected: bool) -> None:
        """Tell those that wait whether a link works."""
        waiting = link.waiting
        link.waiting = []
        for on_verdict in waiting:
            on_verdict(connected)

    def is_verifying(self) -> bool:
        """Return whether a verdict on a link is awaited."""
        return any(link.waiting for link in self.domains.values())

    async def _async_try(self, link: DomainLink) -> bool:
        """Return whether a target accepts a connection.

        Without a result in time on a busy host, the targets are tried again.
        """
        while True:
            link.tried_at = self.now()
            entries = [
                entry
                for entry in self.list_entries()
                if entry.failure_domain == link.domain
            ]
            if not entries:
                return True
            self.rng.shuffle(entries)
            on_time = True
            for count, timeout_s in PROBE_STAGES:
                due_at = self.now() + timeout_s + MAX_PROBE_DELAY_S
                if await _async_accepts_any(entries[:count], timeout_s):
                    return True
                del entries[:count]
                on_time = on_time and self.now() < due_at
            if on_time:
                return False


async def _async_accepts_any(
    entries: Sequence[TargetEntry], timeout_s: float
) -> bool:
    """Return whether one of some targets accepts a connection in time."""
    attempts = [
        asyncio.ensure_future(
            _async_accepts(Address(host=entry.host, port=entry.port), timeout_s)
        )
        for entry in entries
    ]
    accepted = False
    for attempt in asyncio.as_completed(attempts):
        accepted = await attempt
        if accepted:
            break
    for pending in attempts:
        pending.cancel()
    return accepted


async def _async_accepts(address: Address, timeout_s: float) -> bool:
    """Return whether a target accepts a connection in time."""
    try:
        async with asyncio.timeout(timeout_s):
            connection = await async_connect(
                host=address.host, port=address.port
            )
    except (TimeoutError, BitternturnError):
        return False
    connection.close()
    return True


def _finite_age(at: float, now: float) -> float | None:
    """Return the rounded age of an event, None if there was none."""
    return None if math.isinf(at) else round(now - at, 3)


def _ignore_change() -> None:
    """Do nothing: there is no other instance to notify."""


def _ignore_link(link: DomainLink) -> None:
    """Do nothing: no sends are under way."""
