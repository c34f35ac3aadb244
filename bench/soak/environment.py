"""Store, targets and instances of a soak test.

The instances are processes. They reach targets and store, which are stand-ins
in this process, through fault proxies.
"""

import asyncio
import json
import os
import random
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from bench.processes import PortAllocator
from bitternturn.core.tasks import TaskSet
from bitternturn.platform.document_builders import (
    make_settings_document,
    make_target_document,
)
from bitternturn.platform.wire_names import SETTINGS_VARIABLE
from bitternturn.standins.crashing_request import CrashingRequest
from bitternturn.standins.platform_store import EmulatedPlatformStore
from bitternturn.standins.platform_target import (
    PlatformTarget,
    ScriptedBehaviour,
)
from bitternturn.standins.proxy import FaultProxy

DOMAINS = ('north', 'south')
SHARDS = 6
REPLICAS = 2
TOP_RECORDS = 5
RECORD_BYTES = 16
SHUTDOWN_GRACE_S = 3
# Cores of the instances that gather the parts of requests for others.
STRONG_CORES = 3
# Longest time for which an answer is on its way.
IN_FLIGHT_S = 0.5
ROOT = Path(__file__).parents[2]

# Behaviours for the share of answers that are faulty.
FAULTY_BEHAVIOURS = (
    ScriptedBehaviour.DROP_ANSWER,
    ScriptedBehaviour.RESET,
    ScriptedBehaviour.TRUNCATE,
    ScriptedBehaviour.GARBAGE,
    ScriptedBehaviour.DUPLICATE_ANSWER,
    ScriptedBehaviour.UNFRAMED,
    ScriptedBehaviour.UNFRAMED_RESET,
    ScriptedBehaviour.NOT_RUN,
    ScriptedBehaviour.MISDIRECTED,
    ScriptedBehaviour.FAIL,
    ScriptedBehaviour.MISSING_STAMP,
    ScriptedBehaviour.WRONG_REQUEST,
)


@dataclass(kw_only=True)
class SoakTarget:
    """Target stand-in with its fault proxy."""

    standin: PlatformTarget
    proxy: FaultProxy
    service: str
    domain: str
    state: str = 'ready'
    # Spans of monotonic time in which answers may be delayed or lost on the way.
    disturbances: list[tuple[float, float]] = field(default_factory=list)
    # Monotonic time in seconds at which its entry became `draining`.
    draining_since: float | None = None

    def disturb(self, duration_s: float) -> None:
        """Record that the connections to the target are disturbed from now."""
        now = time.monotonic()
        self.disturbances.append(
            (now - IN_FLIGHT_S, now + duration_s + IN_FLIGHT_S)
        )

    def was_disturbed(self, at: float) -> bool:
        """Return whether an answer sent at a time may not have arrived."""
        return any(begin <= at <= end for begin, end in self.disturbances)

    def to_entry(self) -> dict[str, object]:
        """Return the entry of the target in the store."""
        return make_target_document(
            service=self.service,
            address=f'127.0.0.1:{self.proxy.port}',
            domain=self.domain,
            state=self.state,
        )


@dataclass(kw_only=True)
class SoakInstance:
    """Instance process that listens on its own loopback address."""

    number: int
    folder: Path
    port: int
    store_port: int
    seed_nodes: list[str]
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    started_at: float = 0
    # Size in bytes of the log when the process was last started.
    log_offset: int = 0
    # Last signal sent and the age of the process in seconds at that time.
    last_signal: tuple[signal.Signals, float] | None = None
    # Whether the process was stopped on purpose.
    stop_requested: bool = False
    # Number of starts and pauses, after which it need not know what it was told.
    epoch: int = 0
    # When the last epoch began, on the monotonic clock.
    epoch_began_at: float = 0

    def begin_epoch(self) -> None:
        """Record that the process starts, is paused or goes on."""
        self.epoch += 1
        self.epoch_began_at = time.monotonic()

    @property
    def host(self) -> str:
        """Loopback address of the instance."""
        return f'127.0.1.{self.number + 1}'

    def to_settings(self) -> dict[str, object]:
        """Return the content of the settings file."""
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
            seeds=self.seed_nodes,
            bounds={
                'retry-ratio': 0.5,
                'retry-window-s': 10,
                'retry-slack': 200,
                'grace-s': SHUTDOWN_GRACE_S,
            },
            store=f'127.0.0.1:{self.store_port}',
            limits={'cores': self.cores},
        )

    @property
    def cores(self) -> int:
        """Cores by the settings; the first instance of each domain is strong."""
        return STRONG_CORES if self.number < len(DOMAINS) else 1

    async def async_start(self) -> None:
        """Write the settings and start the process."""
        path = self.folder / f'i{self.number}.json'
        path.write_text(json.dumps(self.to_settings()), encoding='utf-8')
        self.stop_requested = False
        self.starts += 1
        self.begin_epoch()
        self.started_at = time.monotonic()
        with (self.folder / f'i{self.number}.log').open('ab') as log:
            self.log_offset = log.tell()
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
        """Whether the process is running."""
        return self.process is not None and self.process.returncode is None

    def has_logged(self) -> bool:
        """Return whether the process has logged since it was last started."""
        log = self.folder / f'i{self.number}.log'
        return log.exists() and log.stat().st_size > self.log_offset

    def describe_unexpected_exit(self) -> str:
        """Return how the process ended, for one that was not stopped."""
        code = self.process.returncode if self.process else None
        log = self.folder / f'i{self.number}.log'
        lines = log.read_text(encoding='utf-8').splitlines()
        return (
            f'i{self.number} exited unexpectedly with {code}, noticed '
            f'{time.monotonic() - self.started_at:.2f} s after its start, '
            f'last signal {self.last_signal}, last log line {lines[-1:]}'
        )

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.alive:
            self.last_signal = (signum, time.monotonic() - self.started_at)
            self.process.send_signal(signum)

    async def async_stop(self, signum: signal.Signals) -> None:
        """Stop the process by a signal and wait for its exit."""
        self.stop_requested = True
        self.send_signal(signum)
        if self.process is not None:
            await self.process.wait()


