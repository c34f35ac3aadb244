"""Renders a timeline as SVG, with a lane per process and a row per target."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Final
from xml.sax.saxutils import escape

from bitternturn.core.clock import COUNTER_BITS
from bitternturn.schema.timeline_pb2 import Event
from bitternturn.timeline import const
from bitternturn.timeline.models import EventKind
from bitternturn.timeline.render import format_fields, format_time
from bitternturn.timeline.styles import LEGEND, Shape, Style, style_of

# Events that are connected to the start of their query by a line. Answers and
# failures are left out: their lines would cover the markers.
CONNECTED_KINDS: Final = frozenset(
    (
        EventKind.SUB_REQUEST_SENT.value,
        EventKind.SUB_REQUEST_HEDGED.value,
        EventKind.SUB_REQUEST_RETRIED.value,
    ),
)


@dataclass(kw_only=True, frozen=True, slots=True)
class Point:
    """Coordinates in the drawing, in pixels."""

    x: float
    y: float


@dataclass(kw_only=True, frozen=True, slots=True)
class Lane:
    """Vertical position of a process and the rows of its targets."""

    top: int
    rows: Mapping[str, int]

    @property
    def height(self) -> int:
        """Return the height of the lane."""
        used = max(self.rows.values(), default=0) + 1
        return const.ROW_HEIGHT * (used + 1)


@dataclass(kw_only=True, frozen=True, slots=True)
class Layout:
    """Positions of the lanes and scale of the time axis."""

    lanes: Mapping[str, Lane]
    first_ms: float
    span_ms: float

    @property
    def bottom(self) -> int:
        """Return the y coordinate of the end of the lowest lane."""
        ends = (lane.top + lane.height for lane in self.lanes.values())
        return max(ends, default=const.HEADER_HEIGHT)

    @property
    def height(self) -> int:
        """Return the height of the whole drawing."""
        return self.bottom + const.LEGEND_HEIGHT

    def x_at(self, offset_ms: float) -> float:
        """Return the x coordinate of an offset from the first event."""
        width = const.DRAWING_WIDTH - const.LABEL_WIDTH - const.RIGHT_MARGIN
        return const.LABEL_WIDTH + width * offset_ms / self.span_ms

    def position_of(self, event: Event) -> Point:
        """Return the position of an event's marker."""
        lane = self.lanes[event.instance_id]
        row = lane.rows.get(_row_key(event), 0)
        return Point(
            x=self.x_at(_time_ms(event) - self.first_ms),
            y=lane.top + const.ROW_HEIGHT * (row + 1),
        )


def render_svg(events: Sequence[Event]) -> str:
    """Render merged events as an SVG document."""
    layout = _make_layout(events)
    parts = [
        _opening_tag(layout),
        *_draw_lanes(layout),
        *_draw_axis(layout),
        *_draw_duration_bars(layout, events),
        *_draw_connectors(layout, events),
        *(_draw_marker(layout, event) for event in events),
        *_draw_legend(layout),
        '</svg>',
    ]
    return '\n'.join(parts) + '\n'


def _make_layout(events: Sequence[Event]) -> Layout:
    """Return the layout, with lanes sorted by instance id."""
    times = [_time_ms(event) for event in events] or [0]
    lanes: dict[str, Lane] = {}
    top = const.HEADER_HEIGHT
    for name in sorted({event.instance_id for event in events}):
        own_events = (event for event in events if event.instance_id == name)
        lanes[name] = Lane(top=top, rows=_assign_rows(own_events))
        top += lanes[name].height
    return Layout(
        lanes=lanes,
        first_ms=min(times),
        span_ms=max(max(times) - min(times), 1),
    )


def _assign_rows(events: Iterable[Event]) -> dict[str, int]:
    """Return the row of each target, in order of first appearance.

    Row 0 is for events without a target or shard. Beyond MAX_TARGET_ROWS
    targets, several share a row.
    """
    keys = dict.fromkeys(_row_key(event) for event in events)
    keys.pop('', None)
    return {
        key: 1 + position % const.MAX_TARGET_ROWS
        for position, key in enumerate(keys)
    }


def _time_ms(event: Event) -> float:
    """Return the time of an event in milliseconds.

    The counter of the clock is the fraction, which separates events of the
    same millisecond.
    """
    return event.clock / (1 << COUNTER_BITS)


def _row_key(event: Event) -> str:
    """Return the target or shard of the event's row; empty for row 0."""
    return event.target or event.shard


def _opening_tag(layout: Layout) -> str:
    """Return the opening tag and the background."""
    size = f'width="{const.DRAWING_WIDTH}" height="{layout.height}"'
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" {size} '
        'font-family="sans-serif" font-size="11">\n'
        f'<rect {size} fill="#ffffff"/>'
    )


