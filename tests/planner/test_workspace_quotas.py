from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.planner import Planner
from magnoliapitch.planner import SchedulerState
from magnoliapitch.planner.plan import IdleCalls
from magnoliapitch.planner.reconfiguration import apply_configuration
from magnoliapitch.planner.worker_loss import move_runs
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import Configuration
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.configuration import Workspace
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import Permit
from tests.planner.test_planner import PERMIT_TIMING
from tests.planner.test_planner import make_state


if TYPE_CHECKING:
    from magnoliapitch.planner.plan import Plan


CORE = Resources(1_000, 1_000)


def configure(state: SchedulerState, **quota_cores: int) -> None:
    """Give workspaces quotas, in cores; 0 for none."""
    workspaces = {
        name: Workspace(name, quota=Resources(cores * 1_000))
        for name, cores in quota_cores.items()
    }
    apply_configuration(
        state, Configuration(1, {}, {}, workspaces_by_name=workspaces)
    )


def add_job(
    state: SchedulerState,
    name: str,
    workspace: str,
    step: StepSpec,
    permit_timing: PermitTiming | None = None,
    priority: int = 0,
) -> StepKey:
    queue = Queue(
        "q", "h", "/", "app", priority, 3, 2.0, 500, 3_000, permit_timing
    )
    job = JobSpec(name, "q", "", (step,), workspace=workspace)
    state.add_job(job, queue, 0)
    return StepKey(name, 0, 0)


def start(state: SchedulerState, planner: Planner, now_ms: int = 0) -> Plan:
    """Plan a round and add its starts, as the controller does."""
    plan = planner.plan(state, now_ms, now_ms)
    for planned in plan.starts:
        state.add_ordered_run(
            planned.task, planned.run, planned.worker_id, now_ms
        )
    return plan


def end(state: SchedulerState, key: StepKey, count: int) -> None:
    step = state.step(key)
    assert step is not None
    for run in step.all_active_runs()[:count]:
        run.task.is_done = True
        state.remove_run(run)


def test_a_step_wider_than_its_quota_runs_in_waves() -> None:
    state = make_state()
    configure(state, a=6)
    key = add_job(state, "wide", "a", StepSpec(20, CORE))
    planner = Planner()
    waves = []
    for _ in range(4):
        waves.append(len(start(state, planner).starts))
        assert not start(state, planner).starts
        end(state, key, 6)
    assert waves == [6, 6, 6, 2]


def test_a_workspace_at_its_quota_does_not_delay_another() -> None:
    """Its steps rank first and are more than one round examines."""
    state = make_state()
    configure(state, a=1, b=0)
    for number in range(400):
        add_job(state, f"a{number}", "a", StepSpec(1, CORE))
    add_job(state, "late", "b", StepSpec(1, CORE), priority=1)
    plan = start(state, Planner())
    assert [start.task.job_id for start in plan.starts] == ["a0", "late"]
    plan = start(state, Planner())
    assert plan.unexamined_steps == 0
    assert plan.workspace_waits.held_steps == {"a": 399}
    assert plan.workspace_waits.held_tasks == {"a": 399}


def test_a_workspace_at_its_quota_holds_no_permit_call() -> None:
    state = make_state()
    configure(state, a=2, b=0)
    add_job(state, "running", "a", StepSpec(2, CORE))
    planner = Planner()
    assert len(start(state, planner).starts) == 2
    for number in range(8):
        step = StepSpec(2, CORE, is_gang=number % 2 == 0)
        add_job(state, f"a{number}", "a", step, PERMIT_TIMING)
    key = add_job(state, "other", "b", StepSpec(1, CORE), PERMIT_TIMING)
    plan = planner.plan(state, 0, 0, idle_calls=IdleCalls(1, 1))
    assert [request.step for request in plan.permit_requests] == [key]


def test_permits_are_requested_for_few_more_tasks_than_the_quota_allows() -> (
    None
):
    """Otherwise a workspace with a backlog uses up the advisor channels."""
    state = make_state()
    configure(state, a=2)
    for number in range(60):
        add_job(state, f"a{number}", "a", StepSpec(1, CORE), PERMIT_TIMING)
    plan = Planner().plan(state, 0, 0)
    assert 2 <= len(plan.permit_requests) <= 10


def test_a_gang_that_waits_for_its_quota_reserves_no_capacity() -> None:
    state = make_state(1)
    configure(state, a=6, b=0)
    add_job(state, "busy", "a", StepSpec(4, CORE))
    planner = Planner()
    start(state, planner)
    add_job(state, "gang", "a", StepSpec(6, CORE, is_gang=True))
    key = add_job(state, "other", "b", StepSpec(4, CORE), priority=1)
    plan = start(state, planner)
    assert [planned.task.step_key for planned in plan.starts] == [key] * 4


