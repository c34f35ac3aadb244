"""Steps that run in the background, each at most once at a time."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from bitternturn.core.tasks import TaskSet

Step = Callable[..., Coroutine[Any, Any, None]]


class Background:
    """Runs named steps."""

    def __init__(self, *, tasks: TaskSet) -> None:
        """Start with nothing running."""
        self.tasks = tasks
        self.running: set[str] = set()

    def once(self, name: str, step: Step, *args: Any) -> None:
        """Run a step unless it runs already."""
        if name in self.running:
            return
        self.running.add(name)
        task = self.tasks.spawn(step(*args), name=f'membership {name}')
        task.add_done_callback(lambda _: self.running.discard(name))

    def loop(self, name: str, interval_s: float, step: Step) -> None:
        """Begin a step at each interval, unless the last one still runs."""

        async def run() -> None:
            """Run for good."""
            while True:
                self.once(name, step)
                await asyncio.sleep(interval_s)

        self.tasks.spawn(run(), name=f'membership {name} loop')
