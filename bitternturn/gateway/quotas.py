"""Permits of the tenants' quotas at one instance."""

import asyncio
import math
import random
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from bitternturn.core.clock import Clock
from bitternturn.core.const import UINT64_MAX
from bitternturn.gateway.decision_log import DecisionLog
from bitternturn.gateway.models import CallerRequest, RefusalReason, Tenant
from bitternturn.policy.quota import (
    ASKED_RANKS,
    Grant,
    Permit,
    PermitCache,
    QuotaBound,
    QuotaHolder,
    plan_quota,
    rank_holders,
)

# Time in which an instance answers a request for permits, also while it handles
# a request of a caller. After it the next rank is asked.
ANSWER_TIMEOUT_S: Final = 0.04
# Time for which an instance is not asked that has not answered.
SILENT_BACKOFF_S: Final = 0.25
# Interval at which the first rank asks the next one to confirm it.
CONFIRM_INTERVAL_S: Final = 0.5
# Shortest time for which an instance does not ask again after a denial.
MIN_WAIT_S: Final = 0.005
# Longest Retry-After when no instance grants permits, in seconds: the time in
# which a holder is replaced or answers again.
MAX_UNKNOWN_WAIT_S: Final = 1.0
# Permits that one request for permits asks for at most.
MAX_ASKED: Final = 1000
# First ids of permits are random, so that those of an earlier process are not
# accepted back.
MAX_FIRST_ID: Final = UINT64_MAX // 2


@dataclass(kw_only=True, frozen=True, slots=True)
class QuotaAsk:
    """Request for permits of a tenant, or to hold its quota."""

    tenant: str
    count: int = 0
    extra: int = 0
    # Name of the instance that asks to hold the quota, empty if none does.
    holder: str = ''


@dataclass(kw_only=True, frozen=True, slots=True)
class QuotaReply:
    """Reply to a request for permits."""

    grant: Grant
    # Tokens of an instance that has stopped to hold the quota; None if it was
    # not asked to.
    tokens: float | None = None


@dataclass(kw_only=True, frozen=True, slots=True)
class QuotaRefusal:
    """Why a request gets no permit, and when to try again."""

    reason: RefusalReason
    retry_at: float


# Called with the reply of an instance, None if it is known that there is none.
ReplyHandler = Callable[[QuotaReply | None], None]


class QuotaMessages:
    """Messages to other instances; without any, there is no reply."""

    def ask(self, name: str, ask: QuotaAsk, on_reply: ReplyHandler) -> None:
        """Ask an instance for permits."""
        on_reply(None)

    def hand_back(self, name: str, tenant: str, ids: Sequence[int]) -> None:
        """Hand back permits to the instance that has granted them."""


