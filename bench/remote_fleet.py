"""Fleet of targets in several worker processes.

One process can serve about 1,500 requests per second as a stand-in for targets.
With a single one, a bench would measure the stand-ins and not the instances.
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

LINE_LIMIT_BYTES = 1 << 28


class RemoteFleet(TargetFleet):
    """Fleet whose targets run in worker processes."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        documents: int = 400,
        seed: int = 1,
        parts: int = 3,
    ) -> None:
        """Create the fleet; the worker processes are not started yet."""
        super().__init__(
            deployment=deployment,
            documents=documents,
            seed=seed,
        )
        self.documents = documents
        self.parts = parts
        self.workers: list[asyncio.subprocess.Process] = []
        self.fetched_runs: list[Run] = []

    async def async_start(
        self,
        *,
        host: str = DEFAULT_HOST,
        proxied: bool = False,
    ) -> None:
        """Start the worker processes and set the ports of the targets."""
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
                    limit=LINE_LIMIT_BYTES,
                ),
            )
        for ports in await self.async_execute(Command(call='start')):
            for name, port in ports.items():
                self.targets[TargetId(name)].target.port = port

    async def async_stop(self) -> None:
        """Stop the worker processes."""
        for worker in self.workers:
            assert worker.stdin is not None
            worker.stdin.close()
            await worker.wait()

    async def async_execute(self, command: Command) -> list[Any]:
        """Run a command in every worker process; return the results."""
        return await asyncio.gather(
            *(_async_execute_on(worker, command) for worker in self.workers),
        )

    async def async_add_snapshot(
        self,
        name: IndexName,
        snapshot: Snapshot,
        *,
        shards: int = 0,
    ) -> PartitionMap:
        """Add a snapshot to the targets of an index."""
        await self.async_execute(
            Command(
                call='add_snapshot',
                index=name,
                snapshot=snapshot,
                shards=shards,
            ),
        )
        return self.add_snapshot(name, snapshot, shards=shards)

    async def async_fetch_runs(self) -> list[Run]:
        """Fetch the runs of all targets, sorted by arrival."""
        self.fetched_runs = [
            msgspec.convert(run, Run)
            for runs in await self.async_execute(Command(call='runs'))
            for run in runs
        ]
        self.fetched_runs.sort(key=lambda run: run.arrived_s)
        return self.fetched_runs

    async def async_reports(self) -> list[TargetReport]:
        """Fetch the peak counts of all targets."""
        return [
            msgspec.convert(report, TargetReport)
            for reports in await self.async_execute(Command(call='reports'))
            for report in reports
        ]

    def runs(self) -> list[Run]:
        """Return the runs that were fetched last."""
        return self.fetched_runs


async def _async_execute_on(
    worker: asyncio.subprocess.Process,
    command: Command,
) -> Any:
    """Send a command to a worker and return its result."""
    assert worker.stdin is not None
    assert worker.stdout is not None
    worker.stdin.write(msgspec.json.encode(command) + b'\n')
    await worker.stdin.drain()
    return msgspec.json.decode(await worker.stdout.readline())
