"""Tests of the gate that limits calls during an outage."""

import asyncio

from bitternturn.platform.outage import OutageGate, ProbeBackoff


class TestOutageGate:
    async def test_backoff_grows_when_a_probe_starts(self):
        """The probes of four kinds may be pending at the same time."""
        gate = OutageGate(
            backoff=lambda: ProbeBackoff(initial_s=0.01, max_s=0.05)
        )
        gate.record_failure()
        backoffs = []
        for _ in range(4):
            backoffs.append(gate.backoff_s)
            await gate.async_wait_for_turn()
        assert backoffs == [0.01, 0.02, 0.04, 0.05]

    async def test_backoff_does_not_grow_with_failures(self):
        gate = OutageGate(backoff=lambda: ProbeBackoff(initial_s=0.01))
        for _ in range(4):
            gate.record_failure()
        assert gate.backoff_s == 0.01

    async def test_next_outage_begins_with_the_initial_backoff(self):
        gate = OutageGate(backoff=lambda: ProbeBackoff(initial_s=0.01))
        gate.record_failure()
        await gate.async_wait_for_turn()
        gate.record_success()
        await gate.async_wait_for_turn()
        gate.record_failure()
        assert gate.backoff_s == 0.01

    async def test_max_backoff_may_change_during_an_outage(self):
        max_s = 0.01
        gate = OutageGate(
            backoff=lambda: ProbeBackoff(initial_s=0.01, max_s=max_s)
        )
        gate.record_failure()
        await gate.async_wait_for_turn()
        assert gate.backoff_s == 0.01
        max_s = 0.02
        await gate.async_wait_for_turn()
        assert gate.backoff_s == 0.02

    async def test_success_admits_all_waiting_calls(self):
        gate = OutageGate(backoff=lambda: ProbeBackoff(initial_s=60, max_s=60))
        gate.record_failure()
        waiting = [
            asyncio.create_task(gate.async_wait_for_turn()) for _ in range(3)
        ]
        await asyncio.sleep(0)
        gate.record_success()
        await asyncio.gather(*waiting)
        assert gate.backoff_s == 60
