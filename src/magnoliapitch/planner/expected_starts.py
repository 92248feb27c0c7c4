"""Tasks of long-running steps that will have to start again soon."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.planner.permit_calls import TICKET_MIN_REMAINING_MS
from magnoliapitch.planner.ranking import is_down
from magnoliapitch.planner.tracked import TrackedRun
from magnoliapitch.planner.tracked_task import MIN_SUSPECT_LOSSES
from magnoliapitch.workload.progress import JobOutcome


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.tracked_task import TrackedTask
    from magnoliapitch.workload.job import StepKey


# From when a task may start until its start is planned: the checks of leases,
# and rounds that cannot send it at once.
START_ALLOWANCE_MS = 300
# A call for advice, a stop and its report, before the tasks may start.
ROOM_AHEAD_MS = 1_500


class ExpectedStart:
    """Tasks of one step that are expected to need a start.

    :ivar task_count: number of these tasks.
    :ivar coming_count: number of those that may not start as yet.
    :ivar start_ms: from when the last of them may start.
    :ivar down_since_ms: since when the first of them has no run, as far as
        that is known.
    :ivar may_be_suspect: whether one will probably be placed apart from other
        jobs.
    """

    __slots__ = (
        "coming_count",
        "down_since_ms",
        "may_be_suspect",
        "start_ms",
        "step",
        "task_count",
    )

    def __init__(self, step: TrackedStep, now_ms: int) -> None:
        self.step = step
        self.task_count = 0
        self.coming_count = 0
        self.start_ms = 0
        self.down_since_ms = now_ms
        self.may_be_suspect = False

    def add(
        self, task: TrackedTask, start_ms: int, down_since_ms: int
    ) -> None:
        """Add a task, with its whole gang.

        :param start_ms: from when the task may start; 0 if it may now.
        :param down_since_ms: since when it has no run.
        """
        step = self.step
        count = len(step.tasks) if step.spec.is_gang else 1
        self.task_count = min(self.task_count + count, len(step.tasks))
        self.coming_count += count if start_ms else 0
        self.start_ms = max(self.start_ms, start_ms)
        self.down_since_ms = min(self.down_since_ms, down_since_ms)
        # The loss of an active run counts once more.
        losses = task.lost_worker_count + len(task.active_runs)
        if losses >= MIN_SUSPECT_LOSSES:
            self.may_be_suspect = True


class LostRun(NamedTuple):
    """A run on a silent worker, whose task is to start again.

    :param lost_at_ms: when the run is given up.
    """

    run: TrackedRun
    lost_at_ms: int


def lost_service_runs(state: SchedulerState) -> list[LostRun]:
    """Return the runs of services on workers that do not answer."""
    return [
        LostRun(run, worker.runs_lost_at_ms)
        for worker in state.workers_by_id.values()
        if worker.runs_lost_at_ms is not None
        for run in worker.runs
        if _starts_again(run)
    ]


def expected_starts(
    state: SchedulerState, lost_runs: Iterable[LostRun], now_ms: int
) -> dict[StepKey, ExpectedStart]:
    """Return the starts that are prepared now, by step.

    A permit that is requested now is still valid when the tasks may start:
    when the leases of their silent worker have ended, or when they are no
    longer held as suspects. Tasks that need no permit are prepared for later,
    since only room is made for them.
    """
    expected: dict[StepKey, ExpectedStart] = {}

    def add(task: TrackedTask, start_ms: int, down_since_ms: int) -> None:
        if _is_due(task.step, start_ms, now_ms):
            start = _start_of(task.step, expected, now_ms)
            start.add(task, start_ms, down_since_ms)

    for run, lost_at_ms in lost_runs:
        add(run.task, lost_at_ms, run.last_active_ms)
    for task in state.suspects_by_key.values():
        until_ms = hold_until_ms(task)
        if _waits_as_service(task) and now_ms < until_ms:
            add(task, until_ms, task.last_active_ms)
    for step in [start.step for start in expected.values()]:
        for task in step.startable_tasks():
            if now_ms >= hold_until_ms(task):
                add(task, 0, task.last_active_ms)
    return expected


def restarts(
    state: SchedulerState, lost_runs: Iterable[LostRun], now_ms: int
) -> dict[StepKey, ExpectedStart]:
    """Return all starts of services that are down, or are about to be."""
    found: dict[StepKey, ExpectedStart] = {}

    def add(task: TrackedTask, start_ms: int, down_since_ms: int) -> None:
        start = _start_of(task.step, found, now_ms)
        start.add(task, start_ms, down_since_ms)

    for run, lost_at_ms in lost_runs:
        add(run.task, lost_at_ms, run.last_active_ms)
    for step in state.waiting_steps.values():
        if step.spec.is_long_running:
            for task in step.startable_tasks():
                if task.runs:
                    add(task, 0, task.last_active_ms)
    return found


def is_held(step: TrackedStep, now_ms: int) -> bool:
    """Return whether no task of a long-running step may start as yet.

    Permits that a held suspect gets may expire before it can start.
    """
    if not step.spec.is_long_running:
        return False
    held = (now_ms < hold_until_ms(task) for task in step.startable_tasks())
    return any(held) if step.spec.is_gang else all(held)


def hold_until_ms(task: TrackedTask) -> int:
    """Return until when a task is held as a suspect; 0 if it is not."""
    return task.hold_until_ms if task.is_suspect else 0


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


def _start_of(
    step: TrackedStep, starts: dict[StepKey, ExpectedStart], now_ms: int
) -> ExpectedStart:
    """Return the start of a step, which is added if there is none yet."""
    return starts.setdefault(step.key, ExpectedStart(step, now_ms))


def _waits_as_service(task: TrackedTask) -> bool:
    step = task.step
    return (
        step.spec.is_long_running
        and task.is_waiting
        and step.job.outcome is JobOutcome.OPEN
    )


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
        return now_ms >= start_ms - ROOM_AHEAD_MS
    valid_until_ms = now_ms + permit_timing.valid_ms
    return valid_until_ms >= needed_until_ms(start_ms)


def needed_until_ms(start_ms: int) -> int:
    """Return until when a ticket must be valid for a start at a time."""
    return start_ms + START_ALLOWANCE_MS + TICKET_MIN_REMAINING_MS
