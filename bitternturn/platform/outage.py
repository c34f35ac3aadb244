"""Spares a store that fails: one call at a time finds out when it is back."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

# Pauses between probes while the store fails, in seconds.
FIRST_PAUSE_S: Final = 0.1
LONGEST_PAUSE_S: Final = 1.0
PAUSE_GROWTH: Final = 2.0


@dataclass(kw_only=True, frozen=True, slots=True)
class Pauses:
    """Pauses between probes, in seconds: the first and the longest."""

    first_s: float = FIRST_PAUSE_S
    longest_s: float = LONGEST_PAUSE_S


class OutageGate:
    """Lets calls pass while the store answers, and single probes otherwise.

    Every call is priced, also one that is turned away, so the followers of
    all kinds share the probes. Their turns rotate, in case the store fails for
    one kind alone.
    """

    def __init__(
        self,
        *,
        pauses: Callable[[], Pauses] = Pauses,
    ) -> None:
        """Start open; `pauses` may change in the course of an outage."""
        self.pauses = pauses
        self.pause_s: float = 0
        # Makes those who wait for a probe take turns.
        self.turns = asyncio.Lock()
        self.answering = asyncio.Event()
        self.answering.set()

    async def async_pass(self) -> None:
        """Wait until a call may be made.

        A probe lengthens the pause before the next one as it goes, since it
        may take longer to fail than that pause.
        """
        async with self.turns:
            if self.answering.is_set():
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.pause_s):
                    await self.answering.wait()
            if not self.answering.is_set():
                self.pause_s = min(
                    self.pauses().longest_s, self.pause_s * PAUSE_GROWTH
                )

    def note_success(self) -> None:
        """Let calls pass."""
        self.answering.set()

    def note_failure(self) -> None:
        """Hold calls back, from the first pause on if they could pass."""
        if self.answering.is_set():
            self.answering.clear()
            self.pause_s = self.pauses().first_s
