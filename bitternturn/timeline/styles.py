"""Marker shapes and colours of event kinds in the SVG rendering."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from bitternturn.timeline.models import EventKind


@unique
class Shape(Enum):
    """Shape of a marker."""

    CIRCLE = 'circle'
    CROSS = 'cross'
    DIAMOND = 'diamond'
    LINE = 'line'


@dataclass(kw_only=True, frozen=True, slots=True)
class Style:
    """Marker and legend label of a group of event kinds."""

    shape: Shape
    colour: str
    label: str


QUERY: Final = Style(shape=Shape.CIRCLE, colour='#1f4e9c', label='query')
SENT: Final = Style(shape=Shape.CIRCLE, colour='#7a8ca8', label='sent')
ANSWERED: Final = Style(shape=Shape.CIRCLE, colour='#2a8a4a', label='answered')
HEDGED: Final = Style(shape=Shape.DIAMOND, colour='#b8860b', label='hedged')
RETRIED: Final = Style(shape=Shape.DIAMOND, colour='#8a2be2', label='retried')
CANCELLED: Final = Style(shape=Shape.CROSS, colour='#7a8ca8', label='cancelled')
FAILED: Final = Style(
    shape=Shape.CROSS, colour='#c0282d', label='refused, failed'
)
OUT: Final = Style(shape=Shape.LINE, colour='#c0282d', label='out')
IN: Final = Style(shape=Shape.LINE, colour='#2a8a4a', label='in')
STATE: Final = Style(
    shape=Shape.DIAMOND, colour='#0e7c86', label='state change'
)

LEGEND: Final = (
    QUERY,
    SENT,
    ANSWERED,
    HEDGED,
    RETRIED,
    CANCELLED,
    FAILED,
    OUT,
    IN,
    STATE,
)

STYLES: Final[Mapping[str, Style]] = {
    EventKind.QUERY_STARTED.value: QUERY,
    EventKind.QUERY_ANSWERED.value: ANSWERED,
    EventKind.QUERY_REFUSED.value: FAILED,
    EventKind.SUB_REQUEST_SENT.value: SENT,
    EventKind.SUB_REQUEST_ANSWERED.value: ANSWERED,
    EventKind.SUB_REQUEST_FAILED.value: FAILED,
    EventKind.SUB_REQUEST_HEDGED.value: HEDGED,
    EventKind.SUB_REQUEST_RETRIED.value: RETRIED,
    EventKind.SUB_REQUEST_CANCELLED.value: CANCELLED,
    EventKind.DOMAIN_OUT.value: OUT,
    EventKind.TARGET_OUT.value: OUT,
    EventKind.DOMAIN_IN.value: IN,
    EventKind.TARGET_IN.value: IN,
}


def style_of(kind: str) -> Style:
    """Return the style of an event kind; the default is STATE."""
    return STYLES.get(kind, STATE)
