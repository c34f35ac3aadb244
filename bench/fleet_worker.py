"""Worker process that runs a part of a fleet of targets.

Reads commands from standard input as JSON lines and answers each with one
JSON line on standard output.
"""

import asyncio
import sys
from typing import Any

import msgspec

from bench.fleet_models import Command, FleetSpec, TargetReport
from bitternturn.core.ids import IndexName, Snapshot, TargetId
from bitternturn.standins.fleet import TargetFleet
from bitternturn.standins.targets import TargetServer


class FleetWorker:
    """Runs the targets of one part of a fleet."""

    def __init__(self, *, spec: FleetSpec) -> None:
        """Create the targets of this part without starting them."""
        self.fleet = TargetFleet(
            deployment=spec.deployment,
            documents=spec.documents,
            seed=spec.seed,
        )
        names = sorted(self.fleet.targets)[spec.part :: spec.parts]
        self.targets: dict[str, TargetServer] = {
            name: self.fleet.targets[TargetId(name)] for name in names
        }

    async def async_execute(self, command: Command) -> Any:
        """Run a command and return its result."""
        match command.call:
            case 'start':
                return await self._async_start()
            case 'add_snapshot':
                self.fleet.add_snapshot(
                    IndexName(command.index),
                    Snapshot(command.snapshot),
                    shards=command.shards,
                )
            case 'go_cold':
                for name in self._select(command):
                    await self.targets[name].async_start_cold()
            case 'behave':
                for name in self._select(command):
                    for field_name, setting in command.behaviour.items():
                        setattr(
                            self.targets[name].behaviour, field_name, setting
                        )
            case 'warm_up':
                for name in self._select(command):
                    self.targets[name].end_cold_start()
            case 'runs':
                return [
                    run
                    for target in self.targets.values()
                    for run in target.records.runs
                ]
            case 'reports':
                return [self._make_report(name) for name in self.targets]
        return None

    async def _async_start(self) -> dict[str, int]:
        """Start every target; return their ports."""
        for target in self.targets.values():
            await target.async_start(host='127.0.0.1')
        return {
            name: target.server.port for name, target in self.targets.items()
        }

    def _select(self, command: Command) -> list[str]:
        """Return the targets of this part that a command applies to."""
        if not command.targets:
            return list(self.targets)
        return [name for name in command.targets if name in self.targets]

    def _make_report(self, name: str) -> TargetReport:
        """Return the peak counts of a target."""
        records = self.targets[name].records
        return TargetReport(
            target=name,
            cold_limit=self.targets[name].target.cold_limit,
            most_in_flight_cold=records.peak_in_flight_cold,
            most_in_flight=records.peak_in_flight,
            most_connections=records.peak_connections,
            falls=records.overload_outages,
        )


async def async_main() -> None:
    """Handle commands until standard input is closed."""
    spec = msgspec.json.decode(sys.argv[1], type=FleetSpec)
    worker = FleetWorker(spec=spec)
    reader = asyncio.StreamReader(limit=1 << 26)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader),
        sys.stdin,
    )
    while line := await reader.readline():
        answer = await worker.async_execute(
            msgspec.json.decode(line, type=Command)
        )
        sys.stdout.buffer.write(msgspec.json.encode(answer) + b'\n')
        sys.stdout.buffer.flush()


if __name__ == '__main__':
    asyncio.run(async_main())
