"""Log lines about steps that may start but have no run."""

from __future__ import annotations

import heapq

from typing import TYPE_CHECKING
from typing import TypedDict

from magnoliapitch.control.step_gates import StepGates
from magnoliapitch.event import log_event


if TYPE_CHECKING:
    from magnoliapitch.control.permit_requester import PermitRequester
    from magnoliapitch.control.worker_roster import WorkerRoster
    from magnoliapitch.planner.plan import Plan
    from magnoliapitch.planner.planner import Planner
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.workload.job import StepKey


REPORT_INTERVAL_MS = 1_000
MIN_WAIT_MS = 1_000
# Bounds the duration of a round; the steps that waited longest come first.
MAX_REPORTED_STEPS = 8


class WaitingReport:
    """Logs about once a second which gates keep the steps without a run.

    A batch step waits while none of its tasks has a run, a long-running one
    while any of its tasks has none. Nothing is logged while no step waits for
    longer than ``MIN_WAIT_MS``.

    :param started_ms: when this leader began; it knows no earlier runs.
    """

    def __init__(
        self,
        state: SchedulerState,
        planner: Planner,
        roster: WorkerRoster,
        permit_requester: PermitRequester,
        started_ms: int,
    ) -> None:
        self._state = state
        self._permit_requester = permit_requester
        self._gates = StepGates(state, planner, roster, permit_requester)
        self._started_ms = started_ms
        self._logged_ms = started_ms
        self._since_ms_by_step: dict[StepKey, int] = {}

    def log_if_due(self, plan: Plan, max_starts: int, now_ms: int) -> None:
        """Log the steps that wait, if that was last done a second ago.

        :param plan: the newest round, before its starts are recorded.
        :param max_starts: number of starts that the round could plan.
        """
        if now_ms - self._logged_ms < REPORT_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        self._permit_requester.keep_waiting()
        self._update_waits(plan)
        overdue = [
            (since_ms, key)
            for key, since_ms in self._since_ms_by_step.items()
            if now_ms - since_ms > MIN_WAIT_MS
        ]
        for _, key in heapq.nsmallest(MAX_REPORTED_STEPS, overdue):
            step = self._state.waiting_steps[key]
            since_ms = self._since_ms_by_step[key] = self._since_ms(step)
            # Otherwise a run has come and gone between two looks.
            if now_ms - since_ms > MIN_WAIT_MS:
                log_event(
                    "step-waiting",
                    **_step_fields(step, now_ms - since_ms),
                    **self._gates.fields(step, plan, max_starts, now_ms),
                    steps_waiting=len(overdue),
                )

    def _update_waits(self, plan: Plan) -> None:
        """Note since when steps have been without a run, as of this look.

        Tasks are looked at only once for each wait.
        """
        started_keys = {start.task.step_key for start in plan.starts}
        former = self._since_ms_by_step
        self._since_ms_by_step = {
            key: former[key] if key in former else self._since_ms(step)
            for key, step in self._state.waiting_steps.items()
            if key not in started_keys and _may_lack_run(step)
        }

    def _since_ms(self, step: TrackedStep) -> int:
        """Return since when a step has been without a run for this leader."""
        ready_ms = self._started_ms if step.ready_ms is None else step.ready_ms
        return max(ready_ms, self._started_ms, _last_active_ms(step))


class _StepFields(TypedDict):
    job: str
    step: int
    queue: str
    waiting: int
    without_run_ms: int


def _step_fields(step: TrackedStep, without_run_ms: int) -> _StepFields:
    return {
        "job": step.key.job_id,
        "step": step.key.step,
        "queue": step.job.queue.name,
        "waiting": step.waiting_count,
        "without_run_ms": without_run_ms,
    }


def _may_lack_run(step: TrackedStep) -> bool:
    """Return whether a run is missing that the step needs to go on."""
    if step.spec.is_long_running:
        return True
    return step.waiting_count == step.unfinished_count


def _last_active_ms(step: TrackedStep) -> int:
    """Return when a run was last known to be active; 0 if none is known.

    Of a long-running step, of the task that has lacked one for longest.
    """
    if step.spec.is_long_running:
        waiting = step.startable_tasks()
        return min((task.last_active_ms for task in waiting), default=0)
    return max(task.last_active_ms for task in step.tasks)


__all__ = ["WaitingReport"]
