"""Collects unhandled exceptions that are logged or reach the event loop."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

import logbook

from bitternturn.core.errors import BitternturnError

MAX_SHOWN = 8


class CrashCollector(logbook.Handler):
    """Collects error records of all loggers and errors of the event loop."""

    def __init__(self) -> None:
        """Accept records of level error and above."""
        super().__init__(level=logbook.ERROR)  # type: ignore[no-untyped-call]
        self.crashes: list[str] = []
        self.standard_handler = _StandardHandler(self)

    def emit(self, record: Any) -> None:
        """Record a log record of logbook."""
        error = record.exc_info[1] if record.exc_info else ''
        self.crashes.append(f'{record.channel}: {record.message} {error!r}')

    def install(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start to collect from logbook, logging and the event loop."""
        self.push_application()  # type: ignore[no-untyped-call]
        logging.getLogger().addHandler(self.standard_handler)
        loop.set_exception_handler(self._on_loop_exception)

    def uninstall(self) -> None:
        """Stop collecting log records."""
        self.pop_application()  # type: ignore[no-untyped-call]
        logging.getLogger().removeHandler(self.standard_handler)

    def check_parser(
        self,
        parse: Callable[[], object],
        expected_errors: tuple[type[Exception], ...] = (BitternturnError,),
    ) -> None:
        """Run a parser and record any exception that is not expected."""
        try:
            parse()
        except expected_errors:
            return
        except Exception as error:
            text = f'{type(error).__name__}: {error}'
            self.crashes.append(f'parser: {text[:200]}')

    async def async_check_call(self, call: Awaitable[object]) -> None:
        """Await a call and record any exception but a BitternturnError."""
        try:
            await call
        except BitternturnError:
            return
        except Exception as error:
            text = f'{type(error).__name__}: {error}'
            self.crashes.append(f'call: {text[:200]}')

    def summary(self) -> dict[str, int]:
        """Return the most frequent crashes with their counts."""
        counts: dict[str, int] = {}
        for crash in self.crashes:
            counts[crash[:160]] = counts.get(crash[:160], 0) + 1
        sorted_counts = sorted(counts.items(), key=lambda item: -item[1])
        return dict(sorted_counts[:MAX_SHOWN])

    def _on_loop_exception(
        self,
        loop: asyncio.AbstractEventLoop,
        context: dict[str, Any],
    ) -> None:
        """Record an exception of a callback or of a task nobody awaited."""
        error = context.get('exception')
        self.crashes.append(f'loop: {context["message"]} {error!r}')


class _StandardHandler(logging.Handler):
    """Forwards records of the standard logging module to the collector."""

    def __init__(self, collector: CrashCollector) -> None:
        """Accept records of level error and above."""
        super().__init__(level=logging.ERROR)
        self.collector = collector

    def emit(self, record: logging.LogRecord) -> None:
        """Record a log record of logging."""
        error = record.exc_info[1] if record.exc_info else ''
        self.collector.crashes.append(
            f'{record.name}: {record.getMessage()} {error!r}',
        )
