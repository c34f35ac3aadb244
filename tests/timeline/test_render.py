"""Tests of rendering a timeline as text, JSON and SVG."""

import json
from xml.etree import ElementTree

from bitternturn.core.clock import COUNTER_BITS
from bitternturn.schema.timeline_pb2 import Event
from bitternturn.timeline.render import (
    event_from_json,
    render_json,
    render_text,
)
from bitternturn.timeline.svg import render_svg

SVG = '{http://www.w3.org/2000/svg}'


def make_event(at_ms: int, instance: str, kind: str, **fields) -> Event:
    return Event(
        clock=at_ms << COUNTER_BITS, instance_id=instance, kind=kind, **fields
    )


EVENTS = [
    make_event(1000, 'a', 'query_started', request_id='r1'),
    make_event(1001, 'b', 'sub_request_sent', request_id='r1', target='t1'),
    make_event(1004, 'a', 'sub_request_hedged', request_id='r1', target='t2'),
    make_event(1006, 'c', 'sub_request_failed', request_id='r1', detail='<&'),
    make_event(1008, 'a', 'domain_out', detail='south'),
    make_event(
        1010, 'a', 'query_answered', request_id='r1', duration_us=10_000
    ),
]


class TestText:
    def test_one_line_per_event(self):
        lines = render_text(EVENTS).splitlines()
        assert len(lines) == len(EVENTS)
        assert lines[1].split() == [
            '00:00:01.001',
            'b',
            'sub_request_sent',
            'request_id=r1',
            'target=t1',
        ]
        assert lines[-1].endswith('duration=10.0ms')


class TestJson:
    def test_round_trip(self):
        decoded = json.loads(render_json(EVENTS))
        assert [event_from_json(content) for content in decoded] == EVENTS


class TestSvg:
    def test_lane_per_process_and_marker_per_event(self):
        root = ElementTree.fromstring(render_svg(EVENTS))
        labels = [text.text for text in root.iter(f'{SVG}text')]
        assert [label for label in labels if label in {'a', 'b', 'c'}] == [
            'a',
            'b',
            'c',
        ]
        kinds = [group.get('class') for group in root.iter(f'{SVG}g')]
        assert kinds == [event.kind for event in EVENTS]
        assert 'south out' in labels
        titles = [title.text for title in root.iter(f'{SVG}title')]
        assert titles[3].endswith('detail=<&')

    def test_later_events_are_further_right(self):
        root = ElementTree.fromstring(render_svg(EVENTS))
        circles = [
            float(circle.get('cx'))
            for group in root.iter(f'{SVG}g')
            for circle in group.iter(f'{SVG}circle')
        ]
        assert len(circles) == 3
        assert circles == sorted(set(circles))

    def test_no_events(self):
        assert ElementTree.fromstring(render_svg([])).tag == f'{SVG}svg'
