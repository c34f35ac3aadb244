"""Changes of configuration: time until each is in force on every instance.

Watches go silent and proxies of the object API lose, delay and reset
connections of some instances meanwhile.
"""

import asyncio
import dataclasses
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec

from bench.cluster import Cluster, running_cluster
from bench.loads import small_deployment
from bench.options import Options
from bench.processes import HOST, InstanceSpec
from bitternturn.core.errors import BitternturnError
from bitternturn.http.client import ClientConnection, async_connect
from bitternturn.standins.deployments import build_profiles
from bitternturn.standins.fleet import TargetFleet
from bitternturn.standins.proxy import FaultProxy
from bitternturn.standins.proxy_faults import delays, no_faults, silence

INDEX = 'ledger-desk'
KINDS = ('profiles', 'switches')
POLL_S = 0.02
PAUSE_S = 0.8
# Every second instance reaches the object API through a lossy proxy.
LOSSY_STEP = 2
DELAY_S = 0.15
BOUND_S = 9.0
LIMIT_S = 30.0
ATTEMPTS = 20
RETRY_S = 0.2


@dataclass(kw_only=True)
class Watcher:
    """Polls the versions that one instance has in force."""

    name: str
    port: int
    # When each version was first seen in force.
    seen: dict[str, dict[int, float]] = field(
        default_factory=lambda: {kind: {} for kind in KINDS}
    )
    newest: dict[str, int] = field(
        default_factory=lambda: dict.fromkeys(KINDS, 0)
    )
    reverted: int = 0
    polls: int = 0

    async def async_run(self) -> None:
        """Poll until cancelled."""
        connection = await async_connect(host=HOST, port=self.port)
        while True:
            for kind in KINDS:
                await self._async_poll(connection, kind)
            await asyncio.sleep(POLL_S)

    def in_force_at(self, kind: str, version: int) -> float | None:
        """Return when a version or a newer one was first seen."""
        times = [at for it, at in self.seen[kind].items() if it >= version]
        return min(times, default=None)

    async def _async_poll(
        self, connection: ClientConnection, kind: str
    ) -> None:
        """Read one version."""
        response = await connection.async_exchange(
            method='GET', path=f'/v1/configuration/{kind}', headers={}
        )
        version = int(msgspec.json.decode(response.body)['version'])
        self.polls += 1
        if version < self.newest[kind]:
            self.reverted += 1
        self.newest[kind] = max(version, self.newest[kind])
        self.seen[kind].setdefault(version, time.monotonic())


