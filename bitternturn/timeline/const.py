"""Limits of the timeline and dimensions of its SVG rendering."""

from typing import Final

DEFAULT_EVENT_LIMIT: Final = 5000

# Dimensions of the drawing, in pixels; MAX_TARGET_ROWS and AXIS_TICKS are
# counts.
DRAWING_WIDTH: Final = 1200
LABEL_WIDTH: Final = 160
ROW_HEIGHT: Final = 10
MAX_TARGET_ROWS: Final = 24
HEADER_HEIGHT: Final = 48
LEGEND_HEIGHT: Final = 40
MARKER_RADIUS: Final = 4
AXIS_TICKS: Final = 10
MARGIN: Final = 10
RIGHT_MARGIN: Final = 40
DURATION_BAR_WIDTH: Final = 3
CONNECTOR_WIDTH: Final = 0.5

US_PER_MS: Final = 1000
