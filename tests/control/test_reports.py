from __future__ import annotations

import pytest

from magnoliapitch.control.end_acknowledger import EndAcknowledger
from magnoliapitch.control.reports import ReportApplier
from magnoliapitch.metric import Metrics
from magnoliapitch.planner.planner import Planner
from magnoliapitch.planner.scheduler_state import SchedulerState
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import WorkerReport
from tests.control.simulation import queue


TASK = TaskKey("a", 0, 0, 0)
STOPPED_MS = 500


# A report that may have been made before the worker carried out the stop freed
# the capacity of a run that could still begin before that.
@pytest.mark.parametrize(
    ("sent_ms", "is_active"),
    [(STOPPED_MS, True), (STOPPED_MS + 1, False)],
)
def test_only_a_report_sent_after_the_stop_shows_that_a_run_is_absent(
    sent_ms: int, *, is_active: bool
) -> None:
    state = SchedulerState()
    step = StepSpec(1, Resources(2_000, 4_000))
    state.add_job(JobSpec("a", "q", "text", (step,)), queue("q"), 0)
    run = state.add_ordered_run(TASK, 1, "w", 0)
    run.stopped_ms = STOPPED_MS
    applier = ReportApplier(
        state, Planner(), EndAcknowledger(lambda *_: None), Metrics()
    )
    applier.apply("w", WorkerReport(0, (), ()), sent_ms, sent_ms)
    assert (state.run(TASK, 1, "w") is not None) is is_active
