from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.planner.permit_budget import PermitBudget
from magnoliapitch.planner.plan import IdleCalls
from magnoliapitch.planner.plan import PlannedPermitRequest
from magnoliapitch.workload.job import StepKey
from magnoliapitch.workload.job import StepSpec
from tests.planner.test_planner import PERMIT_TIMING
from tests.planner.test_planner import SIZE
from tests.planner.test_planner import add_job
from tests.planner.test_planner import make_state


if TYPE_CHECKING:
    from magnoliapitch.planner.tracked import TrackedStep


UNLIMITED = 1_000_000


def calls(count: int) -> IdleCalls:
    return IdleCalls(count, count)


def make_step(
    job: str, *, tasks: int = 10, queue: str = "q", has_call: bool = False
) -> TrackedStep:
    state = make_state()
    add_job(
        state,
        StepSpec(tasks, SIZE),
        name=job,
        permit_timing=PERMIT_TIMING,
    )
    step = state.step(StepKey(job, 0, 0))
    assert step is not None
    step.job.queue = step.job.queue._replace(name=queue)
    if has_call:
        step.in_flight_worker_ids = frozenset({"w0"})
    return step


def request(step: TrackedStep) -> PlannedPermitRequest:
    return PlannedPermitRequest(step.key, ("w0",), 0, 10.0)


def test_tasks_that_wait_in_one_queue_do_not_count_in_another() -> None:
    budget = PermitBudget([], calls(UNLIMITED), 10)
    for number in range(10):
        budget.record_awaiting(make_step(f"a{number}", queue="gangs"))
    assert not budget.may_request(make_step("b", queue="gangs"), 0.0)
    assert budget.may_request(make_step("c", queue="batches"), 0.0)


def test_more_tasks_may_wait_for_a_call_that_takes_longer() -> None:
    budget = PermitBudget([], calls(UNLIMITED), 10)
    for number in range(4):
        budget.record_awaiting(make_step(f"a{number}"))
    assert not budget.may_request(make_step("b"), 0.0)
    assert budget.may_request(make_step("b"), 100.0)


def test_one_step_may_request_however_many_tasks_it_has() -> None:
    step = make_step("a", tasks=500)
    assert PermitBudget([], calls(UNLIMITED), 1).may_request(step, 0.0)


def test_nothing_is_requested_when_no_order_can_ever_be_sent() -> None:
    assert not PermitBudget([], calls(UNLIMITED), 0).may_request(
        make_step("a"), 500.0
    )


def test_no_more_calls_are_made_than_there_are_channels() -> None:
    steps = [make_step(f"a{number}") for number in range(4)]
    budget = PermitBudget(steps, calls(2), UNLIMITED)
    for step in steps:
        budget.add(step, request(step))
    assert budget.is_used_up
    assert budget.requests() == tuple(map(request, steps[:2]))


def test_a_queue_with_calls_under_way_leaves_idle_channels_to_others() -> None:
    calling = [make_step(f"a{n}", queue="a", has_call=True) for n in range(6)]
    first = [make_step(f"b{n}", queue="a") for n in range(6)]
    second = [make_step(f"c{n}", queue="c") for n in range(6)]
    budget = PermitBudget([*calling, *first, *second], calls(2), UNLIMITED)
    for step in [*first, *second]:
        budget.add(step, request(step))
    assert budget.requests() == tuple(map(request, second[:2]))


def test_channels_that_a_queue_does_not_use_go_to_the_others() -> None:
    first = [make_step(f"a{n}", queue="a") for n in range(8)]
    second = [make_step(f"b{n}", queue="b") for n in range(8)]
    budget = PermitBudget([*first, *second], calls(8), UNLIMITED)
    for step in [*first, second[0]]:
        budget.add(step, request(step))
    requested = {asked.step for asked in budget.requests()}
    assert requested == {step.key for step in [*first[:7], second[0]]}


# Guards against urgent work that waits behind many queues of large demand.
def test_the_first_queue_gets_a_call_if_queues_outnumber_the_channels() -> (
    None
):
    urgent = make_step("a", queue="urgent")
    others = [
        make_step(f"b{n}-{m}", queue=f"bulk{n}")
        for n in range(20)
        for m in range(3)
    ]
    budget = PermitBudget([urgent, *others], calls(6), UNLIMITED)
    for step in [urgent, *others]:
        budget.add(step, request(step))
    requested = [asked.step for asked in budget.requests()]
    assert requested[0] == urgent.key
    assert len(requested) == 6


# All tasks that were lost at one moment shared few calls with all other work.
def test_urgent_steps_come_before_the_shares_of_other_queues() -> None:
    urgent = [make_step(f"u{n}", queue="services") for n in range(10)]
    planned = [make_step(f"s{n}", queue="services") for n in range(10)]
    first = [make_step(f"a{n}", queue="a") for n in range(10)]
    second = [make_step(f"b{n}", queue="b") for n in range(10)]
    steps = [*urgent, *planned, *first, *second]
    budget = PermitBudget(
        steps, calls(7), UNLIMITED, {step.key for step in urgent}
    )
    for step in steps:
        budget.add(step, request(step))
    assert budget.requests() == tuple(
        map(request, [*urgent[:5], first[0], second[0]])
    )


def test_urgent_calls_under_way_leave_one_to_each_other_queue() -> None:
    urgent = [
        make_step(f"u{n}", queue="services", has_call=n < 5) for n in range(9)
    ]
    others = [make_step(f"a{n}", queue=f"q{n % 2}") for n in range(9)]
    budget = PermitBudget(
        [*urgent, *others], calls(2), UNLIMITED, {step.key for step in urgent}
    )
    for step in [*urgent[5:], *others]:
        budget.add(step, request(step))
    assert budget.requests() == tuple(map(request, others[:2]))


def test_urgent_steps_use_what_other_queues_leave() -> None:
    urgent = [make_step(f"u{n}", queue="services") for n in range(9)]
    others = [make_step(f"a{n}", queue=f"q{n % 2}") for n in range(9)]
    budget = PermitBudget(
        [*urgent, *others], calls(7), UNLIMITED, {step.key for step in urgent}
    )
    for step in urgent:
        budget.add(step, request(step))
    assert budget.requests() == tuple(map(request, urgent[:7]))


# Incident SHORT: a third of the calls was too little for the most urgent
# queue, while less urgent ones used theirs for work that had no room.
def test_the_first_queue_may_use_half_of_the_calls() -> None:
    first = [make_step(f"a{n}", queue="a") for n in range(12)]
    others = [make_step(f"b{n}", queue=f"q{n % 2}") for n in range(24)]
    budget = PermitBudget([*first, *others], calls(16), UNLIMITED)
    for step in [*others, *first]:
        budget.add(step, request(step))
    requested = [asked.step for asked in budget.requests()]
    assert set(requested) == {step.key for step in [*first[:8], *others[:8]]}


def test_the_first_queue_gets_no_more_than_it_can_use() -> None:
    first = [make_step(f"a{n}", queue="a") for n in range(3)]
    others = [make_step(f"b{n}", queue=f"q{n % 2}") for n in range(24)]
    budget = PermitBudget([*first, *others], calls(17), UNLIMITED)
    for step in [*first, *others]:
        budget.add(step, request(step))
    requested = {asked.step for asked in budget.requests()}
    assert requested == {step.key for step in [*first, *others[:14]]}
