"""Instances as processes, targets and the store behind fault proxies."""

import asyncio
import json
import os
import random
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from bench.processes import Ports
from bitternturn.platform.document_builders import (
    make_settings_document,
    make_target_document,
)
from bitternturn.platform.wire_names import SETTINGS_VARIABLE
from bitternturn.standins.platform_store import PlatformStoreStandin
from bitternturn.standins.platform_target import Behaviour, PlatformTarget
from bitternturn.standins.proxy import FaultProxy

DOMAINS = ('north', 'south')
SHARDS = 6
REPLICAS = 2
TOP_RECORDS = 5
RECORD_BYTES = 16
GRACE_S = 3
ROOT = Path(__file__).parents[2]

# Behaviours that targets may show now and then; the rest of the answers are
# plain ones.
ODD = (
    Behaviour.LOSE,
    Behaviour.RESET,
    Behaviour.TRUNCATE,
    Behaviour.GARBAGE,
    Behaviour.EXTRA,
    Behaviour.UNFRAMED,
    Behaviour.UNFRAMED_RESET,
    Behaviour.NOT_RUN,
    Behaviour.MISDIRECTED,
    Behaviour.FAIL,
    Behaviour.UNSIGNED,
    Behaviour.WRONG_REQUEST,
)


@dataclass(kw_only=True)
class SoakTarget:
    """One target behind its proxy."""

    target: PlatformTarget
    proxy: FaultProxy
    service: str
    domain: str
    state: str = 'ready'
    # When its entry said that it leaves, on the soak's clock.
    left_at: float | None = None

    def document(self) -> dict[str, object]:
        """Return its entry."""
        return make_target_document(
            service=self.service,
            address=f'127.0.0.1:{self.proxy.port}',
            domain=self.domain,
            state=self.state,
        )


