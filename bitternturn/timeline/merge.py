"""Events of several processes in one order."""

import heapq
from collections.abc import Iterable, Iterator

from bitternturn.schema.timeline_pb2 import Event


def merge_events(groups: Iterable[Iterable[Event]]) -> list[Event]:
    """Return the events of all processes by clock, each one once.

    Every group must be in the order of its own clock.
    """
    return list(_drop_repeats(heapq.merge(*groups, key=_order)))


def _order(event: Event) -> tuple[int, str]:
    """Return the key that orders events over processes."""
    return event.clock, event.instance_id


def _drop_repeats(events: Iterable[Event]) -> Iterator[Event]:
    """Yield each event of one process and stamp once."""
    last = (-1, '')
    for event in events:
        if _order(event) != last:
            last = _order(event)
            yield event
