"""Faults of the proxy, and a line that delays what goes through it."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class DirectionFaults:
    """Faults of one direction of a connection."""

    delay_s: float = 0
    # Bytes and the close are lost; the sender does not learn of it.
    lost: bool = False
    # Bytes after which the connection closes.
    truncate_after: int | None = None


@dataclass(kw_only=True, slots=True)
class ProxyFaults:
    """Faults of connections; up is from the client to the server."""

    up: DirectionFaults
    down: DirectionFaults


def no_faults() -> ProxyFaults:
    """Return faults that change nothing."""
    return ProxyFaults(up=DirectionFaults(), down=DirectionFaults())


def delays(one_way_s: float) -> ProxyFaults:
    """Return the same delay each way."""
    return ProxyFaults(
        up=DirectionFaults(delay_s=one_way_s),
        down=DirectionFaults(delay_s=one_way_s),
    )


def silence() -> ProxyFaults:
    """Return the loss of both directions."""
    return ProxyFaults(
        up=DirectionFaults(lost=True),
        down=DirectionFaults(lost=True),
    )


class DelayLine:
    """Delivers each piece after its delay, never before an earlier piece."""

    def __init__(self, *, deliver: Callable[[bytes | None], None]) -> None:
        """Hold the receiver; None stands for the end of the stream."""
        self.deliver = deliver
        self.loop = asyncio.get_running_loop()
        self._queue: deque[tuple[float, bytes | None]] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def push(self, piece: bytes | None, delay_s: float) -> None:
        """Take in a piece."""
        if not delay_s and not self._queue:
            self.deliver(piece)
            return
        self._queue.append((self.loop.time() + delay_s, piece))
        self._arm()

    def close(self) -> None:
        """Drop what is under way."""
        self._queue.clear()
        if self._timer is not None:
            self._timer.cancel()

    def _arm(self) -> None:
        """Wake at the first piece's time."""
        if self._timer is None and self._queue:
            self._timer = self.loop.call_at(self._queue[0][0], self._fire)

    def _fire(self) -> None:
        """Deliver what is due."""
        self._timer = None
        now = self.loop.time()
        while self._queue and self._queue[0][0] <= now:
            self.deliver(self._queue.popleft()[1])
        self._arm()