@dataclass(kw_only=True)
class SoakEnvironment:
    """Store, targets and instances of one soak test."""

    rng: random.Random
    folder: Path
    store: EmulatedPlatformStore = field(default_factory=EmulatedPlatformStore)
    targets: list[SoakTarget] = field(default_factory=list)
    instances: list[SoakInstance] = field(default_factory=list)
    store_proxies: list[FaultProxy] = field(default_factory=list)
    configuration_version: int = 0
    started_targets: int = 0
    faulty_share: float = 0.0
    # Share of the requests that crash each target that runs them.
    crashing_share: float = 0.0
    crashing: CrashingRequest = field(init=False)
    tasks: TaskSet = field(default_factory=TaskSet)
    # Share of the requests that targets reject and ask for a pause.
    pausing_share: float = 0.0
    bodies: dict[str, bytes] = field(default_factory=dict)

    async def async_start(self, instances: int) -> None:
        """Start store, targets and instances."""
        self.crashing = CrashingRequest(
            request_target=self.rng.choice(('/all/crash', '/one/crash')),
            run_s=self.rng.uniform(0, 0.05),
        )
        await self.store.async_start()
        for shard in range(SHARDS):
            for replica in range(REPLICAS):
                await self.async_add_target(
                    f'shard-{shard}', DOMAINS[replica % len(DOMAINS)]
                )
        for domain in DOMAINS * 2:
            await self.async_add_target('desk', domain)
        self.put_configuration()
        ports = PortAllocator()
        port = ports.allocate()
        seed_nodes = [f'127.0.1.{number + 1}:{port + 2}' for number in range(2)]
        for number in range(instances):
            proxy = FaultProxy(host='127.0.0.1', port=self.store.server.port)
            await proxy.async_start(host='127.0.0.1')
            self.store_proxies.append(proxy)
            instance = SoakInstance(
                number=number,
                folder=self.folder,
                port=port,
                store_port=proxy.port,
                seed_nodes=seed_nodes,
            )
            self.instances.append(instance)
            await instance.async_start()

    async def async_stop(self) -> None:
        """Stop all instances, proxies, targets and the store."""
        await self.tasks.async_stop()
        for instance in self.instances:
            instance.send_signal(signal.SIGCONT)
            await instance.async_stop(signal.SIGKILL)
        for proxy in self.store_proxies:
            await proxy.async_stop()
        for target in self.targets:
            await target.proxy.async_stop()
            await target.standin.async_stop()
        await self.store.async_stop()

    async def async_add_target(self, service: str, domain: str) -> SoakTarget:
        """Start a target behind a proxy and write its entry to the store."""
        self.started_targets += 1
        name = f't{self.started_targets}'
        standin = PlatformTarget(
            id=name,
            body=self._make_records(),
            delay_s=self.rng.uniform(0.001, 0.01),
            retry_after=f'{self.rng.uniform(0.6, 3):.2f}',
        )
        standin.script = lambda _count: self._draw_behaviour()
        standin.crashing = self.crashing
        await standin.async_start()
        proxy = FaultProxy(host='127.0.0.1', port=standin.port)
        await proxy.async_start(host='127.0.0.1')
        target = SoakTarget(
            standin=standin, proxy=proxy, service=service, domain=domain
        )
        standin.on_crash = lambda: self._handle_crash(target)
        self.bodies[name] = standin.body
        self.targets.append(target)
        self.store.put('servers', name, target.to_entry())
        return target

    def _handle_crash(self, target: SoakTarget) -> None:
        """Let a target end and another one start in its place."""
        target.proxy.refuse_connections()
        target.disturb(0)
        target.state = 'crashed'
        self.tasks.spawn(self._async_replace_crashed(target))

    async def _async_replace_crashed(self, target: SoakTarget) -> None:
        """Start a target in place of a crashed one, whose entry expires."""
        await asyncio.sleep(self.rng.uniform(0.3, 1.5))
        self.delete_entry('servers', target.standin.id)
        await self.async_add_target(target.service, target.domain)

    def delete_entry(self, kind: str, name: str) -> None:
        """Delete an object, unless the store has lost it."""
        if (kind, name) in self.store.objects:
            self.store.delete(kind, name)

    def put_configuration(self) -> None:
        """Write the configuration with the next version number."""
        self.configuration_version += self.rng.randint(1, 3)
        route_settings = {
            'hostname': 'search.example',
            'attempts': 2,
            'priority': 1,
        }
        routes = [
            {
                **route_settings,
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
                **route_settings,
                'name': 'one',
                'path-prefix': '/one/',
                'type': 'idempotent',
                'timeout-ms': 1500,
                'target-latency-ms': 400,
                'service': 'desk',
            },
            {
                **route_settings,
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
                'version': self.configuration_version,
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

    def _draw_behaviour(self) -> ScriptedBehaviour:
        """Draw the behaviour of a target for its next request."""
        if self.rng.random() < self.pausing_share:
            return ScriptedBehaviour.PAUSE
        if self.rng.random() < self.faulty_share:
            return self.rng.choice(FAULTY_BEHAVIOURS)
        return ScriptedBehaviour.ANSWER

    def _make_records(self) -> bytes:
        """Return random records as the body of a new target."""
        count = self.rng.randint(0, 12)
        return self.rng.randbytes(count * RECORD_BYTES + 3)
