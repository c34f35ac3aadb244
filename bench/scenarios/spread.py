"""Time until a configuration change is in force on all instances.

Meanwhile watches go silent, and proxies before the object API silence, delay
and reset the connections of some instances.
"""

import asyncio
import dataclasses
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec

from bench.cluster import Cluster, running_cluster
from bench.options import Options
from bench.processes import HOST, InstanceSpec
from bench.workloads import select_indexes
from bitternturn.core.errors import BitternturnError
from bitternturn.http.client import ClientConnection, async_connect
from bitternturn.standins.deployments import build_profiles
from bitternturn.standins.fleet import TargetFleet
from bitternturn.standins.proxy import FaultProxy
from bitternturn.standins.proxy_faults import (
    blackhole,
    delay_both_directions,
    no_faults,
)

INDEX = 'ledger-desk'
KINDS = ('profiles', 'switches')
POLL_S = 0.02
MAX_PAUSE_S = 0.8
# Every second instance reaches the object API through a proxy with faults.
PROXIED_STEP = 2
DELAY_S = 0.15
# Time within which a change has to be in force on all instances.
BOUND_S = 9.0
IN_FORCE_TIMEOUT_S = 30.0
MAX_ATTEMPTS = 20
RETRY_S = 0.2


@dataclass(kw_only=True)
class VersionPoller:
    """Polls the configuration versions in force on one instance."""

    name: str
    port: int
    # Monotonic time at which each version was first seen, by kind.
    first_seen: dict[str, dict[int, float]] = field(
        default_factory=lambda: {kind: {} for kind in KINDS}
    )
    latest: dict[str, int] = field(
        default_factory=lambda: dict.fromkeys(KINDS, 0)
    )
    # Polls that returned an earlier version than one before.
    regressions: int = 0
    polls: int = 0

    async def async_run(self) -> None:
        """Poll until cancelled."""
        connection = await async_connect(host=HOST, port=self.port)
        while True:
            for kind in KINDS:
                await self._async_poll(connection, kind)
            await asyncio.sleep(POLL_S)

    def in_force_at(self, kind: str, version: int) -> float | None:
        """Return when a version or a later one was first seen in force."""
        times = [
            at for it, at in self.first_seen[kind].items() if it >= version
        ]
        return min(times, default=None)

    async def _async_poll(
        self, connection: ClientConnection, kind: str
    ) -> None:
        """Read and record the version of one kind."""
        response = await connection.async_exchange(
            method='GET', path=f'/v1/configuration/{kind}', headers={}
        )
        version = int(msgspec.json.decode(response.body)['version'])
        self.polls += 1
        if version < self.latest[kind]:
            self.regressions += 1
        self.latest[kind] = max(version, self.latest[kind])
        self.first_seen[kind].setdefault(version, time.monotonic())


