"""Group of background tasks that are cancelled together."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import logbook

LOGGER = logbook.Logger('tasks')


class TaskSet:
    """Holds references to running tasks and logs failures."""

    def __init__(self) -> None:
        """Initialise an empty set."""
        self.running: set[asyncio.Task[Any]] = set()

    def spawn(
        self,
        coroutine: Coroutine[Any, Any, Any],
        *,
        name: str = '',
    ) -> asyncio.Task[Any]:
        """Start a coroutine as a background task."""
        task = asyncio.get_running_loop().create_task(
            coroutine,
            name=name or None,
        )
        self.running.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    async def async_stop(self) -> None:
        """Cancel all tasks and wait until they have ended.

        Those that they start meanwhile are cancelled as well: a task left over
        at the end of the event loop is never awaited.
        """
        while self.running:
            tasks = list(self.running)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        """Remove a finished task and log its exception, if any."""
        self.running.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            LOGGER.error('task {} failed: {!r}', task.get_name(), error)


async def async_supervise(
    make: Callable[[], Coroutine[Any, Any, None]],
    *,
    restart_delay_s: float,
) -> None:
    """Run a background job until it returns; restart it after an error.

    Guards against a job that an unexpected error ends for the remaining life
    of the process.
    """
    while True:
        try:
            return await make()
        except Exception:
            LOGGER.exception('background job failed, restarting it')
        await asyncio.sleep(restart_delay_s)
