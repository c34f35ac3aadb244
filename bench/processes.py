"""Instances as processes of their own."""

import asyncio
import os
import signal
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path

HOST = '127.0.0.1'

# Below the range from which the system takes ports of outgoing connections.
FIRST_PORT = 20_000
LAST_PORT = 32_000
PORT_STEP = 97


class Ports:
    """Hands out ports that nothing listens on."""

    def __init__(self) -> None:
        """Begin at a place that differs between processes."""
        span = LAST_PORT - FIRST_PORT
        self.next = FIRST_PORT + os.getpid() * PORT_STEP % span

    def take(self) -> int:
        """Return a free port."""
        while True:
            self.next += 1
            if self.next > LAST_PORT:
                self.next = FIRST_PORT
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((HOST, self.next))
                except OSError:
                    continue
            return self.next


@dataclass(kw_only=True, frozen=True)
class InstanceSpec:
    """Where one instance listens and what it belongs to."""

    name: str
    failure_domain: str
    callers_port: int
    peers_port: int
    operators_port: int
    objects_port: int
    advertised_port: int = 0
    extra: str = ''

    def to_toml(self) -> str:
        """Return the settings file."""
        return f"""
[instance]
id = '{self.name}'
failure_domain = '{self.failure_domain}'
region = 'here'
cluster = 'bench'

[listeners]
callers = {{ host = '{HOST}', port = {self.callers_port} }}
peers = {{ host = '{HOST}', port = {self.peers_port} }}
operators = {{ host = '{HOST}', port = {self.operators_port} }}
advertised_peers = {{ host = '{HOST}', port = {self.advertised_port} }}

[platform]
objects = {{ host = '{HOST}', port = {self.objects_port} }}

[log]
level = 'info'
{self.extra}
"""


@dataclass(kw_only=True, eq=False)
class InstanceProcess:
    """One running `bitternturn serve`."""

    spec: InstanceSpec
    folder: Path
    process: asyncio.subprocess.Process | None = None
    log: Path = field(init=False)

    def __post_init__(self) -> None:
        """Choose the log's place."""
        self.log = self.folder / f'{self.spec.name}.log'

    @property
    def pid(self) -> int:
        """Process id."""
        assert self.process is not None
        return self.process.pid

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def async_start(self) -> None:
        """Write the settings and start the process."""
        settings = self.folder / f'{self.spec.name}.toml'
        settings.write_text(self.spec.to_toml(), encoding='utf-8')
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'bitternturn',
                'serve',
                str(settings),
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        if self.alive:
            assert self.process is not None
            self.process.send_signal(number)

    async def async_wait(self) -> int:
        """Wait for the end; return the exit code."""
        assert self.process is not None
        return await self.process.wait()

    async def async_terminate(self) -> int:
        """Shut down gracefully."""
        self.send(signal.SIGTERM)
        return await self.async_wait()

    async def async_kill(self) -> int:
        """Kill."""
        self.send(signal.SIGKILL)
        return await self.async_wait()
