from __future__ import annotations

from magnoliapitch.planner import Planner
from magnoliapitch.planner import SchedulerState
from magnoliapitch.planner.reconfiguration import apply_configuration
from magnoliapitch.planner.workspace_shares import order_by_shares
from magnoliapitch.workload.configuration import Configuration
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.configuration import Workspace
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.planner.test_planner import make_state
from tests.planner.test_workspace_quotas import CORE
from tests.planner.test_workspace_quotas import start


WORKER_CORES = 8


def make_shared_state(
    worker_count: int = 4, **weight: float
) -> SchedulerState:
    state = make_state(worker_count)
    workspaces = {
        name: Workspace(name, weight=value) for name, value in weight.items()
    }
    apply_configuration(
        state, Configuration(1, {}, {}, workspaces_by_name=workspaces)
    )
    return state


def add_job(
    state: SchedulerState,
    name: str,
    step: StepSpec,
    priority: int = 0,
    service: str = "app",
) -> None:
    """Add a job of the workspace that its name begins with."""
    queue = Queue(f"q{priority}", "h", "/", service, priority, 3, 2.0, 500)
    job = JobSpec(name, queue.name, "", (step,), workspace=name[0])
    state.add_job(job, queue, 0)


def ordered_names(state: SchedulerState) -> list[str]:
    steps = list(state.waiting_steps.values())
    return [
        step.job.spec.job_id for step in order_by_shares(state, steps).steps
    ]


def started_names(state: SchedulerState, planner: Planner) -> list[str]:
    plan = start(state, planner)
    return [planned.task.job_id for planned in plan.starts]


def test_steps_beyond_a_share_come_last_whatever_their_priority() -> None:
    state = make_shared_state(1, a=1, b=1)
    for number in range(6):
        add_job(state, f"a{number}", StepSpec(1, CORE.times(2)))
    add_job(state, "b0", StepSpec(2, CORE.times(2)), priority=5)
    assert ordered_names(state) == ["a0", "a1", "b0", "a2", "a3", "a4", "a5"]
    waits = Planner().plan(state, 0, 0).workspace_waits
    assert waits.steps_beyond_share == {"a": 4}


def test_the_order_is_kept_if_the_demand_fits() -> None:
    state = make_shared_state(1, a=1, b=1)
    for number in range(3):
        add_job(state, f"a{number}", StepSpec(1, CORE.times(2)))
    add_job(state, "b0", StepSpec(1, CORE.times(2)), priority=5)
    assert ordered_names(state) == ["a0", "a1", "a2", "b0"]


def test_the_order_is_kept_without_workspaces() -> None:
    state = make_shared_state(1)
    for name in ("a0", "a1", "b0"):
        add_job(state, name, StepSpec(8, CORE))
    plan = Planner().plan(state, 0, 0)
    assert {planned.task.job_id for planned in plan.starts} == {"a0"}


def test_weights_divide_the_capacity() -> None:
    state = make_shared_state(2, a=3, b=1)
    for number in range(16):
        add_job(state, f"a{number}", StepSpec(1, CORE))
        add_job(state, f"b{number}", StepSpec(1, CORE))
    names = started_names(state, Planner())
    assert sum(name.startswith("a") for name in names) == 12


def test_unused_shares_go_to_others_at_once() -> None:
    state = make_shared_state(2, a=1, b=1, c=1)
    for number in range(40):
        add_job(state, f"a{number}", StepSpec(1, CORE))
    add_job(state, "b0", StepSpec(2, CORE), priority=1)
    names = started_names(state, Planner())
    assert len(names) == 2 * WORKER_CORES
    assert names.count("b0") == 2


def test_runs_of_a_less_urgent_priority_do_not_count() -> None:
    """A workspace's own batches do not delay its urgent work."""
    state = make_shared_state(2, a=1, b=1)
    planner = Planner()
    add_job(state, "a0", StepSpec(16, CORE), priority=2)
    assert len(started_names(state, planner)) == 16
    add_job(state, "a1", StepSpec(4, CORE))
    add_job(state, "b0", StepSpec(20, CORE), priority=1)
    assert ordered_names(state)[0] == "a1"
    add_job(state, "a2", StepSpec(1, CORE), priority=3)
    assert ordered_names(state)[-1] == "a2"


def test_a_service_that_lost_a_run_keeps_the_first_rank() -> None:
    state = make_shared_state(2, a=1, b=1)
    planner = Planner()
    add_job(state, "a0", StepSpec(16, CORE, is_long_running=True))
    start(state, planner)
    state.lose_runs("w0")
    add_job(state, "b0", StepSpec(8, CORE))
    add_job(state, "b1", StepSpec(8, CORE))
    assert set(started_names(state, planner)) == {"a0"}


def test_a_step_wider_than_its_share_does_not_starve() -> None:
    """A flood of more urgent work of another workspace takes the rest."""
    state = make_shared_state(2, a=1, b=1)
    for number in range(60):
        add_job(state, f"a{number}", StepSpec(1, CORE))
    add_job(state, "b0", StepSpec(30, CORE), priority=2)
    names = started_names(state, Planner())
    assert names.count("b0") == 8


def test_a_gang_wider_than_its_share_precedes_the_excess_of_others() -> None:
    state = make_shared_state(2, a=1, b=1)
    for number in range(60):
        add_job(state, f"a{number}", StepSpec(1, CORE))
    add_job(state, "b0", StepSpec(10, CORE, is_gang=True), priority=2)
    assert ordered_names(state)[8] == "b0"


def test_a_contended_service_does_not_reorder_another() -> None:
    state = make_shared_state(1, a=1, b=1)
    worker = state.workers_by_id["w0"]
    assert worker.info is not None
    other = worker.info._replace(worker_id="other", service="other")
    state.update_worker(other).is_usable = True
    for number in range(10):
        add_job(state, f"a{number}", StepSpec(1, CORE))
    add_job(state, "a-other", StepSpec(6, CORE), service="other")
    add_job(state, "b-other", StepSpec(2, CORE), service="other")
    add_job(state, "b0", StepSpec(4, CORE))
    names = ordered_names(state)
    assert names.index("a-other") < names.index("b-other")
    assert names[-1] == "a9"


def test_workspaces_that_are_not_configured_have_weight_1() -> None:
    state = make_shared_state(1, a=1)
    for number in range(8):
        add_job(state, f"a{number}", StepSpec(1, CORE))
        add_job(state, f"z{number}", StepSpec(1, CORE))
    names = started_names(state, Planner())
    assert sum(name.startswith("z") for name in names) == 4
