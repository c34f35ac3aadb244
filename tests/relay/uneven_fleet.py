"""Weak and strong instances with the targets of a route over many shards."""

import asyncio
import contextlib

from bitternturn.core.ids import FailureDomain
from bitternturn.relay.warm_connections import open_connections
from bitternturn.standins.platform_target import PlatformTarget
from tests.gateway.helpers import make_entry, make_shard_route
from tests.platform.test_mirror import async_until
from tests.relay.linked_fleet import LinkedFleet
from tests.relay.target_thread import targets_in_thread

SHARDS = 90
REPLICAS = 3
# Failure domains of the targets; each has a strong instance and two weak ones.
DOMAINS = ('a', 'b', 'c')
INSTANCES = 9
# Names of the weak instances, which come after the strong ones.
WEAK_NAMES = frozenset(
    f'i{number}' for number in range(len(DOMAINS), INSTANCES)
)
STRONG_CORES = 2.15
WEAK_CORES = 0.36
# Longer than any run of the tests takes.
PATIENT_S = 60.0
# Time in which an instance opens connections before its first request.
SETTLING_S = 1.0
PATH = '/all/x'


class UnevenFleet(LinkedFleet):
    """Instances of different strength, the first of each domain strong."""

    def cores_of(self, number):
        return STRONG_CORES if number < len(DOMAINS) else WEAK_CORES

    def make_entries(self, links):
        """Return the entries of the targets, each at its own address."""
        for number, target in enumerate(self.targets):
            replica, shard = divmod(number, self.shards)
            domain = DOMAINS[(replica + shard) % len(DOMAINS)]
            yield make_entry(
                target,
                f's{shard}',
                slots=2,
                failure_domain=FailureDomain(domain),
            )

    @property
    def strong(self):
        """The strong instances."""
        return self.instances[: len(DOMAINS)]

    @property
    def weak(self):
        """The weak instances."""
        return self.instances[len(DOMAINS) :]

    async def async_settle(self):
        """Wait until connections that are opened ahead of requests are open."""
        deadline = asyncio.get_running_loop().time() + SETTLING_S
        while asyncio.get_running_loop().time() < deadline:
            if all(map(has_connection, self.weak)):
                return
            await asyncio.sleep(0.01)

    def is_idle(self):
        """Return whether no send is under way."""
        return not any(
            target.sends
            for instance in self.instances
            for target in instance.gateway.targets.values()
        )

    async def async_ask_patiently(self, instance):
        """Send a request; all its parts are answered."""
        response = await self.async_ask(
            instance, PATH, left_ms=int(PATIENT_S * 1000)
        )
        assert response.status == 200
        assert response.headers['x-missing-parts'] == '0'


def has_connection(instance):
    """Return whether an instance has a connection to a peer in use."""
    return any(
        peer.connection is not None and peer.received_bytes()
        for peer in instance.delegation.peers.values()
    )


@contextlib.asynccontextmanager
async def uneven_fleet(*, shards=SHARDS, **changes):
    """Provide a running fleet, without hedges unless `changes` allow them."""
    targets = [
        PlatformTarget(id=f't{number}', body=f'{number:016d}'.encode())
        for number in range(REPLICAS * shards)
    ]
    route = {
        'prefix': '/all/',
        'max_records': 5,
        'latency_objective_s': PATIENT_S,
        'timeout_s': PATIENT_S,
        'min_coverage': 0.85,
        'max_targets': 1,
        **changes,
    }
    with targets_in_thread(*targets):
        fleet = UnevenFleet(
            targets, shards=shards, instances=INSTANCES, domains=DOMAINS
        )
        await fleet.async_start(make_shard_route(shards, **route))
        for instance in fleet.instances:
            open_connections(instance.delegation)
        await fleet.async_settle()
        try:
            yield fleet
        finally:
            # Sends that end with their targets would be taken for lost ones.
            await async_until(fleet.is_idle)
            await fleet.async_stop()
            # The loss of the peers may have been noticed meanwhile.
            for instance in fleet.instances:
                await instance.gateway.tasks.async_stop()
