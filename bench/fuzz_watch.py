"""Notes exceptions that nothing handled: logged, or left to the loop."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

import logbook

from bitternturn.core.errors import BitternturnError

SHOWN = 8


class CrashWatch(logbook.Handler):
    """Collects error records of all loggers and the loop's complaints."""

    def __init__(self) -> None:
        """Take errors and worse."""
        super().__init__(level=logbook.ERROR)  # type: ignore[no-untyped-call]
        self.crashes: list[str] = []
        self.standard = _Standard(self)

    def emit(self, record: Any) -> None:
        """Note a record of logbook."""
        error = record.exc_info[1] if record.exc_info else ''
        self.crashes.append(f'{record.channel}: {record.message} {error!r}')

    def watch(self, loop: asyncio.AbstractEventLoop) -> None:
        """Begin."""
        self.push_application()  # type: ignore[no-untyped-call]
        logging.getLogger().addHandler(self.standard)
        loop.set_exception_handler(self._on_loop)

    def unwatch(self) -> None:
        """End."""
        self.pop_application()  # type: ignore[no-untyped-call]
        logging.getLogger().removeHandler(self.standard)

    def parse(
        self,
        parse: Callable[[], object],
        refusals: tuple[type[Exception], ...] = (BitternturnError,),
    ) -> None:
        """Run a parser that may refuse in its own way only."""
        try:
            parse()
        except refusals:
            return
        except Exception as error:
            text = f'{type(error).__name__}: {error}'
            self.crashes.append(f'parser: {text[:200]}')

    async def async_call(self, call: Awaitable[object]) -> None:
        """Await a call that may fail with a code only."""
        try:
            await call
        except BitternturnError:
            return
        except Exception as error:
            text = f'{type(error).__name__}: {error}'
            self.crashes.append(f'call: {text[:200]}')

    def summary(self) -> dict[str, int]:
        """Return the commonest crashes and their numbers."""
        counts: dict[str, int] = {}
        for crash in self.crashes:
            counts[crash[:160]] = counts.get(crash[:160], 0) + 1
        ordered = sorted(counts.items(), key=lambda item: -item[1])
        return dict(ordered[:SHOWN])

    def _on_loop(
        self,
        loop: asyncio.AbstractEventLoop,
        context: dict[str, Any],
    ) -> None:
        """Note what a callback or a forgotten task raised."""
        error = context.get('exception')
        self.crashes.append(f'loop: {context["message"]} {error!r}')


class _Standard(logging.Handler):
    """Takes the records of the standard module."""

    def __init__(self, watch: CrashWatch) -> None:
        """Take errors and worse."""
        super().__init__(level=logging.ERROR)
        self.watch = watch

    def emit(self, record: logging.LogRecord) -> None:
        """Note a record."""
        error = record.exc_info[1] if record.exc_info else ''
        self.watch.crashes.append(
            f'{record.name}: {record.getMessage()} {error!r}',
        )
