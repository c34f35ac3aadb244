"""Limits of the timeline and measures of its drawing."""

from typing import Final

DEFAULT_EVENT_LIMIT: Final = 5000

# Pixels of the drawing.
DRAWING_WIDTH: Final = 1200
LABEL_WIDTH: Final = 160
LANE_HEIGHT: Final = 64
ROW_HEIGHT: Final = 10
ROWS_PER_LANE: Final = 5
HEADER_HEIGHT: Final = 48
LEGEND_HEIGHT: Final = 40
MARK_RADIUS: Final = 4
TICKS: Final = 10

US_PER_MS: Final = 1000
