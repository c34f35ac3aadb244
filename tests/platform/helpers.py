"""Clients of a store that listens on loopback."""

import itertools

from bitternturn.core.clock import monotonic
from bitternturn.platform.budget import CallBudget
from bitternturn.platform.follower import StoreFollower
from bitternturn.platform.store import PlatformStore
from bitternturn.platform.transport import ObjectTransport
from bitternturn.relay.delegation import Delegation


def make_store(port, timeout_s=0.5, watch_s=0.5):
    """Return a client of the store at a port."""
    return PlatformStore(
        transport=ObjectTransport(
            host='127.0.0.1',
            port=port,
            timeout_s=timeout_s,
            now=monotonic,
            budget=CallBudget(rate=1000, burst=1000),
        ),
        watch_s=watch_s,
    )


def make_follower(settings, gateway, port, tasks):
    """Return what follows the store at a port for a gateway."""
    return StoreFollower(
        settings=settings,
        gateway=gateway,
        store=make_store(port),
        delegation=Delegation(gateway=gateway, tasks=tasks),
        tasks=tasks,
    )


def count_probes(elapsed_s):
    """Return how many probes of a failing store fit into a time."""
    pauses = [0.1, 0.2, 0.4, 0.8, *[1.0] * 100]
    return sum(due <= elapsed_s for due in itertools.accumulate(pauses))
