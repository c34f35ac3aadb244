"""Measures gateway processes against callers that stop just before the end.

Each case starts one process of `python -m bitternturn.platform` at full size, lets
callers send all but the end of what they may send, and then sends ordinary
requests. It takes about ten minutes, with `--quick` one.
"""

import asyncio
import json
import os
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path

from bench.options import Options
from bench.processes import HOST, PortAllocator
from bitternturn.platform.document_builders import (
    make_settings_document,
    make_target_document,
)
from bitternturn.standins.platform_store import EmulatedPlatformStore
from bitternturn.standins.platform_target import PlatformTarget

MEMORIES_MB = (152, 300, 552)
CROWDS = (300, 1000)
BODY_BYTES = 262_000
WITHHELD_BYTES = 10
PIPELINED_REQUESTS = 4000
WRITE_BYTES = 64 * 1024
# Time in which the callers send, in seconds.
SEND_S = 8.0
ORDINARY_REQUESTS = 4
ORDINARY_TIMEOUT_S = 5.0
START_TIMEOUT_S = 30.0
OPENED_TOGETHER = 50
POLL_S = 0.1
LISTENERS = ('front', 'ready', 'control', 'metrics')
HEAD = b'POST /small/x HTTP/1.1\r\nhost: search.example\r\n'
CHUNKED_HEAD = HEAD + b'transfer-encoding: chunked\r\n\r\n'
MOST_OF_BODY = b'x' * (BODY_BYTES - WITHHELD_BYTES)
LENGTH_HEAD = HEAD + b'content-length: %d\r\n\r\n' % BODY_BYTES
# What one caller sends: the start, and a part with its number of repetitions.
KINDS = {
    'length': (LENGTH_HEAD, MOST_OF_BODY, 1),
    'one_chunk': (
        CHUNKED_HEAD + b'%x\r\n' % BODY_BYTES,
        MOST_OF_BODY,
        1,
    ),
    'tiny_chunks': (CHUNKED_HEAD, b'1\r\nx\r\n', len(MOST_OF_BODY)),
    'pipelined': (
        b'',
        b'GET /small/x HTTP/1.1\r\nhost: search.example\r\n\r\n',
        PIPELINED_REQUESTS,
    ),
}
ROUTE = {
    'name': 'small',
    'hostname': 'search.example',
    'path-prefix': '/small/',
    'type': 'idempotent',
    'timeout-ms': 3000,
    'target-latency-ms': 500,
    'priority': 2,
    'attempts': 2,
    'service': 's',
}
SERVICE = {
    'name': 's',
    'health-path': '/health',
    'max-conns': 26,
    'protocol': 'h1',
    'tls': False,
    'warmup-s': 0.0,
    'cold-per-s': 0.0,
}
LIMITS = {
    'max-header-bytes': 16_384,
    'max-body-bytes': 262_144,
    'header-timeout-ms': 3000,
    'idle-timeout-ms': 15_000,
}