def _draw_lanes(layout: Layout) -> Iterator[str]:
    """Yield the background and label of each lane."""
    for position, (name, lane) in enumerate(layout.lanes.items()):
        fill = '#f4f6f9' if position % 2 else '#e9edf3'
        yield (
            f'<rect x="0" y="{lane.top}" width="{const.DRAWING_WIDTH}" '
            f'height="{lane.height}" fill="{fill}"/>'
        )
        middle = lane.top + lane.height // 2
        yield _text_element(const.MARGIN, middle, name)


def _draw_axis(layout: Layout) -> Iterator[str]:
    """Yield the grid lines and labels of the time axis."""
    for tick in range(const.AXIS_TICKS + 1):
        offset = layout.span_ms * tick / const.AXIS_TICKS
        x = layout.x_at(offset)
        yield _line_element(
            Point(x=x, y=const.HEADER_HEIGHT),
            Point(x=x, y=layout.bottom),
            '#c8cfda',
        )
        label = f'+{offset:.1f} ms'
        yield _text_element(
            x, const.HEADER_HEIGHT - const.MARGIN, label, 'middle'
        )


def _draw_duration_bars(
    layout: Layout, events: Sequence[Event]
) -> Iterator[str]:
    """Yield a bar for each event that has a duration."""
    for event in events:
        if event.duration_us:
            end = layout.position_of(event)
            length_ms = event.duration_us / const.US_PER_MS
            start_ms = _time_ms(event) - layout.first_ms - length_ms
            start = Point(x=layout.x_at(max(start_ms, 0)), y=end.y)
            colour = style_of(event.kind).colour
            yield _line_element(
                start, end, colour, width=const.DURATION_BAR_WIDTH
            )


def _draw_connectors(layout: Layout, events: Sequence[Event]) -> Iterator[str]:
    """Yield lines from the start of each query to its sends."""
    starts = {
        event.request_id: event
        for event in events
        if event.kind == EventKind.QUERY_STARTED.value
    }
    for event in events:
        start = starts.get(event.request_id)
        if start is not None and event.kind in CONNECTED_KINDS:
            yield _line_element(
                layout.position_of(start),
                layout.position_of(event),
                style_of(event.kind).colour,
                width=const.CONNECTOR_WIDTH,
            )


def _draw_marker(layout: Layout, event: Event) -> str:
    """Return the marker of an event, with its fields as the title."""
    style = style_of(event.kind)
    position = layout.position_of(event)
    title = escape(f'{format_time(event)} {event.kind} {format_fields(event)}')
    marker = _marker(style, position)
    if style.shape is Shape.LINE:
        marker = _line_element(
            Point(x=position.x, y=const.HEADER_HEIGHT),
            Point(x=position.x, y=layout.bottom),
            style.colour,
            width=2,
        )
        name = f'{event.target or event.detail} {style.label}'
        marker += _text_element(position.x, const.MARGIN * 2, name, 'middle')
    return f'<g class="{escape(event.kind)}"><title>{title}</title>{marker}</g>'


def _draw_legend(layout: Layout) -> Iterator[str]:
    """Yield the marker and label of each style."""
    step = (const.DRAWING_WIDTH - const.MARGIN) / len(LEGEND)
    y = layout.bottom + const.LEGEND_HEIGHT / 2
    for position, style in enumerate(LEGEND):
        x = const.MARGIN * 2 + position * step
        yield _marker(style, Point(x=x, y=y))
        yield _text_element(
            x + const.MARGIN, y + const.MARKER_RADIUS, style.label
        )


def _marker(style: Style, position: Point) -> str:
    """Return the marker of a style."""
    x, y, size = position.x, position.y, const.MARKER_RADIUS
    fill = f'fill="{style.colour}"'
    if style.shape is Shape.CIRCLE:
        return f'<circle cx="{x:.1f}" cy="{y:.1f}" r="{size}" {fill}/>'
    if style.shape is Shape.DIAMOND:
        path = f'M{x - size:.1f} {y:.1f}l4 -4 4 4 -4 4z'
        return f'<path d="{path}" {fill}/>'
    if style.shape is Shape.CROSS:
        path = f'M{x - size:.1f} {y - size:.1f}l8 8m0 -8l-8 8'
        return f'<path d="{path}" stroke="{style.colour}" stroke-width="2"/>'
    top, bottom = Point(x=x, y=y - size), Point(x=x, y=y + size)
    return _line_element(top, bottom, style.colour, width=2)


def _line_element(
    start: Point,
    end: Point,
    colour: str,
    *,
    width: float = 1,
) -> str:
    """Return a line element."""
    return (
        f'<line x1="{start.x:.1f}" y1="{start.y:.1f}" '
        f'x2="{end.x:.1f}" y2="{end.y:.1f}" '
        f'stroke="{colour}" stroke-width="{width}"/>'
    )


def _text_element(x: float, y: float, label: str, anchor: str = 'start') -> str:
    """Return a text element."""
    return (
        f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}">'
        f'{escape(label)}</text>'
    )