class TenantQuota:
    """Quota of one tenant as one instance knows it."""

    def __init__(
        self,
        *,
        quotas: 'Quotas',
        tenant: Tenant,
        bound: QuotaBound,
        first_id: int,
    ) -> None:
        """Initialise without permits."""
        self.quotas = quotas
        self.tenant = tenant
        self.now = quotas.now
        plan = plan_quota(tenant.rate_per_s, tenant.burst, bound)
        self.holder = QuotaHolder(
            plan=plan,
            window_s=bound.window_s,
            first_id=first_id,
            now=self.now(),
        )
        self.cached = PermitCache()
        # Instances in the order in which they are asked; empty if unknown.
        self.order: Sequence[str] = ()
        self.waiting: deque[asyncio.Future[Permit | QuotaRefusal]] = deque()
        self.asking = False
        # The last refusal, which holds for other requests until it is over.
        self.refusal: QuotaRefusal | None = None
        self.silent_until: dict[str, float] = {}
        self.hand_back_timer: asyncio.TimerHandle | None = None
        self.confirm_timer: asyncio.TimerHandle | None = None

    # Members and limits

    def set_tenant(self, tenant: Tenant, bound: QuotaBound) -> None:
        """Apply a changed quota."""
        self.tenant = tenant
        plan = plan_quota(tenant.rate_per_s, tenant.burst, bound)
        self.holder.set_plan(plan, self.now())

    def set_members(self, names: Iterable[str]) -> None:
        """Update the members; ask to hold the quota if this instance is first."""
        order = rank_holders(self.tenant.name, names)
        self.order = order[:ASKED_RANKS]
        self.holder.set_rank(
            order.index(self.quotas.own_name), self.now(), alone=len(order) < 2
        )
        self.confirm()

    def confirm(self) -> None:
        """Ask the next rank to confirm that this one holds, until it has."""
        if self.confirm_timer is not None:
            self.confirm_timer.cancel()
            self.confirm_timer = None
        if not self.holder.needs_confirmation or len(self.order) < 2:
            return
        self.confirm_timer = asyncio.get_running_loop().call_later(
            CONFIRM_INTERVAL_S, self.confirm
        )
        ask = QuotaAsk(tenant=self.tenant.name, holder=self.quotas.own_name)
        self.quotas.messages.ask(self.order[1], ask, self._handle_confirmation)

    def _handle_confirmation(self, reply: QuotaReply | None) -> None:
        """Hold the quota if the next rank has confirmed it."""
        if reply is None or reply.tokens is None:
            return
        self.holder.confirm(reply.tokens, self.now())
        self.quotas.decisions.write(
            'quota_held',
            tenant=self.tenant.name,
            holds=self.holder.holds,
            tokens=round(reply.tokens, 1),
        )

    def close(self) -> None:
        """Stop, as the tenant or its limit is gone; callers may try again."""
        for timer in (self.hand_back_timer, self.confirm_timer):
            if timer is not None:
                timer.cancel()
        self._refuse_waiting(
            QuotaRefusal(
                reason=RefusalReason.QUOTA_UNKNOWN, retry_at=self.now()
            )
        )

    # Requests

    def take(self) -> Permit | None:
        """Return a permit that needs no message, None if there is none."""
        now = self.now()
        permit = self.cached.take(now)
        if permit is None and self.holder.holds:
            grant = self.holder.grant(1, 0, now)
            permit = next(iter(grant.make_permits('', now)), None)
            if permit is None:
                self._set_refusal(RefusalReason.OVER_QUOTA, grant.wait_s)
        if permit is not None:
            self.cached.record_use(now)
        return permit

    async def async_take(self) -> Permit | QuotaRefusal:
        """Return a permit, or why there is none; wait for a reply if needed."""
        permit = self.take()
        if permit is not None:
            self._ask_in_advance()
            return permit
        if self.refusal is not None and self.now() < self.refusal.retry_at:
            return self.refusal
        future: asyncio.Future[Permit | QuotaRefusal] = (
            asyncio.get_running_loop().create_future()
        )
        self.waiting.append(future)
        self._ask_for_waiting()
        return await future

    def give_back(self, permit: Permit) -> None:
        """Keep the permit of a request that has not run for another one."""
        self._add([permit])

    # Messages

    def _ask_in_advance(self) -> None:
        """Ask the first rank for the permits of the next requests."""
        if self.holder.holds or self.asking or not self.order:
            return
        now = self.now()
        extra = self.cached.count_missing(self.holder.plan.lifetime_s, now)
        refused = self.refusal is not None and now < self.refusal.retry_at
        name = self.order[0]
        silent = now < self.silent_until.get(name, 0)
        if extra and not (refused or silent):
            self.asking = True
            self._ask(QuotaExchangeState(ranks=[name], extra=extra))

    def _ask_for_waiting(self) -> None:
        """Ask the ranks in turn for the permits of the waiting requests."""
        if self.asking or not self.waiting:
            return
        now = self.now()
        self.asking = True
        self._ask(
            QuotaExchangeState(
                ranks=[
                    name
                    for name in self.order
                    if now >= self.silent_until.get(name, 0)
                ],
                count=min(MAX_ASKED, len(self.waiting)),
                extra=self.cached.count_missing(
                    self.holder.plan.lifetime_s, now
                ),
            )
        )

    def _ask(self, state: 'QuotaExchangeState') -> None:
        """Ask the next rank, or end if there is none."""
        if not state.ranks:
            self._end_asking(
                state, RefusalReason.QUOTA_UNKNOWN, state.shortest_wait_s
            )
            return
        name = state.ranks.pop(0)
        ask = QuotaAsk(
            tenant=self.tenant.name, count=state.count, extra=state.extra
        )
        if name == self.quotas.own_name:
            grant = self.holder.grant(state.count, 0, self.now())
            self._handle_grant(state, grant, '', self.now())
            return
        asked_at = self.now()
        timer = asyncio.get_running_loop().call_later(
            ANSWER_TIMEOUT_S, lambda: self._handle_silence(state, name)
        )
        state.timer = timer

        def handle(reply: QuotaReply | None) -> None:
            """Use a reply; permits of a late one are kept."""
            current = state.timer is timer
            if not current and reply is not None:
                self._add(reply.grant.make_permits(name, asked_at))
            elif current and reply is None:
                timer.cancel()
                self._handle_silence(state, name)
            elif current and reply is not None:
                timer.cancel()
                state.timer = None
                self._handle_grant(state, reply.grant, name, asked_at)

        self.quotas.messages.ask(name, ask, handle)

    def _handle_silence(self, state: 'QuotaExchangeState', name: str) -> None:
        """Ask the next rank, as one has not answered."""
        state.timer = None
        self.silent_until[name] = self.now() + SILENT_BACKOFF_S
        self.quotas.record_silence(self.tenant.name, name)
        self._ask(state)

    def _handle_grant(
        self,
        state: 'QuotaExchangeState',
        grant: Grant,
        granter: str,
        asked_at: float,
    ) -> None:
        """Pass granted permits on; ask the next rank for those that lack."""
        self._add(grant.make_permits(granter, asked_at))
        state.count -= min(state.count, len(grant.ids))
        state.extra = 0
        state.shortest_wait_s = min(state.shortest_wait_s, grant.wait_s)
        if not state.count or grant.holds:
            self._end_asking(state, RefusalReason.OVER_QUOTA, grant.wait_s)
        else:
            self._ask(state)

    def _end_asking(
        self,
        state: 'QuotaExchangeState',
        reason: RefusalReason,
        wait_s: float,
    ) -> None:
        """Refuse the requests that got no permit; ask for those that came since."""
        self.asking = False
        if state.count:
            self._refuse_waiting(self._set_refusal(reason, wait_s))
        self._ask_for_waiting()

    def _set_refusal(
        self, reason: RefusalReason, wait_s: float
    ) -> QuotaRefusal:
        """Refuse requests for some time without asking again."""
        if reason is RefusalReason.QUOTA_UNKNOWN:
            wait_s = min(wait_s, MAX_UNKNOWN_WAIT_S)
        self.refusal = QuotaRefusal(
            reason=reason, retry_at=self.now() + max(MIN_WAIT_S, wait_s)
        )
        return self.refusal

    def _refuse_waiting(self, refusal: QuotaRefusal) -> None:
        """Refuse the requests that wait."""
        while self.waiting:
            future = self.waiting.popleft()
            if not future.done():
                future.set_result(refusal)

    def _add(self, permits: Sequence[Permit]) -> None:
        """Give permits to the requests that wait and keep the others."""
        self.cached.add(permits)
        now = self.now()
        while self.waiting:
            if self.waiting[0].done():
                self.waiting.popleft()
                continue
            permit = self.cached.take(now)
            if permit is None:
                break
            self.cached.record_use(now)
            self.waiting.popleft().set_result(permit)
        self._schedule_hand_back()

    def _schedule_hand_back(self) -> None:
        """Schedule that unused permits are handed back."""
        if self.hand_back_timer is None and self.cached.permits:
            first_at = min(it.hand_back_at for it in self.cached.permits)
            self.hand_back_timer = asyncio.get_running_loop().call_later(
                max(0, first_at - self.now()), self._hand_back
            )

    def _hand_back(self) -> None:
        """Hand back the permits that were not used in time."""
        self.hand_back_timer = None
        ids: dict[str, list[int]] = {}
        for permit in self.cached.drop_old(self.now()):
            ids.setdefault(permit.granter, []).append(permit.id)
        for granter, returned in ids.items():
            if granter:
                self.quotas.messages.hand_back(
                    granter, self.tenant.name, returned
                )
            else:
                self.holder.take_back(returned, self.now())
        self._schedule_hand_back()


