"""Model of instances that keep the quota of one tenant together."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bitternturn.policy.quota import ASKED_RANKS, QuotaBound, rank_holders
from tests.policy.quota_fleet import TENANT, QuotaFleet, QuotaInstance

# Tight, so that a few requests too many in a window exceed it.
BOUND = QuotaBound(window_s=5, excess=0.05, slack=4)
QUOTAS = st.sampled_from([(0.5, 0), (2, 40), (20, 30), (60, 0)])
CHOICES = st.randoms(use_true_random=False)


class QuotaMachine(RuleBasedStateMachine):
    """Requests, failures and changes of the members in any order.

    Assumptions: the members that an instance knows are never fewer than before,
    also after a restart, and one new member at a time is unknown to others.
    """

    @initialize(count=st.sampled_from([1, 2, 5, 9]), quota=QUOTAS)
    def start(self, count, quota):
        names = [f'front-{number}' for number in range(count)]
        self.fleet = QuotaFleet(
            rate=quota[0], burst=quota[1], bound=BOUND, names=names
        )
        self.next_number = count
        # Side of a partition by instance.
        self.sides = {}
        self.paused_until = {}
        self.outdated = set()
        # Permits in use, and those that requests hold without having been sent.
        self.held = []
        # Whether requests wait with their permits as long as they may.
        self.late = False
        self.counted_from = 0
        self.fleet.confirm_all()

    @property
    def names(self):
        return sorted(self.fleet.instances)

    def connected(self, one, other):
        return self.sides.get(one, 0) == self.sides.get(other, 0)

    def awake(self, name):
        return self.paused_until.get(name, 0) <= self.fleet.now

    def ask(self, name, count, extra, reply_delay_s, *, lost=False):
        """Ask all ranks that can be reached for permits and use them."""
        instance = self.fleet.instances[name]
        for granter in self.fleet.ranks(instance):
            if not self.connected(name, granter) or not self.awake(granter):
                continue
            self.fleet.ask(
                instance,
                granter,
                count,
                extra,
                lambda _, permits: None if lost else self.use(name, permits),
                ask_delay_s=0.001,
                reply_delay_s=reply_delay_s,
            )

    def use(self, name, permits):
        """Use permits as soon as possible, or keep them while paused."""
        instance = self.fleet.instances.get(name)
        if instance is None:
            return
        if not self.awake(name):
            self.held += permits
            return
        for permit in permits:
            if self.late:
                delay_s = permit.valid_until - self.fleet.now
                self.fleet.send(
                    lambda permit=permit: self.run_request(permit), delay_s
                )
            else:
                self.run_request(permit)

    def run_request(self, permit):
        if self.fleet.now <= permit.valid_until:
            self.fleet.used_at.append(self.fleet.now)

    @rule(seconds=st.sampled_from([0.01, 0.3, 1, 4, 20]))
    def wait(self, seconds):
        self.fleet.run(self.fleet.now + seconds)

    @rule(
        seconds=st.sampled_from([0.1, 1, 5.5]),
        step_s=st.sampled_from([0.05, 0.3]),
        reply_delay_s=st.sampled_from([0.001, 0.1, 0.5]),
        late=st.booleans(),
    )
    def ask_everywhere(self, seconds, step_s, reply_delay_s, late=False):
        """All instances use as many permits as they can get."""
        self.late = late
        until = self.fleet.now + seconds
        while self.fleet.now < until:
            for name in self.names:
                if self.awake(name):
                    self.ask(name, 40, 0, reply_delay_s)
            self.fleet.run(self.fleet.now + step_s)

    @rule(seconds=st.sampled_from([0.1, 4]), late=st.booleans())
    def rest_and_ask(self, seconds, late):
        """All instances use the credit that has been saved."""
        self.fleet.run(self.fleet.now + 30)
        self.ask_everywhere(seconds, 0.05, 0.001, late)

    @rule(cycles=st.sampled_from([3, 40]))
    def recycle(self, cycles):
        """Permits are asked for, handed back unused in time, and so on.

        In the end all that are left are used at once, and more afterwards.
        """
        self.fleet.run(self.fleet.now + 30)
        for _ in range(cycles):
            self.fleet.run(self.fleet.now + self.fleet.plan.lifetime_s * 0.4)
            for name in self.names:
                instance = self.fleet.instances[name]
                self.fleet.hand_back(instance, self.fleet.now)
                holder = instance.order[0]
                if self.connected(name, holder) and self.awake(holder):
                    self.fleet.ask(
                        instance,
                        holder,
                        100,
                        0,
                        lambda _, permits, cached=instance.cached: cached.add(
                            permits
                        ),
                    )
            self.fleet.run(self.fleet.now + 0.01)
        self.use_pockets()
        self.ask_everywhere(5, 0.05, 0.001)

    @rule(choice=CHOICES, lost=st.booleans())
    def hoard(self, choice, lost):
        """Instances ask for permits in advance; some replies are lost."""
        for name in self.names:
            if not self.awake(name):
                continue
            instance = self.fleet.instances[name]
            for granter in self.fleet.ranks(instance):
                if self.connected(name, granter) and self.awake(granter):
                    self.fleet.ask(
                        instance,
                        granter,
                        choice.choice([1, 5, 60]),
                        0,
                        lambda _, permits, cached=instance.cached: (
                            None if lost else cached.add(permits)
                        ),
                    )
        self.fleet.run(self.fleet.now + 0.01)

    @rule(delay_s=st.sampled_from([0.001, 0.2, 2]))
    def hand_back_unused(self, delay_s):
        """Permits come back in time or late."""
        for instance in self.fleet.instances.values():
            for permit in instance.cached.drop_old(self.fleet.now):
                self.fleet.hand_back_permit(permit, delay_s)

    @rule(again=st.booleans())
    def hand_back_at_once(self, again):
        """Requests end as not run; the message may arrive twice."""
        for instance in self.fleet.instances.values():
            for permit in instance.cached.permits:
                self.fleet.hand_back_permit(permit)
                if again:
                    self.fleet.hand_back_permit(permit, 0.01)
            instance.cached.permits.clear()

    @rule()
    def use_pockets(self):
        """Requests use all permits that were asked for in advance."""
        for name in self.names:
            cached = self.fleet.instances[name].cached
            while self.awake(name):
                permit = cached.take(self.fleet.now)
                if permit is None:
                    break
                self.run_request(permit)

    @rule(choice=CHOICES)
    def restart(self, choice):
        """A process ends and the next one begins at once."""
        name = choice.choice(self.names)
        members = self.fleet.instances[name].members
        self.fleet.instances[name] = QuotaInstance(self.fleet, name, members)
        self.paused_until.pop(name, None)

    @rule()
    def restart_holder(self):
        """The holder ends when its credit has just been used."""
        self.rest_and_ask(0.1, False)
        holder = rank_holders(TENANT, self.names)[0]
        members = self.fleet.instances[holder].members
        self.fleet.instances[holder] = QuotaInstance(
            self.fleet, holder, members
        )
        self.confirm()
        self.ask_everywhere(1, 0.05, 0.001)

    @precondition(lambda self: len(self.fleet.instances) > 1)
    @rule(choice=CHOICES)
    def kill(self, choice):
        """The members that others know do not change by it."""
        name = choice.choice(self.names)
        del self.fleet.instances[name]
        self.outdated.discard(name)

    @precondition(lambda self: not self.outdated)
    @rule(tell=st.booleans(), first=st.booleans())
    def join(self, tell, first):
        """A new instance knows all others, which may not know it yet."""
        members = set().union(
            *(it.members for it in self.fleet.instances.values())
        )
        while True:
            name = f'front-{self.next_number}'
            self.next_number += 1
            order = rank_holders(TENANT, {*members, name})
            if not first or order.index(name) < ASKED_RANKS:
                break
        self.outdated = set(self.names)
        self.fleet.instances[name] = QuotaInstance(self.fleet, name, members)
        if tell:
            self.tell_members()
        self.confirm()

    @rule()
    def tell_members(self):
        """All instances learn all members, also those that are gone."""
        members = set().union(
            *(it.members for it in self.fleet.instances.values())
        )
        for instance in self.fleet.instances.values():
            instance.learn(members)
        self.outdated = set()

    @rule()
    def confirm(self):
        """First ranks ask the next one, if they reach it."""
        for name in self.names:
            instance = self.fleet.instances[name]
            order = instance.order
            reached = len(order) < 2 or (
                self.connected(name, order[1]) and self.awake(order[1])
            )
            if reached and self.awake(name):
                self.fleet.ask_to_hold(instance)
        self.fleet.run(self.fleet.now + 0.01)

    @rule(choice=CHOICES)
    def part(self, choice):
        self.sides = {name: choice.randrange(2) for name in self.names}

    @rule()
    def heal(self):
        self.sides = {}

    @rule(seconds=st.sampled_from([0.4, 3]), choice=CHOICES)
    def pause(self, seconds, choice):
        """A paused process uses what it had once it goes on, if still valid."""
        name = choice.choice(self.names)
        self.ask(name, 20, 0, 0.01)
        self.paused_until[name] = self.fleet.now + seconds
        self.fleet.run(self.fleet.now + seconds)
        for permit in self.held:
            self.run_request(permit)
        self.held = []

    @rule(quota=QUOTAS)
    def change_quota(self, quota):
        """Every instance learns it; windows that begin before do not count."""
        self.fleet.set_quota(*quota)
        for instance in self.fleet.instances.values():
            instance.holder.set_plan(self.fleet.plan, self.fleet.now)
        self.counted_from = self.fleet.now + BOUND.window_s
        self.fleet.used_at = []

    @invariant()
    def no_window_exceeds_the_bound(self):
        used = [at for at in self.fleet.used_at if at >= self.counted_from]
        limit = BOUND.limit(self.fleet.rate, self.fleet.burst)
        first = 0
        for last, at in enumerate(used):
            while at - used[first] > BOUND.window_s:
                first += 1
            count = last - first + 1
            assert count <= limit + 1e-6, (count, limit)
        oldest = self.fleet.now - 2 * BOUND.window_s
        self.fleet.used_at = [at for at in self.fleet.used_at if at > oldest]


TestQuotaMachine = QuotaMachine.TestCase
TestQuotaMachine.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
)
