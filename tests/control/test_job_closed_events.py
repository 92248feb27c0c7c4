"""Log lines that tell why jobs were closed and which ends are stored."""

from __future__ import annotations

from typing import Any

import pytest

from magnoliapitch.control import end_acknowledger
from magnoliapitch.control import reports
from magnoliapitch.control.progress_records import fail_refused_jobs
from magnoliapitch.ledger.records import progress_key
from magnoliapitch.planner import job_closing
from magnoliapitch.planner import reconfiguration
from magnoliapitch.planner.worker_loss import LostRun
from magnoliapitch.planner.worker_loss import count_crash
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import EndKind
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


Logged = list[dict[str, Any]]


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> Logged:
    lines: Logged = []
    for module in (job_closing, reconfiguration, end_acknowledger):
        monkeypatch.setattr(
            module,
            "log_event",
            lambda event, **fields: lines.append({"event": event, **fields}),
        )
    return lines


@pytest.fixture
def simulation(logged: Logged) -> Simulation:
    logged.clear()
    simulation = Simulation([queue("q")._replace(attempts=3)], workers(2))
    simulation.actual_duration_ms = lambda _: 900.0
    step = StepSpec(1, Resources(1_000, 1_000))
    simulation.submit(JobSpec("a", "q", "text", (step,)))
    simulation.run(500)
    return simulation


def fail_run(simulation: Simulation) -> None:
    for worker in simulation.workers.values():
        for run in list(worker.running.values()):
            worker.end(run, EndKind.FAILED)
    simulation.run(600)


def set_attempts(simulation: Simulation, attempts: int) -> None:
    newer = {"q": queue("q")._replace(attempts=attempts)}
    simulation.configuration = simulation.configuration._replace(
        queues_by_name=newer, version=7
    )
    simulation.controller.handle_configuration_changed()


def of(logged: Logged, event: str) -> Logged:
    return [line for line in logged if line["event"] == event]


def test_a_failed_job_names_its_task_and_the_acknowledged_failures(
    simulation: Simulation, logged: Logged
) -> None:
    for _ in range(3):
        fail_run(simulation)
    (closed,) = of(logged, "job-closed")
    assert (closed["reason"], closed["step"], closed["task"]) == (
        "attempts-used",
        0,
        0,
    )
    assert (closed["failures"], closed["attempts"]) == (3, 3)
    assert len(of(logged, "ends-acknowledged")) == 3


def test_ends_of_runs_that_did_not_fail_are_acknowledged_without_a_line(
    simulation: Simulation, logged: Logged
) -> None:
    simulation.run(2_000)
    assert [line["event"] for line in logged] == ["job-closed"]
    assert logged[0]["outcome"] == "completed"
    assert "reason" not in logged[0]


def test_a_cancelled_job_says_so(
    simulation: Simulation, logged: Logged
) -> None:
    simulation.controller.state.cancel_job("a")
    simulation.controller.state.cancel_job("a")
    assert [line["reason"] for line in logged] == ["cancelled"]


def test_a_refused_record_is_named(
    simulation: Simulation, logged: Logged
) -> None:
    key = progress_key("a", 0)
    fail_refused_jobs(simulation.controller.state, [key])
    assert (logged[0]["reason"], logged[0]["key"]) == ("record-refused", key)


def test_crashed_workers_are_counted_in_the_line(
    simulation: Simulation, logged: Logged
) -> None:
    state = simulation.controller.state
    task = state.jobs_by_id["a"].steps[0][0].tasks[0]
    task.worker_crashes = task.proven_crashes = 2
    lost = LostRun(task, 1, has_begun=True, is_alone=True)
    count_crash(state, [lost])
    assert logged[0]["reason"] == "workers-crashed"
    assert (logged[0]["worker_crashes"], logged[0]["is_alone"]) == (3, True)


def test_changed_attempts_are_logged_with_what_they_close(
    simulation: Simulation, logged: Logged
) -> None:
    state = simulation.controller.state
    task = state.jobs_by_id["a"].steps[0][0].tasks[0]
    task.record_failure(1)
    state.lose_run(task.active_runs[0])
    set_attempts(simulation, 5)
    set_attempts(simulation, 1)
    changes = of(logged, "attempts-changed")
    assert [line["former_attempts"] for line in changes] == [3, 5]
    assert [line["attempts"] for line in changes] == [5, 1]
    (closed,) = of(logged, "job-closed")
    assert closed["reason"] == "attempts-lowered"
    assert (closed["former_attempts"], closed["attempts"]) == (5, 1)
    assert (closed["failures"], closed["version"]) == (1, 7)


# Of a gang whose members failed in turn, no line showed more than one failure.
def test_an_ended_run_shows_the_failures_of_its_gang(
    simulation: Simulation, monkeypatch: pytest.MonkeyPatch
) -> None:
    lines: Logged = []
    monkeypatch.setattr(
        reports,
        "log_event",
        lambda event, **fields: lines.append({"event": event, **fields}),
    )
    gang = StepSpec(2, Resources(1_000, 1_000), is_gang=True)
    simulation.submit(JobSpec("g", "q", "text", (gang,)))
    simulation.run(500)
    for position in range(2):
        for worker in simulation.workers.values():
            for key, run in list(worker.running.items()):
                if key == TaskKey("g", 0, 0, position):
                    worker.end(run, EndKind.FAILED)
        simulation.run(600)
    failed = [
        line["failures"]
        for line in of(lines, "run-ended")
        if line["kind"] is EndKind.FAILED
    ]
    assert failed == [1, 2]