@dataclass(kw_only=True)
class SoakInstance:
    """One process; each has an address of its own on loopback."""

    number: int
    folder: Path
    port: int
    store_port: int
    seeds: list[str]
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    started_at: float = 0
    # Bytes of log that earlier starts wrote.
    logged_before: int = 0
    # The last signal and the age of the process when it was sent.
    last_signal: tuple[signal.Signals, float] | None = None
    # Whether its end was wanted.
    ended: bool = False

    @property
    def host(self) -> str:
        """Address on loopback."""
        return f'127.0.1.{self.number + 1}'

    def settings(self) -> dict[str, object]:
        """Return the settings file."""
        return make_settings_document(
            name=f'i{self.number}',
            domain=DOMAINS[self.number % len(DOMAINS)],
            domains=dict.fromkeys(DOMAINS, 'here'),
            listen={
                'front': f'{self.host}:{self.port}',
                'ready': f'{self.host}:{self.port + 1}',
                'control': f'{self.host}:{self.port + 2}',
                'metrics': f'{self.host}:{self.port + 3}',
            },
            seeds=self.seeds,
            bounds={
                'retry-ratio': 0.5,
                'retry-window-s': 10,
                'retry-slack': 200,
                'grace-s': GRACE_S,
            },
            store=f'127.0.0.1:{self.store_port}',
        )

    async def async_start(self) -> None:
        """Start the process."""
        path = self.folder / f'i{self.number}.json'
        path.write_text(json.dumps(self.settings()), encoding='utf-8')
        self.ended = False
        self.starts += 1
        self.started_at = time.monotonic()
        with (self.folder / f'i{self.number}.log').open('ab') as log:
            self.logged_before = log.tell()
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'bitternturn.platform',
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
            )

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def has_logged(self) -> bool:
        """Return whether this start of the process has written a line."""
        log = self.folder / f'i{self.number}.log'
        return log.exists() and log.stat().st_size > self.logged_before

    def describe_end(self) -> str:
        """Return how a process ended that nobody ended."""
        code = self.process.returncode if self.process else None
        log = self.folder / f'i{self.number}.log'
        lines = log.read_text(encoding='utf-8').splitlines()
        return (
            f'i{self.number} ended by itself with {code}, seen '
            f'{time.monotonic() - self.started_at:.2f} s after its start, '
            f'last signal {self.last_signal}, last line {lines[-1:]}'
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        if self.process is not None and self.alive:
            self.last_signal = (number, time.monotonic() - self.started_at)
            self.process.send_signal(number)

    async def async_end(self, number: signal.Signals) -> None:
        """End the process by a signal and wait."""
        self.ended = True
        self.send(number)
        if self.process is not None:
            await self.process.wait()


@dataclass(kw_only=True)
class World:
    """Everything that runs."""

    rng: random.Random
    folder: Path
    store: PlatformStoreStandin = field(default_factory=PlatformStoreStandin)
    targets: list[SoakTarget] = field(default_factory=list)
    instances: list[SoakInstance] = field(default_factory=list)
    store_proxies: list[FaultProxy] = field(default_factory=list)
    version: int = 0
    generation: int = 0
    odd_share: float = 0.0
    bodies: dict[str, bytes] = field(default_factory=dict)

    async def async_start(self, instances: int) -> None:
        """Start store, targets and instances."""
        await self.store.async_start()
        for shard in range(SHARDS):
            for replica in range(REPLICAS):
                await self.async_add_target(
                    f'shard-{shard}', DOMAINS[replica % len(DOMAINS)]
                )
        for domain in DOMAINS * 2:
            await self.async_add_target('desk', domain)
        self.put_configuration()
        ports = Ports()
        port = ports.take()
        seeds = [f'127.0.1.{number + 1}:{port + 2}' for number in range(2)]
        for number in range(instances):
            proxy = FaultProxy(host='127.0.0.1', port=self.store.server.port)
            await proxy.async_start(host='127.0.0.1')
            self.store_proxies.append(proxy)
            instance = SoakInstance(
                number=number,
                folder=self.folder,
                port=port,
                store_port=proxy.port,
                seeds=seeds,
            )
            self.instances.append(instance)
            await instance.async_start()

    async def async_stop(self) -> None:
        """End what was started."""
        for instance in self.instances:
            instance.send(signal.SIGCONT)
            await instance.async_end(signal.SIGKILL)
        for proxy in self.store_proxies:
            await proxy.async_stop()
        for item in self.targets:
            await item.proxy.async_stop()
            await item.target.async_stop()
        await self.store.async_stop()

    async def async_add_target(self, service: str, domain: str) -> SoakTarget:
        """Start a target and write its entry."""
        self.generation += 1
        name = f't{self.generation}'
        target = PlatformTarget(
            id=name,
            body=self._records(),
            delay_s=self.rng.uniform(0.001, 0.01),
        )
        target.script = lambda _count: self._behaviour()
        await target.async_start()
        proxy = FaultProxy(host='127.0.0.1', port=target.port)
        await proxy.async_start(host='127.0.0.1')
        item = SoakTarget(
            target=target, proxy=proxy, service=service, domain=domain
        )
        self.bodies[name] = target.body
        self.targets.append(item)
        self.store.put('servers', name, item.document())
        return item

    def put_configuration(self) -> None:
        """Write the next version: a route more or less, other time-outs."""
        self.version += self.rng.randint(1, 3)
        common = {'hostname': 'search.example', 'attempts': 2, 'priority': 1}
        routes = [
            {
                **common,
                'name': 'all',
                'path-prefix': '/all/',
                'type': 'idempotent',
                'timeout-ms': 1500,
                'target-latency-ms': 400,
                'gather': [f'shard-{number}' for number in range(SHARDS)],
                'top-k': TOP_RECORDS,
                'min-coverage': 0.5,
            },
            {
                **common,
                'name': 'one',
                'path-prefix': '/one/',
                'type': 'idempotent',
                'timeout-ms': 1500,
                'target-latency-ms': 400,
                'service': 'desk',
            },
            {
                **common,
                'name': 'once',
                'path-prefix': '/once/',
                'type': 'non_idempotent',
                'timeout-ms': 1500,
                'target-latency-ms': 400,
                'service': 'desk',
            },
        ]
        services = [f'shard-{number}' for number in range(SHARDS)]
        self.store.put(
            'config',
            'main',
            {
                'version': self.version,
                'routes': routes,
                'services': [
                    {
                        'name': name,
                        'health-path': '/health',
                        'max-conns': 40,
                        'cold-per-s': 0,
                    }
                    for name in (*services, 'desk')
                ],
            },
        )

    def _behaviour(self) -> Behaviour:
        """Return what a target does with the next request."""
        if self.rng.random() < self.odd_share:
            return self.rng.choice(ODD)
        return Behaviour.ANSWER

    def _records(self) -> bytes:
        """Return the records of a new target."""
        count = self.rng.randint(0, 12)
        return self.rng.randbytes(count * RECORD_BYTES + 3)
