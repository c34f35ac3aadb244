"""Token buckets that keep the requests of a tenant within its quota.

Guards against more requests than a quota allows while several instances decide:
after restarts, in a partition, and while instances disagree about the members.

The first instance in the order of a tenant, the holder, takes each permit from a
bucket of the nominal rate. The next ranks, the reserves, take theirs from small
buckets. All of them together stay within the bound by construction; `plan_quota`
divides what the bound leaves above the nominal quota.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from bitternturn.policy.rendezvous import hash_share

# Ranks that are asked: the holder and two reserves.
ASKED_RANKS: Final = 3
# Reserves that may grant permits at the same time. One more than are asked: an
# instance that has just joined moves the ranks only where it is known.
RESERVE_BUCKETS: Final = 3
# Maximum lifetime of a permit, in seconds.
MAX_LIFETIME_S: Final = 1.0
# Parts of what the bound leaves above the nominal quota: for permits that are
# used late, for tokens that the holder saves between two requests for permits,
# and for the reserves.
LIFETIME_PART: Final = 1 / 3
SAVED_PART: Final = 1 / 6
RESERVE_PART: Final = 1 / 2
# Time for which the holder saves tokens at most, in seconds: a multiple of the
# time in which an instance asks again.
MAX_SAVED_S: Final = 0.25
# Time that is stated if no credit is expected, in seconds.
MAX_WAIT_S: Final = 60.0
# Part of its lifetime after which an unused permit is handed back. The rest is
# the time in which it reaches the instance that granted it.
HAND_BACK_PART: Final = 0.75
# An instance asks for as many permits in advance as requests have used in this
# time, in seconds: a few round trips between instances.
EXTRA_S: Final = 0.02
# Maximum number of permits that are asked for in advance.
MAX_EXTRA: Final = 64
# Tolerance for rounding errors, in requests.
EPSILON: Final = 1e-9


@dataclass(kw_only=True, frozen=True, slots=True)
class QuotaBound:
    """Bound of the requests of each tenant in any window.

    A window of `window_s` seconds holds at most (rate × `window_s` + burst) ×
    (1 + `excess`) + `slack` requests from all instances.
    """

    window_s: float
    excess: float
    slack: float

    def limit(self, rate: float, burst: float) -> float:
        """Return the maximum number of requests in a window."""
        nominal = rate * self.window_s + burst
        return nominal * (1 + self.excess) + self.slack


@dataclass(kw_only=True, frozen=True, slots=True)
class BucketSize:
    """Requests per second, and tokens that a bucket holds at most."""

    rate: float
    capacity: float

    def most(self, time_s: float) -> float:
        """Return the maximum number of permits in some time."""
        return self.capacity + self.rate * time_s if self.capacity >= 1 else 0


EMPTY: Final = BucketSize(rate=0, capacity=0)


@dataclass(kw_only=True, frozen=True, slots=True)
class QuotaPlan:
    """Sizes of the buckets of a tenant, and the lifetime of its permits."""

    holder: BucketSize
    reserve: BucketSize
    # Time from the request for a permit until its use, in seconds.
    lifetime_s: float


def plan_quota(rate: float, burst: float, bound: QuotaBound) -> QuotaPlan:
    """Return how the bound of a tenant is divided.

    The permits that are used in a window were taken in a time that is longer by
    their lifetime. The holder and all reserves together take at most the limit
    of the bound in it.
    """
    limit = bound.limit(rate, burst)
    spare = limit - rate * bound.window_s - burst
    lifetime_s = min(MAX_LIFETIME_S, spare * LIFETIME_PART / rate)
    taken_s = bound.window_s + lifetime_s
    saved = min(rate * MAX_SAVED_S, spare * SAVED_PART)
    reserve = _plan_reserve(spare * RESERVE_PART / RESERVE_BUCKETS, taken_s)
    left = limit - RESERVE_BUCKETS * reserve.most(taken_s)
    holder = EMPTY
    capacity = max(1, burst + saved)
    if left >= capacity:
        holder = BucketSize(
            rate=min(rate, (left - capacity) / taken_s), capacity=capacity
        )
    return QuotaPlan(holder=holder, reserve=reserve, lifetime_s=lifetime_s)


def _plan_reserve(part: float, taken_s: float) -> BucketSize:
    """Return the bucket of a reserve with a part of the bound, if it has any."""
    if part < 1:
        return EMPTY
    capacity = max(1, part / 2)
    return BucketSize(rate=(part - capacity) / taken_s, capacity=capacity)


def rank_holders(tenant: str, names: Iterable[str]) -> list[str]:
    """Return the instances in the order in which they hold a quota."""
    return sorted(names, key=lambda name: (-hash_share(tenant, name), name))


class GrantBucket:
    """Token bucket whose permits may be handed back within their lifetime.

    It starts empty, so that any number of restarts grants no more than one
    bucket that goes on. Tokens and unexpired permits together never exceed the
    capacity and what a lifetime adds; otherwise permits that are handed back and
    granted again would let unused credit grow with time.
    """

    __slots__ = ('filled_at', 'granted', 'level', 'lifetime_s', 'size')

    def __init__(
        self, *, size: BucketSize, lifetime_s: float, filled_at: float
    ) -> None:
        """Initialise an empty bucket that is filled from some time on."""
        self.size = size
        self.lifetime_s = lifetime_s
        self.level: float = 0
        self.filled_at = filled_at
        # When each permit expires that is not handed back, by id.
        self.granted: dict[int, float] = {}

    def resize(self, size: BucketSize, lifetime_s: float, now: float) -> None:
        """Change the size; tokens above its capacity are void."""
        self._fill(now)
        self.size = size
        self.lifetime_s = lifetime_s
        self._limit_level()

    def restart(self, filled_at: float) -> None:
        """Void all tokens, fill from some time on, and accept nothing back."""
        self.level = 0
        self.granted = {}
        self.filled_at = filled_at

    def add(self, tokens: float, now: float) -> None:
        """Add tokens that another bucket had."""
        self._fill(now)
        self.level += tokens
        self._limit_level()

    def take(
        self, ids: Iterable[int], now: float, *, left: float = 0
    ) -> list[int]:
        """Grant permits as long as some tokens are left; return their ids."""
        self._fill(now)
        taken: list[int] = []
        for permit in ids:
            if self.level - left < 1 - EPSILON:
                break
            self.level -= 1
            self.granted[permit] = now + self.lifetime_s
            taken.append(permit)
        return taken

    def take_back(self, permit: int, now: float) -> None:
        """Accept an unused permit once and within its lifetime.

        A later one counts as used.
        """
        self._fill(now)
        if self.granted.pop(permit, now) > now:
            self.level += 1
            self._limit_level()

    def wait_s(self, now: float) -> float:
        """Return the time until the next permit, in seconds."""
        self._fill(now)
        missing = 1 - self.level
        if missing <= EPSILON:
            return 0
        wait_s = MAX_WAIT_S
        if missing < self.size.rate * MAX_WAIT_S and self.size.capacity >= 1:
            wait_s = missing / self.size.rate
        return min(MAX_WAIT_S, wait_s + max(0, self.filled_at - now))

    def _fill(self, now: float) -> None:
        """Add the tokens of the time since the last call."""
        while self.granted:
            oldest = next(iter(self.granted))
            if self.granted[oldest] > now:
                break
            del self.granted[oldest]
        self.level += max(0, now - self.filled_at) * self.size.rate
        self.filled_at = max(now, self.filled_at)
        self._limit_level()

    def _limit_level(self) -> None:
        """Void the tokens above the capacity; see the class."""
        capacity = self.size.capacity
        most = capacity + self.size.rate * self.lifetime_s - len(self.granted)
        self.level = max(0, min(self.level, capacity, most))


@dataclass(kw_only=True, frozen=True, slots=True)
class Permit:
    """Permission for one request of a tenant.

    The times are on the clock of the instance that asked for it.
    """

    id: int
    # Instance that granted it, empty for this one.
    granter: str
    # When it is handed back unless it is in use, and until when a request that
    # has it may be sent.
    hand_back_at: float
    valid_until: float


@dataclass(kw_only=True, frozen=True, slots=True)
class Grant:
    """Reply to a request for permits."""

    # Ids of the granted permits.
    ids: Sequence[int] = ()
    # Lifetime from the time at which the permits were asked for, in seconds.
    lifetime_s: float = 0
    # Time until the next permit, in seconds; 0 if one is left.
    wait_s: float = 0
    # Whether the instance holds the nominal quota.
    holds: bool = False

    def make_permits(self, granter: str, asked_at: float) -> list[Permit]:
        """Return the permits, which were asked for at some time.

        The lifetime starts when they were asked for, which is before they were
        granted: a slow reply shortens it, and needs no common clock.
        """
        return [
            Permit(
                id=number,
                granter=granter,
                hand_back_at=asked_at + self.lifetime_s * HAND_BACK_PART,
                valid_until=asked_at + self.lifetime_s,
            )
            for number in self.ids
        ]


class QuotaHolder:
    """What one instance grants of the quota of one tenant.

    The first rank holds the nominal quota only when the next one has confirmed
    it, and so has stopped to hold it itself. A reserve grants permits from a
    window after it has become one, so that no window contains those of more
    reserves than there are at one time.
    """

    def __init__(
        self, *, plan: QuotaPlan, window_s: float, first_id: int, now: float
    ) -> None:
        """Initialise without a rank.

        `first_id` differs between processes, so that permits of an earlier one
        are not accepted back.
        """
        self.plan = plan
        self.window_s = window_s
        self.next_id = first_id
        self.holder_bucket = GrantBucket(
            size=plan.holder, lifetime_s=plan.lifetime_s, filled_at=now
        )
        self.reserve_bucket = GrantBucket(
            size=plan.reserve,
            lifetime_s=plan.lifetime_s,
            filled_at=now + window_s + plan.lifetime_s,
        )
        # Number of instances that rank before this one, as far as it knows.
        self.rank = ASKED_RANKS
        # Whether the instance holds the nominal quota.
        self.holds = False
        # Instances that rank before this one and have announced themselves.
        self.superiors: set[str] = set()

    @property
    def reserve(self) -> bool:
        """Whether the instance is one of the reserves."""
        return not self.holds and self.rank < ASKED_RANKS

    @property
    def needs_confirmation(self) -> bool:
        """Whether the next rank has to confirm that this one holds the quota."""
        return not self.rank and not self.holds

    def set_plan(self, plan: QuotaPlan, now: float) -> None:
        """Apply a changed quota."""
        self.plan = plan
        self.holder_bucket.resize(plan.holder, plan.lifetime_s, now)
        self.reserve_bucket.resize(plan.reserve, plan.lifetime_s, now)

    def set_rank(self, rank: int, now: float, *, alone: bool = False) -> None:
        """Update the rank among the members that this instance knows.

        `alone` is whether there is no instance that could confirm it.
        """
        was_reserve = self.reserve
        self.rank = max(rank, len(self.superiors))
        if self.rank:
            self._stop_holding(now)
        elif alone:
            self.confirm(0, now)
        if self.reserve and not was_reserve:
            self._start_reserve(now)

    def confirm(self, tokens: float, now: float) -> None:
        """Hold the nominal quota; the previous holder had some tokens left."""
        if self.needs_confirmation:
            self.holds = True
            self.holder_bucket.restart(now)
            self.holder_bucket.add(tokens, now)

    def release(self, superior: str, now: float) -> float:
        """Confirm an instance that ranks before this one; return the tokens."""
        self.holder_bucket.add(0, now)
        tokens = self.holder_bucket.level if self.holds else 0
        self.superiors.add(superior)
        self.set_rank(self.rank, now)
        return tokens

    def grant(self, count: int, extra: int, now: float) -> Grant:
        """Grant permits for waiting requests and extra ones for later.

        Extra permits leave half of the tokens to requests that wait.
        """
        if not (self.holds or self.reserve):
            return Grant(wait_s=MAX_WAIT_S)
        bucket = self.holder_bucket if self.holds else self.reserve_bucket
        ids = bucket.take(range(self.next_id, self.next_id + count), now)
        if len(ids) == count:
            first = self.next_id + count
            ids += bucket.take(
                range(first, first + extra), now, left=bucket.level / 2
            )
        self.next_id += count + extra
        return Grant(
            ids=ids,
            lifetime_s=self.plan.lifetime_s,
            wait_s=bucket.wait_s(now),
            holds=self.holds,
        )

    def take_back(self, ids: Iterable[int], now: float) -> None:
        """Accept unused permits."""
        for permit in ids:
            self.holder_bucket.take_back(permit, now)
            self.reserve_bucket.take_back(permit, now)

    def _start_reserve(self, now: float) -> None:
        """Grant as a reserve once a window has passed."""
        self.reserve_bucket.restart(now + self.window_s + self.plan.lifetime_s)

    def _stop_holding(self, now: float) -> None:
        """Stop to grant the nominal quota and accept nothing of it back."""
        self.holds = False
        self.holder_bucket.restart(now)


class PermitCache:
    """Unused permits of one instance for one tenant, and how many it wants."""

    __slots__ = ('permits', 'used_at')

    def __init__(self) -> None:
        """Initialise without permits."""
        self.permits: deque[Permit] = deque()
        # When requests have used permits lately.
        self.used_at: deque[float] = deque(maxlen=MAX_EXTRA)

    def add(self, permits: Iterable[Permit]) -> None:
        """Add permits."""
        self.permits.extend(permits)

    def take(self, now: float) -> Permit | None:
        """Return a permit for a request, None if there is none."""
        for _ in range(len(self.permits)):
            permit = self.permits.popleft()
            if now < permit.hand_back_at:
                return permit
            self.permits.append(permit)
        return None

    def record_use(self, now: float) -> None:
        """Record that a request has a permit."""
        self.used_at.append(now)

    def drop_old(self, now: float) -> list[Permit]:
        """Return the permits that are handed back, and remove them."""
        old = [it for it in self.permits if now >= it.hand_back_at]
        if old:
            self.permits = deque(
                it for it in self.permits if now < it.hand_back_at
            )
        return old

    def count_missing(self, lifetime_s: float, now: float) -> int:
        """Return how many permits to ask for beyond those that requests need.

        It is 0 if requests are so rare that a permit would be handed back.
        """
        recent = sum(now - used < EXTRA_S for used in self.used_at)
        if not recent:
            repeated = len(self.used_at) > 1
            frequent = (
                repeated and self.used_at[-1] - self.used_at[-2] < lifetime_s
            )
            recent = int(frequent)
        return max(0, recent - len(self.permits))
