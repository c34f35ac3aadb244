"""Instances that run in this process over an emulated store and targets."""

import asyncio
import itertools
import json
import os
import random
import time

from bench.processes import PortAllocator
from bitternturn.core.clock import boot_time
from bitternturn.core.pauses import PauseMonitor
from bitternturn.gateway.decision_log import DecisionLog, LineWriter
from bitternturn.platform.gateway_daemon import GatewayDaemon
from bitternturn.platform.settings_file import decode_settings
from bitternturn.platform.wire_names import KIND_INSTANCES
from bitternturn.standins.platform_store import EmulatedPlatformStore
from bitternturn.standins.platform_target import PlatformTarget
from tests.gateway.helpers import make_request
from tests.platform.documents import settings_document, target_document

DOMAINS = ('north', 'south')
START_LIMIT_S = 20.0


class DaemonFleet:
    """Daemons on ports of loopback, with a store and targets."""

    def __init__(self, folder):
        self.folder = folder
        self.store = EmulatedPlatformStore()
        self.ports = PortAllocator()
        self.daemons = []
        self.seeds = []
        self.targets = []
        self.names = (f't{number}' for number in itertools.count(1))
        # Time that an instance is given to stop, in seconds.
        self.grace_s = 6.0
        # Optional functions that the settings list, and more bounds.
        self.contracts = []
        self.bounds = {}
        self.rng = random.Random(1)
        self.request_count = 0

    async def async_start(self, *, instances, configuration):
        self.store.put('config', 'main', configuration)
        await self.store.async_start()
        for number in range(instances):
            await self.async_add_instance(f'i{number}')
        await self.async_settle()

    async def async_add_instance(self, name):
        """Start an instance and return its daemon."""
        listen = {
            listener: f'127.0.0.1:{self.ports.allocate()}'
            for listener in ('front', 'ready', 'control', 'metrics')
        }
        if len(self.seeds) < 2:
            self.seeds.append(listen['control'])
        settings = settings_document(
            listen=listen,
            platform={'address': f'127.0.0.1:{self.store.server.port}'},
        )
        settings['node-name'] = name
        settings['zone'] = DOMAINS[len(self.daemons) % len(DOMAINS)]
        settings['seed-nodes'] = self.seeds
        settings['bounds'] |= {'grace-s': self.grace_s, **self.bounds}
        settings['contracts'] = self.contracts
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        descriptor = os.open(
            self.folder / f'{name}.log', os.O_CREAT | os.O_RDWR
        )
        daemon = GatewayDaemon(
            path=path,
            settings=decode_settings(path.read_bytes()),
            decisions=DecisionLog(
                instance=name, writer=LineWriter(descriptor=descriptor)
            ),
            pauses=PauseMonitor(now=boot_time),
        )
        self.daemons.append(daemon)
        await daemon.async_start()
        return daemon

    async def async_remove_instance(self, daemon):
        """Kill an instance and remove its registration."""
        self.daemons.remove(daemon)
        await daemon.async_stop()
        self.store.delete(KIND_INSTANCES, daemon.settings.name)

    async def async_settle(self):
        """Wait until all instances know each other and all targets."""
        await async_wait_until(
            lambda: all(
                daemon.gateway.instance_count == len(self.daemons)
                and len(daemon.gateway.targets) == len(self.targets)
                for daemon in self.daemons
            )
        )

    async def async_add_target(self, service, version='v1', **fields):
        """Start a target and register it."""
        target = PlatformTarget(id=next(self.names), **fields)
        await target.async_start()
        self.targets.append(target)
        self.register(target, service, version)
        return target

    def register(self, target, service, version='v1'):
        """Write the entry of a target."""
        self.store.put(
            'servers',
            target.id,
            target_document(
                service=service,
                address=f'127.0.0.1:{target.port}',
                domain=DOMAINS[len(self.targets) % len(DOMAINS)],
                version=version,
            ),
        )

    async def async_ask(self, path, daemon=None, **fields):
        """Send a request to an instance, any by default; return the response."""
        self.request_count += 1
        asked = daemon or self.rng.choice(self.daemons)
        return await asked.gateway.async_handle(
            make_request(f'q{self.request_count}', path=path, **fields)
        )

    async def async_stop(self):
        for daemon in self.daemons:
            await daemon.async_stop()
        for target in self.targets:
            await target.async_stop()
        await self.store.async_stop()


async def async_wait_until(condition, limit_s=START_LIMIT_S):
    """Wait until a condition holds; fail after a time."""
    give_up_at = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < give_up_at
        await asyncio.sleep(0.02)
