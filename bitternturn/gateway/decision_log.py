"""Decision log: rate-limited JSON lines, written without blocking."""

import os
import time
from collections import Counter
from typing import Any, Final

import logbook
import msgspec

# Rate of each kind of line, per second; lines beyond it are only counted.
MAX_LINES_PER_S: Final = 50.0
# Capacity of the token bucket of each kind.
MAX_BURST_LINES: Final = 200.0
# Size of the output buffer; lines that do not fit are dropped.
MAX_PENDING_BYTES: Final = 262_144


class LineWriter:
    """Buffered non-blocking writer of lines to a file descriptor."""

    def __init__(self, *, descriptor: int) -> None:
        """Initialise the writer and make the descriptor non-blocking."""
        self.descriptor = descriptor
        self.pending = bytearray()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write or buffer a line; drop it if the buffer is full."""
        if len(self.pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self.pending += line
        try:
            written = os.write(self.descriptor, self.pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the log; serving continues without it.
            self.pending.clear()
            return
        del self.pending[:written]


class DecisionLog:
    """Decision log with a rate limit and a count for each kind of line."""

    def __init__(self, *, instance: str, writer: LineWriter) -> None:
        """Initialise the log of an instance."""
        self.instance = instance
        self.writer = writer
        self.counts: Counter[str] = Counter()
        self.suppressed: Counter[str] = Counter()
        # Tokens left and time of the last refill, by kind.
        self.buckets: dict[str, tuple[float, float]] = {}

    def write(self, kind: str, **fields: Any) -> None:
        """Write one decision and the fields that explain it."""
        self.counts[kind] += 1
        if not self._take_token(kind, time.monotonic()):
            self.suppressed[kind] += 1
            return
        line = {
            'time': round(time.time(), 3),
            'instance': self.instance,
            'kind': kind,
            **fields,
        }
        suppressed_count = self.suppressed.pop(kind, 0)
        if suppressed_count:
            line['suppressed'] = suppressed_count
        self.writer.write(msgspec.json.encode(line) + b'\n')

    def _take_token(self, kind: str, now: float) -> bool:
        """Take a token from the bucket of a kind; return whether it had one."""
        tokens, filled_at = self.buckets.get(kind, (MAX_BURST_LINES, now))
        tokens = min(
            MAX_BURST_LINES, tokens + (now - filled_at) * MAX_LINES_PER_S
        )
        has_token = tokens >= 1
        self.buckets[kind] = (tokens - has_token, now)
        return has_token


class DecisionLogHandler(logbook.Handler):
    """Log handler that writes logbook records to the decision log."""

    def __init__(self, *, decisions: DecisionLog) -> None:
        """Handle records of level INFO and above."""
        super().__init__(level=logbook.INFO)  # type: ignore[no-untyped-call]
        self.decisions = decisions

    def emit(self, record: Any) -> None:
        """Write one logbook record."""
        self.decisions.write(
            'log',
            level=record.level_name.lower(),
            logger=record.channel,
            message=record.message,
            exception=record.formatted_exception or '',
        )
