from __future__ import annotations

import pytest

from magnoliapitch.control import planning_summary
from magnoliapitch.control.planning_summary import PlanningSummary
from magnoliapitch.planner.plan import IdleCalls
from magnoliapitch.planner.plan import Plan
from magnoliapitch.planner.plan import PlannedStart
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from tests.planner.test_planner import PERMIT_TIMING
from tests.planner.test_planner import SIZE
from tests.planner.test_planner import STEP
from tests.planner.test_planner import add_job
from tests.planner.test_planner import make_state


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, object]]:
    logged: list[dict[str, object]] = []

    def record(name: str, **fields: object) -> None:
        logged.append({"event": name, **fields})

    monkeypatch.setattr(planning_summary, "log_event", record)
    return logged


def test_summary_is_logged_once_a_second_and_counts_from_there(
    lines: list[dict[str, object]],
) -> None:
    summary = PlanningSummary(make_state(), 0)
    plan = Plan((PlannedStart(TaskKey("a", 0, 0, 0), 1, "w0"),))
    for now_ms in range(100, 2_100, 100):
        summary.record(plan, IdleCalls(5, 5), 7, now_ms)
    assert [line["event"] for line in lines] == ["planning-summary"] * 2
    assert [line["rounds"] for line in lines] == [10, 10]
    assert [line["starts"] for line in lines] == [10, 10]


def test_summary_tells_rounds_that_were_cut_short(
    lines: list[dict[str, object]],
) -> None:
    summary = PlanningSummary(make_state(), 0)
    summary.record(Plan(unexamined_steps=3), IdleCalls(5, 5), 7, 10)
    summary.record(Plan(unexamined_steps=9), IdleCalls(0, 0), 0, 20)
    summary.record(Plan(), IdleCalls(5, 5), 7, 1_000)
    (line,) = lines
    assert (line["cut_short"], line["unexamined_steps"]) == (2, 9)
    assert line["rounds_without_orders"] == 1
    assert line["rounds_without_calls"] == 1


def test_summary_counts_what_waits_by_queue_and_what_is_free(
    lines: list[dict[str, object]],
) -> None:
    state = make_state(2)
    add_job(state, StepSpec(3, SIZE), permit_timing=PERMIT_TIMING)
    step = state.step(STEP)
    assert step is not None
    step.in_flight_worker_ids = frozenset({"w0"})
    PlanningSummary(state, 0).record(Plan(), IdleCalls(1, 1), 1, 1_000)
    (line,) = lines
    assert line["waiting"] == "q:1:3:1:0:0"
    assert (line["workers"], line["usable_workers"]) == (2, 2)
    assert line["free_cpu_millis"] == 16_000


# It could not be told which queue the scarce orders went to, nor whether the
# others lacked tickets or were placed last.
def test_summary_tells_starts_tickets_and_steps_beyond_a_share_by_queue(
    lines: list[dict[str, object]],
) -> None:
    state = make_state(2)
    add_job(state, StepSpec(3, SIZE), permit_timing=PERMIT_TIMING)
    step = state.step(STEP)
    assert step is not None
    step.tickets_by_worker["w0"] = ("text", 1_000)
    step.is_beyond_share = True
    plan = Plan((PlannedStart(TaskKey(*STEP, 0), 1, "w0"),))
    PlanningSummary(state, 0).record(plan, IdleCalls(1, 1), 1, 1_000)
    (line,) = lines
    assert line["starts_by_queue"] == "q:1"
    assert line["waiting"] == "q:1:3:0:1:1"


def test_summary_tells_how_many_workers_are_kept_from_other_jobs(
    lines: list[dict[str, object]],
) -> None:
    summary = PlanningSummary(make_state(), 0)
    summary.record(Plan(workers_kept_apart=3), IdleCalls(5, 5), 7, 10)
    summary.record(Plan(workers_kept_apart=1), IdleCalls(5, 5), 7, 1_000)
    summary.record(Plan(), IdleCalls(5, 5), 7, 2_000)
    assert [line["workers_kept_apart"] for line in lines] == [3, 0]
