"""How the durations of runs are measured, from orders and reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

from magnoliapitch.control.accepted_starts import record_accepted
from magnoliapitch.control.end_acknowledger import EndAcknowledger
from magnoliapitch.control.events import StartAnswered
from magnoliapitch.control.reports import ReportApplier
from magnoliapitch.metric import Metrics
from magnoliapitch.planner import PlannedStart
from magnoliapitch.planner import Planner
from magnoliapitch.planner import PlanningOptions
from magnoliapitch.planner import SchedulerState
from magnoliapitch.planner.duration import LearnedDurations
from magnoliapitch.resource import Resources
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import ActiveRun
from magnoliapitch.workload.run import EndedRun
from magnoliapitch.workload.run import EndKind
from magnoliapitch.workload.run import WorkerReport
from magnoliapitch.workload.worker import WorkerInfo


if TYPE_CHECKING:
    from magnoliapitch.planner.duration.measurement import FinishedTask
    from magnoliapitch.planner.tracked import TrackedRun


# The worker's clock when the leader's is at 0.
CLOCK_MS = 50_000
QUEUE = Queue("q", "h", "/", "app")


class RecordingDurations(LearnedDurations):
    """Keeps the measured tasks."""

    def __init__(self) -> None:
        super().__init__()
        self.tasks: list[FinishedTask] = []

    def add(self, task: FinishedTask, now_ms: int) -> None:
        self.tasks.append(task)
        super().add(task, now_ms)


class Leader:
    """Applies answers and reports of workers with the clocks of the test."""

    def __init__(self, step: StepSpec) -> None:
        self.state = SchedulerState()
        self.planner = Planner(PlanningOptions(worker_speeds=True))
        self.durations = RecordingDurations()
        self.planner.duration_estimator = self.durations
        for name in ("w0", "w1"):
            info = WorkerInfo(name, "app", "10.0.0.1:1", "z", "r1")
            info = info._replace(capacity=Resources(16_000, 64_000))
            self.state.update_worker(info).is_usable = True
        self.state.add_job(JobSpec("a", "q", "", (step,)), QUEUE, 0)
        self.reports = ReportApplier(
            self.state,
            self.planner,
            EndAcknowledger(lambda *_: None),
            Metrics(),
        )

    def start(
        self, position: int, worker_id: str, at_ms: int, answer_ms: int = 5
    ) -> TrackedRun:
        """Start a run; its order is answered after a while."""
        key = TaskKey("a", 0, 0, position)
        run = self.state.add_ordered_run(key, 1, worker_id, at_ms - 100)
        clock_ms = CLOCK_MS + at_ms
        record_accepted(
            self.state,
            run,
            StartAnswered(
                PlannedStart(key, 1, worker_id),
                Ok(clock_ms),
                at_ms - 5,
                at_ms + answer_ms,
            ),
            clock_ms,
        )
        return run

    def report(
        self,
        worker_id: str,
        at_ms: int,
        ended: tuple[int, ...] = (),
        *,
        percent: float | None = None,
        sent_ms: int | None = None,
        delay_ms: int = 2,
    ) -> None:
        """Apply a report that was written at a time, of ended tasks."""
        running = () if percent is None else (percent,)
        self.reports.apply(
            worker_id,
            WorkerReport(
                CLOCK_MS + at_ms,
                tuple(
                    ActiveRun(TaskKey("a", 0, 0, 0), 1, "", share)
                    for share in running
                ),
                tuple(
                    EndedRun(
                        number + 1,
                        TaskKey("a", 0, 0, number),
                        1,
                        EndKind.DONE,
                    )
                    for number in ended
                ),
            ),
            at_ms - 10 if sent_ms is None else sent_ms,
            at_ms + delay_ms,
        )


def test_a_report_that_is_long_under_way_does_not_make_a_worker_slow() -> None:
    """Load: slow network ends. The worker's own clock tells the end."""
    leader = Leader(StepSpec(1))
    leader.report("w0", 0)
    leader.start(0, "w0", 100, answer_ms=5)
    leader.report("w0", 640, (0,), sent_ms=10, delay_ms=900)
    assert [task.duration_ms for task in leader.durations.tasks] == [540]


def test_an_end_whose_first_report_was_lost_is_not_measured() -> None:
    """Load: slow network ends. It may be reported long after the end."""
    leader = Leader(StepSpec(1))
    leader.report("w0", 0)
    leader.start(0, "w0", 100)
    leader.report("w0", 2_000, (0,), sent_ms=1_900)
    assert leader.durations.tasks == []


def test_a_run_whose_order_was_repeated_is_not_measured() -> None:
    """It may have started at an earlier order, so it would look short."""
    leader = Leader(StepSpec(1))
    leader.report("w0", 0)
    leader.start(0, "w0", 100, answer_ms=3_000)
    leader.report("w0", 3_640, (0,), sent_ms=10)
    assert leader.durations.tasks == []


def test_a_resumed_run_is_not_measured() -> None:
    """Load: resumed runs, which have done part of their work before."""
    leader = Leader(StepSpec(1, saves_progress=True))
    task = leader.state.task(TaskKey("a", 0, 0, 0))
    assert task is not None
    task.checkpoint = "c1"
    leader.report("w0", 0)
    leader.start(0, "w0", 100)
    leader.report("w0", 640, (0,), sent_ms=10)
    assert leader.durations.tasks == []


def test_a_gang_is_measured_once_from_its_last_start() -> None:
    """Load: gangs. Early members wait for the last one without working."""
    leader = Leader(StepSpec(2, is_gang=True))
    for worker_id in ("w0", "w1"):
        leader.report(worker_id, 0)
    leader.start(0, "w0", 100)
    leader.start(1, "w1", 400)
    leader.report("w0", 3_800, (0,), sent_ms=10)
    leader.report("w1", 3_800, (1,), sent_ms=10)
    (task,) = leader.durations.tasks
    assert task.duration_ms == 3_400
    assert not task.tells_speed
    assert set(task.worker_ids) == {"w0", "w1"}


def test_a_run_away_from_its_data_does_not_tell_the_speed() -> None:
    leader = Leader(StepSpec(1, data_rack="r2"))
    leader.report("w0", 0)
    leader.start(0, "w0", 100)
    leader.report("w0", 640, (0,), sent_ms=10)
    (task,) = leader.durations.tasks
    assert not task.tells_speed


def test_progress_tells_the_remaining_time() -> None:
    """Load: a tail of long tasks, which elapsed time tells little about."""
    leader = Leader(StepSpec(1, saves_progress=True))
    run = leader.start(0, "w0", 0, answer_ms=0)
    leader.report("w0", 10_000, percent=25, delay_ms=0)
    assert leader.durations.remaining_ms(run, 10_000) == 30_000
    assert leader.durations.remaining_ms(run, 20_000) == 20_000