class PropagationBench:
    """Makes configuration changes under faults and times their propagation."""

    def __init__(self, *, cluster: Cluster, seed: int) -> None:
        """Set `cluster.adapt_spec`; must precede the start of the cluster."""
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.proxies: dict[str, FaultProxy] = {}
        self.pollers: list[VersionPoller] = []
        self.latencies_s: list[float] = []
        self.accepted = dict.fromkeys(KINDS, 0)
        # Failure domains that are out of service.
        self.domains_out: set[str] = set()
        self.unchanged = 0
        self.never_in_force = 0
        self.failed_attempts = 0
        cluster.adapt_spec = self.adapt_spec

    def adapt_spec(self, spec: InstanceSpec) -> InstanceSpec:
        """Return a spec with a proxy to the object API for some instances."""
        if int(spec.name.lstrip('i')) % PROXIED_STEP:
            return spec
        proxy = FaultProxy(host=HOST, port=self.cluster.objects.port)
        self.proxies[spec.name] = proxy
        return dataclasses.replace(spec, objects_port=self._start_proxy(proxy))

    def _start_proxy(self, proxy: FaultProxy) -> int:
        """Start a proxy on a free port in the background; return the port."""
        port = self.cluster.ports.allocate()
        started = proxy.async_start(host=HOST, port=port)
        proxy.tasks.spawn(started, name='proxy')
        return port

    async def async_start_pollers(self) -> list['asyncio.Task[None]']:
        """Start to poll all instances; return the tasks."""
        for name, instance in self.cluster.instances.items():
            port = instance.spec.operators_port
            self.pollers.append(VersionPoller(name=name, port=port))
        return [asyncio.create_task(it.async_run()) for it in self.pollers]

    async def async_change(self, number: int) -> None:
        """Change the faults, make one change and time its propagation."""
        self._change_faults(number)
        propose = self.rng.choice([self._async_switch, self._async_edit])
        kind, version = await self._async_make_change(propose)
        accepted = time.monotonic()
        if version <= self.accepted[kind]:
            self.unchanged += 1
            return
        self.accepted[kind] = version
        slowest_s = 0.0
        for poller in self.pollers:
            at = poller.in_force_at(kind, version)
            while (
                at is None and time.monotonic() < accepted + IN_FORCE_TIMEOUT_S
            ):
                await asyncio.sleep(POLL_S)
                at = poller.in_force_at(kind, version)
            if at is None:
                self.never_in_force += 1
                at = time.monotonic()
            slowest_s = max(slowest_s, at - accepted)
        self.latencies_s.append(slowest_s)

    def _change_faults(self, number: int) -> None:
        """Set new random faults before a change."""
        objects = self.cluster.objects
        silent = number % 2 == 1
        objects.set_faults(
            dataclasses.replace(objects.faults, silent_watches=silent)
        )
        for proxy in self.proxies.values():
            proxy.set_faults(
                self.rng.choice(
                    [no_faults(), delay_both_directions(DELAY_S), blackhole()]
                )
            )
            if self.rng.random() < 1 / 2:
                proxy.reset_connections()

    async def _async_make_change(
        self,
        propose: Callable[[str], Awaitable[int]],
    ) -> tuple[str, int]:
        """Make a change through random instances until one accepts it."""
        names = sorted(self.cluster.instances)
        for _ in range(MAX_ATTEMPTS):
            name = self.rng.choice(names)
            version = await propose(name)
            if version:
                is_switch = propose == self._async_switch
                return ('switches' if is_switch else 'profiles'), version
            self.failed_attempts += 1
            await asyncio.sleep(RETRY_S)
        raise RuntimeError('no instance accepted the configuration change')

    async def _async_switch(self, name: str) -> int:
        """Take a failure domain out or in; return the version, 0 if refused."""
        domain = self.rng.choice(self.cluster.deployment.failure_domains)
        state = 'in' if domain in self.domains_out else 'out'
        version = await self._async_call(
            name,
            'POST',
            f'/v1/domains/{domain}/{state}',
            {},
            {'reason': 'bench'},
        )
        if version:
            self.domains_out ^= {domain}
        return version

    async def _async_edit(self, name: str) -> int:
        """Edit a profile; return the version, or 0 if refused."""
        path = '/v1/configuration/profiles'
        current = await self.cluster.async_call_administration(
            name, 'GET', path
        )
        configuration = msgspec.json.decode(current.body)
        profiles = configuration['content']['profiles']
        self.rng.choice(profiles)['deadline_ms'] = self.rng.randrange(500, 5000)
        return await self._async_call(
            name,
            'PUT',
            path,
            {'if-version': str(configuration['version'])},
            {'content': configuration['content']},
        )

    async def _async_call(
        self,
        name: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: dict[str, object],
    ) -> int:
        """Call the administration API; return the version, or 0 if refused."""
        try:
            response = await self.cluster.async_call_administration(
                name,
                method,
                path,
                headers=headers,
                body=msgspec.json.encode(body),
            )
        except BitternturnError:
            return 0
        if response.status != 200:
            return 0
        return int(msgspec.json.decode(response.body)['version'])


async def async_run(options: Options) -> dict[str, object]:
    """Run the scenario and return its results."""
    deployment = select_indexes('atlas', INDEX)
    fleet = TargetFleet(deployment=deployment, seed=options.seed)
    cluster = Cluster(deployment=deployment, fleet=fleet)
    bench = PropagationBench(cluster=cluster, seed=options.seed)
    async with running_cluster(cluster):
        await cluster.async_put_configuration(
            'profiles', build_profiles(deployment)
        )
        polling = await bench.async_start_pollers()
        for number in range(round(options.choose_seconds(20, 200))):
            await bench.async_change(number)
            await asyncio.sleep(bench.rng.uniform(0, MAX_PAUSE_S))
        for task in polling:
            task.cancel()
        ended = await asyncio.gather(*polling, return_exceptions=True)
        for proxy in bench.proxies.values():
            await proxy.async_stop()
    failed = [it for it in ended if isinstance(it, Exception)]
    return summarize(bench, failed)


def summarize(
    bench: PropagationBench, failed: list[Exception]
) -> dict[str, object]:
    """Return the results of all changes."""
    latencies_s = sorted(bench.latencies_s)
    last = len(latencies_s) - 1
    return {
        'changes': len(latencies_s),
        'p50_s': round(latencies_s[last // 2], 3),
        'p99_s': round(latencies_s[round(last * 0.99)], 3),
        'max_s': round(latencies_s[-1], 3),
        'each_s': [round(it, 3) for it in bench.latencies_s],
        'unchanged': bench.unchanged,
        'bound_s': BOUND_S,
        'over_bound': sum(it > BOUND_S for it in latencies_s),
        'never': bench.never_in_force,
        'reverted': sum(it.regressions for it in bench.pollers),
        'polls': sum(it.polls for it in bench.pollers),
        'polls_failed': len(failed),
        'not_accepted_at_first': bench.failed_attempts,
    }
