"""Background jobs; a job never overlaps with itself."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from bitternturn.core.tasks import TaskSet

Job = Callable[..., Coroutine[Any, Any, None]]


class BackgroundJobs:
    """Runs named jobs, each at most once at a time."""

    def __init__(self, *, tasks: TaskSet) -> None:
        """Initialise without running jobs."""
        self.tasks = tasks
        self.running: set[str] = set()

    def start_unless_running(self, name: str, job: Job, *args: Any) -> None:
        """Start a job unless one of the same name is still running."""
        if name in self.running:
            return
        self.running.add(name)
        task = self.tasks.spawn(job(*args), name=f'membership {name}')
        task.add_done_callback(lambda _: self.running.discard(name))

    def start_periodic(self, name: str, interval_s: float, job: Job) -> None:
        """Start a job at each interval, unless it is still running."""

        async def run() -> None:
            """Start the job periodically until cancelled."""
            while True:
                self.start_unless_running(name, job)
                await asyncio.sleep(interval_s)

        self.tasks.spawn(run(), name=f'membership {name} loop')
