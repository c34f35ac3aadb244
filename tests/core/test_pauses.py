"""Tests of the detection of pauses."""

import asyncio
import socket
import time

import pytest

from bitternturn.core.clock import boot_time
from bitternturn.core.pauses import (
    LOAD_WINDOW_S,
    MIN_PAUSE_S,
    LoopLoad,
    PauseAwareSelector,
    PauseMonitor,
    make_pause_aware_loop,
)

LONG_S = MIN_PAUSE_S + 0.1


@pytest.fixture
def monitor():
    """Return a monitor that collects the lengths of pauses."""
    found = PauseMonitor(now=boot_time)
    found.lengths = []
    found.on_pause = found.lengths.append
    return found


class TestPauses:
    def test_message_that_waited_is_as_old_as_the_pause(self, monitor):
        ours, theirs = socket.socketpair()
        ages_s = []

        async def async_stand_still():
            loop = asyncio.get_running_loop()
            done = loop.create_future()

            def read():
                ages_s.append(monitor.message_age_s(boot_time()))
                ours.recv(9)
                if len(ages_s) == 2:
                    done.set_result(None)

            loop.add_reader(ours, read)
            theirs.send(b'waits')
            loop.call_soon(time.sleep, LONG_S)
            await asyncio.sleep(0.05)
            theirs.send(b'new')
            await done

        with (
            ours,
            theirs,
            asyncio.Runner(
                loop_factory=lambda: make_pause_aware_loop(monitor)
            ) as runner,
        ):
            ours.setblocking(False)
            runner.run(async_stand_still())
        assert ages_s[0] >= LONG_S
        assert ages_s[1] == 0

    def test_waiting_for_events_is_no_pause(self, monitor):
        with asyncio.Runner(
            loop_factory=lambda: make_pause_aware_loop(monitor)
        ) as runner:
            runner.run(asyncio.sleep(LONG_S))
        assert not monitor.lengths

    def test_gap_in_the_wait_is_a_pause(self, monitor):
        monitor.record_gap(LONG_S, 100.0)
        monitor.record_gap(0.01, 101.0)
        assert monitor.lengths == [LONG_S]
        assert monitor.paused_since(99.0)
        assert not monitor.paused_since(100.5)


class TestLoopLoad:
    def test_share_is_that_of_the_time_since_the_last_measurement(self):
        load = LoopLoad(now=0)
        load.busy_s = LOAD_WINDOW_S / 2
        assert load.read_share(LOAD_WINDOW_S) == 0.5
        load.busy_s = LOAD_WINDOW_S
        assert load.read_share(LOAD_WINDOW_S * 1.5) == 0.5
        assert load.read_share(LOAD_WINDOW_S * 3) == 0.5
        assert load.read_share(LOAD_WINDOW_S * 4) == 0

    def test_time_between_collections_of_events_is_busy(self, monitor):
        with PauseAwareSelector(monitor=monitor) as selector:
            monitor.turn_started_at -= 0.1
            selector.select(0)
            first_s = monitor.load.busy_s
            assert first_s >= 0.1
            # Waiting is not.
            selector.select(0.05)
            assert monitor.load.busy_s < first_s + 0.05
