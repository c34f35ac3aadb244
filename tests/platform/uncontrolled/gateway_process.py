"""One gateway process on loopback, with a store and a target in this process."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

from bench.processes import PortAllocator
from bitternturn.platform import wire_names
from bitternturn.standins.platform_store import EmulatedPlatformStore
from bitternturn.standins.platform_target import PlatformTarget
from tests.platform.documents import (
    configuration_document,
    settings_document,
    target_document,
)

HOST = '127.0.0.1'
# Limits of the process: a crowd of some hundred callers exceeds them on a
# gateway that holds whatever it receives.
MEMORY_MB = 64
MAX_DESCRIPTORS = 256
MEBIBYTE = 1024 * 1024
# Time that requests may take; it exceeds the duration of each test.
ROUTE_TIMEOUT_MS = 60_000
# Time after which a process counts as hanging.
HANG_S = 60.0
GRACE_S = 6.0
# More than the system holds for a connection (`tcp_wmem`, about 2.6 MB here).
LARGE_ANSWER_BYTES = 4 * MEBIBYTE
POLL_S = 0.05
LISTENERS = ('front', 'ready', 'control', 'metrics')


class GatewayProcess:
    """Process of a gateway with lowered limits, and what it depends on."""

    def __init__(self, folder):
        self.folder = folder
        self.store = EmulatedPlatformStore()
        self.target = PlatformTarget(id='t1', body=b'content')
        self.large_target = PlatformTarget(
            id='t2', body=b'x' * LARGE_ANSWER_BYTES
        )
        allocator = PortAllocator()
        self.ports = {name: allocator.allocate() for name in LISTENERS}
        self.process = None
        self.most_descriptors = 0
        self.watch_task = None

    async def async_prepare(self):
        """Start the store and the targets."""
        routes = [
            {
                'name': name,
                'hostname': 'search.example',
                'path-prefix': f'/{name}/',
                'type': 'idempotent',
                'timeout-ms': ROUTE_TIMEOUT_MS,
                'target-latency-ms': 500,
                'priority': 2,
                'attempts': 2,
                'service': service,
            }
            for name, service in (('small', 's'), ('large', 'u'))
        ]
        services = [
            {
                'name': name,
                'health-path': '/health',
                'max-conns': 26,
                'protocol': 'h1',
                'tls': False,
                'warmup-s': 0.0,
                'cold-per-s': 0.0,
            }
            for name in ('s', 'u')
        ]
        self.store.put(
            'config',
            'main',
            configuration_document(routes=routes, services=services),
        )
        await self.store.async_start()
        for target, service in ((self.target, 's'), (self.large_target, 'u')):
            await target.async_start()
            document = target_document(
                service=service, address=f'{HOST}:{target.port}'
            )
            # Large answers follow each other: several at once would exceed
            # the memory for answers that are being received.
            document['max-concurrency'] = 16 if service == 's' else 1
            self.store.put('servers', target.id, document)

    async def async_start(self):
        """Start the process without waiting until it is ready."""
        settings = settings_document(
            listen={
                name: f'{HOST}:{port}' for name, port in self.ports.items()
            },
            platform={'address': f'{HOST}:{self.store.server.port}'},
            limits={
                'cpu-share': 1,
                'cores': 1,
                'memory-mb': MEMORY_MB,
                'max-fds': MAX_DESCRIPTORS,
                'link-mbps': 1000,
            },
        )
        settings['seed-nodes'] = [f'{HOST}:{self.ports["control"]}']
        settings['bounds']['grace-s'] = GRACE_S
        settings['bootstrap'] = True
        path = self.folder / 'boot.json'
        path.write_text(json.dumps(settings))
        with (self.folder / 'log').open('wb') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'bitternturn.platform',
                stdout=log,
                stderr=log,
                env={**os.environ, 'BITTERNTURN_NODE_FILE': str(path)},
            )
        self.watch_task = asyncio.create_task(self._async_watch_descriptors())

    async def async_wait_until_ready(self):
        """Wait until the readiness probe succeeds."""
        give_up_at = time.monotonic() + HANG_S
        while (
            await self.async_request('ready', 'GET', wire_names.PATH_READY)
            != 200
        ):
            assert time.monotonic() < give_up_at, self.read_log()
            await asyncio.sleep(POLL_S)

    async def async_wait_until_listening(self):
        """Wait until callers can connect."""
        give_up_at = time.monotonic() + HANG_S
        while True:
            assert time.monotonic() < give_up_at, self.read_log()
            try:
                _, writer = await asyncio.open_connection(
                    HOST, self.ports['front']
                )
            except OSError:
                await asyncio.sleep(POLL_S)
                continue
            writer.close()
            return

    async def async_request(self, listener, method, path, body=b''):
        """Send one request on its own connection; return the status or 0."""
        try:
            reader, writer = await asyncio.open_connection(
                HOST, self.ports[listener]
            )
        except OSError:
            return 0
        writer.write(
            f'{method} {path} HTTP/1.1\r\nhost: search.example\r\n'
            f'x-deadline-remaining: {ROUTE_TIMEOUT_MS}\r\n'
            f'content-length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        try:
            async with asyncio.timeout(HANG_S):
                head = await reader.readuntil(b'\r\n\r\n')
        except (OSError, asyncio.IncompleteReadError):
            return 0
        finally:
            writer.transport.abort()
        return int(head.split(b' ')[1])

    async def async_check(self):
        """Check process, memory, descriptors and an ordinary request."""
        status = await self.async_request(
            'front', 'POST', '/small/x', b'ordinary'
        )
        self.check_resources()
        assert status == 200, self.read_log()

    def check_resources(self):
        """Check that the process lives within its limits."""
        assert self.process.returncode is None, self.read_log()
        memory_mb = self.read_peak_memory() / MEBIBYTE
        print(
            f'peak memory {memory_mb:.1f} MB, '
            f'most descriptors {self.most_descriptors}'
        )
        assert memory_mb <= MEMORY_MB
        assert self.most_descriptors <= MAX_DESCRIPTORS

    def read_peak_memory(self):
        """Return the largest resident size so far, in bytes."""
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        line = next(it for it in status.splitlines() if 'VmHWM' in it)
        return int(line.split()[1]) * 1024

    def read_log(self):
        """Return the end of the log."""
        return (self.folder / 'log').read_text(errors='replace')[-2000:]

    def terminate(self):
        """Ask the process to drain and stop."""
        self.process.send_signal(signal.SIGTERM)

    async def async_stop(self):
        """End the process and the stand-ins."""
        if self.watch_task is not None:
            self.watch_task.cancel()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        await self.target.async_stop()
        await self.large_target.async_stop()
        await self.store.async_stop()

    async def _async_watch_descriptors(self):
        """Record the largest number of open descriptors."""
        folder = f'/proc/{self.process.pid}/fd'
        while True:
            try:
                count = len(os.listdir(folder))
            except OSError:
                return
            self.most_descriptors = max(self.most_descriptors, count)
            await asyncio.sleep(POLL_S)
