"""Tests of the work that weak instances have with requests over many shards.

Work is counted in function calls and messages, which do not depend on the machine.
"""

import functools

from bitternturn.gateway.execution import RequestExecution
from bitternturn.gateway.gateway import Gateway
from bitternturn.gateway.work_log import STEPS_METRIC, Step
from bitternturn.relay.delegation import Delegation
from bitternturn.relay.incoming_batch import IncomingBatch
from bitternturn.relay.peer import Peer
from bitternturn.relay.server import RelayServer
from tests.call_counter import CallCounter
from tests.relay.test_work_of_parts import count_exchange_calls
from tests.relay.uneven_fleet import WEAK_NAMES, uneven_fleet

ROUNDS = 5
# A lookup over 90 shards has 60.5 ms. The ways between caller, instances and
# targets (5.6 ms) and a part that is hedged once (17 ms) leave 38 ms, of which a
# weak entry instance gets a quarter. With 0.36 cores, on a processor half as fast as
# one with 0.1 ms for a bare exchange of the HTTP parser, this is the time of 17
# exchanges.
MAX_WEAK_EXCHANGES = 17


def name_of(owner):
    """Return the name of the instance that an object belongs to."""
    gateway = owner
    if isinstance(owner, RequestExecution):
        gateway = owner.dispatcher
    elif isinstance(owner, Peer):
        gateway = owner.on_cut_off.__self__.gateway
    elif not isinstance(owner, Gateway):
        gateway = owner.gateway
    return gateway.settings.name


def around_steps_of(names, counter, step):
    """Return a method that is counted at the instances with some names."""
    counted = counter.around(step)

    @functools.wraps(step)
    def method(owner, *arguments, **named):
        """Run the step."""
        run = counted if name_of(owner) in names else step
        return run(owner, *arguments, **named)

    return method


def count_steps(monkeypatch, counter, names):
    """Let a counter count what some instances do for requests."""
    for owner, name in (
        (Gateway, '_admit'),
        (RequestExecution, 'start'),
        (RequestExecution, '_handle_timer'),
        (Delegation, '_flush'),
        (Peer, 'send_request'),
        (Peer, '_on_frame'),
        (RelayServer, 'handle_frame'),
        (IncomingBatch, 'start_some'),
        (Gateway, '_answer'),
    ):
        step = getattr(owner, name)
        monkeypatch.setattr(owner, name, around_steps_of(names, counter, step))


class TestWeakInstances:
    """Load pattern: urgent lookups at weak instances beside strong ones."""

    async def test_lookups_are_late_at_weak_instances(self, monkeypatch):
        counter = CallCounter()
        # Before the fleet starts: connections hold the methods that they call.
        count_steps(monkeypatch, counter, WEAK_NAMES)
        async with uneven_fleet() as fleet:
            entry = fleet.weak[0]
            await fleet.async_ask_patiently(entry)
            counter.count = 0
            for _ in range(ROUNDS):
                await fleet.async_ask_patiently(entry)
        exchange_calls = count_exchange_calls()
        assert counter.count / ROUNDS <= MAX_WEAK_EXCHANGES * exchange_calls

    async def test_weak_delegates_send_while_strong_ones_are_idle(self):
        async with uneven_fleet() as fleet:
            for instance in fleet.instances:
                await fleet.async_ask_patiently(instance)
            key = (STEPS_METRIC, (('step', Step.DELEGATED_SENDS.value),))
            steps = [
                instance.gateway.metrics.counts.get(key, 0)
                for instance in fleet.weak
            ]
        assert not any(steps)

    async def test_first_lookup_of_an_instance_waits_for_connections(
        self, monkeypatch
    ):
        opened = []
        async_connect = Peer._async_connect

        async def async_count(peer):
            """Count a connection that is opened."""
            opened.append(name_of(peer))
            await async_connect(peer)

        async with uneven_fleet() as fleet:
            monkeypatch.setattr(Peer, '_async_connect', async_count)
            for instance in fleet.weak:
                await fleet.async_ask_patiently(instance)
        assert WEAK_NAMES.isdisjoint(opened)
