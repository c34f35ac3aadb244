"""Straight lines through measurements, with the error of an estimate."""

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

LEAST_POINTS = 3


@dataclass(kw_only=True, frozen=True)
class Line:
    """Least-squares line and what its errors follow from."""

    slope: float
    intercept: float
    mean_x: float
    spread_x: float
    count: int
    deviation: float

    def at(self, x: float) -> float:
        """Return the estimate at a place."""
        return self.intercept + self.slope * x

    def error_at(self, x: float) -> float:
        """Return the standard error of the line at a place."""
        far = (x - self.mean_x) ** 2 / self.spread_x
        return self.deviation * math.sqrt(1 / self.count + far)


def fit(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Return the line through at least three points."""
    if len(xs) < LEAST_POINTS:
        raise ValueError('a line with its error takes three points')
    slope, intercept = statistics.linear_regression(xs, ys)
    mean_x = statistics.fmean(xs)
    residuals = [y - intercept - slope * x for x, y in zip(xs, ys, strict=True)]
    squares = sum(residual**2 for residual in residuals)
    return Line(
        slope=slope,
        intercept=intercept,
        mean_x=mean_x,
        spread_x=sum((x - mean_x) ** 2 for x in xs),
        count=len(xs),
        deviation=math.sqrt(squares / (len(xs) - 2)),
    )
