"""Model of instances that observe the rate limit of one target together."""

import random
from types import SimpleNamespace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.gateway.rate_limits import RateLimit, RateLimits
from bitternturn.standins.rate_limit_check import (
    allowed_requests,
    find_crowded_windows,
)

ENTRY = SimpleNamespace(id='t', service='s')
DECISIONS = SimpleNamespace(write=lambda kind, **fields: None)
PERIOD_S = 30.0
RATES = st.sampled_from([0.05, 0.5, 1, 2, 3, 4, 5, 7.2, 12, 30])


class Instance:
    """An instance with the members that it knows."""

    def __init__(self, name, names):
        self.limits = RateLimits(
            own_name=name,
            decisions=DECISIONS,
            metrics=GatewayMetrics(),
            rng=random.Random(name),
        )
        self.limits.update_instances(names)
        self.limit = RateLimit()

    def learn(self, per_s, now):
        self.limits.update(ENTRY, self.limit, per_s, now)

    def try_send(self, now):
        return self.limits.try_take(ENTRY, self.limit, now)


class RateLimitMachine(RuleBasedStateMachine):
    """Requests, members and limits that change in any order."""

    @initialize(
        count=st.sampled_from([1, 3, 8, 30]),
        per_s=RATES,
    )
    def start(self, count, per_s):
        self.now = 100.0
        self.names = [f'front-{number}' for number in range(count)]
        self.instances = {
            name: Instance(name, list(self.names)) for name in self.names
        }
        self.next_number = count
        self.paused_until = {}
        # Instances that do not know the newest members yet.
        self.outdated = set()
        self.sent_at = []
        self.name_limit(per_s)

    def name_limit(self, per_s):
        self.per_s = per_s
        self.sent_at = []
        for instance in self.instances.values():
            instance.learn(per_s, self.now)

    @rule(per_s=RATES)
    def change_limit(self, per_s):
        """Every instance learns it; windows before it are not counted."""
        self.name_limit(per_s)

    @rule()
    def lift_limit_for_a_moment(self):
        for instance in self.instances.values():
            instance.learn(None, self.now)
        self.name_limit(self.per_s)

    @rule(seconds=st.sampled_from([0.01, 0.3, 1, 4, 20]))
    def wait(self, seconds):
        self.now += seconds

    @rule()
    def rest_and_ask_all(self):
        """All instances use the bursts that they have saved."""
        self.now += 20
        self.ask_all(4.5, 0.05)

    @rule(
        seconds=st.sampled_from([0.1, 1, 3, 4.5]),
        step_s=st.sampled_from([0.02, 0.1, 0.37]),
    )
    def ask_all(self, seconds, step_s):
        """Callers ask every instance again and again."""
        until = self.now + seconds
        while self.now < until:
            for name, instance in self.instances.items():
                if self.paused_until.get(name, 0) > self.now:
                    continue
                while instance.try_send(self.now):
                    self.sent_at.append(self.now)
            self.now += step_s

    @precondition(lambda self: not self.outdated)
    @rule(tell=st.booleans())
    def join(self, tell):
        """A new instance knows all others, which may not know it yet."""
        name = f'front-{self.next_number}'
        self.next_number += 1
        self.outdated = set(self.instances)
        self.names = [*self.names, name]
        instance = Instance(name, self.names)
        instance.learn(self.per_s, self.now)
        self.instances[name] = instance
        if tell:
            self.tell_members()

    @precondition(lambda self: len(self.instances) > 1)
    @rule(choice=st.randoms(use_true_random=False))
    def kill(self, choice):
        """The members that others know do not change by it."""
        name = choice.choice(sorted(self.instances))
        del self.instances[name]
        self.outdated.discard(name)

    @precondition(lambda self: len(self.instances) > 1)
    @rule(choice=st.randoms(use_true_random=False))
    def forget_dead(self, choice):
        """Some instances learn of the dead members, the others do not."""
        if self.outdated:
            return
        alive = sorted(self.instances)
        if len(self.names) - len(alive) > 1:
            return
        for name in alive:
            if choice.random() < 0.5:
                self.instances[name].limits.update_instances(alive)

    @rule()
    def tell_members(self):
        """All instances learn the members that are alive."""
        self.names = sorted(self.instances)
        self.outdated = set()
        for instance in self.instances.values():
            instance.limits.update_instances(self.names)

    @rule(
        seconds=st.floats(0.5, 8),
        choice=st.randoms(use_true_random=False),
    )
    def pause(self, seconds, choice):
        """A paused process wakes with the members that it knew."""
        name = choice.choice(sorted(self.instances))
        self.paused_until[name] = self.now + seconds
        self.instances[name].limits.void_permits(self.now + seconds)

    @invariant()
    def no_window_exceeds_the_bound(self):
        crowded = [
            len(window)
            for window in find_crowded_windows(
                self.sent_at,
                allowed=allowed_requests(self.per_s) + 1e-6,
                ends_from=0,
            )
        ]
        assert not crowded, (crowded, self.per_s, len(self.instances))
        self.sent_at = [it for it in self.sent_at if it > self.now - PERIOD_S]


TestRateLimitMachine = RateLimitMachine.TestCase
TestRateLimitMachine.settings = settings(
    max_examples=120, stateful_step_count=30, deadline=None, derandomize=True
)
