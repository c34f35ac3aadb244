"""Instances of which each reaches the targets over links of its own."""

import asyncio
import contextlib
import dataclasses
import itertools
import os

from bitternturn.core.ids import FailureDomain, RouteName, ServiceName
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway.models import Address, RepeatPolicy, WeightedService
from bitternturn.relay.copies import StoreCopies
from bitternturn.relay.delegation import Delegation, MemberEntry
from bitternturn.relay.server import RelayServer
from bitternturn.standins.platform_target import PlatformTarget
from bitternturn.standins.target_links import LOOPBACK, TargetLinks
from tests.gateway.helpers import (
    configure,
    make_entry,
    make_gateway,
    make_request,
    make_route,
    make_shard_route,
    register,
    running_targets,
)
from tests.relay.helpers import make_traffic

DOMAINS = ('north', 'south')
LEFT_MS = 4000
WIDE_PATH = '/all/x'
SINGLE_PATH = '/one/x'
ONCE_PATH = '/once/x'


class LinkedInstance:
    """One instance with its links, its relay server and its peers."""

    def __init__(self, name, links, tasks):
        self.gateway = make_gateway(name)
        self.links = links
        self.server = RelayServer(
            gateway=self.gateway,
            copies=StoreCopies(kinds=()),
            tasks=tasks,
            traffic=make_traffic(self.gateway.metrics),
        )
        self.delegation = Delegation(gateway=self.gateway, tasks=tasks)


class LinkedFleet:
    """Instances and the targets of a route of each kind, in two domains."""

    def __init__(self, targets, *, shards, instances, domains):
        self.targets = targets
        self.shards = shards
        self.names = [f'i{number}' for number in range(instances)]
        self.domains = domains
        self.tasks = TaskSet()
        self.instances = []
        self.ids = (f'{os.getpid()}-{number}' for number in itertools.count())
        # Ids of the requests that may run only once.
        self.once_ids = set()

    def domain_of(self, number):
        """Return the domain of the instance or target with a number."""
        return FailureDomain(self.domains[number % len(self.domains)])

    def cores_of(self, number):
        """Return the cores of the instance with a number."""
        return 1

    async def async_start(self, *routes):
        """Start with some routes, by default one of each kind."""
        routes = routes or make_routes(self.shards)
        members = []
        for number, name in enumerate(self.names):
            links = TargetLinks(targets=self.targets)
            await links.async_start()
            instance = LinkedInstance(name, links, self.tasks)
            self.instances.append(instance)
            port = await instance.server.async_start(
                Address(host=LOOPBACK, port=0)
            )
            members.append(
                MemberEntry(
                    name=name,
                    address=Address(host=LOOPBACK, port=port),
                    domain=self.domain_of(number),
                    cores=self.cores_of(number),
                )
            )
        for number, instance in enumerate(self.instances):
            gateway = instance.gateway
            gateway.settings = dataclasses.replace(
                gateway.settings,
                failure_domain=self.domain_of(number),
                cores=self.cores_of(number),
            )
            configure(gateway, *routes)
            gateway.update_instances(self.names)
            register(gateway, *self.make_entries(instance.links))
            instance.delegation.update_members(members)

    def make_entries(self, links):
        """Return the entries of the targets, each at its link."""
        for number, target in enumerate(self.targets):
            address = links.find_address(target.id)
            replica, service = divmod(number, self.shards + 1)
            yield make_entry(
                target,
                f's{service}' if service < self.shards else 'single',
                host=address.host,
                port=address.port,
                slots=4,
                failure_domain=self.domain_of(replica + number),
            )

    async def async_stop(self):
        for instance in self.instances:
            instance.server.close()
            await instance.gateway.tasks.async_stop()
            await instance.links.async_stop()
        await self.tasks.async_stop()

    async def async_ask(self, instance, path=WIDE_PATH, **fields):
        """Send a request to an instance and return the response."""
        request_id = next(self.ids)
        if path == ONCE_PATH:
            self.once_ids.add(request_id)
        return await instance.gateway.async_handle(
            make_request(
                request_id,
                path=path,
                left_ms=fields.pop('left_ms', LEFT_MS),
                **fields,
            )
        )

    async def async_count_served(
        self, instances, *, seconds, per_s, paths=(WIDE_PATH, SINGLE_PATH)
    ):
        """Send first attempts to each instance; return the shares served."""
        asked = [[] for _ in instances]
        for number in range(int(seconds * per_s)):
            path = paths[number % len(paths)]
            for instance, attempts in zip(instances, asked, strict=True):
                attempts.append(
                    asyncio.ensure_future(self.async_ask(instance, path))
                )
                await asyncio.sleep(1 / per_s / len(instances))
        shares = []
        for attempts in asked:
            responses = await asyncio.gather(*attempts)
            served = sum(it.status == 200 for it in responses)
            shares.append(served / len(responses))
        return shares


def make_routes(shards):
    """Return a route over shards, one to a single target, one that runs once."""
    single = {
        'services': (WeightedService(service=ServiceName('single'), weight=1),),
        'latency_objective_s': 0.8,
    }
    return (
        make_shard_route(
            shards,
            name=RouteName('all'),
            prefix='/all/',
            latency_objective_s=0.8,
            min_coverage=0.8,
        ),
        make_route(name=RouteName('one'), prefix='/one/', **single),
        make_route(
            name=RouteName('once'),
            prefix='/once/',
            repeat_policy=RepeatPolicy.AT_MOST_ONCE,
            **single,
        ),
    )


@contextlib.asynccontextmanager
async def linked_fleet(
    *, shards=6, replicas=2, instances=5, domains=DOMAINS, delay_s=0.01
):
    """Provide a running fleet."""
    targets = [
        PlatformTarget(
            id=f't{number}',
            body=f'{number:016d}'.encode(),
            delay_s=delay_s,
        )
        for number in range(replicas * (shards + 1))
    ]
    async with running_targets(*targets):
        fleet = LinkedFleet(
            targets, shards=shards, instances=instances, domains=domains
        )
        await fleet.async_start()
        try:
            yield fleet
        finally:
            await fleet.async_stop()
