"""Tests of a timeout that is restarted often."""

import asyncio

from bitternturn.http.deadline import Deadline


class TestDeadline:
    async def test_restart_extends_the_timeout(self):
        """A timer of an earlier start ended a request that made progress."""
        calls = []
        deadline = Deadline(on_due=lambda: calls.append(1))
        for _ in range(5):
            deadline.start(0.2)
            await asyncio.sleep(0.1)
        assert calls == []
        await asyncio.sleep(0.3)
        assert calls == [1]

    async def test_restart_shortens_the_timeout(self):
        calls = []
        deadline = Deadline(on_due=lambda: calls.append(1))
        deadline.start(60)
        deadline.start(0.05)
        await asyncio.sleep(0.2)
        assert calls == [1]

    async def test_cleared_timeout_does_not_call_back(self):
        calls = []
        deadline = Deadline(on_due=lambda: calls.append(1))
        deadline.start(0.05)
        deadline.clear()
        await asyncio.sleep(0.1)
        assert calls == []
        deadline.start(0.05)
        deadline.stop_timer()
        deadline.clear()
        await asyncio.sleep(0.1)
        assert calls == []
