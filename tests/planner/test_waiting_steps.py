"""Of the steps that may start, rounds consider a limited number."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING

from magnoliapitch.planner import SchedulerState
from magnoliapitch.planner.waiting_steps import MAX_CONSIDERED_STEPS
from magnoliapitch.planner.waiting_steps import WaitingSteps
from magnoliapitch.workload.configuration import Queue
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from magnoliapitch.workload.run import Permit


if TYPE_CHECKING:
    from magnoliapitch.planner.tracked import TrackedStep


# Enough exchanges for every step behind to have been considered.
MAX_EXCHANGES = 60


def steps_of(queue: str, count: int, prefix: str = "j") -> list[TrackedStep]:
    state = SchedulerState()
    spec = JobSpec("", queue, "", (StepSpec(1),))
    return [
        state.add_job(
            spec._replace(job_id=f"{prefix}{number:05}"),
            Queue(queue, "h", "/", "app"),
            0,
        ).steps[0][0]
        for number in range(count)
    ]


def add_all(waiting: WaitingSteps, steps: list[TrackedStep]) -> None:
    for step in steps:
        waiting.add(step)


def exchange(waiting: WaitingSteps, now_ms: int = 0) -> None:
    """Begin a round that ranks steps by their ids."""
    ranked = sorted(waiting.considered.values(), key=lambda step: step.key)
    waiting.exchange(ranked, now_ms)


def test_all_steps_are_considered_while_few_wait() -> None:
    waiting = WaitingSteps()
    steps = steps_of("q", MAX_CONSIDERED_STEPS)
    add_all(waiting, steps)
    exchange(waiting)
    assert list(waiting.considered.values()) == steps
    assert not waiting.behind_count


# All of 50,000 waiting steps were ranked in each round.
def test_of_many_steps_a_limited_number_is_considered() -> None:
    waiting = WaitingSteps()
    steps = steps_of("q", 3 * MAX_CONSIDERED_STEPS)
    add_all(waiting, steps)
    for _ in range(5):
        exchange(waiting)
        assert len(waiting.considered) == MAX_CONSIDERED_STEPS
        assert waiting.behind_count == 2 * MAX_CONSIDERED_STEPS


def test_every_step_is_considered_in_turn_and_the_best_stay() -> None:
    waiting = WaitingSteps()
    steps = steps_of("q", 3 * MAX_CONSIDERED_STEPS)
    best = {step.key for step in steps[: MAX_CONSIDERED_STEPS // 2]}
    add_all(waiting, steps)
    unseen = {step.key for step in steps}
    for _ in range(MAX_EXCHANGES):
        exchange(waiting)
        unseen -= waiting.considered.keys()
        assert best <= waiting.considered.keys()
    assert not unseen


def test_steps_that_rank_better_than_those_considered_replace_them() -> None:
    waiting = WaitingSteps()
    steps = steps_of("q", 3 * MAX_CONSIDERED_STEPS)
    best = {step.key for step in steps[: MAX_CONSIDERED_STEPS // 2]}
    add_all(waiting, list(reversed(steps)))
    for _ in range(MAX_EXCHANGES):
        exchange(waiting)
    assert best <= waiting.considered.keys()


def test_a_backlog_of_one_queue_keeps_no_other_from_the_next_round() -> None:
    waiting = WaitingSteps()
    add_all(waiting, steps_of("q", 3 * MAX_CONSIDERED_STEPS, "a"))
    exchange(waiting)
    others = steps_of("r", 100, "z")
    add_all(waiting, others)
    exchange(waiting)
    assert {step.key for step in others} <= waiting.considered.keys()
    # Both have a backlog then.
    add_all(waiting, steps_of("r", 3 * MAX_CONSIDERED_STEPS, "y"))
    for _ in range(MAX_EXCHANGES):
        exchange(waiting)
    queues = [step.job.spec.queue for step in waiting.considered.values()]
    assert queues.count("q") == queues.count("r") == MAX_CONSIDERED_STEPS // 2


def test_new_steps_do_not_wait_for_all_that_were_considered() -> None:
    waiting = WaitingSteps()
    add_all(waiting, steps_of("q", 10 * MAX_CONSIDERED_STEPS, "z"))
    for _ in range(MAX_EXCHANGES):
        exchange(waiting)
    new = steps_of("q", 1, "a")
    add_all(waiting, new)
    exchange(waiting)
    assert new[0].key in waiting.considered


def test_steps_with_a_ticket_or_a_call_stay() -> None:
    waiting = WaitingSteps()
    steps = steps_of("q", MAX_CONSIDERED_STEPS, "z")
    with_ticket, with_call = steps[-2:]
    with_ticket.record_permits(["w"], [Permit("w", "ticket")], 1_000)
    with_call.in_flight_worker_ids = frozenset(["w"])
    add_all(waiting, steps)
    add_all(waiting, steps_of("q", MAX_CONSIDERED_STEPS, "k"))
    exchange(waiting, 999)
    assert with_ticket.key in waiting.considered
    assert with_call.key in waiting.considered
    exchange(waiting, 1_000)
    assert with_ticket.key not in waiting.considered
    assert with_call.key in waiting.considered


def test_a_service_that_goes_down_is_considered_next() -> None:
    state = SchedulerState()
    spec = JobSpec("s", "q", "", (StepSpec(1, is_long_running=True),))
    job = state.add_job(spec, Queue("q", "h", "/", "app"), 0)
    service = job.steps[0][0]
    service.tasks[0].runs = 1
    waiting = WaitingSteps()
    add_all(waiting, steps_of("q", 10 * MAX_CONSIDERED_STEPS))
    exchange(waiting)
    waiting.add(service)
    exchange(waiting)
    assert service.key in waiting.considered


def test_steps_that_start_or_end_are_removed_wherever_they_are() -> None:
    waiting = WaitingSteps()
    steps = steps_of("q", 2 * MAX_CONSIDERED_STEPS)
    add_all(waiting, steps)
    exchange(waiting)
    for step in steps:
        # A second task of it may wait.
        waiting.add(step)
    assert waiting.behind_count == MAX_CONSIDERED_STEPS
    for step in steps:
        waiting.discard(step)
        waiting.discard(step)
    assert not waiting.considered
    assert not waiting.behind_count
    exchange(waiting)
    assert not waiting.considered


def test_all_steps_are_listed_wherever_they_are() -> None:
    waiting = WaitingSteps()
    steps = steps_of("q", 2 * MAX_CONSIDERED_STEPS)
    add_all(waiting, steps)
    exchange(waiting)
    exchange(waiting)
    assert sorted(step.key for step in waiting) == sorted(
        step.key for step in steps
    )
    assert {step.key for step in islice(waiting, MAX_CONSIDERED_STEPS)} == (
        waiting.considered.keys()
    )


def test_steps_of_a_closed_job_make_room_for_those_behind() -> None:
    state = SchedulerState()
    queue = Queue("q", "h", "/", "app")
    steps = tuple(StepSpec(1) for _ in range(MAX_CONSIDERED_STEPS))
    state.add_job(JobSpec("a", "q", "", steps), queue, 0)
    state.add_job(JobSpec("b", "q", "", steps), queue, 0)
    assert state.steps_behind == MAX_CONSIDERED_STEPS
    state.cancel_job("a")
    state.exchange_waiting_steps([], 0)
    assert not state.steps_behind
    assert {key.job_id for key in state.waiting_steps} == {"b"}
