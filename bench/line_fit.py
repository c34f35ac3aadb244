"""Least-squares lines through measurements, with standard errors."""

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

MIN_POINTS = 3


@dataclass(kw_only=True, frozen=True)
class FittedLine:
    """Least-squares line with the values that its errors depend on."""

    slope: float
    intercept: float
    mean_x: float
    squared_deviations_x: float
    count: int
    residual_deviation: float

    def estimate(self, x: float) -> float:
        """Return the estimate at `x`."""
        return self.intercept + self.slope * x

    def standard_error(self, x: float) -> float:
        """Return the standard error of the estimate at `x`."""
        leverage = (x - self.mean_x) ** 2 / self.squared_deviations_x
        return self.residual_deviation * math.sqrt(1 / self.count + leverage)


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> FittedLine:
    """Return the least-squares line through at least three points."""
    if len(xs) < MIN_POINTS:
        raise ValueError(
            'at least three points are needed for the standard error of a line'
        )
    slope, intercept = statistics.linear_regression(xs, ys)
    mean_x = statistics.fmean(xs)
    residuals = [y - intercept - slope * x for x, y in zip(xs, ys, strict=True)]
    squares = sum(residual**2 for residual in residuals)
    return FittedLine(
        slope=slope,
        intercept=intercept,
        mean_x=mean_x,
        squared_deviations_x=sum((x - mean_x) ** 2 for x in xs),
        count=len(xs),
        residual_deviation=math.sqrt(squares / (len(xs) - 2)),
    )
