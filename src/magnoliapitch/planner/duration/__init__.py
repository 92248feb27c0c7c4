"""Durations of tasks: learned from finished runs, expected of later ones."""

from __future__ import annotations

from magnoliapitch.planner.duration.interface import DurationEstimator
from magnoliapitch.planner.duration.learned import LearnedDurations
from magnoliapitch.planner.duration.moving_average import MovingAverage


__all__ = ["DurationEstimator", "LearnedDurations", "MovingAverage"]