@dataclass(kw_only=True, slots=True, eq=False)
class QuotaExchangeState:
    """Requests for permits that go to one rank after another."""

    # Instances that are asked next.
    ranks: list[str]
    # Permits that requests wait for, and in advance.
    count: int = 0
    extra: int = 0
    shortest_wait_s: float = math.inf
    # Timer of the request that is under way.
    timer: asyncio.TimerHandle | None = None


class Quotas:
    """Quotas of all tenants at one instance."""

    def __init__(
        self,
        *,
        own_name: str,
        bound: QuotaBound | None,
        now: Clock,
        decisions: DecisionLog,
        rng: random.Random,
    ) -> None:
        """Initialise without quotas; without a bound, there are none."""
        self.own_name = own_name
        self.bound = bound
        self.now = now
        self.decisions = decisions
        self.rng = rng
        self.messages = QuotaMessages()
        self.by_tenant: dict[str, TenantQuota] = {}
        # Members as last known; empty until they are.
        self.names: Sequence[str] = ()

    def update_tenants(self, tenants: Iterable[Tenant]) -> None:
        """Apply the quotas of a new configuration."""
        if self.bound is None:
            return
        limited = {it.name: it for it in tenants if it.rate_per_s > 0}
        for name in self.by_tenant.keys() - limited.keys():
            self.by_tenant.pop(name).close()
        for name, tenant in limited.items():
            quota = self.by_tenant.get(name)
            if quota is not None:
                quota.set_tenant(tenant, self.bound)
                continue
            quota = TenantQuota(
                quotas=self,
                tenant=tenant,
                bound=self.bound,
                first_id=self.rng.randrange(MAX_FIRST_ID),
            )
            self.by_tenant[name] = quota
            if self.names:
                quota.set_members(self.names)

    def update_members(self, names: Sequence[str]) -> None:
        """Update the instances that share the quotas with this one."""
        if names == self.names:
            return
        self.names = names
        for quota in self.by_tenant.values():
            quota.set_members(names)

    async def async_admit(self, caller: CallerRequest) -> QuotaRefusal | None:
        """Give a request a permit, or return why there is none."""
        quota = self.by_tenant.get(caller.tenant)
        if quota is None:
            return None
        taken = await quota.async_take()
        if isinstance(taken, QuotaRefusal):
            return taken
        caller.permit = taken
        return None

    def may_write(self, caller: CallerRequest, now: float) -> bool:
        """Return whether a request may be written to a target now.

        A permit counts for the time at which it was taken. A request that has
        waited longer than its lifetime needs another one, unless it has run.
        """
        permit = caller.permit
        if permit is None or caller.maybe_run or now <= permit.valid_until:
            return True
        quota = self.by_tenant.get(caller.tenant)
        if quota is None:
            return True
        caller.permit = quota.take() or permit
        return caller.permit is not permit

    def give_back(self, caller: CallerRequest) -> None:
        """Give back the permit of a request that has not run and will not."""
        quota = self.by_tenant.get(caller.tenant)
        permit, caller.permit = caller.permit, None
        if permit is not None and quota is not None and not caller.maybe_run:
            quota.give_back(permit)

    def answer(self, ask: QuotaAsk) -> QuotaReply | None:
        """Answer another instance; None if the tenant is not known here."""
        quota = self.by_tenant.get(ask.tenant)
        if quota is None:
            return None
        now = self.now()
        if not ask.holder:
            grant = quota.holder.grant(
                min(MAX_ASKED, ask.count), min(MAX_ASKED, ask.extra), now
            )
            return QuotaReply(grant=grant)
        first, _ = rank_holders(ask.tenant, (ask.holder, self.own_name))
        if first != ask.holder:
            return None
        tokens = quota.holder.release(ask.holder, now)
        return QuotaReply(grant=Grant(), tokens=tokens)

    def take_back(self, tenant: str, ids: Iterable[int]) -> None:
        """Accept permits that another instance has not used."""
        quota = self.by_tenant.get(tenant)
        if quota is not None:
            quota.holder.take_back(ids, self.now())

    def count_held(self) -> int:
        """Return the number of tenants whose quota this instance holds."""
        return sum(quota.holder.holds for quota in self.by_tenant.values())

    def record_silence(self, tenant: str, granter: str) -> None:
        """Log that an instance has not answered a request for permits."""
        self.decisions.write('quota_silence', tenant=tenant, granter=granter)
