"""Faults of the proxy, and a delay line that keeps data in order."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class DirectionFaults:
    """Faults of one direction of a connection."""

    delay_s: float = 0
    # Data and the close are dropped without notice to the sender.
    blackholed: bool = False
    # Number of bytes after which the connection is closed.
    truncate_after_bytes: int | None = None


@dataclass(kw_only=True, slots=True)
class ProxyFaults:
    """Faults of connections; `up` is from the client to the server."""

    up: DirectionFaults
    down: DirectionFaults


def no_faults() -> ProxyFaults:
    """Return settings without any fault."""
    return ProxyFaults(up=DirectionFaults(), down=DirectionFaults())


def delay_both_directions(one_way_s: float) -> ProxyFaults:
    """Return faults that delay both directions equally."""
    return ProxyFaults(
        up=DirectionFaults(delay_s=one_way_s),
        down=DirectionFaults(delay_s=one_way_s),
    )


def blackhole() -> ProxyFaults:
    """Return faults that drop all data in both directions."""
    return ProxyFaults(
        up=DirectionFaults(blackholed=True),
        down=DirectionFaults(blackholed=True),
    )


class DelayLine:
    """Delivers each chunk after its delay and in the order of arrival."""

    def __init__(self, *, deliver: Callable[[bytes | None], None]) -> None:
        """Initialise; `deliver` gets None for the end of the stream."""
        self.deliver = deliver
        self.loop = asyncio.get_running_loop()
        self._queue: deque[tuple[float, bytes | None]] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def enqueue(self, chunk: bytes | None, delay_s: float) -> None:
        """Enqueue a chunk, or deliver it at once if nothing delays it."""
        if not delay_s and not self._queue:
            self.deliver(chunk)
            return
        self._queue.append((self.loop.time() + delay_s, chunk))
        self._schedule()

    def close(self) -> None:
        """Discard the chunks that are not delivered yet."""
        self._queue.clear()
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self) -> None:
        """Schedule the delivery of the first chunk."""
        if self._timer is None and self._queue:
            self._timer = self.loop.call_at(
                self._queue[0][0], self._deliver_due
            )

    def _deliver_due(self) -> None:
        """Deliver the chunks that are due and schedule the next."""
        self._timer = None
        now = self.loop.time()
        while self._queue and self._queue[0][0] <= now:
            self.deliver(self._queue.popleft()[1])
        self._schedule()
