from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from result import Err
from result import Ok

from magnoliapitch.control import waiting_report
from magnoliapitch.control.events import PermitsAnswered
from magnoliapitch.control.permit_requester import PermitRequester
from magnoliapitch.control.unusable_cause import UnusableCause
from magnoliapitch.control.waiting_report import MAX_REPORTED_STEPS
from magnoliapitch.control.waiting_report import WaitingReport
from magnoliapitch.planner import Planner
from magnoliapitch.planner.plan import IdleCalls
from magnoliapitch.planner.plan import PlannedPermitRequest
from magnoliapitch.resource import Resources
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.configuration import Workspace
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import EndedRun
from magnoliapitch.workload.run import EndKind
from magnoliapitch.workload.run import Permit
from tests.planner.test_planner import PERMIT_TIMING
from tests.planner.test_planner import SIZE
from tests.planner.test_planner import STEP
from tests.planner.test_planner import add_job
from tests.planner.test_planner import make_state


if TYPE_CHECKING:
    from magnoliapitch.planner import SchedulerState
    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.tracked_worker import TrackedWorker


NOW_MS = 2_000


class _Roster:
    """Tells for each worker the cause that a test gives."""

    def __init__(self) -> None:
        self.cause_by_worker: dict[str, UnusableCause] = {}

    def unusable_cause(
        self, worker: TrackedWorker, _: int
    ) -> UnusableCause | None:
        return self.cause_by_worker.get(worker.worker_id)


