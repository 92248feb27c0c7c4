"""Linear fits of a cost against a size."""

from __future__ import annotations

from typing import NamedTuple

import numpy as np


class Point(NamedTuple):
    """One measurement.

    :param size: number of items, for example workers.
    :param cost: measured cost, in the unit of the slope.
    """

    size: int
    cost: float


class Slope(NamedTuple):
    """Least-squares line through measured points.

    :param name: what was measured.
    :param unit: unit of the cost.
    :param per_item: cost of one more item.
    :param fixed: cost at size zero.
    :param residual: largest distance of a point from the line, as a
        share of the largest cost.
    :param points: the measurements.
    """

    name: str
    unit: str
    per_item: float
    fixed: float
    residual: float
    points: tuple[Point, ...]

    @classmethod
    def from_points(
        cls, name: str, unit: str, points: tuple[Point, ...]
    ) -> Slope:
        """Fit a line to measured points.

        :param points: measurements of at least four different sizes.
        :raises ValueError: if there are fewer different sizes.
        """
        sizes = np.array([point.size for point in points], dtype=float)
        costs = np.array([point.cost for point in points], dtype=float)
        if len(set(sizes)) < 4:
            raise ValueError(
                f"{name}: a slope needs at least four sizes, "
                f"but the points have {len(set(sizes))}"
            )
        per_item, fixed = np.polyfit(sizes, costs, 1)
        distances = np.abs(costs - (per_item * sizes + fixed))
        residual = float(distances.max() / costs.max())
        return cls(name, unit, float(per_item), float(fixed), residual, points)
