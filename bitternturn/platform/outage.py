"""Limits calls to an unavailable store to single probes with backoff."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

# Backoff between probes of an unavailable store.
INITIAL_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 1.0
BACKOFF_FACTOR: Final = 2.0


@dataclass(kw_only=True, frozen=True, slots=True)
class ProbeBackoff:
    """Initial and maximum backoff between probes of an unavailable store."""

    initial_s: float = INITIAL_BACKOFF_S
    max_s: float = MAX_BACKOFF_S


class OutageGate:
    """Admits all calls while the store is available, else one probe at a time.

    Every call is billed, rejected ones too, so the mirrors of all kinds
    share the probes. They take turns, since the store may be unavailable for
    one kind only.
    """

    def __init__(
        self,
        *,
        backoff: Callable[[], ProbeBackoff] = ProbeBackoff,
    ) -> None:
        """Initialise as available; `backoff` is called again for each probe."""
        self.backoff = backoff
        self.backoff_s: float = 0
        # Serialises the probes; asyncio locks are granted in order.
        self.probe_lock = asyncio.Lock()
        self.store_available = asyncio.Event()
        self.store_available.set()

    async def async_wait_for_turn(self) -> None:
        """Wait until a call may be made.

        Increases the backoff when a probe starts, not when it fails: a probe
        may take longer to fail than the backoff lasts.
        """
        async with self.probe_lock:
            if self.store_available.is_set():
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.backoff_s):
                    await self.store_available.wait()
            if not self.store_available.is_set():
                self.backoff_s = min(
                    self.backoff().max_s, self.backoff_s * BACKOFF_FACTOR
                )

    def record_success(self) -> None:
        """Record that the store responded; admit all calls."""
        self.store_available.set()

    def record_failure(self) -> None:
        """Record a failure; the first one starts the probes with backoff."""
        if self.store_available.is_set():
            self.store_available.clear()
            self.backoff_s = self.backoff().initial_s
