"""A fleet of targets over several processes.

One process of stand-ins bears some 1,500 requests a second; a bench whose
stand-ins are short of processor time would measure those.
"""

import asyncio
import sys
from typing import Any

import msgspec

from bench.fleet_models import Command, FleetSpec, TargetReport
from bitternturn.core.ids import IndexName, Snapshot, TargetId
from bitternturn.schema.config_pb2 import PartitionMap
from bitternturn.standins.deployments import DEFAULT_HOST, Deployment
from bitternturn.standins.fleet import TargetFleet
from bitternturn.standins.target_records import Run

LINE_LIMIT = 1 << 28


class RemoteFleet(TargetFleet):
    """Has the shape of a fleet; its targets run elsewhere."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        documents: int = 400,
        seed: int = 1,
        parts: int = 3,
    ) -> None:
        """Prepare; the processes begin with the start."""
        super().__init__(
            deployment=deployment,
            documents=documents,
            seed=seed,
        )
        self.documents = documents
        self.parts = parts
        self.workers: list[asyncio.subprocess.Process] = []
        self.collected: list[Run] = []

    async def async_start(
        self,
        *,
        host: str = DEFAULT_HOST,
        proxied: bool = False,
    ) -> None:
        """Start the processes and learn the targets' ports."""
        for part in range(self.parts):
            spec = FleetSpec(
                deployment=self.deployment,
                documents=self.documents,
                seed=self.seed,
                part=part,
                parts=self.parts,
            )
            self.workers.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    '-m',
                    'bench.fleet_worker',
                    msgspec.json.encode(spec).decode(),
                    stdin=asyncio.subprocess.PIPE,
                    stdout=asyncio.subprocess.PIPE,
                    limit=LINE_LIMIT,
                ),
            )
        for ports in await self.async_do(Command(call='start')):
            for name, port in ports.items():
                self.targets[TargetId(name)].target.port = port

    async def async_stop(self) -> None:
        """End the processes."""
        for worker in self.workers:
            assert worker.stdin is not None
            worker.stdin.close()
            await worker.wait()

    async def async_do(self, command: Command) -> list[Any]:
        """Run a command in every process; return the answers."""
        return await asyncio.gather(
            *(_async_ask(worker, command) for worker in self.workers),
        )

    async def async_add_snapshot(
        self,
        name: IndexName,
        snapshot: Snapshot,
        *,
        shards: int = 0,
    ) -> PartitionMap:
        """Move the targets of an index on to a snapshot."""
        await self.async_do(
            Command(
                call='add_snapshot',
                index=name,
                snapshot=snapshot,
                shards=shards,
            ),
        )
        return self.add_snapshot(name, snapshot, shards=shards)

    async def async_collect(self) -> list[Run]:
        """Fetch the records of all targets."""
        self.collected = [
            msgspec.convert(run, Run)
            for runs in await self.async_do(Command(call='runs'))
            for run in runs
        ]
        self.collected.sort(key=lambda run: run.arrived_s)
        return self.collected

    async def async_reports(self) -> list[TargetReport]:
        """Fetch the peaks of all targets."""
        return [
            msgspec.convert(report, TargetReport)
            for reports in await self.async_do(Command(call='reports'))
            for report in reports
        ]

    def runs(self) -> list[Run]:
        """Return the records fetched last."""
        return self.collected


async def _async_ask(
    worker: asyncio.subprocess.Process,
    command: Command,
) -> Any:
    """Send one command and return its answer."""
    assert worker.stdin is not None
    assert worker.stdout is not None
    worker.stdin.write(msgspec.json.encode(command) + b'\n')
    await worker.stdin.drain()
    return msgspec.json.decode(await worker.stdout.readline())