class Report:
    """A report on a state, and the lines that it has logged."""

    def __init__(
        self, state: SchedulerState, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self.state = state
        self.planner = Planner()
        self.roster = _Roster()
        self.requester = PermitRequester(state, None)  # type: ignore[arg-type]
        self.lines: list[dict[str, object]] = []
        self.report = WaitingReport(
            state,
            self.planner,
            self.roster,  # type: ignore[arg-type]
            self.requester,
            0,
        )
        monkeypatch.setattr(
            waiting_report,
            "log_event",
            lambda name, **fields: self.lines.append(
                {"event": name, **fields}
            ),
        )

    def look(
        self, now_ms: int = NOW_MS, max_calls: int = 5, max_starts: int = 5
    ) -> list[dict[str, object]]:
        """Plan a round and return the lines that are logged then."""
        idle_calls = IdleCalls(max_calls, max_calls)
        plan = self.planner.plan(
            self.state, now_ms, now_ms, idle_calls, max_starts
        )
        self.lines.clear()
        self.report.log_if_due(plan, max_starts, now_ms)
        return self.lines

    def line(
        self, now_ms: int = NOW_MS, max_calls: int = 5, max_starts: int = 5
    ) -> dict[str, object]:
        """Return the only line that is logged then."""
        (line,) = self.look(now_ms, max_calls, max_starts)
        return line

    def make_unusable(self, worker_id: str, cause: UnusableCause) -> None:
        """Let a worker take no new runs."""
        self.state.workers_by_id[worker_id].is_usable = False
        self.roster.cause_by_worker[worker_id] = cause

    @property
    def step(self) -> TrackedStep:
        """Return the first step of the job ``a``."""
        step = self.state.step(STEP)
        assert step is not None
        return step

    def permit(self, *worker_ids: str, until_ms: int = 9_000) -> None:
        """Record that the advisor permits just some of all workers."""
        permits = [Permit(worker_id, "t") for worker_id in worker_ids]
        self.state.record_permits(
            STEP, self.state.workers_by_id, permits, until_ms
        )


@pytest.fixture
def report(monkeypatch: pytest.MonkeyPatch) -> Report:
    state = make_state()
    add_job(state, StepSpec(2, SIZE), permit_timing=PERMIT_TIMING)
    return Report(state, monkeypatch)


def test_report_leaves_out_steps_that_wait_a_second_or_less(
    report: Report,
) -> None:
    assert report.look(1_000, max_calls=0) == []
    assert report.line(2_000, max_calls=0)["without_run_ms"] == 2_000


def test_report_is_logged_once_a_second(report: Report) -> None:
    logged = [
        now_ms
        for now_ms in range(1_100, 4_300, 100)
        if report.look(now_ms, max_calls=0)
    ]
    assert logged == [1_100, 2_100, 3_100, 4_100]


def test_report_leaves_out_a_step_that_starts_in_the_round(
    report: Report,
) -> None:
    report.permit("w0")
    assert report.look() == []


def test_report_leaves_out_a_batch_step_with_a_run(report: Report) -> None:
    report.state.add_ordered_run(TaskKey(*STEP, 0), 1, "w0", 100)
    assert report.look(max_calls=0) == []


def test_report_counts_from_the_end_of_the_last_run(report: Report) -> None:
    task = TaskKey(*STEP, 0)
    run = report.state.add_ordered_run(task, 1, "w0", 100)
    report.state.confirm_run(run, 1_500)
    end = EndedRun(1, task, 1, EndKind.STOPPED, "")
    report.state.record_end("w0", end, 1_600)
    assert report.look(max_calls=0) == []
    line = report.line(3_000, max_calls=0)
    assert line["without_run_ms"] == 1_500


def test_report_counts_from_a_run_between_two_looks(report: Report) -> None:
    report.look(1_500, max_calls=0)
    task = TaskKey(*STEP, 0)
    run = report.state.add_ordered_run(task, 1, "w0", 1_600)
    report.state.confirm_run(run, 1_700)
    end = EndedRun(1, task, 1, EndKind.STOPPED, "")
    report.state.record_end("w0", end, 1_800)
    assert report.look(2_600, max_calls=0) == []
    assert report.line(3_600, max_calls=0)["without_run_ms"] == 1_900


def test_report_tells_a_long_running_step_beside_its_other_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    state = make_state()
    add_job(
        state,
        StepSpec(2, SIZE, is_long_running=True),
        permit_timing=PERMIT_TIMING,
    )
    state.add_ordered_run(TaskKey(*STEP, 0), 1, "w0", 100)
    report = Report(state, monkeypatch)
    assert report.line(max_calls=0)["waiting"] == 1


def test_report_names_the_steps_that_waited_longest_and_counts_all(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    state = make_state()
    for number in range(MAX_REPORTED_STEPS + 3):
        add_job(
            state,
            StepSpec(1, SIZE),
            name=f"j{number:02d}",
            permit_timing=PERMIT_TIMING,
        )
    lines = Report(state, monkeypatch).look(max_calls=0)
    assert [line["job"] for line in lines] == [
        f"j{number:02d}" for number in range(MAX_REPORTED_STEPS)
    ]
    assert {line["steps_waiting"] for line in lines} == {
        MAX_REPORTED_STEPS + 3
    }


def test_gate_is_no_call_without_an_idle_channel(report: Report) -> None:
    line = report.line(max_calls=0)
    assert (line["gate"], line["call"]) == ("no-call", "none")
    assert (line["asked"], line["permitted"], line["tickets"]) == (0, 0, 0)
    assert (line["calls_left"], line["queue_calls"]) == (0, 0)


def test_gate_is_call_under_way_with_a_call(report: Report) -> None:
    report.step.in_flight_worker_ids = frozenset({"w0"})
    line = report.line()
    assert (line["gate"], line["call"]) == ("call-under-way", "under-way")
    assert line["queue_calls"] == 1


def test_report_tells_failed_calls_until_one_is_answered(
    report: Report,
) -> None:
    request = PlannedPermitRequest(STEP, ("w0",), 0, 5)
    failure = Err(not_run(FailureCode.UNAVAILABLE, "dark"))
    for now_ms in (500, 1_200):
        event = PermitsAnswered(request, failure, 0)
        report.requester.handle_answer(event, now_ms)
    line = report.line()
    assert (line["failed_calls"], line["last_failed_ms_ago"]) == (2, 800)
    report.requester.handle_answer(PermitsAnswered(request, Ok(()), 0), 2_100)
    line = report.line(3_100)
    assert (line["failed_calls"], line["last_failed_ms_ago"]) == (0, None)


def test_failed_calls_of_steps_that_wait_no_longer_are_forgotten(
    report: Report,
) -> None:
    request = PlannedPermitRequest(STEP, ("w0",), 0, 5)
    failure = Err(not_run(FailureCode.UNAVAILABLE, "dark"))
    report.requester.handle_answer(PermitsAnswered(request, failure, 0), 500)
    report.state.cancel_job("a")
    report.look()
    assert not report.requester.failed_calls_by_step


def test_gate_is_no_room_on_full_permitted_workers(report: Report) -> None:
    report.permit("w0")
    report.state.workers_by_id["w0"].free = Resources(1_999, 4_000)
    line = report.line()
    assert line["gate"] == "no-room"
    assert (line["usable"], line["with_room"], line["room_tasks"]) == (1, 0, 0)


def test_gate_is_no_usable_worker_with_the_causes(report: Report) -> None:
    report.permit("w0", "w1", "w2")
    report.make_unusable("w0", UnusableCause.SILENT)
    report.make_unusable("w1", UnusableCause.AVOIDED)
    report.make_unusable("w2", UnusableCause.SILENT)
    line = report.line()
    assert (line["gate"], line["usable"]) == ("no-usable-worker", 0)
    assert line["unusable"] == "avoided:1,silent:2"


def test_gate_is_no_call_with_expired_tickets_beside_room(
    report: Report,
) -> None:
    report.permit("w0", until_ms=NOW_MS)
    line = report.line(max_calls=0)
    assert (line["gate"], line["tickets"]) == ("no-call", 0)
    assert (line["room_tasks"], line["ticket_tasks"]) == (2, 0)


def test_gate_is_no_order_if_none_is_left(report: Report) -> None:
    report.permit("w0")
    line = report.line(max_starts=0)
    assert (line["gate"], line["orders_left"]) == ("no-order", 0)
    assert (line["tickets"], line["ticket_tasks"]) == (1, 2)


def state_with_suspect(worker_count: int) -> SchedulerState:
    """Return a state with a step that waits, and a suspect that runs on w0."""
    state = make_state(worker_count)
    add_job(state, StepSpec(1, SIZE), permit_timing=PERMIT_TIMING)
    add_job(state, StepSpec(1, SIZE), name="b")
    state.add_ordered_run(TaskKey("b", 0, 0, 0), 1, "w0", 100)
    suspect = state.task(TaskKey("b", 0, 0, 0))
    assert suspect is not None
    state.add_suspect(suspect)
    return state


def test_gate_is_room_kept_on_workers_of_a_suspects_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    state = state_with_suspect(1)
    report = Report(state, monkeypatch)
    report.permit("w0")
    line = report.line()
    assert (line["gate"], line["kept_for_job"]) == ("room-kept", 1)
    assert (line["room_tasks"], line["left_tasks"]) == (1, 0)


def test_report_counts_unasked_workers_that_are_kept_for_a_suspects_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    state = state_with_suspect(8)
    report = Report(state, monkeypatch)
    assert report.line(max_calls=0)["kept_unasked"] == 1
    report.permit("w0")
    assert report.line(3_000, max_calls=0)["kept_unasked"] == 0


def test_gate_is_quota_for_a_step_that_its_workspace_holds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    state = make_state()
    state.workspaces_by_name = {"": Workspace("", quota=SIZE)}
    add_job(state, StepSpec(1, SIZE))
    add_job(state, StepSpec(1, SIZE), name="b")
    state.add_ordered_run(TaskKey("b", 0, 0, 0), 1, "w0", 100)
    line = Report(state, monkeypatch).line()
    assert (line["gate"], line["held_by_quota"]) == ("quota", True)


def test_gate_is_held_for_a_suspect_that_waits_for_word_of_a_worker(
    report: Report,
) -> None:
    for task in report.step.tasks:
        task.hold_until_ms = 9_000
    line = report.line(max_calls=0)
    assert (line["gate"], line["held_tasks"]) == ("held", 2)
