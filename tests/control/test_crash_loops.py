"""Services that end right after each start, beside other work."""

from __future__ import annotations

from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers
from tests.control.test_lost_leaders import SIZE


SLOW_CALL = PermitTiming(590, 0.5, 2_500)
LOOP_COUNT = 24
BATCH_COUNT = 60


def _fails(task: TaskKey, worker_id: str = "") -> bool:
    return task.job_id.startswith("loop")


# Services that fail by their own fault count as down for good. Permits for
# them took all calls but one, where another queue had half of them before.
def test_services_in_a_crash_loop_leave_other_queues_their_calls() -> None:
    simulation = Simulation(
        [
            queue("services", permit_timing=SLOW_CALL),
            queue("batches", permit_timing=SLOW_CALL),
        ],
        workers(40, SIZE.times(8)),
    )
    simulation.permitted_share = 0.3
    simulation.run_fails = _fails
    simulation.actual_duration_ms = lambda task: (
        100.0 if _fails(task) else 1_000.0
    )
    step = StepSpec(1, SIZE, is_long_running=True)
    for number in range(LOOP_COUNT):
        job_id = f"loop{number}"
        simulation.submit(JobSpec(job_id, "services", "text", (step,)))
    simulation.run(8_000)
    for number in range(BATCH_COUNT):
        job_id = f"batch{number}"
        simulation.submit(
            JobSpec(job_id, "batches", "text", (StepSpec(1, SIZE),))
        )
    simulation.run(25_000)
    started = sum(
        task.job_id.startswith("batch") for task in simulation.starts
    )
    assert started == BATCH_COUNT
