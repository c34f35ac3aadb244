"""Instances that share the quota of one tenant, with messages but no network."""

import heapq
import itertools

from bitternturn.policy.quota import (
    ASKED_RANKS,
    PermitCache,
    QuotaHolder,
    plan_quota,
    rank_holders,
)

TENANT = 'blue'


class QuotaInstance:
    """One process with the members that it knows."""

    def __init__(self, fleet, name, members):
        self.fleet = fleet
        self.name = name
        self.members = set(members) | {name}
        self.cached = PermitCache()
        self.holder = QuotaHolder(
            plan=fleet.plan,
            window_s=fleet.bound.window_s,
            first_id=next(fleet.first_ids),
            now=fleet.now,
        )
        self.update_rank()

    @property
    def order(self):
        return rank_holders(TENANT, self.members)

    def learn(self, members):
        self.members |= set(members)
        self.update_rank()

    def update_rank(self):
        self.holder.set_rank(
            self.order.index(self.name),
            self.fleet.now,
            alone=len(self.members) == 1,
        )


class QuotaFleet:
    """Processes by name, and the messages between them."""

    def __init__(self, *, rate, burst, bound, names, delay_s=0.002):
        self.now = 100.0
        self.bound = bound
        self.delay_s = delay_s
        self.first_ids = itertools.count(0, 1_000_000)
        self.set_quota(rate, burst)
        self.instances = {}
        for name in names:
            self.instances[name] = QuotaInstance(self, name, names)
        # Messages that arrive later: time, number and action.
        self.messages = []
        self.numbers = itertools.count()
        self.used_at = []

    def set_quota(self, rate, burst):
        self.rate, self.burst = rate, burst
        self.plan = plan_quota(rate, burst, self.bound)

    def send(self, action, delay_s=None):
        """Let something happen after the delay of a message."""
        delay_s = self.delay_s if delay_s is None else delay_s
        heapq.heappush(
            self.messages, (self.now + delay_s, next(self.numbers), action)
        )

    def run(self, until):
        """Deliver the messages up to a time."""
        while self.messages and self.messages[0][0] <= until:
            due_at, _, action = heapq.heappop(self.messages)
            self.now = max(self.now, due_at)
            action()
        self.now = max(self.now, until)

    def ask_to_hold(self, instance):
        """Let an instance ask the next rank to confirm it."""
        if not instance.holder.needs_confirmation:
            return
        order = instance.order
        if len(order) < 2:
            instance.holder.confirm(0, self.now)
            return
        other = self.instances.get(order[1])
        if other is None:
            return

        def answer():
            if self.instances.get(other.name) is not other:
                return
            tokens = other.holder.release(instance.name, self.now)
            # It is registered, so that a later process of the other knows it.
            other.learn([instance.name])
            self.send(lambda: instance.holder.confirm(tokens, self.now))

        self.send(answer)

    def confirm_all(self):
        """Let every first rank be confirmed."""
        for instance in self.instances.values():
            self.ask_to_hold(instance)
        self.run(self.now + 10 * self.delay_s)

    def hand_back(self, instance, now):
        """Let an instance hand back the permits that it has not used."""
        for permit in instance.cached.drop_old(now):
            self.hand_back_permit(permit)

    def hand_back_permit(self, permit, delay_s=None):
        granter = self.instances.get(permit.granter)
        if granter is not None:
            self.send(
                lambda: granter.holder.take_back([permit.id], self.now),
                delay_s,
            )

    def ranks(self, instance):
        """Return the instances that one asks, in order."""
        return instance.order[:ASKED_RANKS]

    def ask(self, instance, granter_name, count, extra, on_grant, **delays):
        """Ask for permits; `on_grant` gets the grant and the permits."""
        asked_at = self.now
        granter = self.instances.get(granter_name)
        if granter is None:
            return

        def answer():
            if self.instances.get(granter_name) is not granter:
                return
            grant = granter.holder.grant(count, extra, self.now)
            permits = grant.make_permits(granter_name, asked_at)
            self.send(
                lambda: on_grant(grant, permits), delays.get('reply_delay_s')
            )

        self.send(answer, delays.get('ask_delay_s'))
