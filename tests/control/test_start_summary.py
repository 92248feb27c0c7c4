from __future__ import annotations

import pytest

from result import Err
from result import Ok

from magnoliapitch.control import start_summary
from magnoliapitch.control.events import StartAnswered
from magnoliapitch.control.start_queue import StartQueue
from magnoliapitch.control.start_summary import StartSummary
from magnoliapitch.planner.plan import PlannedStart
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import may_have_run
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers
from tests.planner.test_planner import SIZE
from tests.planner.test_planner import add_job
from tests.planner.test_planner import make_state


START = PlannedStart(TaskKey("a", 0, 0, 0), 1, "w0")


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, object]]:
    logged: list[dict[str, object]] = []
    monkeypatch.setattr(
        start_summary, "log_event", lambda _, **fields: logged.append(fields)
    )
    return logged


# No line told whether the store, the window or the answers held starts back.
def test_summary_tells_where_starts_wait(
    lines: list[dict[str, object]],
) -> None:
    starts = StartQueue()
    starts.add([START, START])
    starts.begin_commit(900)
    starts.add([START])
    effects = Simulation([queue("q")], workers(1)).effects
    summary = StartSummary(starts, effects, 0)
    summary.log_if_due(999)
    summary.log_if_due(1_000)
    summary.log_if_due(1_001)
    (line,) = lines
    assert (line["planned"], line["in_commit"], line["stored"]) == (1, 2, 0)
    assert line["store_ms"] == 100
    assert line["order_limit"] == effects.max_start_orders()
    assert line["orders_in_flight"] == 0


def test_summary_tells_how_long_answers_take(
    lines: list[dict[str, object]],
) -> None:
    state = make_state(1)
    add_job(state, StepSpec(1, SIZE))
    state.add_ordered_run(START.task, 1, "w0", 0)
    run = state.run(START.task, 1, "w0")
    assert run is not None
    run.order_sent_ms = 100
    effects = Simulation([queue("q")], workers(1)).effects
    summary = StartSummary(StartQueue(), effects, 0)
    summary.record_answer(StartAnswered(START, Ok(0), 110, 140), run)
    summary.record_answer(StartAnswered(START, Ok(0), 110, 400), run)
    lost = Err(may_have_run(FailureCode.TIMEOUT, "no answer"))
    summary.record_answer(StartAnswered(START, lost, 110, 900), run)
    summary.log_if_due(1_000)
    (line,) = lines
    assert (line["answers"], line["unanswered"]) == (2, 1)
    assert (line["mean_answer_ms"], line["max_answer_ms"]) == (170, 300)
