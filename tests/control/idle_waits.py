"""Steps without a run beside room, as the users judge it (rule LOST).

For 3 s a job has nothing running although a task's turn has come, there is
room for it twice over on workers that the advisor permits, and under half of
the CPU is in use. For a task that lasts it counts from 6 s after its last run,
whatever else of its job runs.

Room, runs, permits and disturbances are read off the simulation. Whether a job
is closed, and whether a step is done, is asked of the controller, so that one
wrongly closed goes unseen here; other checks judge that. The time counts while
it is calm: from ``CALM_AFTER_MS`` after the last disturbance on.
Tasks that were lost with a worker wait until its leases have expired, and a
call to the advisor takes its time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.planner.plan import Plan
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.progress import JobOutcome
from magnoliapitch.workload.quota import passing_count
from magnoliapitch.workload.run import EndKind
from tests.control.missing_runs import HEARD_AFTER_MS
from tests.control.missing_runs import START_BOUND_MS
from tests.control.missing_runs import WHOLE_LEASE_MS
from tests.control.simulated_effects import COMMIT_DURATION_MS


if TYPE_CHECKING:
    from collections.abc import Iterator

    from magnoliapitch.workload.configuration import Queue
    from magnoliapitch.workload.job import JobSpec
    from magnoliapitch.workload.job import StepSpec
    from magnoliapitch.workload.job import TaskKey
    from magnoliapitch.workload.run import StartOrder
    from magnoliapitch.workload.run import StopOrder
    from tests.control.simulated_worker import SimulatedWorker
    from tests.control.simulation import Simulation


LOOK_INTERVAL_MS = 50
MAX_IDLE_MS = 3_000
CALM_AFTER_MS = 4_000
# A task that lasts counts from this long after its last run.
LASTING_AFTER_MS = 6_000
ROOM_FACTOR = 2
MAX_USED_SHARE = 0.5
# From then on a lost run has certainly ended, and its task may start.
LOST_RUN_MS = WHOLE_LEASE_MS + HEARD_AFTER_MS + START_BOUND_MS
MAX_WORKERS_PER_CALL = 100


class IdleWait(NamedTuple):
    """A step that stood without a run for too long.

    :param since_ms: since when it did beside room, in the calm.
    :param found_ms: when that had lasted too long.
    :param room_count: tasks that had room at that time.
    :param used_share: share of the CPU that was in use.
    :param gates: why the leader kept it, in the words of ``step-waiting``.
    """

    step: StepKey
    since_ms: int
    found_ms: int
    room_count: int
    used_share: float
    gates: str


class IdleWaits:
    """Looks at a simulation while it is played.

    It is made after the functions of the simulation that cause faults in
    orders and answers were set, since it learns from them of disturbances.

    :ivar found: steps that stood without a run for too long.
    :ivar looked_count: number of looks in the calm at a step that waited
        beside room; 0 if the check has checked nothing.
    """

    def __init__(self, simulation: Simulation) -> None:
        self.found: list[IdleWait] = []
        self.looked_count = 0
        self._simulation = simulation
        self._disturbed_ms = simulation.now_ms
        self._noted_ms_by_task: dict[TaskKey, int] = {}
        self._environment: tuple[object, ...] = ()
        self._since_ms: dict[StepKey, int] = {}
        self._found_keys: set[StepKey] = set()
        self._last_run_ms: dict[TaskKey, int] = {}
        self._worker_by_task: dict[TaskKey, SimulatedWorker] = {}
        self._reachable_ms: dict[str, int] = {}
        self._crashes_under: dict[TaskKey, int] = {}
        self._lost_ms: dict[TaskKey, int] = {}
        self._done: set[TaskKey] = set()
        self._permitted: dict[tuple[StepKey, int], set[str]] = {}
        self._note_answers_and_orders()
        self._look()

    def check(self) -> None:
        """Check that no step stood without a run for too long."""
        assert self.found == []

    def _note_answers_and_orders(self) -> None:
        """Have lost answers and late orders disturb their tasks."""
        simulation = self._simulation
        answer_lost = simulation.start_answer_lost
        order_late_ms = simulation.order_late_ms

        def start_answer_lost(order: StartOrder) -> bool:
            return bool(self._noted(order, answer_lost(order)))

        def late_ms(order: StartOrder | StopOrder) -> int:
            return self._noted(order, order_late_ms(order))

        simulation.start_answer_lost = start_answer_lost
        simulation.order_late_ms = late_ms

    def _noted(self, order: StartOrder | StopOrder, fault: int) -> int:
        if fault:
            self._noted_ms_by_task[order.task] = self._simulation.now_ms
        return fault

    def _look(self) -> None:
        self._note_disturbances()
        self._note_runs()
        self._note_waits()
        self._simulation.schedule(LOOK_INTERVAL_MS, self._look)

    def _note_disturbances(self) -> None:
        simulation = self._simulation
        environment = (
            simulation.controller,
            # A lost agent begins the next session.
            getattr(simulation.effects, "_session", None),
            simulation.configuration,
            frozenset(simulation.silent_worker_ids),
            frozenset(simulation.unlisted_worker_ids),
            frozenset(simulation.unreachable_worker_ids),
            [
                (worker.info, worker.born_ms, worker.is_down, worker.is_gone)
                for worker in simulation.workers.values()
            ],
        )
        is_disturbed = (
            simulation.controller.is_over
            or simulation.store_is_unavailable
            or simulation.list_is_unavailable
            or simulation.jobs_are_unavailable
            or simulation.progress_commit_ms > COMMIT_DURATION_MS
            or simulation.state_commit_ms > 0
        )
        if is_disturbed or environment != self._environment:
            self._disturbed_ms = simulation.now_ms
        self._environment = environment

    def _note_runs(self) -> None:
        simulation = self._simulation
        now_ms = simulation.now_ms
        for task, count in simulation.crashes_under.items():
            if count != self._crashes_under.get(task):
                self._crashes_under[task] = count
                self._lost_ms[task] = now_ms
        running = {
            task: worker
            for worker in self._live_workers()
            for task in worker.running
        }
        for task, worker in self._worker_by_task.items():
            if task not in running and self._has_lost_run(worker, task):
                self._lost_ms[task] = self._silent_since_ms(worker)
        self._worker_by_task = running
        self._last_run_ms.update(dict.fromkeys(running, now_ms))
        self._done = set(simulation.history._acknowledged_done)
        for worker in simulation.workers.values():
            self._note_done(worker)

    def _has_lost_run(self, worker: SimulatedWorker, task: TaskKey) -> bool:
        return worker not in self._live_workers() or any(
            end.task == task and end.kind is EndKind.LEASE_EXPIRED
            for end in worker.ended
        )

    def _silent_since_ms(self, worker: SimulatedWorker) -> int:
        """Return when a worker was last seen reachable."""
        worker_id = worker.info.worker_id
        return self._reachable_ms.get(worker_id, self._simulation.now_ms)

    def _note_done(self, worker: SimulatedWorker) -> None:
        """Note the tasks that are done as far as the worker can still tell."""
        worker_id = worker.info.worker_id
        if self._is_reachable(worker):
            self._reachable_ms[worker_id] = self._simulation.now_ms
            self._done.update(
                end.task for end in worker.ended if end.kind is EndKind.DONE
            )

    def _live_workers(self) -> list[SimulatedWorker]:
        return [
            worker
            for worker in self._simulation.workers.values()
            if not (worker.is_gone or worker.is_down)
        ]

    def _is_reachable(self, worker: SimulatedWorker) -> bool:
        simulation = self._simulation
        worker_id = worker.info.worker_id
        return not (
            worker.is_gone
            or worker.is_replaced
            or simulation.is_silent(worker_id)
            or worker_id in simulation.unlisted_worker_ids
        )

    def _note_waits(self) -> None:
        share = self._used_share()
        places = {
            key: room_count
            for key, step in self._waiting_steps()
            if share < MAX_USED_SHARE
            and (room_count := self._room_count(key, step))
            >= ROOM_FACTOR * (step.task_count if step.is_gang else 1)
        }
        now_ms = self._simulation.now_ms
        self._since_ms = {
            key: self._since_ms.get(key, now_ms) for key in places
        }
        self._found_keys &= places.keys()
        for key, room_count in places.items():
            since_ms = max(self._since_ms[key], self._earliest_ms(key))
            self.looked_count += since_ms < now_ms
            is_late = now_ms - since_ms > MAX_IDLE_MS + self._call_ms(key)
            if is_late and key not in self._found_keys:
                self._found_keys.add(key)
                gates = self._gates(key)
                self.found.append(
                    IdleWait(key, since_ms, now_ms, room_count, share, gates)
                )

    def _used_share(self) -> float:
        workers = self._live_workers()
        capacity = sum(worker.info.capacity.cpu_millis for worker in workers)
        used = sum(worker.used().cpu_millis for worker in workers)
        return used / max(1, capacity)

    def _waiting_steps(self) -> Iterator[tuple[StepKey, StepSpec]]:
        """Return the steps of open jobs whose turn has come, without a run."""
        running_jobs = {task.job_id for task in self._worker_by_task}
        for job_id in list(self._open_job_ids()):
            spec = self._simulation.specs[job_id]
            for number, step in enumerate(spec.steps):
                key = StepKey(job_id, 0, number)
                if step.is_long_running:
                    if self._lacks_lasting_run(key, step):
                        yield key, step
                elif (
                    job_id not in running_jobs
                    and not self._is_done(key, step)
                    and all(
                        self._is_done(
                            StepKey(job_id, 0, former), spec.steps[former]
                        )
                        for former in step.depends_on
                    )
                    and self._passes_quota(spec, step)
                ):
                    yield key, step

    def _open_job_ids(self) -> Iterator[str]:
        simulation = self._simulation
        jobs_by_id = simulation.controller.state.jobs_by_id
        for job_id, spec in simulation.specs.items():
            job = jobs_by_id.get(job_id)
            is_closed = job is not None and job.outcome is not JobOutcome.OPEN
            if not (
                spec.run_count
                or is_closed
                or job_id in simulation.finished
                or job_id in simulation.cancelled_ms_by_job
            ):
                yield job_id

    def _lacks_lasting_run(self, key: StepKey, step: StepSpec) -> bool:
        now_ms = self._simulation.now_ms
        return any(
            key.task(position) not in self._worker_by_task
            and now_ms - self._last_run_ms.get(key.task(position), 0)
            > LASTING_AFTER_MS
            for position in range(step.task_count)
        )

    def _is_done(self, key: StepKey, step: StepSpec) -> bool:
        tracked = self._simulation.controller.state.step(key)
        if tracked is not None and tracked.is_done:
            # It takes that only from reports.
            return True
        done = [
            key.task(position) in self._done
            for position in range(step.task_count)
        ]
        # A gang ends as a whole, but members are reported one by one.
        return any(done) if step.is_gang else all(done)

    def _passes_quota(self, spec: JobSpec, step: StepSpec) -> bool:
        workspaces = self._simulation.configuration.workspaces_by_name
        workspace = workspaces.get(spec.workspace)
        if workspace is None:
            return True
        used = NO_RESOURCES
        for task in self._worker_by_task.keys() | self._uncertain_tasks():
            other = self._simulation.specs[task.job_id]
            if other.workspace == spec.workspace:
                used = used.plus(other.steps[task.step].reservation)
        count = passing_count(
            workspace.quota,
            used,
            step.reservation,
            step.task_count,
            is_gang=step.is_gang,
        )
        return count > 0

    def _uncertain_tasks(self) -> set[TaskKey]:
        """Return the tasks of which a run may still be active, or begin."""
        now_ms = self._simulation.now_ms
        lost = {
            task
            for task, lost_ms in self._lost_ms.items()
            if now_ms - lost_ms < LOST_RUN_MS
        }
        noted = {
            task
            for task, noted_ms in self._noted_ms_by_task.items()
            if now_ms - noted_ms < CALM_AFTER_MS
        }
        return lost | noted

    def _room_count(self, key: StepKey, step: StepSpec) -> int:
        """Return how many tasks fit on reachable, permitted workers."""
        return sum(
            _task_count(worker, key, step)
            for worker in self._permitted_workers(key)
            if self._is_reachable(worker)
            and not worker.info.is_draining
            and (not step.label or step.label in worker.info.labels)
        )

    def _permitted_workers(self, key: StepKey) -> list[SimulatedWorker]:
        simulation = self._simulation
        queue = self._queue(key)
        if queue is None:
            return []
        if queue.permit_timing is None:
            return list(simulation.workers.values())
        cached = key, len(simulation.workers)
        if cached not in self._permitted:
            self._permitted[cached] = simulation.permitted_worker_ids(key)
        return [simulation.workers[name] for name in self._permitted[cached]]

    def _queue(self, key: StepKey) -> Queue | None:
        name = self._simulation.specs[key.job_id].queue
        return self._simulation.configuration.queues_by_name.get(name)

    def _call_ms(self, key: StepKey) -> float:
        queue = self._queue(key)
        timing = None if queue is None else queue.permit_timing
        if timing is None:
            return 0.0
        count = min(len(self._simulation.workers), MAX_WORKERS_PER_CALL)
        return timing.decision_ms + timing.per_worker_ms * count

    def _earliest_ms(self, key: StepKey) -> int:
        """Return from when on the time of a step counts."""
        step = self._simulation.specs[key.job_id].steps[key.step]
        earliest_ms = self._disturbed_ms + CALM_AFTER_MS
        for task in map(key.task, range(step.task_count)):
            if task in self._lost_ms:
                lost_ms = self._lost_ms[task] + LOST_RUN_MS
                earliest_ms = max(earliest_ms, lost_ms)
            if task in self._noted_ms_by_task:
                noted_ms = self._noted_ms_by_task[task] + CALM_AFTER_MS
                earliest_ms = max(earliest_ms, noted_ms)
        return earliest_ms

    def _gates(self, key: StepKey) -> str:
        """Return what the leader believes to keep a step."""
        simulation = self._simulation
        controller = simulation.controller
        step = controller.state.step(key)
        if step is None:
            return "not known"
        if key not in controller.state.waiting_steps:
            runs = [
                f"{run.number}@{run.worker_id}"
                for run in step.all_active_runs()
            ]
            return f"not waiting, {step.unfinished_count} open, runs {runs}"
        fields = controller._waiting_report._gates.fields(
            step,
            Plan(),
            simulation.effects.max_start_orders(),
            simulation.now_ms,
        )
        return " ".join(f"{name}={value}" for name, value in fields.items())


def _task_count(worker: SimulatedWorker, key: StepKey, step: StepSpec) -> int:
    """Return how many tasks of a step fit on a worker."""
    free = worker.info.capacity.minus(worker.used())
    count = 0
    while count < step.task_count * ROOM_FACTOR and step.reservation.times(
        count + 1
    ).fits(free):
        count += 1
    if not step.max_per_worker:
        return count
    used = sum(task.step_key == key for task in worker.running)
    return min(count, max(0, step.max_per_worker - used))


__all__ = ["IdleWait", "IdleWaits"]
