"""Summary of the planning rounds, for the log."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.control.workspace_report import WorkspaceReport
from magnoliapitch.event import log_event


if TYPE_CHECKING:
    from collections.abc import Mapping

    from magnoliapitch.metric import Metrics
    from magnoliapitch.planner.plan import IdleCalls
    from magnoliapitch.planner.plan import Plan
    from magnoliapitch.planner.plan import PlannedStart
    from magnoliapitch.planner.scheduler_state import SchedulerState
    from magnoliapitch.planner.tracked import TrackedStep


SUMMARY_INTERVAL_MS = 1_000


class PlanningSummary:
    """Counts what the planning rounds did and logs it about once a second.

    Together the fields tell why tasks wait: for capacity, for permits, for
    orders that may be sent, or because no round came to them.
    """

    def __init__(
        self,
        state: SchedulerState,
        started_ms: int,
        metrics: Metrics | None = None,
    ) -> None:
        self._state = state
        self._workspace_report = WorkspaceReport(state, metrics)
        self._logged_ms = started_ms
        self._reset()

    def _reset(self) -> None:
        self._round_count = 0
        self._cut_short_count = 0
        self._max_unexamined_steps = 0
        self._start_count = 0
        self._permit_request_count = 0
        self._no_order_count = 0
        self._no_call_count = 0
        self._max_kept_apart = 0
        self._start_count_by_queue: Counter[str] = Counter()

    def record(
        self,
        plan: Plan,
        idle_calls: IdleCalls,
        max_starts: int,
        now_ms: int,
    ) -> None:
        """Count a round, and log the rounds since the last line.

        :param idle_calls: advisor calls that the round could plan.
        :param max_starts: number of starts that the round could plan.
        """
        self._round_count += 1
        self._workspace_report.record(plan.workspace_waits)
        self._cut_short_count += plan.unexamined_steps > 0
        self._max_unexamined_steps = max(
            self._max_unexamined_steps, plan.unexamined_steps
        )
        self._start_count += len(plan.starts)
        self._permit_request_count += len(plan.permit_requests)
        for start in plan.starts:
            self._count_start(start)
        self._max_kept_apart = max(
            self._max_kept_apart, plan.workers_kept_apart
        )
        self._no_order_count += max_starts <= len(plan.starts)
        self._no_call_count += idle_calls.total <= len(plan.permit_requests)
        if now_ms - self._logged_ms >= SUMMARY_INTERVAL_MS:
            self._log(idle_calls, max_starts, now_ms)

    def _count_start(self, start: PlannedStart) -> None:
        step = self._state.step(start.task.step_key)
        if step is not None:
            self._start_count_by_queue[step.job.queue.name] += 1

    def _log(
        self, idle_calls: IdleCalls, max_starts: int, now_ms: int
    ) -> None:
        usable = [
            worker
            for worker in self._state.workers_by_id.values()
            if worker.takes_new_runs
        ]
        log_event(
            "planning-summary",
            elapsed_ms=now_ms - self._logged_ms,
            rounds=self._round_count,
            cut_short=self._cut_short_count,
            unexamined_steps=self._max_unexamined_steps,
            starts=self._start_count,
            permit_requests=self._permit_request_count,
            rounds_without_orders=self._no_order_count,
            rounds_without_calls=self._no_call_count,
            orders_available=max_starts,
            calls_available=idle_calls.total,
            long_calls_available=idle_calls.long,
            starts_by_queue=_pairs(self._start_count_by_queue),
            waiting=self._describe_waiting(now_ms),
            steps_behind=self._state.steps_behind,
            workers=len(self._state.workers_by_id),
            usable_workers=len(usable),
            workers_kept_apart=self._max_kept_apart,
            free_cpu_millis=sum(worker.free.cpu_millis for worker in usable),
            runs_to_stop=len(self._state.runs_to_stop),
        )
        self._workspace_report.log()
        self._logged_ms = now_ms
        self._reset()

    def _describe_waiting(self, now_ms: int) -> str:
        """Return what rounds consider by queue, as text.

        Steps, tasks, open permit calls, steps that have a valid ticket, and
        steps that are placed last since they exceed their workspace's share.
        """
        waiting_by_queue: dict[str, _Waiting] = {}
        for step in self._state.waiting_steps.values():
            queue = step.job.queue.name
            waiting = waiting_by_queue.get(queue, _Waiting())
            waiting_by_queue[queue] = waiting.plus(step, now_ms)
        return ",".join(
            ":".join((queue, *map(str, waiting_by_queue[queue])))
            for queue in sorted(waiting_by_queue)
        )


class _Waiting(NamedTuple):
    """What waits of one queue."""

    steps: int = 0
    tasks: int = 0
    calls: int = 0
    permitted: int = 0
    beyond_share: int = 0

    def plus(self, step: TrackedStep, now_ms: int) -> _Waiting:
        """Return the sum with one more step."""
        return _Waiting(
            self.steps + 1,
            self.tasks + step.waiting_count,
            self.calls + step.has_call_in_flight,
            self.permitted + step.has_valid_ticket(now_ms),
            self.beyond_share + step.is_beyond_share,
        )


def _pairs(count_by_key: Mapping[str, int]) -> str:
    """Return each key with its count, as text."""
    return ",".join(
        f"{key}:{count_by_key[key]}" for key in sorted(count_by_key)
    )
