"""The object API refuses, goes silent, is slow and comes back, under load.

The instance list answers throughout: it names the peers to an instance that
starts in the outage.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from bench.cluster import Cluster
from bench.options import Options
from bench.phases import Phases, outcome, warm_phases
from bitternturn.core.errors import BitternturnError
from bitternturn.standins.object_faults import ObjectFaults, Outage

FRESH = 'i8'
KILLED = 'i3'
POLL_S = 0.2
READY_LIMIT_S = 8.0
SLOW_S = 0.5
VERSIONS = ('view', 'profiles', 'indexes', 'switches')


@dataclass(kw_only=True)
class VersionWatch:
    """Polls every instance's versions; none may ever go back."""

    cluster: Cluster
    latest: dict[tuple[str, str], int] = field(default_factory=dict)
    reverted: int = 0
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
        """Compare the versions of one instance with those before."""
        try:
            status = await self.cluster.async_status(name)
        except BitternturnError:
            return
        self.polls += 1
        for kind in VERSIONS:
            version = status['versions'][kind]
            before = self.latest.get((name, kind), 0)
            self.reverted += version < before
            self.latest[name, kind] = max(version, before)


async def async_add_and_kill(
    cluster: Cluster,
    seconds: float,
    ready_s: list[float],
) -> None:
    """Start an instance in the outage, and kill another one."""
    started = time.monotonic()
    await cluster.async_add(FRESH)
    try:
        async with asyncio.timeout(READY_LIMIT_S):
            await cluster.async_wait_ready(FRESH)
    except TimeoutError:
        ready_s.append(-1)
    else:
        ready_s.append(round(time.monotonic() - started, 2))
    await asyncio.sleep(seconds / 2)
    await cluster.instances[KILLED].async_kill()
    await asyncio.sleep(seconds)


def served_by(phases: Phases, name: str) -> Counter[bool]:
    """Return how many queries an instance answered and refused."""
    port = phases.cluster.instances[name].spec.callers_port
    return Counter(
        answer.done
        for _, answer in phases.answers
        if answer.entry is not None and answer.entry.port == port
    )


def stages(seconds: float) -> Iterator[tuple[str, float, ObjectFaults]]:
    """Yield the stages after the first one."""
    silent = ObjectFaults(outage=Outage.SILENT, list_stays=True)
    yield 'silent_', seconds, silent
    yield 'slow_', seconds, ObjectFaults(latency_s=SLOW_S)
    yield 'back_', seconds, ObjectFaults()


async def async_run(options: Options) -> dict[str, object]:
    """Measure."""
    seconds = options.seconds(4, 30)
    ready_s: list[float] = []
    figures: dict[str, object] = {}
    async with warm_phases(options) as phases:
        cluster = phases.cluster
        watch = VersionWatch(cluster=cluster)
        polling = asyncio.create_task(watch.async_run())
        figures.update(outcome(await phases.async_load(seconds), 'before_'))
        cluster.objects.set_faults(
            ObjectFaults(outage=Outage.REFUSING, list_stays=True),
        )
        refusing = await phases.async_load(
            0,
            during=async_add_and_kill(cluster, seconds, ready_s),
        )
        figures.update(outcome(refusing, 'refusing_'))
        for prefix, length, faults in stages(seconds):
            cluster.objects.set_faults(faults)
            report = await phases.async_load(length)
            figures.update(outcome(report, prefix))
        polling.cancel()
        await asyncio.wait({polling})
        served = served_by(phases, FRESH)
        members = (await cluster.async_status('i0'))['members']
    return {
        **figures,
        **phases.truth(),
        'reverted': watch.reverted,
        'polls': watch.polls,
        'fresh_ready_s': ready_s,
        'fresh_served': served[True],
        'fresh_refused': served[False],
        'members_at_end': len(members),
    }
