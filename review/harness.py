"""Stand-ins of store, targets and callers that the cases of this review share.

They follow the users' pages (PROTOCOL.md, DEPLOY.md) and need the standard
library only. The gateways run as separate processes with the command of
`deploy/system.toml`.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final
from urllib.parse import parse_qs, unquote

HELD: Final = 0
BROKEN: Final = 1
NOT_RUN: Final = 2
# A run has to end within 120 s.
RUN_TIMEOUT_S: Final = 110.0
HOST: Final = '127.0.0.1'
ROOT: Final = Path(__file__).resolve().parent.parent
PORTS: Final = (20_000, 32_000)
USED_PORTS: Final[set[int]] = set()
OBJECTS: Final = '/bitternturn/objects/'
# Bounds of the small deployments, by their names in the settings.
BOUNDS: Final = {
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
ZONES: Final = ('taroudant', 'ouled-teima', 'biougra', 'ait-baha')


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Lines of `record.txt`, with the seconds since the start."""

    def __init__(self, *, path: Path) -> None:
        """Initialise without lines."""
        self.path = path
        self.began_at = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began_at

    def write(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f'{self.now():8.3f} {text}')

    def save(self) -> None:
        """Write the file."""
        self.path.write_text('\n'.join(self.lines) + '\n', encoding='utf-8')


# HTTP


@dataclass(kw_only=True, slots=True)
class Message:
    """A request or an answer; the names of headers are in lower case."""

    start: list[str]
    headers: dict[str, str]
    body: bytes


async def read_message(
    reader: asyncio.StreamReader, first: bytes = b''
) -> Message | None:
    """Read a message with a length; return None at the end of the stream."""
    try:
        head = first + await reader.readuntil(b'\r\n\r\n')
        start, *lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
        headers = {}
        for line in lines:
            name, _, content = line.partition(':')
            headers[name.strip().lower()] = content.strip()
        length = int(headers.get('content-length', '0'))
        body = await reader.readexactly(length) if length else b''
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return None
    return Message(start=start.split(' ', 2), headers=headers, body=body)


def render(start: str, headers: Mapping[str, str], body: bytes = b'') -> bytes:
    """Return the bytes of a message."""
    lines = [start, *(f'{name}: {text}' for name, text in headers.items())]
    if 'Content-Length' not in headers:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


def render_answer(
    status: int, headers: Mapping[str, str], body: bytes = b''
) -> bytes:
    """Return the bytes of an answer."""
    return render(f'HTTP/1.1 {status} X', headers, body)


def find_free_port() -> int:
    """Return a port of the loopback address that is free now.

    Below the range from which the system takes the ports of connections.
    """
    while True:
        port = random.randrange(*PORTS)
        if port in USED_PORTS:
            continue
        USED_PORTS.add(port)
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((HOST, port))
            return port


# The platform's store


@dataclass(kw_only=True, frozen=True, slots=True)
class Change:
    """One change of an object; `spec` is JSON as it was written."""

    kind: str
    name: str
    spec: bytes
    revision: int
    created_revision: int
    deleted: bool = False

    def render(self) -> bytes:
        """Return the JSON form of the object."""
        meta = {
            'name': self.name,
            'revision': self.revision,
            'created-rev': self.created_revision,
            'finalizers': [],
            'delete-requested': False,
        }
        return b'{"meta":%s,"spec":%s,"status":null}' % (
            json.dumps(meta).encode(),
            self.spec,
        )


# Revision, objects and history of a store.
StoreCopy = tuple[int, dict[tuple[str, str], Change], list[Change]]


def _translate_nothing(body: bytes, port: int) -> bytes:
    """Return an answer of the store as it is."""
    return body


