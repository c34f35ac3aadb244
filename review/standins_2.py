"""Stand-ins for the platform, its store, backends and clients of a small fleet.

They speak what PROTOCOL.md and DEPLOY.md say, on loopback addresses, and record
what they see. The instances are started with the command of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import shlex
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HOST = 'pupu76.example'
PAGE = 500
ZONES = ('taroudant', 'ouled-teima', 'biougra', 'ait-baha')
REGION = 'souss'


class Record:
    """Lines of `record.txt`, each with the time since the start."""

    def __init__(self, path: Path) -> None:
        """Create the file."""
        self.file = path.open('w', encoding='utf-8')
        self.begun_at = time.monotonic()

    def now(self) -> float:
        """Return the time since the start, in seconds."""
        return time.monotonic() - self.begun_at

    def write(self, line: str) -> None:
        """Write a line."""
        self.file.write(f'{self.now():9.3f} {line}\n')
        self.file.flush()


async def async_read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, None at its end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, separator, content = line.partition(':')
        if separator:
            headers[name.strip().lower()] = content.strip()
    return first, headers


async def async_read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Return the body of a request or of an answer with a length."""
    return await reader.readexactly(int(headers.get('content-length', '0')))


def free_ports(host: str, count: int) -> list[int]:
    """Return ports that are free on a loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((host, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


@dataclass(kw_only=True)
class StoredObject:
    """One object of the store; `text` is its JSON form."""

    name: str
    revision: int
    spec: Any
    text: bytes


class Store:
    """The platform's store: objects by kind and name, lists and watches."""

    def __init__(self) -> None:
        """Initialise an empty store at a revision above 0."""
        self.revision = 1
        self.kinds: dict[str, dict[str, StoredObject]] = {}
        # Kind, revision and JSON form of each change.
        self.history: list[tuple[str, int, bytes, float]] = []
        self.changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.calls: list[tuple[float, str, str]] = []
        self.port = 0
        self.history_s = 20.0
        # Whether the watch of a client host is held back.
        self.is_silent: Callable[[str], bool] = lambda _host: False

    async def async_start(self) -> None:
        """Listen on loopback."""
        server = await asyncio.start_server(
            self._async_serve, '127.0.0.1', 0, limit=1 << 22
        )
        self.port = server.sockets[0].getsockname()[1]

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as the operator or a backend does."""
        self.revision += 1
        known = self.kinds.setdefault(kind, {}).get(name)
        meta = {
            'name': name,
            'revision': self.revision,
            'created-rev': self.revision if known is None else 1,
            'finalizers': [],
            'delete-requested': False,
        }
        text = json.dumps(
            {'meta': meta, 'spec': spec, 'status': None}, separators=(',', ':')
        ).encode()
        self.kinds[kind][name] = StoredObject(
            name=name, revision=self.revision, spec=spec, text=text
        )
        self._record(kind, b'{"deleted":false,"object":' + text + b'}')

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        known = self.kinds.get(kind, {}).pop(name, None)
        if known is not None:
            self.revision += 1
            self._record(kind, b'{"deleted":true,"object":' + known.text + b'}')

    def _record(self, kind: str, event: bytes) -> None:
        """Keep an event for the time of the history and wake the watches."""
        now = time.monotonic()
        self.history.append((kind, self.revision, event, now))
        while self.history[0][3] < now - self.history_s:
            del self.history[0]
        self.changed.set()
        self.changed = asyncio.Event()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection."""
        self.writers.add(writer)
        host = writer.get_extra_info('peername')[0]
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await async_read_head(reader)) is not None:
                body = await async_read_body(reader, head[1])
                status, answer = await self._async_answer(host, head[0], body)
                writer.write(
                    f'HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n'
                    f'content-length: {len(answer)}\r\n\r\n'.encode()
                    + answer
                )
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def _async_answer(
        self, host: str, line: str, body: bytes
    ) -> tuple[int, bytes]:
        """Return the status and body of the answer to a call."""
        method, target, _ = line.split(' ')
        self.calls.append((time.monotonic(), host, f'{method} {target}'))
        if self.is_silent(host):
            await asyncio.sleep(3600)
        path, _, query = target.partition('?')
        arguments = dict(
            pair.split('=', 1) for pair in query.split('&') if pair
        )
        kind, _, name = path.removeprefix('/bitternturn/objects/').partition(
            '/'
        )
        objects = self.kinds.setdefault(kind, {})
        if method == 'GET' and name:
            known = objects.get(name)
            return (404, b'{}') if known is None else (200, known.text)
        if method == 'GET' and 'watch' in arguments:
            return await self._async_watch(kind, arguments)
        if method == 'GET':
            names = sorted(
                it for it in objects if it > arguments.get('after', '')
            )
            items = b','.join(objects[it].text for it in names[:PAGE])
            more = b'true' if len(names) > PAGE else b'false'
            return 200, b'{"items":[%b],"more":%b,"at-rev":%d}' % (
                items,
                more,
                self.revision,
            )
        return self._write(method, kind, name, body)

    def _write(
        self, method: str, kind: str, name: str, body: bytes
    ) -> tuple[int, bytes]:
        """Create, replace or delete an object of the system."""
        if method == 'DELETE':
            self.delete(kind, name)
            return 200, b'{}'
        content = json.loads(body)
        name = name or content['meta']['name']
        known = self.kinds[kind].get(name)
        stated = content['meta'].get('revision')
        if known is not None and (method == 'POST' or stated != known.revision):
            return 409, known.text
        if known is None or known.spec != content['spec']:
            self.put(kind, name, content['spec'])
        return 200, self.kinds[kind][name].text

    async def _async_watch(
        self, kind: str, arguments: dict[str, str]
    ) -> tuple[int, bytes]:
        """Return the events since a revision, or none after the wait."""
        since = int(arguments['watch'])
        ends_at = time.monotonic() + int(arguments.get('wait-ms', '0')) / 1000
        while True:
            if self.history and since < self.history[0][1] - 1:
                return 410, b'{}'
            events = [
                event
                for of, revision, event, _ in self.history
                if of == kind and revision > since
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
        return 200, b'{"events":[%b],"at-rev":%d}' % (
            b','.join(events),
            self.revision,
        )


@dataclass(kw_only=True)
class Arrival:
    """A request that a backend has received."""

    id: str
    at: float
    line: str
    headers: dict[str, str]
    body: bytes
    run: bool = True


@dataclass(kw_only=True)
class Backend:
    """A backend of one service; answers after its work time."""

    id: str
    service: str
    zone: str
    store: Store
    record: Record
    work_s: float = 0.01
    body: bytes = b''
    born: int = 0
    port: int = 0
    state: str = 'ready'
    arrivals: list[Arrival] = field(default_factory=list)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    extra_headers: Callable[[], str] = lambda: ''
    beat: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Listen and register."""
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(
            self._async_serve, '127.0.0.1', self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()

    def register(self) -> None:
        """Write the entry to the store."""
        self.store.put(
            'servers',
            self.id,
            {
                'service': self.service,
                'address': f'127.0.0.1:{self.port}',
                'zone': self.zone,
                'version': 'v1',
                'max-concurrency': 4,
                'state': self.state,
                'cold-left-ms': 0,
                'seq': 1,
                'born': self.born,
            },
        )

    async def async_end(self) -> None:
        """End at once: close the listener and reset the connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection."""
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await async_read_head(reader)) is not None:
                await self._async_handle(reader, writer, *head)
        self.writers.discard(writer)
        writer.close()

    async def _async_handle(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        line: str,
        headers: dict[str, str],
    ) -> None:
        """Run a request and answer it."""
        body = await async_read_body(reader, headers)
        number = headers.get('x-request-id', '')
        arrival = Arrival(
            id=number,
            at=self.record.now(),
            line=line,
            headers=headers,
            body=body,
        )
        self.arrivals.append(arrival)
        common = f'x-request-id: {number}\r\n{self.extra_headers()}'
        if headers.get('x-target-instance', self.id) != self.id:
            arrival.run = False
            writer.write(
                f'HTTP/1.1 421 Misdirected Request\r\n{common}'
                'content-length: 0\r\n\r\n'.encode()
            )
            return
        await asyncio.sleep(self.work_s)
        writer.write(
            f'HTTP/1.1 200 OK\r\n{common}'
            f'x-server-stamp: {self.id}.{number}.{len(self.arrivals)}\r\n'
            f'content-length: {len(self.body)}\r\n\r\n'.encode()
            + (b'' if line.startswith('HEAD ') else self.body)
        )
        await writer.drain()


@dataclass(kw_only=True)
class Instance:
    """One machine of the system: its process and its addresses."""

    number: int
    folder: Path
    store_port: int
    seeds: list[str]
    ports: list[int]
    record: Record
    zone: str
    bounds: dict[str, Any]
    memory_mb: int = 300
    first_start: bool = True
    contracts: tuple[str, ...] = (
        'base',
        'drain',
        'config',
        'cost',
        'retry',
        'recover',
        'scatter',
        'places',
        'platform',
    )
    process: asyncio.subprocess.Process | None = None
    # Exit codes of processes, and when each was noticed.
    ends: list[tuple[float, int]] = field(default_factory=list)
    peak_bytes: int = 0

    @property
    def host(self) -> str:
        """Loopback address of the machine."""
        return f'127.0.2.{self.number + 1}'

    @property
    def name(self) -> str:
        """Name of the machine."""
        return f'front-{self.zone}-{self.number + 1}'

    def settings(self) -> dict[str, Any]:
        """Return the settings file, as DEPLOY.md shows it."""
        front, ready, control, metrics = self.ports
        return {
            'node-name': self.name,
            'role': 'gateway',
            'machine-class': 'front',
            'serves': ['front', 'control'],
            'ip': self.host,
            'zone': self.zone,
            'region': REGION,
            'zones': dict.fromkeys(ZONES, REGION),
            'listen': {
                'front': f'{self.host}:{front}',
                'ready': f'{self.host}:{ready}',
                'control': f'{self.host}:{control}',
                'metrics': f'{self.host}:{metrics}',
            },
            'internal-port-range': [7380, 7395],
            'seed-nodes': self.seeds,
            'bootstrap': self.first_start,
            'fault-counted': False,
            'limits': {
                'cpu-share': 0.537,
                'cores': 2,
                'memory-mb': self.memory_mb,
                'max-fds': 4100,
                'link-mbps': 1000.0,
                'disk-mb': 0,
            },
            'data-dir': None,
            'discovery': 'platform',
            'entry': 'virtual_ip',
            'heartbeat-ms': 1200,
            'contracts': list(self.contracts),
            'fault-tolerance': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': self.bounds,
            'platform': {
                'address': f'127.0.0.1:{self.store_port}',
                'form': 'objects',
                'writes-per-s': 400,
                'reads-per-s': 2000,
                'history-s': 20,
                'value-bytes': 1048576,
                'ttl-min-ms': 1000,
            },
        }

    async def async_start(self) -> None:
        """Write the settings file and start the process."""
        path = self.folder / f'{self.name}.json'
        path.write_text(json.dumps(self.settings()), encoding='utf-8')
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['gateway']['run'])
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['BITTERNTURN_NODE_FILE'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, stdout=log, stderr=log, cwd=ROOT, env=environment
            )
        self.record.write(f'start {self.name}, process {self.process.pid}')

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if self.alive:
            self.record.write(f'{number.name} to {self.name}')
            self.process.send_signal(number)

    def resident_bytes(self) -> int:
        """Return the memory that the process has resident, 0 without one."""
        if not self.alive or self.process is None:
            return 0
        with contextlib.suppress(OSError, ValueError, IndexError):
            text = Path(f'/proc/{self.process.pid}/statm').read_text()
            resident = int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE')
            self.peak_bytes = max(self.peak_bytes, resident)
            return resident
        return 0

    async def async_is_ready(self) -> bool:
        """Ask the ready address as the platform does."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.host, self.ports[1]
                )
                writer.write(
                    b'GET /bitternturn/ready HTTP/1.1\r\nhost: x\r\n\r\n'
                )
                head = await async_read_head(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return head is not None and ' 200 ' in head[0]

    async def async_wait_ready(self, limit_s: float = 25) -> bool:
        """Wait until the machine is ready."""
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            if await self.async_is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def async_kill(self) -> None:
        """End the process at the end of the script."""
        if self.process is not None and self.alive:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


@dataclass(kw_only=True)
class Answer:
    """What a client got for one request; status 0 is no whole answer."""

    id: str
    instance: int
    sent_at: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    ended_at: float = 0.0
    cause: str = ''


class Client:
    """A client with one connection that it keeps open while it can."""

    def __init__(self, instance: Instance, record: Record) -> None:
        """Initialise without a connection."""
        self.instance = instance
        self.record = record
        # When the last answer was read.
        self.idle_since = 0.0
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.writer = None

    async def async_send(
        self,
        number: str,
        path: str,
        deadline_ms: int,
        *,
        method: str = 'GET',
        body: bytes = b'',
        headers: str = '',
    ) -> Answer:
        """Send a request and wait for its answer until the deadline."""
        answer = Answer(
            id=number, instance=self.instance.number, sent_at=self.record.now()
        )
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                await self._async_exchange(
                    answer, path, deadline_ms, method, body, headers
                )
        except TimeoutError:
            answer.cause = 'deadline'
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.cause = f'{type(error).__name__}: {error}'
        answer.ended_at = self.record.now()
        if not answer.status:
            self.close()
        return answer

    async def _async_exchange(
        self,
        answer: Answer,
        path: str,
        deadline_ms: int,
        method: str,
        body: bytes,
        headers: str,
    ) -> None:
        """Write a request and read its answer."""
        if self.writer is None or self.writer.is_closing():
            self.reader, self.writer = await asyncio.open_connection(
                self.instance.host, self.instance.ports[0]
            )
        assert self.reader is not None
        length = f'content-length: {len(body)}\r\n' if body else ''
        self.writer.write(
            f'{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n'
            f'x-request-id: {answer.id}\r\n'
            f'x-deadline-remaining: {deadline_ms}\r\n'
            f'{length}{headers}\r\n'.encode()
            + body
        )
        head = await async_read_head(self.reader)
        if head is None:
            answer.cause = 'closed without an answer'
            return
        answer.headers = head[1]
        if method != 'HEAD':
            answer.body = await async_read_body(self.reader, head[1])
        answer.status = int(head[0].split(' ')[1])
        if head[1].get('connection', '').lower() == 'close':
            self.close()


def write_traffic(
    record: Record,
    answers: Sequence[Answer],
    arrivals: Iterable[tuple[str, Arrival]],
) -> None:
    """Record what was sent, where it arrived and what was answered.

    `arrivals` has the id of the backend with each arrival.
    """
    places: dict[str, list[str]] = {}
    for backend, arrival in arrivals:
        run = 'run' if arrival.run else 'not run'
        places.setdefault(arrival.id, []).append(
            f'{backend} at {arrival.at:.3f} ({run})'
        )
    for answer in sorted(answers, key=lambda it: it.sent_at):
        record.write(
            f'traffic {answer.id} sent to machine {answer.instance + 1} at '
            f'{answer.sent_at:.3f}: status {answer.status} {answer.cause} at '
            f'{answer.ended_at:.3f}; arrived at '
            f'{", ".join(places.get(answer.id, ())) or "no backend"}'
        )


def default_bounds() -> dict[str, Any]:
    """Return the bounds of the small deployments."""
    return {
        'seed-lag-s': 3,
        'addr-reuse-s': 2,
        'stability-window-ms': 4000,
        'ack-ms': 5000,
        'sync-s': 4,
        'drain-ms': 3000,
        'grace-s': 6,
        'loss-slack-ms': 200,
        'config-propagation-ms': 3000,
        'rollback-slack-ms': 250,
        'stretch-max-ms': 12000,
        'retry-ratio': 0.2,
        'retry-window-s': 10,
        'retry-slack': 56,
        'cold-overload-factor': 1.5,
        'cold-slack': 5,
        'evacuate-ms': 5000,
        'recovery-s': 12,
    }


LIMITS = {
    'max-header-bytes': 16384,
    'max-body-bytes': 262144,
    'header-timeout-ms': 3000,
    'idle-timeout-ms': 15000,
}


def service_entry(name: str, connections: int = 110) -> dict[str, Any]:
    """Return a service of the configuration."""
    return {
        'name': name,
        'health-path': '/health',
        'max-conns': connections,
        'protocol': 'h1',
        'tls': False,
        'warmup-s': 3.0,
        'cold-per-s': 0.0,
    }


def make_instances(
    count: int, folder: Path, store: Store, record: Record, **changes: Any
) -> list[Instance]:
    """Return machines with free ports; the first three are the seeds."""
    all_ports = [
        free_ports(f'127.0.2.{index + 1}', 4) for index in range(count)
    ]
    seeds = [
        f'127.0.2.{index + 1}:{ports[2]}'
        for index, ports in enumerate(all_ports[:3])
    ]
    return [
        Instance(
            number=index,
            folder=folder,
            store_port=store.port,
            seeds=seeds,
            ports=ports,
            record=record,
            zone=ZONES[index % len(ZONES)],
            bounds=default_bounds(),
            **changes,
        )
        for index, ports in enumerate(all_ports)
    ]


@contextlib.asynccontextmanager
async def async_folder() -> AsyncIterator[Path]:
    """Return a temporary folder for settings and logs."""
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


def has_trouble() -> bool:
    """Return whether the script injects its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(main: Callable[[Record], Any], folder: Path) -> None:
    """Run a case and exit with its code; 2 if it could not run."""
    record = Record(folder / 'record.txt')
    try:
        code, message = asyncio.run(main(record))
    except Exception as error:
        code, message = 2, f'could not run: {type(error).__name__}: {error}'
    record.write(message)
    print(message, flush=True)
    # Connections that are still open need no further care.
    os._exit(code)