class SpreadBench:
    """Accepts changes under faults and times them."""

    def __init__(self, *, cluster: Cluster, seed: int) -> None:
        """Prepare; the proxies are made as instances are added."""
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.proxies: dict[str, FaultProxy] = {}
        self.watchers: list[Watcher] = []
        self.latencies: list[float] = []
        self.accepted = dict.fromkeys(KINDS, 0)
        # Failure domains that are out.
        self.out: set[str] = set()
        self.unchanged = 0
        self.late = 0
        self.retried = 0
        cluster.adapt = self.adapt

    def adapt(self, spec: InstanceSpec) -> InstanceSpec:
        """Put a proxy between some instances and the object API."""
        if int(spec.name.lstrip('i')) % LOSSY_STEP:
            return spec
        proxy = FaultProxy(host=HOST, port=self.cluster.objects.port)
        self.proxies[spec.name] = proxy
        return dataclasses.replace(spec, objects_port=self._listen(proxy))

    def _listen(self, proxy: FaultProxy) -> int:
        """Start a proxy in the background; return its port."""
        port = self.cluster.ports.take()
        started = proxy.async_start(host=HOST, port=port)
        proxy.tasks.spawn(started, name='proxy')
        return port

    async def async_watch(self) -> list['asyncio.Task[None]']:
        """Begin to poll every instance."""
        for name, instance in self.cluster.instances.items():
            port = instance.spec.operators_port
            self.watchers.append(Watcher(name=name, port=port))
        return [asyncio.create_task(it.async_run()) for it in self.watchers]

    async def async_change(self, number: int) -> None:
        """Bring about faults, accept one change and time its spread."""
        self._disturb(number)
        make = self.rng.choice([self._async_switch, self._async_edit])
        kind, version = await self._async_accept(make)
        accepted = time.monotonic()
        if version <= self.accepted[kind]:
            self.unchanged += 1
            return
        self.accepted[kind] = version
        slowest = 0.0
        for watcher in self.watchers:
            at = watcher.in_force_at(kind, version)
            while at is None and time.monotonic() < accepted + LIMIT_S:
                await asyncio.sleep(POLL_S)
                at = watcher.in_force_at(kind, version)
            if at is None:
                self.late += 1
                at = time.monotonic()
            slowest = max(slowest, at - accepted)
        self.latencies.append(slowest)

    def _disturb(self, number: int) -> None:
        """Change the faults before a change."""
        objects = self.cluster.objects
        silent = number % 2 == 1
        objects.set_faults(
            dataclasses.replace(objects.faults, silent_watches=silent)
        )
        for proxy in self.proxies.values():
            proxy.set_faults(
                self.rng.choice([no_faults(), delays(DELAY_S), silence()])
            )
            if self.rng.random() < 1 / 2:
                proxy.reset_open()

    async def _async_accept(
        self,
        make: Callable[[str], Awaitable[int]],
    ) -> tuple[str, int]:
        """Make one change through any instance, again until it is accepted."""
        names = sorted(self.cluster.instances)
        for _ in range(ATTEMPTS):
            name = self.rng.choice(names)
            version = await make(name)
            if version:
                is_switch = make == self._async_switch
                return ('switches' if is_switch else 'profiles'), version
            self.retried += 1
            await asyncio.sleep(RETRY_S)
        raise RuntimeError('no instance accepted the change')

    async def _async_switch(self, name: str) -> int:
        """Switch a failure domain; return the version, 0 when refused."""
        domain = self.rng.choice(self.cluster.deployment.failure_domains)
        state = 'in' if domain in self.out else 'out'
        version = await self._async_call(
            name,
            'POST',
            f'/v1/domains/{domain}/{state}',
            {},
            {'reason': 'bench'},
        )
        if version:
            self.out ^= {domain}
        return version

    async def _async_edit(self, name: str) -> int:
        """Edit a profile; return the version, 0 when refused."""
        path = '/v1/configuration/profiles'
        present = await self.cluster.async_operate(name, 'GET', path)
        held = msgspec.json.decode(present.body)
        profiles = held['content']['profiles']
        self.rng.choice(profiles)['deadline_ms'] = self.rng.randrange(500, 5000)
        return await self._async_call(
            name,
            'PUT',
            path,
            {'if-version': str(held['version'])},
            {'content': held['content']},
        )

    async def _async_call(
        self,
        name: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: dict[str, object],
    ) -> int:
        """Call the administration API; return the accepted version or 0."""
        try:
            response = await self.cluster.async_operate(
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
    """Measure."""
    deployment = small_deployment('atlas', INDEX)
    fleet = TargetFleet(deployment=deployment, seed=options.seed)
    cluster = Cluster(deployment=deployment, fleet=fleet)
    bench = SpreadBench(cluster=cluster, seed=options.seed)
    async with running_cluster(cluster):
        await cluster.async_accept('profiles', build_profiles(deployment))
        polling = await bench.async_watch()
        for number in range(round(options.seconds(20, 200))):
            await bench.async_change(number)
            await asyncio.sleep(bench.rng.uniform(0, PAUSE_S))
        for task in polling:
            task.cancel()
        ended = await asyncio.gather(*polling, return_exceptions=True)
        for proxy in bench.proxies.values():
            await proxy.async_stop()
    failed = [it for it in ended if isinstance(it, Exception)]
    return summarize(bench, failed)


def summarize(bench: SpreadBench, failed: list[Exception]) -> dict[str, object]:
    """Return the figures."""
    latencies = sorted(bench.latencies)
    last = len(latencies) - 1
    return {
        'changes': len(latencies),
        'p50_s': round(latencies[last // 2], 3),
        'p99_s': round(latencies[round(last * 0.99)], 3),
        'max_s': round(latencies[-1], 3),
        'each_s': [round(it, 3) for it in bench.latencies],
        'unchanged': bench.unchanged,
        'bound_s': BOUND_S,
        'over_bound': sum(it > BOUND_S for it in latencies),
        'never': bench.late,
        'reverted': sum(it.reverted for it in bench.watchers),
        'polls': sum(it.polls for it in bench.watchers),
        'polls_failed': len(failed),
        'not_accepted_at_first': bench.retried,
    }
