"""Simulation of callers, instances and targets of one service, without a network.

Targets run two requests at once, hold 12 in their queue and reject the others. An
instance sends a rejected request to another target once. Callers return when they
are told to, with the time that they have left, until their deadline.
"""

import heapq
import itertools
import random
from collections import Counter

from bitternturn.policy.overload import OverloadControl
from bitternturn.policy.return_times import ReturnTimes

SLOTS = 2
QUEUE = 12
SERVICE_S = 0.02
DEADLINE_S = 1.0
CONSTANT_RETURN_S = 0.1
SERVICES = ('s',)
# Attempts of one caller.
MAX_ATTEMPTS = 6


class SimulatedTarget:
    """A target with slots and a queue."""

    def __init__(self, name):
        self.name = name
        self.running = 0
        self.queue = []
        self.failing = False


class SimulatedInstance:
    """State of one instance."""

    def __init__(self):
        self.control = OverloadControl()
        self.returns = ReturnTimes()


class Simulation:
    """Replays arrivals of tenants; counts what became of them."""

    def __init__(self, *, controlled, instances=1, targets=4, seed=1):
        self.rng = random.Random(seed)
        self.controlled = controlled
        self.instances = [SimulatedInstance() for _ in range(instances)]
        self.targets = [SimulatedTarget(f't{it}') for it in range(targets)]
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.asked = Counter()
        self.served = Counter()
        self.rejections = Counter()
        self.admitted = 0
        self.runs = 0
        self.wasted = 0
        # Latencies of the attempts that were answered.
        self.latencies_s = []
        # Times of the rejections at arrival.
        self.rejected_at = []

    def at(self, when, call, *arguments):
        """Schedule a call."""
        heapq.heappush(self.events, (when, next(self.order), call, arguments))

    def add_load(self, request_class, per_s, start_s, end_s):
        """Schedule the first attempts of a class at random times."""
        when = start_s + self.rng.expovariate(per_s)
        while when < end_s:
            self.at(when, self.arrive, request_class, when + DEADLINE_S, 1)
            when += self.rng.expovariate(per_s)

    def run(self):
        """Run all events."""
        while self.events:
            self.now, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)

    def arrive(self, request_class, deadline, attempt):
        """Let an attempt arrive at an instance."""
        if attempt == 1:
            self.asked[request_class] += 1
        instance = self.rng.choice(self.instances)
        if self.controlled:
            rejection = instance.control.decide(
                SERVICES,
                min_parts=1,
                request_class=request_class,
                remaining_s=deadline - self.now,
                now=self.now,
            )
            if rejection is not None:
                self.rejections[rejection] += 1
                self.rejected_at.append(self.now)
                self.refuse(instance, request_class, deadline, attempt)
                return
        self.admitted += 1
        request = (instance, request_class, deadline, attempt, self.now)
        self.send(request, self.rng.sample(self.targets, 2))

    def send(self, request, targets):
        """Send a request to the first of some targets."""
        instance, request_class, deadline, attempt, _ = request
        if not targets:
            self.refuse(instance, request_class, deadline, attempt)
            return
        target = targets[0]
        if target.failing:
            self.send(request, targets[1:])
        elif target.running < SLOTS:
            self.start(target, request)
        elif len(target.queue) < QUEUE:
            target.queue.append(request)
        else:
            instance.control.loads['s'].record_shed(target.name, self.now)
            self.send(request, targets[1:])

    def start(self, target, request):
        """Run a request."""
        target.running += 1
        self.runs += 1
        took_s = self.rng.uniform(0.5, 1.5) * SERVICE_S
        self.at(self.now + took_s, self.finish, target, request)

    def finish(self, target, request):
        """Answer a request and run the next one."""
        target.running -= 1
        instance, request_class, deadline, _, arrived_at = request
        in_time = self.now <= deadline
        if in_time:
            self.served[request_class] += 1
            latency_s = self.now - arrived_at
            self.latencies_s.append(latency_s)
            instance.control.loads['s'].record_answer(
                target.name, latency_s, self.now, own=True
            )
            instance.returns.record_answer(self.now)
        self.wasted += not in_time
        if target.queue:
            self.start(target, target.queue.pop(0))

    def refuse(self, instance, request_class, deadline, attempt):
        """Tell a caller when to return; it does so if it has time left."""
        wait_s = CONSTANT_RETURN_S
        if self.controlled:
            wait_s = instance.returns.book(
                priority=request_class[0],
                remaining_s=deadline - self.now,
                now=self.now,
            )
        if attempt < MAX_ATTEMPTS and self.now + wait_s < deadline:
            self.at(
                self.now + wait_s,
                self.arrive,
                request_class,
                deadline,
                attempt + 1,
            )

    def ratio(self, *classes):
        """Return the share of the requests of some classes that is served."""
        asked = sum(self.asked[it] for it in classes)
        return sum(self.served[it] for it in classes) / asked