class MeasuredGateway:
    """One gateway process with its store and target."""

    def __init__(self, folder: Path, memory_mb: int) -> None:
        self.folder = folder
        self.memory_mb = memory_mb
        self.store = EmulatedPlatformStore()
        self.target = PlatformTarget(id='t1', body=b'content')
        allocator = PortAllocator()
        self.ports = {name: allocator.allocate() for name in LISTENERS}
        self.process: asyncio.subprocess.Process | None = None

    async def async_start(self) -> None:
        """Start the process and wait until it answers."""
        self.store.put(
            'config',
            'main',
            {
                'version': 1,
                'routes': [ROUTE],
                'services': [SERVICE],
                'limits': LIMITS,
            },
        )
        await self.store.async_start()
        await self.target.async_start()
        self.store.put(
            'servers',
            't1',
            make_target_document(
                service='s',
                address=f'{HOST}:{self.target.port}',
                domain='north',
                **{'max-concurrency': 16},
            ),
        )
        settings = make_settings_document(
            name='i1',
            domain='north',
            domains={'north': 'r'},
            listen={
                name: f'{HOST}:{port}' for name, port in self.ports.items()
            },
            seeds=[f'{HOST}:{self.ports["control"]}'],
            bounds={'grace-s': 6},
            store=f'{HOST}:{self.store.server.port}',
            bootstrap=True,
            limits={'memory-mb': self.memory_mb, 'max-fds': 4100},
        )
        path = self.folder / f'{self.memory_mb}.json'
        path.write_text(json.dumps(settings))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bitternturn.platform',
            stdout=asyncio.subprocess.DEVNULL,
            env={**os.environ, 'BITTERNTURN_NODE_FILE': str(path)},
        )
        async with asyncio.timeout(START_TIMEOUT_S):
            while await self.async_ask() != 200:  # noqa: ASYNC110
                await asyncio.sleep(POLL_S)

    async def async_ask(self) -> int:
        """Send an ordinary request; return its status, 0 without one."""
        try:
            async with asyncio.timeout(ORDINARY_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    HOST, self.ports['front']
                )
                writer.write(HEAD + b'content-length: 7\r\n\r\ncontent')
                head = await reader.readuntil(b'\r\n\r\n')
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0
        writer.transport.abort()
        return int(head.split(b' ')[1])

    def read_memory_mb(self, name: str) -> float:
        """Return a size of the process, in megabytes; 0 once it has ended."""
        assert self.process is not None
        with suppress(OSError):
            text = Path(f'/proc/{self.process.pid}/status').read_text()
            for line in text.splitlines():
                if line.startswith(name):
                    return round(int(line.split()[1]) / 1024, 1)
        return 0

    async def async_stop(self) -> None:
        """End the process, the store and the target."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        await self.target.async_stop()
        await self.store.async_stop()


async def async_call(port: int, kind: str) -> None:
    """Send what a caller of a kind sends, and keep the connection."""
    start, part, repetitions = KINDS[kind]
    reader, writer = await asyncio.open_connection(HOST, port)
    reader._transport.pause_reading()  # type: ignore[attr-defined]
    try:
        writer.write(start)
        at_once = max(1, WRITE_BYTES // len(part))
        while repetitions:
            count = min(at_once, repetitions)
            repetitions -= count
            piece = part * count
            for offset in range(0, len(piece), WRITE_BYTES):
                writer.write(piece[offset : offset + WRITE_BYTES])
                await writer.drain()
        await asyncio.Event().wait()
    except OSError:
        return
    finally:
        writer.transport.abort()


async def async_measure(
    folder: Path, memory_mb: int, kind: str, count: int
) -> dict[str, object]:
    """Measure one case."""
    gateway = MeasuredGateway(folder, memory_mb)
    callers: list[asyncio.Task[None]] = []
    try:
        await gateway.async_start()
        before_mb = gateway.read_memory_mb('VmRSS')
        for number in range(count):
            callers.append(
                asyncio.create_task(async_call(gateway.ports['front'], kind))
            )
            if number % OPENED_TOGETHER == 0:
                await asyncio.sleep(0.05)
        await asyncio.sleep(SEND_S)
        started_at = time.monotonic()
        statuses = [await gateway.async_ask() for _ in range(ORDINARY_REQUESTS)]
        assert gateway.process is not None
        return {
            'memory_mb': memory_mb,
            'kind': kind,
            'callers': count,
            'before_mb': before_mb,
            'peak_mb': gateway.read_memory_mb('VmHWM'),
            'answered': statuses.count(200),
            'asked_s': round(time.monotonic() - started_at, 2),
            'alive': gateway.process.returncode is None,
        }
    finally:
        for task in callers:
            task.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await gateway.async_stop()


async def async_run(options: Options) -> dict[str, object]:
    """Run all cases, or with `quick` those of the smallest gateway."""
    memories_mb = MEMORIES_MB[:1] if options.quick else MEMORIES_MB
    crowds = CROWDS[:1] if options.quick else CROWDS
    cases = []
    with tempfile.TemporaryDirectory() as folder:
        for memory_mb in memories_mb:
            for count in crowds:
                for kind in KINDS:
                    case = await async_measure(
                        Path(folder), memory_mb, kind, count
                    )
                    print(json.dumps(case), file=sys.stderr)
                    cases.append(case)
    return {
        'cases': cases,
        'all_alive': all(it['alive'] for it in cases),
        'least_answered': min(int(str(it['answered'])) for it in cases),
    }
