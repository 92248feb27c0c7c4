"""Permits that are requested before a lost long-running task may start."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.planner import Planner
from magnoliapitch.planner.candidates import Candidate
from magnoliapitch.planner.expected_starts import START_ALLOWANCE_MS
from magnoliapitch.planner.permit_calls import TICKET_MIN_REMAINING_MS
from magnoliapitch.planner.plan import IdleCalls
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.job import TaskKey
from magnoliapitch.workload.run import Permit
from tests.planner.test_planner import PERMIT_TIMING
from tests.planner.test_planner import SIZE
from tests.planner.test_planner import add_job
from tests.planner.test_planner import make_state


if TYPE_CHECKING:
    from magnoliapitch.planner import SchedulerState
    from magnoliapitch.planner.plan import Plan
    from magnoliapitch.planner.tracked import TrackedStep


SERVICE = StepSpec(1, SIZE, is_long_running=True)
LOST_AT_MS = 20_000
# The first time at which a permit is still valid when the task may start.
FIRST_ASK_MS = (
    LOST_AT_MS
    + START_ALLOWANCE_MS
    + TICKET_MIN_REMAINING_MS
    - PERMIT_TIMING.valid_ms
)


class Fixture:
    """Services that run on ``w0``, which does not answer any more."""

    def __init__(self, names: str = "a", workers: int = 4) -> None:
        self.state: SchedulerState = make_state(workers)
        self.planner = Planner()
        for number, name in enumerate(names):
            add_job(
                self.state, SERVICE, name=name, permit_timing=PERMIT_TIMING
            )
            run = self.state.add_ordered_run(
                TaskKey(name, 0, 0, 0), 1, "w0", number
            )
            self.state.confirm_run(run, number)
        worker = self.state.workers_by_id["w0"]
        worker.is_usable = False
        worker.runs_lost_at_ms = LOST_AT_MS

    def step(self, name: str = "a") -> TrackedStep:
        step = self.state.step(StepKey(name, 0, 0))
        assert step is not None
        return step

    def plan(self, now_ms: int, max_calls: int = 10) -> Plan:
        idle_calls = IdleCalls(max_calls, max_calls)
        return self.planner.plan(self.state, now_ms, now_ms, idle_calls)

    def permit(self, worker_ids: list[str], sent_ms: int) -> None:
        self.step().record_permits(
            worker_ids,
            [Permit(worker_id, "t") for worker_id in worker_ids],
            sent_ms + PERMIT_TIMING.valid_ms,
        )


def test_permits_are_requested_only_when_they_last_until_the_start() -> None:
    fixture = Fixture()
    assert not fixture.plan(FIRST_ASK_MS - 1).permit_requests
    plan = fixture.plan(FIRST_ASK_MS)
    [request] = plan.permit_requests
    assert set(request.worker_ids) == {"w1", "w2", "w3"}
    assert not plan.starts


def test_a_few_of_the_permitted_workers_are_asked_about() -> None:
    fixture = Fixture(workers=30)
    fixture.permit([f"w{number}" for number in range(1, 20)], 0)
    [request] = fixture.plan(FIRST_ASK_MS).permit_requests
    assert len(request.worker_ids) == 3
    assert fixture.step().permitted_worker_ids.issuperset(request.worker_ids)


def test_others_are_asked_about_if_the_permitted_have_no_room() -> None:
    fixture = Fixture(workers=30)
    fixture.permit(["w1"], 0)
    add_job(fixture.state, StepSpec(4, SIZE), name="full")
    for number in range(4):
        key = TaskKey("full", 0, 0, number)
        fixture.state.add_ordered_run(key, 1, "w1", 0)
    [request] = fixture.plan(FIRST_ASK_MS).permit_requests
    assert len(request.worker_ids) == 28
    assert "w1" not in request.worker_ids


def test_permits_that_expire_before_the_start_are_requested_again() -> None:
    fixture = Fixture()
    worker_ids = ["w1", "w2", "w3"]
    fixture.permit(worker_ids, FIRST_ASK_MS - 1)
    assert fixture.plan(FIRST_ASK_MS).permit_requests
    fixture.permit(worker_ids, FIRST_ASK_MS)
    assert not fixture.plan(LOST_AT_MS).permit_requests


def test_the_task_starts_in_the_first_round_after_the_loss() -> None:
    fixture = Fixture()
    fixture.permit(["w1", "w2", "w3"], FIRST_ASK_MS)
    assert not fixture.plan(LOST_AT_MS).starts
    fixture.state.lose_runs("w0")
    [start] = fixture.plan(LOST_AT_MS + START_ALLOWANCE_MS).starts
    assert start.ticket == "t"


def test_what_was_down_longest_is_asked_for_first() -> None:
    fixture = Fixture("cab")
    [request] = fixture.plan(FIRST_ASK_MS, max_calls=1).permit_requests
    assert request.step.job_id == "c"
    fixture.state.lose_run(fixture.step("a").all_active_runs()[0])
    requests = fixture.plan(FIRST_ASK_MS, max_calls=2).permit_requests
    assert [request.step.job_id for request in requests] == ["c", "a"]


def test_a_service_whose_worker_answers_again_is_not_asked_for() -> None:
    fixture = Fixture()
    fixture.state.workers_by_id["w0"].runs_lost_at_ms = None
    assert not fixture.plan(LOST_AT_MS).permit_requests


# A suspect that is held had permits requested that expired before its start.
def test_a_held_suspect_is_asked_for_shortly_before_it_may_start() -> None:
    fixture = Fixture()
    step = fixture.step()
    step.tasks[0].worker_losses = 2
    fixture.state.lose_runs("w0")
    fixture.state.add_suspect(step.tasks[0])
    step.tasks[0].hold_until_ms = LOST_AT_MS
    assert not fixture.plan(FIRST_ASK_MS - 1).permit_requests
    plan = fixture.plan(FIRST_ASK_MS)
    assert len(plan.permit_requests) == 1
    fixture.permit(["w1", "w2", "w3"], FIRST_ASK_MS)
    assert not fixture.plan(LOST_AT_MS - 1).starts
    assert fixture.plan(LOST_AT_MS).starts


def test_a_gang_is_asked_for_as_a_whole() -> None:
    fixture = Fixture("")
    gang = StepSpec(4, SIZE.times(3), is_gang=True, is_long_running=True)
    add_job(fixture.state, gang, permit_timing=PERMIT_TIMING)
    for number in range(4):
        key = TaskKey("a", 0, 0, number)
        fixture.state.add_ordered_run(key, 1, f"w{number}", 0)
    fixture.permit(["w1", "w2", "w3"], 0)
    [request] = fixture.plan(FIRST_ASK_MS).permit_requests
    assert set(request.worker_ids) == {"w1", "w2", "w3"}


# Every round copied all workers of the fleet, also for steps with a call.
@pytest.mark.parametrize("has_call", [False, True])
def test_only_workers_that_may_be_asked_about_are_copied(
    monkeypatch: pytest.MonkeyPatch, has_call: bool
) -> None:
    copied: list[str] = []
    copy = Candidate.copy

    def record(candidate: Candidate) -> Candidate:
        copied.append(candidate.worker.worker_id)
        return copy(candidate)

    monkeypatch.setattr(Candidate, "copy", record)
    fixture = Fixture(workers=400)
    fixture.permit(["w1", "w2", "w3"], 0)
    if has_call:
        fixture.step().in_flight_worker_ids = frozenset(["w1"])
    fixture.plan(FIRST_ASK_MS)
    assert copied == ["w1", "w2", "w3"]
