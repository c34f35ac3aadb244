"""Merges the events of several processes into one order."""

import heapq
from collections.abc import Iterable, Iterator

from bitternturn.schema.timeline_pb2 import Event


def merge_events(groups: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge the events of several processes by clock, without duplicates.

    The events of each group must be sorted by clock.
    """
    return list(_drop_duplicates(heapq.merge(*groups, key=_sort_key)))


def _sort_key(event: Event) -> tuple[int, str]:
    """Return the sort key of an event: its clock, then its instance."""
    return event.clock, event.instance_id


def _drop_duplicates(events: Iterable[Event]) -> Iterator[Event]:
    """Yield the sorted events without repeated sort keys."""
    last = (-1, '')
    for event in events:
        if _sort_key(event) != last:
            last = _sort_key(event)
            yield event
