"""Tests of the group of background tasks."""

import asyncio
import gc

import pytest

from bitternturn.core.tasks import TaskSet


class TestStop:
    async def test_tasks_that_others_start_while_stopped_end_as_well(self):
        """Guards against coroutines that are never awaited at the end."""
        tasks = TaskSet()
        ended = []

        async def async_wait():
            try:
                await asyncio.Event().wait()
            finally:
                ended.append('second')

        async def async_start_another():
            try:
                await asyncio.Event().wait()
            finally:
                tasks.spawn(async_wait())
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                ended.append('first')

        tasks.spawn(async_start_another())
        await asyncio.sleep(0)
        await tasks.async_stop()
        assert sorted(ended) == ['first', 'second']
        assert not tasks.running

    @pytest.mark.filterwarnings('error')
    async def test_task_that_is_stopped_before_it_runs_is_awaited(self):
        tasks = TaskSet()

        async def async_start_another():
            try:
                await asyncio.Event().wait()
            finally:
                tasks.spawn(asyncio.sleep(9))

        tasks.spawn(async_start_another())
        await asyncio.sleep(0)
        await tasks.async_stop()
        assert not tasks.running
        gc.collect()
