"""Strategies for jobs and for what happens to them, for searches."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from hypothesis import strategies as st

from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import QueueSnapshot
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.control.simulation import queue


if TYPE_CHECKING:
    from hypothesis.strategies import DrawFn


QUEUE_NAMES = ("q0", "q1", "q2")
MAX_STEPS = 6
MAX_TASKS = 4
# Small enough for any worker to run a whole gang beside the services.
TASK_SIZES = (Resources(), Resources(500, 500), Resources(1_500, 3_000))
SERVICE_SIZE = Resources(250, 250)
LABELS = ("", "a")
RACKS = ("", "r0", "r9")


class Step(NamedTuple):
    """Something that happens after some time.

    :param kind: what happens; the search has a method of this name.
    :param choice: number by which that method chooses.
    """

    kind: str
    after_ms: int
    choice: int


@st.composite
def _steps(draw: DrawFn, number: int) -> StepSpec:
    is_gang = draw(st.booleans())
    return StepSpec(
        draw(st.integers(1, MAX_TASKS)),
        draw(st.sampled_from(TASK_SIZES)),
        draw(st.sampled_from((0, 10, 60_000))),
        tuple(draw(st.lists(st.integers(0, number - 1), max_size=number + 1)))
        if number
        else (),
        draw(st.booleans()),
        is_gang,
        draw(st.booleans()),
        draw(st.sampled_from(LABELS)),
        draw(st.sampled_from(RACKS)),
        draw(st.integers(0, 2)),
        draw(st.booleans()),
        uses_leftover=draw(st.booleans()),
    )


@st.composite
def _services(draw: DrawFn) -> StepSpec:
    return StepSpec(
        draw(st.integers(1, 2)),
        SERVICE_SIZE,
        saves_progress=draw(st.booleans()),
        is_gang=draw(st.booleans()),
        max_per_worker=draw(st.integers(0, 1)),
        is_speculative=draw(st.booleans()),
        is_long_running=True,
        max_unavailable=draw(st.sampled_from((None, 0, 1))),
    )


@st.composite
def jobs(draw: DrawFn, job_id: str) -> JobSpec:
    """Draw a job that fits on the workers of a search."""
    if draw(st.integers(0, 2)) == 0:
        steps: tuple[StepSpec, ...] = (draw(_services()),)
    else:
        count = draw(st.integers(1, MAX_STEPS))
        steps = tuple(draw(_steps(number)) for number in range(count))
    name = draw(st.sampled_from(QUEUE_NAMES))
    run_count = draw(st.sampled_from((0, 0, 0, 3)))
    return JobSpec(
        job_id,
        name,
        "text",
        steps,
        run_count,
        0,
        1_000 if run_count else 0,
        accepting_queue=QueueSnapshot.from_queue(queue(name)),
    )


@st.composite
def schedules(draw: DrawFn, kinds: tuple[str, ...]) -> list[Step]:
    """Draw what happens, one thing after the other."""
    step = st.builds(
        Step,
        st.sampled_from(kinds),
        st.sampled_from((0, 20, 300, 1_500, 6_000)),
        st.integers(0, 1_000),
    )
    return draw(st.lists(step, min_size=4, max_size=40))


__all__ = ["QUEUE_NAMES", "Step", "jobs", "schedules"]
