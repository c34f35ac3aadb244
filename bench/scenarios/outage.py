"""The object API refuses, goes silent, is slow and recovers, under load.

The instance list stays available throughout: an instance that starts during
the outage finds its peers by it.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from bench.cluster import Cluster
from bench.options import Options
from bench.phases import LoadPhases, running_phases, summarize_load
from bitternturn.core.errors import BitternturnError
from bitternturn.standins.object_faults import ObjectFaults, Outage

ADDED_INSTANCE = 'i8'
KILLED_INSTANCE = 'i3'
POLL_S = 0.2
READY_LIMIT_S = 8.0
SLOW_S = 0.5
VERSIONS = ('view', 'profiles', 'indexes', 'switches')


@dataclass(kw_only=True)
class VersionMonitor:
    """Polls the versions of all instances and counts those that decrease."""

    cluster: Cluster
    latest: dict[tuple[str, str], int] = field(default_factory=dict)
    regressions: int = 0
    polls: int = 0

    async def async_run(self) -> None:
        """Poll until cancelled."""
        while True:
            names = [
                name
                for name, instance in self.cluster.instances.items()
                if instance.alive
            ]
            await asyncio.gather(*(self._async_poll(name) for name in names))
            await asyncio.sleep(POLL_S)

    async def _async_poll(self, name: str) -> None:
        """Compare the versions of an instance with the latest ones seen."""
        try:
            status = await self.cluster.async_status(name)
        except BitternturnError:
            return
        self.polls += 1
        for kind in VERSIONS:
            version = status['versions'][kind]
            before = self.latest.get((name, kind), 0)
            self.regressions += version < before
            self.latest[name, kind] = max(version, before)


async def async_add_and_kill(
    cluster: Cluster,
    seconds: float,
    ready_s: list[float],
) -> None:
    """Start an instance during the outage and kill another one.

    Appends the seconds until ready to `ready_s`, or -1 on timeout.
    """
    started = time.monotonic()
    await cluster.async_add_instance(ADDED_INSTANCE)
    try:
        async with asyncio.timeout(READY_LIMIT_S):
            await cluster.async_wait_ready(ADDED_INSTANCE)
    except TimeoutError:
        ready_s.append(-1)
    else:
        ready_s.append(round(time.monotonic() - started, 2))
    await asyncio.sleep(seconds / 2)
    await cluster.instances[KILLED_INSTANCE].async_kill()
    await asyncio.sleep(seconds)


def count_queries_of(phases: LoadPhases, name: str) -> Counter[bool]:
    """Return the number of queries that an instance answered and refused."""
    port = phases.cluster.instances[name].spec.callers_port
    return Counter(
        answer.done
        for _, answer in phases.answers
        if answer.instance is not None and answer.instance.port == port
    )


def make_later_stages(
    seconds: float,
) -> Iterator[tuple[str, float, ObjectFaults]]:
    """Yield prefix, duration and faults of the stages after the first."""
    silent = ObjectFaults(outage=Outage.SILENT, instance_list_available=True)
    yield 'silent_', seconds, silent
    yield 'slow_', seconds, ObjectFaults(latency_s=SLOW_S)
    yield 'back_', seconds, ObjectFaults()


async def async_run(options: Options) -> dict[str, object]:
    """Run the scenario and return its results."""
    seconds = options.choose_seconds(4, 30)
    ready_s: list[float] = []
    figures: dict[str, object] = {}
    async with running_phases(options) as phases:
        cluster = phases.cluster
        monitor = VersionMonitor(cluster=cluster)
        polling = asyncio.create_task(monitor.async_run())
        figures.update(
            summarize_load(await phases.async_load(seconds), 'before_')
        )
        cluster.objects.set_faults(
            ObjectFaults(outage=Outage.REFUSING, instance_list_available=True),
        )
        refusing = await phases.async_load(
            0,
            during=async_add_and_kill(cluster, seconds, ready_s),
        )
        figures.update(summarize_load(refusing, 'refusing_'))
        for prefix, stage_s, faults in make_later_stages(seconds):
            cluster.objects.set_faults(faults)
            report = await phases.async_load(stage_s)
            figures.update(summarize_load(report, prefix))
        polling.cancel()
        await asyncio.wait({polling})
        query_counts = count_queries_of(phases, ADDED_INSTANCE)
        members = (await cluster.async_status('i0'))['members']
    return {
        **figures,
        **phases.summarize_checks(),
        'reverted': monitor.regressions,
        'polls': monitor.polls,
        'fresh_ready_s': ready_s,
        'fresh_served': query_counts[True],
        'fresh_refused': query_counts[False],
        'members_at_end': len(members),
    }
