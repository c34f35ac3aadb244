"""Background tasks of one owner, ended together."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import logbook

LOGGER = logbook.Logger('tasks')


class TaskSet:
    """Keeps references to running tasks and logs those that fail."""

    def __init__(self) -> None:
        """Start with no task."""
        self.running: set[asyncio.Task[Any]] = set()

    def spawn(
        self,
        coroutine: Coroutine[Any, Any, Any],
        *,
        name: str = '',
    ) -> asyncio.Task[Any]:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(
            coroutine,
            name=name or None,
        )
        self.running.add(task)
        task.add_done_callback(self._finish)
        return task

    async def async_stop(self) -> None:
        """Cancel every task and wait for their ends."""
        tasks = list(self.running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finish(self, task: asyncio.Task[Any]) -> None:
        """Forget a task that ended; log its failure."""
        self.running.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            LOGGER.error('task {} failed: {!r}', task.get_name(), error)
