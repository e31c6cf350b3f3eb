"""Lines and curves through measured points."""

import typing
from collections.abc import Sequence

MAX_RELATIVE_ERROR = (
    0.5  # a straight line that misses a point by more is none: a square goes through the points instead
)


class Point(typing.NamedTuple):
    """A size, and what was measured there."""

    x: float
    y: float


class Curve(typing.NamedTuple):
    """y = square * x * x + slope * x + base. Figures are rounded, as the tables show them."""

    points: tuple[Point, ...]
    square: float  # 0: a straight line
    slope: float
    base: float
    off: float  # the largest relative error of a point; 0 of a curve

    def at(self, x: float) -> float:
        """The value at a size."""
        return self.square * x * x + self.slope * x + self.base


def curve(points: Sequence[Point]) -> Curve:
    """A straight line through the points; where it misses one by too much, the square through three of them."""
    slope, base, off = _line(points)
    square = 0.0
    if off > MAX_RELATIVE_ERROR:
        square, slope, base = _square(points)
        off = 0.0
    return Curve(tuple(points), round(square, 5), round(slope, 3), round(base, 1), round(off, 3))


def _line(points: Sequence[Point]) -> tuple[float, float, float]:
    """(slope, base, largest relative error) of the least squares."""
    count = len(points)
    mean_x = sum(x for x, _y in points) / count
    mean_y = sum(y for _x, y in points) / count
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum((x - mean_x) ** 2 for x, _y in points)
    base = mean_y - slope * mean_x
    off = max(abs(y - slope * x - base) / max(abs(y), 1e-12) for x, y in points)
    return slope, base, off


def _square(points: Sequence[Point]) -> tuple[float, float, float]:
    """(square, slope, base) through the first, the middle and the last point."""
    (x1, y1), (x2, y2), (x3, y3) = points[0], points[len(points) // 2], points[-1]
    square = ((y3 - y1) / (x3 - x1) - (y2 - y1) / (x2 - x1)) / (x3 - x2)
    slope = (y2 - y1) / (x2 - x1) - square * (x1 + x2)
    return square, slope, y1 - square * x1 * x1 - slope * x1
