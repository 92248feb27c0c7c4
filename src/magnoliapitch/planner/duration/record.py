"""Encoding of what is learned, for the next leader."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING
from typing import NamedTuple

from pydantic import TypeAdapter

from magnoliapitch.planner.duration.queue_work import QueueFigures
from magnoliapitch.planner.duration.queue_work import QueueWork
from magnoliapitch.planner.duration.worker_speed import SpeedEstimate


if TYPE_CHECKING:
    from magnoliapitch.planner.duration.learned import LearnedDurations


# Bounds the size of the record; the queues with the most steps are kept.
MAX_STORED_QUEUES = 200
MAX_STORED_WORKERS = 2_000
# Names may be long; the numbers above are halved until the record fits.
MAX_STORED_BYTES = 196_608
# Speeds are stored in whole hundredths.
SPEED_SCALE = 100
FIGURE_DIGITS = 3
# Largest logarithm that a figure may have; that of a duration is below 25.
MAX_FIGURE = 1e6
# A speed may have changed since it was stored.
ADDED_VARIANCE = 0.005


class _Record(NamedTuple):
    """What is stored.

    :param workers: logarithm of the speed and deviation of its error, in
        hundredths, by id of the worker.
    :param queues: figures by name of the queue.
    """

    workers: dict[str, tuple[int, int]]
    queues: dict[str, QueueFigures]


_ADAPTER: TypeAdapter[_Record] = TypeAdapter(_Record)


def encode_learned(learned: LearnedDurations) -> bytes:
    """Return the value of the record, of at most ``MAX_STORED_BYTES``."""
    max_workers, max_queues = MAX_STORED_WORKERS, MAX_STORED_QUEUES
    value = _encode(learned, max_workers, max_queues)
    while len(value) > MAX_STORED_BYTES:
        max_workers //= 2
        max_queues //= 2
        value = _encode(learned, max_workers, max_queues)
    return value


def _encode(
    learned: LearnedDurations, max_workers: int, max_queues: int
) -> bytes:
    estimates = sorted(learned.speeds.estimates_by_id().items())
    workers = {
        worker_id: (
            round(SPEED_SCALE * estimate.log_speed),
            round(SPEED_SCALE * math.sqrt(estimate.variance)),
        )
        for worker_id, estimate in estimates[:max_workers]
    }
    queues = sorted(
        (
            (name, work.figures)
            for name, work in learned.work_by_queue.items()
            if work.figures.weight
        ),
        key=lambda item: -item[1].weight,
    )
    return _ADAPTER.dump_json(
        _Record(
            workers,
            {name: _rounded(figures) for name, figures in queues[:max_queues]},
        )
    )


def restore_learned(learned: LearnedDurations, value: bytes) -> None:
    """Start from what a former leader has learned.

    :raises ValueError: if the value is not valid; nothing is changed then.
    """
    record = _ADAPTER.validate_json(value)
    if not all(map(_is_plausible, record.queues.values())):
        raise ValueError("figures of a queue are out of range")
    estimates = {
        worker_id: SpeedEstimate(
            log_speed / SPEED_SCALE,
            (deviation / SPEED_SCALE) ** 2 + ADDED_VARIANCE,
        )
        for worker_id, (log_speed, deviation) in record.workers.items()
    }
    if any(abs(speed.log_speed) > 10 for speed in estimates.values()):
        raise ValueError("a speed is out of range")
    learned.speeds.restore(estimates)
    for name, figures in record.queues.items():
        learned.work_by_queue[name] = QueueWork(figures)


def _rounded(figures: QueueFigures) -> QueueFigures:
    return QueueFigures(*(round(figure, FIGURE_DIGITS) for figure in figures))


def _is_plausible(figures: QueueFigures) -> bool:
    return (
        all(abs(figure) <= MAX_FIGURE for figure in figures)
        and figures.weight >= 0
        and figures.sum_xx >= 0
        and figures.step_variance > 0
        and figures.task_variance > 0
    )


__all__ = ["encode_learned", "restore_learned"]
