"""Tests of the gate in front of a store that fails."""

import asyncio

from bitternturn.platform.outage import OutageGate, Pauses


class TestOutageGate:
    async def test_each_probe_lengthens_the_pause_as_it_goes(self):
        """Replays four kinds whose probes are all still waiting to fail."""
        gate = OutageGate(pauses=lambda: Pauses(first_s=0.01, longest_s=0.05))
        gate.note_failure()
        pauses = []
        for _ in range(4):
            pauses.append(gate.pause_s)
            await gate.async_pass()
        assert pauses == [0.01, 0.02, 0.04, 0.05]

    async def test_failures_do_not_lengthen_the_pause(self):
        gate = OutageGate(pauses=lambda: Pauses(first_s=0.01))
        for _ in range(4):
            gate.note_failure()
        assert gate.pause_s == 0.01

    async def test_next_outage_begins_with_the_first_pause(self):
        gate = OutageGate(pauses=lambda: Pauses(first_s=0.01))
        gate.note_failure()
        await gate.async_pass()
        gate.note_success()
        await gate.async_pass()
        gate.note_failure()
        assert gate.pause_s == 0.01

    async def test_longest_pause_may_change_in_an_outage(self):
        longest_s = 0.01
        gate = OutageGate(
            pauses=lambda: Pauses(first_s=0.01, longest_s=longest_s)
        )
        gate.note_failure()
        await gate.async_pass()
        assert gate.pause_s == 0.01
        longest_s = 0.02
        await gate.async_pass()
        assert gate.pause_s == 0.02

    async def test_success_lets_those_who_wait_pass(self):
        gate = OutageGate(pauses=lambda: Pauses(first_s=60, longest_s=60))
        gate.note_failure()
        waiting = [asyncio.create_task(gate.async_pass()) for _ in range(3)]
        await asyncio.sleep(0)
        gate.note_success()
        await asyncio.gather(*waiting)
        assert gate.pause_s == 60
