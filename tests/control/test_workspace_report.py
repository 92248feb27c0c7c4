from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.control import workspace_report
from magnoliapitch.control.workspace_report import WorkspaceReport
from magnoliapitch.metric import Metrics
from magnoliapitch.planner import Planner
from magnoliapitch.planner.plan import WorkspaceWaits
from magnoliapitch.workload.job import StepSpec
from tests.planner.test_planner import make_state
from tests.planner.test_workspace_quotas import CORE
from tests.planner.test_workspace_quotas import add_job
from tests.planner.test_workspace_quotas import configure
from tests.planner.test_workspace_quotas import end
from tests.planner.test_workspace_quotas import start


if TYPE_CHECKING:
    from collections.abc import Mapping


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[Mapping[str, object]]:
    logged: list[Mapping[str, object]] = []

    def record(name: str, **fields: object) -> None:
        logged.append({"event": name, **fields})

    monkeypatch.setattr(workspace_report, "log_event", record)
    return logged


def test_a_held_step_is_logged_once_until_it_has_started(
    lines: list[Mapping[str, object]],
) -> None:
    state = make_state()
    configure(state, a=2)
    key = add_job(state, "wide", "a", StepSpec(5, CORE))
    planner, metrics = Planner(), Metrics()
    report = WorkspaceReport(state, metrics)
    for _ in range(3):
        report.record(start(state, planner).workspace_waits)
    (line,) = lines
    assert (line["job"], line["workspace"]) == ("wide", "a")
    assert line["waiting"] == 3
    assert (line["used"], line["quota"]) == ("2000/2000/0", "2000/0/0")
    end(state, key, 2)
    for _ in range(3):
        report.record(start(state, planner).workspace_waits)
    assert len(lines) == 2
    assert metrics.counts()["steps_held_by_quota", "a"] == 2


def test_summary_is_bounded_and_silent_while_nothing_waits(
    lines: list[Mapping[str, object]],
) -> None:
    report = WorkspaceReport(make_state())
    report.log()
    assert lines == []
    steps = {f"w{number:02d}": number + 1 for number in range(30)}
    tasks = {name: 3 * count for name, count in steps.items()}
    report.record(WorkspaceWaits(steps, tasks, {"w07": 4}))
    report.log()
    (line,) = lines
    held = str(line["held"]).split(",")
    assert (held[0], len(held)) == ("w29:30:90", 10)
    assert line["beyond_share"] == "w07:4"
    assert line["workspaces_held"] == 30
    assert line["workspaces_beyond_share"] == 1
