"""Tests of the ring buffer of events and of merging."""

from bitternturn.core.clock import HybridClock
from bitternturn.core.ids import InstanceId
from bitternturn.timeline.merge import merge_events
from bitternturn.timeline.models import EventKind
from bitternturn.timeline.ring_buffer import Timeline


def make_timeline(
    name: str, *, read_wall_ms=lambda: 1000, **options
) -> Timeline:
    return Timeline(
        instance_id=InstanceId(name),
        capacity=options.pop('capacity', 10),
        clock=HybridClock(),
        read_wall_ms=read_wall_ms,
        **options,
    )


class TestTimeline:
    def test_oldest_events_are_evicted(self):
        timeline = make_timeline('a', capacity=3)
        for number in range(5):
            timeline.emit(EventKind.QUERY_STARTED, request_id=str(number))
        found = [event.request_id for event in timeline.events()]
        assert found == ['2', '3', '4']

    def test_filters_and_limit(self):
        timeline = make_timeline('a')
        for number in range(4):
            timeline.emit(
                EventKind.SUB_REQUEST_SENT,
                request_id='r' if number % 2 else 's',
                target=f't{number}',
            )
        events = timeline.events()
        assert timeline.events(since=events[1].clock) == events[2:]
        assert timeline.events(request_id='r') == [events[1], events[3]]
        assert timeline.events(request_id='r', limit=1) == [events[3]]
        assert timeline.events(target='t2') == [events[2]]

    def test_disabled_timeline_records_nothing(self):
        timeline = make_timeline('a', enabled=False)
        timeline.emit(EventKind.QUERY_STARTED)
        assert timeline.events() == []


class TestMerge:
    def test_order_follows_messages_between_processes(self):
        first = make_timeline('a', read_wall_ms=lambda: 5000)
        second = make_timeline('b', read_wall_ms=lambda: 1000)
        first.emit(EventKind.SUB_REQUEST_SENT)
        second.clock.observe(first.clock.latest)
        second.emit(EventKind.SUB_REQUEST_ANSWERED)
        merged = merge_events([second.events(), first.events()])
        assert [event.instance_id for event in merged] == ['a', 'b']

    def test_duplicate_events_are_dropped(self):
        timeline = make_timeline('a')
        timeline.emit(EventKind.TAKEOVER)
        timeline.emit(EventKind.HANDOVER)
        merged = merge_events([timeline.events(), timeline.events()])
        assert merged == timeline.events()
