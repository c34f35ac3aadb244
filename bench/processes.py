"""Instances that run as separate processes."""

import asyncio
import os
import signal
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path

HOST = '127.0.0.1'

# Ports are allocated below the range that the system uses for outgoing
# connections.
FIRST_PORT = 20_000
LAST_PORT = 32_000
# Distance between the first ports of two consecutive process ids.
PORT_STEP = 97


class PortAllocator:
    """Allocates ports that nothing listens on."""

    def __init__(self) -> None:
        """Start at a port that depends on the process id.

        Benches that run at the same time then try different ports.
        """
        span = LAST_PORT - FIRST_PORT
        self.next_port = FIRST_PORT + os.getpid() * PORT_STEP % span

    def allocate(self) -> int:
        """Return a free port."""
        while True:
            self.next_port += 1
            if self.next_port > LAST_PORT:
                self.next_port = FIRST_PORT
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((HOST, self.next_port))
                except OSError:
                    continue
            return self.next_port


@dataclass(kw_only=True, frozen=True)
class InstanceSpec:
    """Addresses, failure domain and settings of one instance."""

    name: str
    failure_domain: str
    callers_port: int
    peers_port: int
    operators_port: int
    objects_port: int
    advertised_port: int = 0
    extra_settings: str = ''

    def to_toml(self) -> str:
        """Return the content of the settings file."""
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
{self.extra_settings}
"""


@dataclass(kw_only=True, eq=False)
class InstanceProcess:
    """Process that runs `bitternturn serve`."""

    spec: InstanceSpec
    folder: Path
    process: asyncio.subprocess.Process | None = None
    log: Path = field(init=False)

    def __post_init__(self) -> None:
        """Set the path of the log."""
        self.log = self.folder / f'{self.spec.name}.log'

    @property
    def pid(self) -> int:
        """Process id."""
        assert self.process is not None
        return self.process.pid

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
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

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal to this process only, if it is running."""
        if self.alive:
            assert self.process is not None
            self.process.send_signal(signum)

    async def async_wait(self) -> int:
        """Wait for the process to exit; return the exit code."""
        assert self.process is not None
        return await self.process.wait()

    async def async_terminate(self) -> int:
        """Shut down gracefully; return the exit code."""
        self.send_signal(signal.SIGTERM)
        return await self.async_wait()

    async def async_kill(self) -> int:
        """Kill the process; return the exit code."""
        self.send_signal(signal.SIGKILL)
        return await self.async_wait()
