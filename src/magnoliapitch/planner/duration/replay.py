"""Errors of the estimates for recorded ends, without a network."""

from __future__ import annotations

import math

from collections import Counter
from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import Annotated
from typing import NamedTuple

from pydantic import Field
from pydantic import TypeAdapter

from magnoliapitch.planner.duration.learned import LearnedDurations
from magnoliapitch.planner.duration.measurement import FinishedTask
from magnoliapitch.planner.duration.moving_average import MovingAverage
from magnoliapitch.planner.duration.spread import log_ms
from magnoliapitch.planner.duration.step_work import StepWork


if TYPE_CHECKING:
    from collections.abc import Iterable


# Time between two ends, which a record does not tell.
END_INTERVAL_MS = 20
# Steps whose finished tasks are kept; the ends of one step are close together.
MAX_OPEN_STEPS = 5_000


class RecordedEnd(NamedTuple):
    """A run that was done, as recorded.

    :param step: id of the step, unique in the file.
    :param kind: kind of the worker.
    :param estimate_ms: declared estimate; 0 if there was none.
    """

    queue: str
    step: str
    worker: str
    duration_ms: Annotated[float, Field(gt=0)]
    estimate_ms: Annotated[float, Field(ge=0)] = 0.0
    kind: str = ""


class QueueErrors(NamedTuple):
    """Root mean square errors of the logarithms of the estimates.

    :param end_count: number of ends.
    """

    end_count: int
    moving_average: float
    learned: float


_ADAPTER: TypeAdapter[RecordedEnd] = TypeAdapter(RecordedEnd)


def read_ends(lines: Iterable[str]) -> list[RecordedEnd]:
    """Decode recorded ends, one JSON object a line.

    :raises ValueError: if a line is not a valid end.
    """
    ends = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            ends.append(_ADAPTER.validate_json(line))
        except ValueError as error:
            raise ValueError(f"line {number}: {error}") from error
    return ends


def replay(ends: Iterable[RecordedEnd]) -> dict[str, QueueErrors]:
    """Return the errors of both estimates by queue."""
    ends = list(ends)
    share_by_step = {
        step: 1 / count
        for step, count in Counter(end.step for end in ends).items()
    }
    last_by_step = {end.step: number for number, end in enumerate(ends, 1)}
    average = MovingAverage()
    learned = LearnedDurations()
    learned.set_workers({end.worker: end.kind for end in ends}, 0)
    work_by_step: OrderedDict[str, StepWork] = OrderedDict()
    squares: dict[str, list[tuple[float, float]]] = {}
    for number, end in enumerate(ends, 1):
        now_ms = number * END_INTERVAL_MS
        step_work = work_by_step.setdefault(end.step, StepWork())
        if len(work_by_step) > MAX_OPEN_STEPS:
            work_by_step.popitem(last=False)
        squares.setdefault(end.queue, []).append(
            (
                _error(end, average.expected_ms_of(end.queue, end.estimate_ms))
                ** 2,
                _error(end, _learned_ms(learned, end, step_work)) ** 2,
            )
        )
        average.add_sample(end.queue, end.duration_ms)
        learned.add(
            FinishedTask(
                end.queue,
                end.estimate_ms,
                share_by_step[end.step],
                step_work,
                (end.worker,),
                end.duration_ms,
                tells_speed=True,
                is_last=number == last_by_step[end.step],
            ),
            now_ms,
        )
    return {queue: _errors(found) for queue, found in squares.items()}


def _learned_ms(
    learned: LearnedDurations, end: RecordedEnd, step_work: StepWork
) -> float:
    work = learned.expected_of(end.queue, end.estimate_ms, step_work)
    speed = learned.speeds.estimate(end.worker)
    return math.exp(work.mean - speed.log_speed)


def _error(end: RecordedEnd, expected_ms: float) -> float:
    return log_ms(end.duration_ms) - log_ms(expected_ms)


def _errors(squares: list[tuple[float, float]]) -> QueueErrors:
    count = len(squares)
    average, learned = (
        math.sqrt(sum(column) / count) for column in zip(*squares, strict=True)
    )
    return QueueErrors(count, average, learned)


__all__ = ["QueueErrors", "RecordedEnd", "read_ends", "replay"]
