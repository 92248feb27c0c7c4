"""The bound of a wait must never exceed the wait of a job that has room."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import Any

import pytest

from magnoliapitch.planner import Planner
from magnoliapitch.planner import PlanningOptions
from magnoliapitch.planner import SchedulerState
from magnoliapitch.planner.capacity_memory import RETENTION_MS
from magnoliapitch.planner.load import WARM_UP_MS
from magnoliapitch.planner.load import LoadEstimator
from magnoliapitch.planner.tracked_task import MIN_SUSPECT_LOSSES
from magnoliapitch.planner.wait_bound import Work
from magnoliapitch.planner.wait_bound import wait_bound_ms
from magnoliapitch.planner.waiting_steps import MAX_CONSIDERED_STEPS
from magnoliapitch.planner.worker_loss import LostRun
from magnoliapitch.planner.worker_loss import count_loss
from magnoliapitch.planner.worker_loss import hold_suspects
from magnoliapitch.planner.workspace_round import WorkspaceRound
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import PermitTiming
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.configuration import Workspace
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.worker import WorkerInfo


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.planner.tracked import TrackedStep


WORKER_COUNT = 4
CAPACITY = Resources(16_000, 64_000)
TASK = Resources(4_000, 8_000)
TASK_MS = 2_000
URGENT = Queue("urgent", "h", "/u/", "app", 0, 3, 1.5, 250)
NORMAL = Queue("normal", "h", "/n/", "app", 1, 3, 1.5, 250)
PERMITS = PermitTiming(5, 1, 2_500)
NOW_MS = 100_000
# 160 tasks of 4 cores and 2 s on 64 cores, less the last 16 of them, which
# run at once; durations count half.
BACKLOG_TASKS = 160
BACKLOG_WAIT_MS = (BACKLOG_TASKS - 16) * 4 * TASK_MS // 2 // 64


class Cluster:
    """A full cluster with a backlog of an urgent queue.

    :ivar now_ms: current time.
    """

    def __init__(self, options: PlanningOptions | None = None) -> None:
        self.now_ms = NOW_MS
        self.state = SchedulerState()
        self.planner = Planner(options or PlanningOptions())
        self.estimator = LoadEstimator(self.state, self.planner)
        self._job_count = 0
        for number in range(WORKER_COUNT):
            self.add_worker(f"w{number}")
        self.estimator.figures(1, 1, NOW_MS - WARM_UP_MS)

    def add_worker(self, name: str, **fields: object) -> None:
        info = WorkerInfo(name, "app", f"{name}:1", "z", capacity=CAPACITY)
        info = info._replace(**fields)  # type: ignore[arg-type]
        self.state.update_worker(info).is_usable = True

    def add(
        self,
        queue: Queue,
        count: int = 1,
        workspace: str = "",
        **fields: Any,
    ) -> TrackedStep:
        self._job_count += 1
        step = StepSpec(count, TASK, TASK_MS)._replace(**fields)
        spec = JobSpec(f"j{self._job_count}", queue.name, "", (step,))
        job = self.state.add_job(
            spec._replace(workspace=workspace), queue, self.now_ms
        )
        return job.steps[0][0]

    def add_backlog(self, **fields: Any) -> TrackedStep:
        """Add a job that waits, and the urgent work that it waits behind."""
        self.add(NORMAL)
        return self.add(URGENT, BACKLOG_TASKS, **fields)

    def wait_ms(
        self,
        queue: Queue = NORMAL,
        workspace: str = "",
        size: Resources = TASK,
    ) -> int:
        figures = self.estimator.figures(1, 2, self.now_ms)
        load = figures.queues_by_name.get(queue.name)
        return 0 if load is None else load.wait_ms(workspace, size)


def test_a_job_waits_for_the_work_of_more_urgent_queues() -> None:
    cluster = Cluster()
    cluster.add_backlog()
    assert cluster.wait_ms() == BACKLOG_WAIT_MS


# Rounds consider a limited number of steps, and jobs would have been admitted
# as if no others waited.
def test_steps_that_rounds_leave_out_delay_a_job_too() -> None:
    cluster = Cluster()
    cluster.add(NORMAL)
    waits_ms = []
    for _ in range(2):
        for _ in range(MAX_CONSIDERED_STEPS):
            cluster.add(URGENT)
        waits_ms.append(cluster.wait_ms())
    assert cluster.state.steps_behind >= MAX_CONSIDERED_STEPS
    assert waits_ms[1] > 1.9 * waits_ms[0]


def test_a_job_of_a_more_urgent_queue_passes_those_that_wait() -> None:
    cluster = Cluster()
    cluster.add(NORMAL, BACKLOG_TASKS)
    cluster.add(URGENT)
    assert cluster.wait_ms(URGENT) == 0


def test_a_new_job_passes_late_jobs_of_its_own_queue() -> None:
    """The ranking places them behind, so they are no reason to reject."""
    cluster = Cluster()
    cluster.add(NORMAL, BACKLOG_TASKS)
    cluster.now_ms += 6_000
    assert cluster.wait_ms() == 0


def test_only_work_that_fits_wherever_a_task_fits_delays_it() -> None:
    """A smaller task starts in gaps that the others cannot use."""
    cluster = Cluster()
    cluster.add_backlog()
    cluster.add(URGENT, BACKLOG_TASKS, resources=TASK.times(2))
    assert cluster.wait_ms(size=TASK.times(2)) > BACKLOG_WAIT_MS
    assert cluster.wait_ms() == BACKLOG_WAIT_MS
    less_cpu = TASK._replace(cpu_millis=TASK.cpu_millis - 1)
    assert cluster.wait_ms(size=less_cpu) == 0


def test_memory_counts_only_where_it_may_be_scarce() -> None:
    """Gaps without memory would be left to tasks that need less of it."""
    no_memory = TASK._replace(memory_mb=0)
    cluster = Cluster()
    cluster.add_backlog()
    assert cluster.wait_ms(size=no_memory) == BACKLOG_WAIT_MS
    cluster.state.workers_by_id["w0"].free = Resources(8_000, 16_000)
    assert cluster.wait_ms(size=no_memory) == 0
    cluster = Cluster()
    cluster.add_backlog(resources=Resources(4_000, 16_001))
    assert cluster.wait_ms(size=no_memory) == 0


def test_work_that_runs_at_once_delays_nobody() -> None:
    cluster = Cluster()
    cluster.add_backlog(task_count=16)
    assert cluster.wait_ms() == 0


def test_one_step_with_a_mistaken_estimate_delays_nobody() -> None:
    """An estimate of an hour would otherwise reject the jobs of others."""
    cluster = Cluster()
    cluster.add_backlog(task_count=16, estimate_ms=3_600_000)
    assert cluster.wait_ms() == 0


def test_durations_count_only_in_part_since_they_are_noisy() -> None:
    cluster = Cluster()
    cluster.add_backlog()
    full_ms = BACKLOG_TASKS * 4 * TASK_MS / 64
    assert cluster.wait_ms() <= full_ms / 2


@pytest.mark.parametrize(
    "fields",
    [
        {"label": "gpu"},
        {"max_per_worker": 1},
        {"is_gang": True},
        {"is_long_running": True},
        {"uses_leftover": True},
        {"resources": Resources(17_000, 1_000)},
    ],
    ids=lambda fields: next(iter(fields)),
)
def test_work_that_others_may_pass_does_not_count(
    fields: dict[str, object],
) -> None:
    cluster = Cluster()
    cluster.add_backlog(**fields)
    assert cluster.wait_ms() == 0


def test_tasks_that_wait_for_permits_are_not_queued_for_capacity() -> None:
    cluster = Cluster()
    cluster.add(NORMAL)
    queue = URGENT._replace(permit_timing=PERMITS)
    step = cluster.add(queue, BACKLOG_TASKS)
    assert cluster.wait_ms() == 0
    step.permitted_worker_ids.update(("w0", "w1", "w2"))
    assert cluster.wait_ms() == 0
    step.permitted_worker_ids.add("w3")
    assert cluster.wait_ms() == BACKLOG_WAIT_MS


def test_tasks_that_wait_for_word_of_a_worker_do_not_count() -> None:
    cluster = Cluster()
    step = cluster.add_backlog()
    lost = [LostRun(step.tasks[0], 1, has_begun=True, is_alone=True)]
    for _ in range(MIN_SUSPECT_LOSSES):
        count_loss(cluster.state, lost)
    hold_suspects(lost, NOW_MS + 1)
    assert step.tasks[0].is_held(NOW_MS)
    assert cluster.wait_ms() == 0


def test_suspects_wait_for_a_worker_of_their_own() -> None:
    cluster = Cluster()
    step = cluster.add_backlog()
    cluster.state.add_suspect(step.tasks[0])
    assert cluster.wait_ms() == 0


def _drain(cluster: Cluster) -> None:
    for number in range(2):
        cluster.add_worker(f"w{number}", is_draining=True)


def _shrink(cluster: Cluster) -> None:
    for number in range(WORKER_COUNT):
        cluster.add_worker(f"w{number}", capacity=Resources(8_000, 32_000))


def _avoid(cluster: Cluster) -> None:
    for number in range(2):
        cluster.state.workers_by_id[f"w{number}"].is_usable = False


def _lose(cluster: Cluster) -> None:
    for number in range(2):
        cluster.state.remove_worker(f"w{number}")


@pytest.mark.parametrize("change", [_drain, _shrink, _avoid, _lose])
def test_capacity_that_may_come_back_counts(
    change: Callable[[Cluster], None],
) -> None:
    """A bound from the smaller capacity would be too high once it is back."""
    cluster = Cluster()
    cluster.add_backlog()
    change(cluster)
    assert cluster.wait_ms() <= BACKLOG_WAIT_MS
    largest = cluster.estimator.figures(1, 3, NOW_MS).services_by_name["app"]
    assert largest.largest == (CAPACITY,)


def test_capacity_that_stays_away_is_forgotten() -> None:
    cluster = Cluster()
    _shrink(cluster)
    cluster.now_ms += RETENTION_MS
    figures = cluster.estimator.figures(1, 2, cluster.now_ms)
    capacity = figures.services_by_name["app"]
    assert capacity.largest == (Resources(8_000, 32_000),)


def test_workers_that_urgent_work_does_not_fit_are_left_to_others() -> None:
    cluster = Cluster()
    cluster.add_backlog()
    cluster.add_worker("small", capacity=Resources(2_000, 8_000))
    assert cluster.wait_ms() == 0


def test_workers_of_a_standby_service_count() -> None:
    cluster = Cluster()
    cluster.add_backlog()
    before_ms = cluster.wait_ms()
    for number in range(WORKER_COUNT):
        cluster.add_worker(f"s{number}", service="standby")
    estimator = LoadEstimator(
        cluster.state,
        cluster.planner,
        standby_services=lambda: frozenset(("standby",)),
    )
    estimator.figures(1, 1, NOW_MS - WARM_UP_MS)
    load = estimator.figures(1, 2, NOW_MS).queues_by_name["normal"]
    assert 0 < load.wait_ms("", TASK) < before_ms / 2


def test_a_queue_that_passes_the_others_waits_only_for_its_own_work() -> None:
    """Its tasks start in gaps that those of the urgent queue cannot use."""
    cluster = Cluster()
    cluster.add_backlog()
    step = cluster.add(NORMAL, 1)
    task = step.tasks[0]
    cluster.state.add_ordered_run(task.key, 1, "w0", NOW_MS - 100)
    cluster.state.confirm_run(task.active_runs[0], NOW_MS - 90)
    assert cluster.wait_ms() < BACKLOG_WAIT_MS / 2


def test_runs_that_can_be_preempted_do_not_count() -> None:
    wait_ms = []
    for preemption in (False, True):
        cluster = Cluster(PlanningOptions(preemption=preemption))
        less_urgent = NORMAL._replace(name="batch", priority=2)
        for number in range(16):
            step = cluster.add(less_urgent, estimate_ms=20_000)
            key = step.tasks[0].key
            worker_id = f"w{number % 4}"
            run = cluster.state.add_ordered_run(key, 1, worker_id, NOW_MS)
            cluster.state.confirm_run(run, NOW_MS)
        cluster.add_backlog()
        wait_ms.append(cluster.wait_ms())
    assert wait_ms[0] > wait_ms[1] == BACKLOG_WAIT_MS


def test_the_excess_of_a_workspace_delays_only_its_own_jobs() -> None:
    """Callers of a small workspace beside a large backlog of another."""
    cluster = Cluster()
    cluster.add(NORMAL, 1, "small")
    cluster.add(NORMAL, 1, "large").is_beyond_share = True
    cluster.add(URGENT, BACKLOG_TASKS, "large").is_beyond_share = True
    assert cluster.wait_ms(workspace="small") == 0
    assert cluster.wait_ms(workspace="large") == BACKLOG_WAIT_MS


def test_tasks_that_wait_for_their_quota_delay_nobody() -> None:
    cluster = Cluster()
    cluster.add(NORMAL)
    step = cluster.add_backlog()
    assert cluster.wait_ms() == BACKLOG_WAIT_MS
    step.start_limit = 0
    assert cluster.wait_ms() == 0


def test_a_round_marks_the_steps_beyond_a_share() -> None:
    """Those of the burst of a large workspace, until the burst has passed."""
    cluster = Cluster()
    cluster.state.workspaces_by_name = {
        name: Workspace(name) for name in ("small", "large")
    }
    first = cluster.add(URGENT, BACKLOG_TASKS, "large")
    second = cluster.add(URGENT, BACKLOG_TASKS, "large")
    small = cluster.add(NORMAL, 1, "small")
    steps = [first, second, small]
    ordered = WorkspaceRound(cluster.state).order(steps)
    assert ordered == [first, small, second]
    assert [step.is_beyond_share for step in steps] == [False, True, False]
    WorkspaceRound(cluster.state).order([second])
    assert not second.is_beyond_share


def test_other_services_do_not_delay_a_job() -> None:
    cluster = Cluster()
    cluster.add_worker("other", service="other")
    cluster.add(NORMAL)
    cluster.add(URGENT._replace(service="other"), BACKLOG_TASKS)
    assert cluster.wait_ms() == 0


def test_a_new_leader_states_no_waits() -> None:
    cluster = Cluster()
    cluster.add_backlog()
    cluster.estimator = LoadEstimator(cluster.state, cluster.planner)
    assert cluster.wait_ms() == 0


def test_the_bound_is_that_of_the_best_possible_order() -> None:
    """Two cores: 3 tasks of 1 s and one of 3 s can all start within 1 s."""
    work = [Work(1_000, 3_000), Work(3_000, 1_000)]
    assert wait_bound_ms(work, 2_000) == 1_000
    assert wait_bound_ms(work, 4_000) == 0
    assert wait_bound_ms(work, 0) == 0


def test_the_computation_takes_a_small_part_of_its_interval() -> None:
    """1,000 waiting steps and 350 full workers, every 500 ms."""
    cluster = Cluster()
    for number in range(350):
        cluster.add_worker(f"w{number}")
        step = cluster.add(URGENT, 4)
        for task in step.tasks:
            run = cluster.state.add_ordered_run(
                task.key, 1, f"w{number}", NOW_MS
            )
            cluster.state.confirm_run(run, NOW_MS)
    for number in range(1_000):
        cluster.add((URGENT, NORMAL)[number % 2], 25)
    cluster.wait_ms()
    durations_ns: list[int] = []
    for _ in range(5):
        started_ns = time.process_time_ns()
        assert cluster.wait_ms() > 0
        durations_ns.append(time.process_time_ns() - started_ns)
    assert min(durations_ns) < 50_000_000