def test_starts_of_one_round_share_the_quota() -> None:
    state = make_state()
    configure(state, a=5)
    for number in range(4):
        add_job(state, f"a{number}", "a", StepSpec(2, CORE))
    assert len(start(state, Planner()).starts) == 5


def test_permits_do_not_let_a_step_exceed_its_quota() -> None:
    state = make_state()
    configure(state, a=3)
    key = add_job(state, "wide", "a", StepSpec(8, CORE), PERMIT_TIMING)
    permits = [Permit(name, "t") for name in state.workers_by_id]
    state.record_permits(key, state.workers_by_id, permits, 2_500)
    assert len(start(state, Planner()).starts) == 3


def test_a_lowered_quota_stops_no_run_and_starts_none() -> None:
    state = make_state()
    configure(state, a=8)
    key = add_job(state, "wide", "a", StepSpec(20, CORE))
    planner = Planner()
    assert len(start(state, planner).starts) == 8
    configure(state, a=4)
    end(state, key, 3)
    plan = start(state, planner)
    assert (plan.starts, plan.stops) == ((), ())
    end(state, key, 3)
    assert len(start(state, planner).starts) == 2
    configure(state)
    assert len(start(state, planner).starts) == 10


def test_usage_counts_every_way_in_which_runs_come_and_go() -> None:
    state = make_state()
    configure(state, a=0)
    usage = state.workspace_usage
    add_job(state, "job", "a", StepSpec(4, CORE))
    (step,) = state.jobs_by_id["job"].all_steps()
    start(state, Planner())
    assert usage.total("a") == CORE.times(4)
    state.stop_step(step)
    assert usage.total("a") == CORE.times(4)
    for run in step.all_active_runs():
        run.order_sent_ms = 0
    (former_id,) = {run.worker_id for run in step.all_active_runs()}
    move_runs(state, former_id, "next")
    assert len(state.workers_by_id["next"].runs) == 4
    assert usage.total("a") == CORE.times(4)
    state.stop_unexpected_run(TaskKey("job", 0, 0, 0), 1, "w3", 0)
    assert usage.total("a") == CORE.times(5)
    for worker_id in list(state.workers_by_id):
        state.remove_worker(worker_id)
    assert usage.total("a") == NO_RESOURCES
    assert list(usage.items()) == []


def test_usage_of_stored_runs_counts_under_a_new_leader() -> None:
    state = make_state()
    configure(state, a=4)
    add_job(state, "job", "a", StepSpec(9, CORE))
    start(state, Planner())
    job = state.jobs_by_id["job"]
    restored = make_state()
    configure(restored, a=4)
    restored.add_job(job.spec, job.queue, 0, state.progress("job"))
    assert restored.workspace_usage.total("a") == CORE.times(4)
    assert not start(restored, Planner()).starts


def test_usage_follows_a_changed_priority() -> None:
    state = make_state()
    configure(state, a=0)
    key = add_job(state, "job", "a", StepSpec(2, CORE))
    start(state, Planner())
    queue = state.jobs_by_id["job"].queue._replace(priority=7)
    apply_configuration(state, Configuration(2, {"q": queue}, {}))
    ((usage_key, amount),) = state.workspace_usage.items()
    assert (usage_key.priority, amount) == (7, CORE.times(2))
    end(state, key, 2)
    assert list(state.workspace_usage.items()) == []


def test_a_step_wider_than_its_quota_leaves_permits_to_others() -> None:
    """Tasks that the quota keeps waiting do not count as awaiting permits."""
    state = make_state()
    configure(state, a=2, b=0)
    add_job(state, "a-wide", "a", StepSpec(500, CORE), PERMIT_TIMING)
    key = add_job(state, "other", "b", StepSpec(1, CORE), PERMIT_TIMING)
    idle_calls = IdleCalls(8, 8)
    plan = Planner().plan(state, 0, 0, idle_calls, max_starts=5)
    assert key in [request.step for request in plan.permit_requests]


def test_a_suspect_that_waits_for_its_quota_keeps_no_worker_free() -> None:
    state = make_state(1)
    configure(state, a=0, b=0)
    planner = Planner()
    add_job(state, "a-busy", "a", StepSpec(1, CORE))
    add_job(state, "b-busy", "b", StepSpec(5, CORE))
    start(state, planner)
    suspect_key = add_job(state, "suspect", "a", StepSpec(1, CORE))
    suspect = state.task(suspect_key.task(0))
    assert suspect is not None
    suspect.worker_crashes = 2
    state.add_suspect(suspect)
    assert not start(state, planner).starts
    add_job(state, "b-waiting", "b", StepSpec(1, CORE))
    assert not start(state, planner).starts
    configure(state, a=1, b=0)
    plan = start(state, planner)
    assert [planned.task.job_id for planned in plan.starts] == ["b-waiting"]
