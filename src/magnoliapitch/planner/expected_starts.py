"""Tasks of long-running steps that will have to start again soon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.planner.permit_calls import TICKET_MIN_REMAINING_MS
from magnoliapitch.planner.ranking import is_down
from magnoliapitch.planner.tracked_task import MIN_SUSPECT_LOSSES
from magnoliapitch.workload.progress import JobOutcome


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedRun
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.workload.job import StepKey


# From when a task may start until its start is planned: the checks of leases,
# and rounds that cannot send it at once.
START_ALLOWANCE_MS = 300


class ExpectedStart:
    """Tasks of one step that are expected to need a start.

    :ivar task_count: number of these tasks.
    :ivar start_ms: from when the last of them may start.
    :ivar down_since_ms: since when the first of them has no run, as far as
        that is known.
    :ivar may_be_suspect: whether one will probably be placed apart from other
        jobs.
    """

    __slots__ = (
        "down_since_ms",
        "may_be_suspect",
        "start_ms",
        "step",
        "task_count",
    )

    def __init__(self, step: TrackedStep, now_ms: int) -> None:
        self.step = step
        self.task_count = 0
        self.start_ms = 0
        self.down_since_ms = now_ms
        self.may_be_suspect = False

    def add_run(self, run: TrackedRun, lost_at_ms: int) -> None:
        """Add the task of a run that is given up at a time."""
        members = self.step.tasks if self.step.spec.is_gang else [run.task]
        self.task_count = min(
            self.task_count + len(members), len(self.step.tasks)
        )
        self.start_ms = max(self.start_ms, lost_at_ms)
        self.down_since_ms = min(self.down_since_ms, run.last_active_ms)
        if run.task.lost_worker_count + 1 >= MIN_SUSPECT_LOSSES:
            self.may_be_suspect = True

    def add_waiting(self, held_until_ms: int) -> None:
        """Add the tasks of the step that wait already.

        :param held_until_ms: until when they are held; 0 if they are not.
        """
        step = self.step
        self.task_count = min(
            self.task_count + step.waiting_count, len(step.tasks)
        )
        self.start_ms = max(self.start_ms, held_until_ms)
        if is_down(step):
            self.down_since_ms = min(self.down_since_ms, step.down_since_ms())
        if any(task.is_suspect for task in step.startable_tasks()):
            self.may_be_suspect = True


def expected_starts(
    state: SchedulerState, now_ms: int
) -> dict[StepKey, ExpectedStart]:
    """Return the starts for which permits are requested now, by step.

    A permit that is requested now is still valid when the tasks may start:
    when the leases of their silent worker have ended, or when they are no
    longer held as suspects.
    """
    expected: dict[StepKey, ExpectedStart] = {}
    for worker in state.workers_by_id.values():
        lost_at_ms = worker.runs_lost_at_ms
        if lost_at_ms is None:
            continue
        for run in worker.runs:
            step = run.task.step
            if _starts_again(run) and _is_due(step, lost_at_ms, now_ms):
                start = expected.setdefault(
                    step.key, ExpectedStart(step, now_ms)
                )
                start.add_run(run, lost_at_ms)
    for step in state.waiting_steps.values():
        if not step.spec.is_long_running:
            continue
        held_until_ms = step.hold_until_ms if is_held(step, now_ms) else 0
        if not _is_due(step, held_until_ms, now_ms):
            expected.pop(step.key, None)
        elif step.key in expected or held_until_ms:
            start = expected.setdefault(step.key, ExpectedStart(step, now_ms))
            start.add_waiting(held_until_ms)
    return expected


def is_held(step: TrackedStep, now_ms: int) -> bool:
    """Return whether a long-running step is held as a suspect.

    Permits that it gets meanwhile may expire before it can start.
    """
    if not step.spec.is_long_running or now_ms >= step.hold_until_ms:
        return False
    return any(task.is_suspect for task in step.startable_tasks())


def in_order(
    ranked_steps: Iterable[TrackedStep],
    expected: Mapping[StepKey, ExpectedStart],
) -> list[TrackedStep]:
    """Return the steps with those that do not wait yet among those down.

    What was down longest comes first. Waiting steps that are not ranked are
    left out of the round.
    """
    ranked = list(ranked_steps)
    if not expected:
        return ranked
    coming = sorted(
        (start.down_since_ms, key)
        for key, start in expected.items()
        if not start.step.waiting_count
    )
    coming.reverse()
    ordered: list[TrackedStep] = []
    for step in ranked:
        while coming and not _is_down_before(step, coming[-1][0]):
            ordered.append(expected[coming.pop()[1]].step)
        ordered.append(step)
    ordered += [expected[key].step for _, key in reversed(coming)]
    return ordered


def _is_down_before(step: TrackedStep, since_ms: int) -> bool:
    return is_down(step) and step.down_since_ms() <= since_ms


def _starts_again(run: TrackedRun) -> bool:
    """Return whether the task of a run is started again if it is lost."""
    task = run.task
    return (
        task.step.spec.is_long_running
        and task.step.job.outcome is JobOutcome.OPEN
        and task.active_runs == [run]
    )


def _is_due(step: TrackedStep, start_ms: int, now_ms: int) -> bool:
    permit_timing = step.job.queue.permit_timing
    if permit_timing is None:
        return False
    valid_until_ms = now_ms + permit_timing.valid_ms
    return valid_until_ms >= needed_until_ms(start_ms)


def needed_until_ms(start_ms: int) -> int:
    """Return until when a ticket must be valid for a start at a time."""
    return start_ms + START_ALLOWANCE_MS + TICKET_MIN_REMAINING_MS