class Store:
    """The platform's store: objects by kind and name, lists and watches.

    Each gateway has a port of its own, so that the store can turn one away.
    """

    def __init__(self, *, record: Record) -> None:
        """Initialise an empty store."""
        self.record = record
        self.revision = 100
        self.objects: dict[tuple[str, str], Change] = {}
        self.history: list[Change] = []
        self.changed = asyncio.Event()
        self.servers: list[asyncio.Server] = []
        # Ports whose callers get 503 for every call.
        self.refused: set[int] = set()
        # Further headers of all answers.
        self.headers: dict[str, str] = {}
        # Whether watches hear nothing.
        self.silent = False
        # Watches from earlier revisions get 410.
        self.oldest_revision = 0
        # Translates the addresses in an answer for the caller at a port.
        self.translate: Callable[[bytes, int], bytes] = _translate_nothing

    async def open_port(self) -> int:
        """Listen on a further port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.servers.append(server)
        port: int = server.sockets[0].getsockname()[1]
        return port

    def refuse(self, port: int) -> None:
        """Turn away the callers at a port; waiting watches are cut off."""
        self.refused.add(port)
        self._notify()

    def copy(self) -> StoreCopy:
        """Return a copy of the state, from which the store can come back."""
        return self.revision, dict(self.objects), list(self.history)

    def come_back(self, copied: StoreCopy, era: int) -> None:
        """Go back to a copy and begin a new era."""
        self.revision, self.objects, self.history = copied
        self.headers = {'Store-Era': str(era)}
        self._notify()

    def drop_history(self) -> None:
        """Discard the history and cut off the watches that wait."""
        self.oldest_revision = self.revision
        self.silent = False
        self._notify()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object; bytes are stored as they are."""
        text = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        self.revision += 1
        known = self.objects.get((kind, name))
        change = Change(
            kind=kind,
            name=name,
            spec=text,
            revision=self.revision,
            created_revision=known.created_revision if known else self.revision,
        )
        self.objects[(kind, name)] = change
        self.history.append(change)
        self._notify()

    def delete(self, kind: str, name: str) -> None:
        """Delete an object if it exists."""
        known = self.objects.pop((kind, name), None)
        if known is None:
            return
        self.revision += 1
        self.history.append(
            Change(
                kind=kind,
                name=name,
                spec=known.spec,
                revision=self.revision,
                created_revision=known.created_revision,
                deleted=True,
            )
        )
        self._notify()

    def _notify(self) -> None:
        """Wake the watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        port: int = writer.get_extra_info('sockname')[1]
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                status, body = await self._handle(request, port)
                writer.write(
                    render_answer(
                        status,
                        {'Content-Type': 'application/json', **self.headers},
                        body,
                    )
                )
                await writer.drain()
        except OSError:
            return
        finally:
            writer.close()

    async def _handle(self, request: Message, port: int) -> tuple[int, bytes]:
        """Return the status and the body of an answer."""
        status, body = await self._handle_call(request, port)
        return status, self.translate(body, port)

    async def _handle_call(
        self, request: Message, port: int
    ) -> tuple[int, bytes]:
        """Return the status and the body of an answer."""
        if port in self.refused:
            return 503, b'{}'
        method, target = request.start[0], request.start[1]
        path, _, query = target.partition('?')
        arguments = {
            name: found[0]
            for name, found in parse_qs(query, keep_blank_values=True).items()
        }
        kind, _, name = path.removeprefix(OBJECTS).partition('/')
        kind, name = unquote(kind), unquote(name)
        if method == 'GET' and 'watch' in arguments:
            return await self._watch(kind, arguments, port)
        if method == 'GET' and not name:
            return 200, self._list(kind, arguments.get('after', ''))
        known = self.objects.get((kind, name))
        if method == 'GET':
            return (200, known.render()) if known else (404, b'{}')
        if method == 'DELETE':
            self.delete(kind, name)
            return 200, b'{}'
        document = json.loads(request.body)
        meta = document.get('meta', {})
        if method == 'POST':
            name = meta['name']
            known = self.objects.get((kind, name))
            if known is not None:
                return 409, known.render()
        elif known is None:
            return 404, b'{}'
        elif meta.get('revision', known.revision) != known.revision:
            return 409, known.render()
        self.put(kind, name, document.get('spec'))
        return 200, self.objects[(kind, name)].render()

    def _list(self, kind: str, after: str) -> bytes:
        """Return all objects of a kind in one page."""
        items = [
            change.render()
            for (of, name), change in sorted(self.objects.items())
            if of == kind and name > after
        ]
        return b'{"items":[%s],"more":false,"at-rev":%d}' % (
            b','.join(items),
            self.revision,
        )

    async def _watch(
        self, kind: str, arguments: Mapping[str, str], port: int
    ) -> tuple[int, bytes]:
        """Return the changes after a revision as soon as there are any."""
        since = int(arguments['watch'])
        until = time.monotonic() + int(arguments.get('wait-ms', '0')) / 1000
        while True:
            if port in self.refused:
                return 503, b'{}'
            if not self.oldest_revision <= since <= self.revision:
                return 410, b'{}'
            events = [
                b'{"object":%s,"deleted":%s}'
                % (change.render(), b'true' if change.deleted else b'false')
                for change in self.history
                if change.kind == kind and change.revision > since
            ]
            wait_s = until - time.monotonic()
            if (events and not self.silent) or wait_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
        if self.silent:
            return 200, b'{"events":[],"at-rev":%d}' % since
        return 200, b'{"events":[%s],"at-rev":%d}' % (
            b','.join(events),
            self.revision,
        )


# Backends


@dataclass(kw_only=True, slots=True)
class Arrival:
    """A request that has reached a backend."""

    backend: str
    id: str
    at: float
    # Port of the backend at which it arrived.
    port: int
    # Whether the backend began to work on it, and the status of its answer.
    ran: bool = False
    status: int = 0


@dataclass(kw_only=True)
class Backend:
    """A sound backend: `slots` requests at once, `queue` more wait."""

    record: Record
    id: str
    service: str
    zone: str
    slots: int = 3
    queue: int = 12
    work_s: float = 0.02
    # Body of its answers; the records of its part on gather routes.
    body: bytes = b'ok'
    address: str = ''
    # The first id of an address wins: others are answered with 421.
    arrivals: list[Arrival] = field(default_factory=list)
    draining: bool = False
    # Called with each arrival and the connection, instead of working on it;
    # returns whether the arrival was handled.
    fault: Callable[[Arrival, asyncio.StreamWriter], Awaitable[bool]] | None = (
        None
    )
    working: int = 0
    waiting: int = 0
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    server: asyncio.Server | None = None
    more_servers: list[asyncio.Server] = field(default_factory=list)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        self.free = asyncio.Condition()
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f'{HOST}:{self.server.sockets[0].getsockname()[1]}'

    async def open_port(self) -> int:
        """Listen on a further port, and return it."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.more_servers.append(server)
        port: int = server.sockets[0].getsockname()[1]
        return port

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, state: str = 'ready') -> dict[str, Any]:
        """Return the entry of the backend in the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'max-concurrency': self.slots,
            'state': state,
            'cold-left-ms': 0,
            'seq': 1,
            'born': self.born,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, one request at a time."""
        first = b''
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader, first)
                if request is None:
                    return
                # The next byte, or the end of the stream, which cancels.
                ahead = asyncio.ensure_future(reader.read(1))
                work = asyncio.ensure_future(self._answer(request, writer))
                await asyncio.wait(
                    (ahead, work), return_when=asyncio.FIRST_COMPLETED
                )
                if not work.done() and ahead.result() == b'':
                    work.cancel()
                    await asyncio.wait((work,))
                    return
                await work
                if self.draining:
                    ahead.cancel()
                    return
                first = await ahead
                if not first:
                    return
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Work on a request and answer it."""
        headers = request.headers
        request_id = headers.get('x-request-id', '')
        if request.start[1] == '/health':
            writer.write(render_answer(200, {'X-Instance-Id': self.id}))
            return
        if headers.get('x-target-instance', self.id) != self.id:
            writer.write(render_answer(421, {'X-Instance-Id': self.id}))
            return
        arrival = Arrival(
            backend=self.id,
            id=request_id,
            at=self.record.now(),
            port=writer.get_extra_info('sockname')[1],
        )
        self.arrivals.append(arrival)
        self.record.write(f'arrived at {self.id}: {request_id}')
        if self.fault is not None and await self.fault(arrival, writer):
            return
        if self.working >= self.slots and self.waiting >= self.queue:
            self.reject(arrival, writer)
            return
        left_ms = int(headers.get('x-deadline-remaining', '60000'))
        try:
            async with asyncio.timeout(left_ms / 1000):
                await self._take_slot()
                arrival.ran = True
                self.record.write(f'runs at {self.id}: {request_id}')
                try:
                    await asyncio.sleep(self.work_s)
                finally:
                    self.working -= 1
                    async with self.free:
                        self.free.notify()
        except TimeoutError:
            if arrival.ran:
                self.send(arrival, writer, 504)
            else:
                self.reject(arrival, writer)
            return
        self.send(arrival, writer, 200)

    async def _take_slot(self) -> None:
        """Wait for a slot."""
        self.waiting += 1
        try:
            async with self.free:
                await self.free.wait_for(lambda: self.working < self.slots)
                self.working += 1
        finally:
            self.waiting -= 1

    def send(
        self, arrival: Arrival, writer: asyncio.StreamWriter, status: int
    ) -> None:
        """Answer a request that has run."""
        arrival.status = status
        self.record.write(f'{self.id} answers {status}: {arrival.id}')
        headers = {
            'X-Request-Id': arrival.id,
            'X-Server-Stamp': f'{self.id}.{arrival.id}.{len(self.arrivals)}',
        }
        if self.draining:
            headers['Connection'] = 'close'
        writer.write(
            render_answer(status, headers, self.body if status == 200 else b'')
        )

    def reject(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        """Reject a request that has not run."""
        arrival.status = 503
        self.record.write(f'{self.id} rejects: {arrival.id}')
        writer.write(render_rejection(arrival.id))


def render_rejection(request_id: str) -> bytes:
    """Return the answer of a backend that has not run a request."""
    return render_answer(
        503, {'X-Request-Id': request_id, 'X-Not-Executed': '1'}
    )


# Clients


@dataclass(kw_only=True, slots=True)
class Answer:
    """What a client got; status 0 is a connection without an answer."""

    id: str
    status: int
    headers: dict[str, str]
    body: bytes
    sent_at: float
    ended_at: float


async def ask(
    record: Record,
    address: str,
    request_id: str,
    *,
    method: str = 'GET',
    target: str,
    host: str = 'shed.example',
    remaining_ms: int,
    body: bytes = b'',
) -> Answer:
    """Send one client attempt on a new connection and read its answer."""
    sent_at = record.now()
    name, _, port = address.rpartition(':')
    message: Message | None = None
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(remaining_ms / 1000 + 1):
            reader, writer = await asyncio.open_connection(name, int(port))
            record.write(f'client sends {method} {target}: {request_id}')
            headers = {
                'Host': host,
                'X-Request-Id': request_id,
                'X-Deadline-Remaining': str(remaining_ms),
            }
            if method == 'GET':
                headers['Content-Length'] = '0'
            writer.write(render(f'{method} {target} HTTP/1.1', headers, body))
            message = await read_message(reader)
            writer.close()
    status = int(message.start[1]) if message else 0
    record.write(f'client gets {status}: {request_id}')
    return Answer(
        id=request_id,
        status=status,
        headers=message.headers if message else {},
        body=message.body if message else b'',
        sent_at=sent_at,
        ended_at=record.now(),
    )


# Gateways


@dataclass(kw_only=True)
class Gateway:
    """One process of the project, started like the deploy file says."""

    record: Record
    name: str
    zone: str
    folder: Path
    store_port: int
    front: int = field(default_factory=find_free_port)
    ready: int = field(default_factory=find_free_port)
    control: int = field(default_factory=find_free_port)
    metrics: int = field(default_factory=find_free_port)
    process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> str:
        """Address for clients."""
        return f'{HOST}:{self.front}'

    @property
    def control_address(self) -> str:
        """Address for other gateways."""
        return f'{HOST}:{self.control}'

    def start(self, *, seeds: Sequence[str], first: bool) -> None:
        """Write the settings and start the process."""
        settings = {
            'node-name': self.name,
            'role': 'gateway',
            'machine-class': 'front',
            'serves': ['front', 'control'],
            'ip': HOST,
            'zone': self.zone,
            'region': 'souss',
            'zones': dict.fromkeys(ZONES, 'souss'),
            'listen': {
                'front': self.address,
                'ready': f'{HOST}:{self.ready}',
                'control': self.control_address,
                # Machines have an address each; here they share one.
                'metrics': f'{HOST}:{self.metrics}',
            },
            'seed-nodes': list(seeds),
            'bootstrap': first,
            'limits': {
                'cpu-share': 0.537,
                'cores': 2,
                'memory-mb': 300,
                'max-fds': 4100,
                'link-mbps': 1000.0,
                'disk-mb': 0,
            },
            'heartbeat-ms': 1200,
            'bounds': BOUNDS,
            'platform': {
                'address': f'{HOST}:{self.store_port}',
                'form': 'objects',
                'writes-per-s': 400,
                'reads-per-s': 2000,
                'history-s': 20,
                'value-bytes': 1048576,
            },
        }
        path = self.folder / f'{self.name}.json'
        path.write_text(json.dumps(settings), encoding='utf-8')
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                ('python3', '-m', 'bitternturn.platform'),
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', str(self.folder)),
                    'LANG': 'C.UTF-8',
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'BITTERNTURN_NODE_FILE': str(path),
                },
                stdout=log,
                stderr=log,
            )
        self.record.write(f'{self.name} started')

    async def is_ready(self) -> bool:
        """Ask like the platform does."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(HOST, self.ready)
                writer.write(
                    render(
                        'GET /bitternturn/ready HTTP/1.1',
                        {'Host': HOST, 'Connection': 'close'},
                    )
                )
                message = await read_message(reader)
                writer.close()
                return message is not None and message.start[1] == '200'
        return False

    async def wait_until_ready(self, timeout_s: float = 20) -> None:
        """Wait for the first 200; raises CannotRunError."""
        until = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRunError(f'{self.name} is not ready')
            await asyncio.sleep(0.1)
        self.record.write(f'{self.name} is ready')

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.record.write(f'{self.name} gets {number.name}')

    def kill(self) -> None:
        """End the process and wait for it."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            self.process.wait()


# A case


@dataclass(kw_only=True)
class Case:
    """What a case runs with."""

    record: Record
    store: Store
    folder: Path
    # Whether the disruption takes place.
    trouble: bool
    gateways: list[Gateway] = field(default_factory=list)

    async def start_gateways(self, zones: Sequence[str]) -> list[Gateway]:
        """Start a gateway in each of some zones, wait until all are ready."""
        added = await self.prepare_gateways(zones)
        seeds = [gateway.control_address for gateway in added[:3]]
        await self.start_prepared(added, seeds=seeds)
        return added

    async def prepare_gateways(self, zones: Sequence[str]) -> list[Gateway]:
        """Return a gateway, not started, in each of some zones."""
        added = [
            Gateway(
                record=self.record,
                name=f'front-{zone}-{number}',
                zone=zone,
                folder=self.folder,
                store_port=await self.store.open_port(),
            )
            for number, zone in enumerate(zones)
        ]
        self.gateways.extend(added)
        return added

    async def start_prepared(
        self, gateways: Sequence[Gateway], *, seeds: Sequence[str]
    ) -> None:
        """Start gateways and wait until all are ready."""
        for gateway in gateways:
            gateway.start(seeds=seeds, first=True)
        for gateway in gateways:
            await gateway.wait_until_ready()


CaseRun = Callable[[Case], Awaitable[str]]


def run_case(run: CaseRun, folder: Path) -> int:
    """Run a case, write its record and return the exit code.

    `run` returns what broke the rule, or an empty string.
    """
    if not (ROOT / 'target' / 'deps').is_dir():
        sys.stderr.write('run the build line of deploy/system.toml first\n')
        return NOT_RUN
    record = Record(path=folder / 'record.txt')
    try:
        broken = asyncio.run(_async_run(run, record))
    except Exception as error:
        # Whatever goes wrong in the case itself shows nothing of the rule.
        record.write(f'could not run: {error!r}')
        record.save()
        sys.stderr.write(f'could not run: {error!r}\n')
        return NOT_RUN
    record.write(f'RULE BROKEN: {broken}' if broken else 'the rule held')
    record.save()
    sys.stdout.write(record.lines[-1] + '\n')
    return BROKEN if broken else HELD


async def _async_run(run: CaseRun, record: Record) -> str:
    """Run a case within its time; end all processes."""
    with tempfile.TemporaryDirectory() as name:
        case = Case(
            record=record,
            store=Store(record=record),
            folder=Path(name),
            trouble=os.environ.get('TROUBLE', '1') != '0',
        )
        record.write(f'disruption: {"yes" if case.trouble else "no"}')
        try:
            async with asyncio.timeout(RUN_TIMEOUT_S):
                return await run(case)
        finally:
            for gateway in case.gateways:
                gateway.kill()


def configuration(
    routes: Sequence[Mapping[str, Any]],
    services: Sequence[str],
    *,
    version: int = 7,
    max_conns: int = 110,
) -> dict[str, Any]:
    """Return a version of the configuration."""
    return {
        'version': version,
        'routes': list(routes),
        'services': [
            {
                'name': name,
                'health-path': '/health',
                'max-conns': max_conns,
                'warmup-s': 3.0,
                'cold-per-s': 0.0,
            }
            for name in services
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 262144,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
    }


def route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration; `_` in names stands for `-`."""
    return {
        'name': name,
        'hostname': 'shed.example',
        'path-prefix': prefix,
        'priority': 2,
        **{key.replace('_', '-'): part for key, part in fields.items()},
    }
