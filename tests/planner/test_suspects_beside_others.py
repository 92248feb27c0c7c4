"""What suspects that last leave of the workers to other jobs."""

from __future__ import annotations

import pytest

from magnoliapitch.planner import Planner
from magnoliapitch.planner import SchedulerState
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import Permit
from tests.planner.test_planner import PERMIT_TIMING
from tests.planner.test_planner import SIZE
from tests.planner.test_planner import add_job
from tests.planner.test_planner import make_state


WORKER_COUNT = 24
SERVICE = StepSpec(19, SIZE, max_per_worker=1, is_long_running=True)
# The advisor permits a third of the workers for the other job.
GOOD_IDS = frozenset(f"w{number}" for number in range(8))
# Rule LOST: no job stands for longer beside free workers that it may use.
MAX_STANDSTILL_MS = 3_000


def state_with_service(lost_workers: int) -> SchedulerState:
    """Return workers, most of which run one task of a service.

    :param lost_workers: workers that were lost with each of the tasks before.
    """
    state = make_state(WORKER_COUNT)
    add_job(state, SERVICE, name="service")
    for position in range(SERVICE.task_count):
        key = TaskKey("service", 0, 0, position)
        run = state.add_ordered_run(key, 1, f"w{position}", 0)
        state.confirm_run(run, 0)
        run.task.worker_losses = lost_workers
        if run.task.is_suspect:
            state.add_suspect(run.task)
    return state


# A worker with a run of a suspect was kept for its job, however many these
# were and however little they used. Other jobs asked the advisor about the few
# workers that were left, and stood for as long as the service lasted.
@pytest.mark.parametrize("lost_workers", [1, 2])
def test_no_job_stands_beside_a_service_of_suspects(lost_workers: int) -> None:
    state = state_with_service(lost_workers)
    add_job(state, StepSpec(2, SIZE), name="b", permit_timing=PERMIT_TIMING)
    planner = Planner()
    for now_ms in range(0, MAX_STANDSTILL_MS, 100):
        plan = planner.plan(state, now_ms, now_ms)
        if plan.starts:
            return
        for request in plan.permit_requests:
            permits = [
                Permit(worker_id, "t")
                for worker_id in request.worker_ids
                if worker_id in GOOD_IDS
            ]
            state.record_permits(
                request.step,
                request.worker_ids,
                permits,
                now_ms + PERMIT_TIMING.valid_ms,
            )
    used = sum(len(worker.runs) for worker in state.workers_by_id.values())
    pytest.fail(
        f"no start in 3 s beside {used} runs on {WORKER_COUNT} workers"
    )
