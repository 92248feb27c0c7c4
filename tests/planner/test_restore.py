from __future__ import annotations

from magnoliapitch.planner import SchedulerState
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.progress import JobProgress
from magnoliapitch.workload.progress import TaskProgress


QUEUE = Queue("q", "h", "/", "app")


# Two submissions with one id and different steps were stored, and the first
# one had begun: every new leader failed with an IndexError.
def test_progress_of_a_task_that_the_job_does_not_have_is_left_out() -> None:
    state = SchedulerState()
    progress = JobProgress(
        "j",
        JobOutcome.OPEN,
        {
            TaskKey("j", 0, 0, position): TaskProgress(1, is_done=True)
            for position in (0, 2)
        },
    )
    spec = JobSpec("j", "q", "", (StepSpec(2),))
    job = state.add_job(spec, QUEUE, 0, progress)
    assert [task.is_done for task in job.all_steps()[0].tasks] == [True, False]
    assert job.outcome is JobOutcome.OPEN
