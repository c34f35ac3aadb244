"""Process set-up: settings, decision log and daemon."""

import asyncio
import ctypes
import sys
from functools import partial
from pathlib import Path
from typing import Final

from bitternturn.core.clock import boot_time
from bitternturn.core.errors import BitternturnError
from bitternturn.core.pauses import PauseMonitor, make_pause_aware_loop
from bitternturn.gateway.decision_log import (
    DecisionLog,
    DecisionLogHandler,
    LineWriter,
)
from bitternturn.platform.gateway_daemon import GatewayDaemon
from bitternturn.platform.settings_file import load_settings

EXIT_INVALID = 2
# Parameter of `mallopt`, see malloc.h of glibc.
M_MMAP_THRESHOLD: Final = -3
# Size from which on blocks are returned to the system when they are freed. By
# default the threshold grows up to 32 MB with the blocks that are freed, and
# large bodies leave gaps in the heap that no later one fits into. Reads allocate
# less, see `limit_reads`.
MMAP_THRESHOLD_BYTES: Final = 131_072


def run(path: Path) -> int:
    """Serve with the settings in a file; return the exit code."""
    return_large_blocks()
    monitor = PauseMonitor(now=boot_time)
    try:
        with asyncio.Runner(
            loop_factory=partial(make_pause_aware_loop, monitor)
        ) as runner:
            runner.run(_async_run(path, monitor))
    except BitternturnError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_INVALID
    return 0


def return_large_blocks() -> None:
    """Make the allocator return large blocks, where it can be told so."""
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)


async def _async_run(path: Path, monitor: PauseMonitor) -> None:
    """Load the settings, start the decision log and run the daemon."""
    settings = load_settings(path)
    writer = LineWriter(descriptor=sys.stdout.fileno())
    decisions = DecisionLog(instance=settings.name, writer=writer)
    handler = DecisionLogHandler(decisions=decisions)
    handler.push_application()  # type: ignore[no-untyped-call]
    daemon = GatewayDaemon(
        path=path, settings=settings, decisions=decisions, pauses=monitor
    )
    await daemon.async_run()
