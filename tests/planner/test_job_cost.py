"""The cost of a job is linear in its steps and dependencies.

A job of 26 steps, each of which listed all earlier ones, held up every leader:
all paths through it were walked. Work is counted here, not timed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest

from magnoliapitch.planner import SchedulerState
from magnoliapitch.planner.duration import MovingAverage
from magnoliapitch.planner.ranking import rank_of
from magnoliapitch.planner.reconfiguration import apply_configuration
from magnoliapitch.planner.tracked import TrackedStep
from magnoliapitch.planner.tracked_task import TrackedTask
from magnoliapitch.workload.configuration import Configuration
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.run import EndedRun
from magnoliapitch.workload.run import EndKind


if TYPE_CHECKING:
    from collections.abc import Callable

QUEUE = Queue("q", "h", "/", "app", target_ms=1_000, stretch=2.0)


class _CountingDurations(MovingAverage):
    def __init__(self) -> None:
        super().__init__()
        self.calls = 0

    def expected_ms(self, step: TrackedStep) -> float:
        self.calls += 1
        return super().expected_ms(step)


def _all_earlier(number: int) -> tuple[int, ...]:
    return tuple(range(number))


def _one_before(number: int) -> tuple[int, ...]:
    return (number - 1,) if number else ()


def _spec(
    count: int,
    dependencies: Callable[[int], tuple[int, ...]],
    task_count: int = 1,
) -> JobSpec:
    steps = tuple(
        StepSpec(task_count, estimate_ms=10, depends_on=dependencies(number))
        for number in range(count)
    )
    return JobSpec("j", "q", "", steps)


@pytest.mark.parametrize("dependencies", [_all_earlier, _one_before])
@pytest.mark.parametrize("count", [26, 3_000])
def test_ranks_of_a_job_visit_each_step_a_few_times(
    dependencies: Callable[[int], tuple[int, ...]], count: int
) -> None:
    count = min(count, 400) if dependencies is _all_earlier else count
    durations = _CountingDurations()
    job = SchedulerState().add_job(_spec(count, dependencies), QUEUE, 0)
    ranks = [rank_of(step, durations, 0) for step in job.steps[0]]
    assert durations.calls <= 4 * count
    objective_ms = 1_000 + 2 * 10 * count
    assert [rank.latest_start_ms for rank in ranks] == [
        objective_ms - 10 * (count - number) for number in range(count)
    ]


def _reads_until_the_end(
    monkeypatch: pytest.MonkeyPatch, spec: JobSpec
) -> int:
    """Return how often steps and failures are read until the job ends."""
    reads = 0

    def counted(descriptor: Any) -> property:
        def read(item: object) -> Any:
            nonlocal reads
            reads += 1
            return descriptor.__get__(item)

        return property(read, lambda *args: descriptor.__set__(*args))

    state = SchedulerState()
    with monkeypatch.context() as patch:
        for owner, name in (
            (TrackedStep, "is_done"),
            (TrackedTask, "failures"),
        ):
            patch.setattr(owner, name, counted(vars(owner)[name]))
        job = state.add_job(spec, QUEUE, 0)
        for number, step in enumerate(job.steps[0]):
            assert step.ready_ms == number
            for task in step.tasks:
                state.add_ordered_run(task.key, 1, "w", number)
                end = EndedRun(1, task.key, 1, EndKind.DONE)
                assert state.record_end("w", end, number + 1)
    assert job.outcome is JobOutcome.COMPLETED
    return reads


@pytest.mark.parametrize(
    ("small", "large"),
    [
        (_spec(100, _one_before), _spec(200, _one_before)),
        (_spec(1, _one_before, 200), _spec(1, _one_before, 400)),
    ],
)
def test_the_ends_of_a_job_read_a_number_of_steps_linear_in_its_size(
    monkeypatch: pytest.MonkeyPatch, small: JobSpec, large: JobSpec
) -> None:
    reads = _reads_until_the_end(monkeypatch, small)
    assert _reads_until_the_end(monkeypatch, large) <= 2.2 * reads


@pytest.mark.parametrize("attempts", [3, 1])
def test_fewer_attempts_count_from_the_next_end_of_the_job(
    attempts: int,
) -> None:
    state = SchedulerState()
    job = state.add_job(_spec(2, lambda _: ()), QUEUE._replace(attempts=3), 0)
    ends = (EndKind.FAILED, EndKind.DONE)
    for step, kind in zip(job.steps[0], ends, strict=True):
        key = step.tasks[0].key
        state.add_ordered_run(key, 1, "w", 0)
        state.record_end("w", EndedRun(1, key, 1, kind), 1)
        has_failed = kind is EndKind.DONE and attempts == 1
        assert (job.outcome is JobOutcome.FAILED) == has_failed
        newer = {"q": QUEUE._replace(attempts=attempts)}
        apply_configuration(state, Configuration(1, newer, {}))
