from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err
from result import Ok

from magnoliapitch.clock import ManualClock
from magnoliapitch.clock import MonotonicClock
from magnoliapitch.peer.message import ForwardedAnswer
from magnoliapitch.request.execution_registry import ExecutionRegistry
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.request.dispatcher import Outcome


ANSWER: Outcome = Ok(ForwardedAnswer("r", 200, b"x" * 100))
JOIN_TIMEOUT_S = 30


def _run(
    registry: ExecutionRegistry, name: str, outcome: Outcome = ANSWER
) -> Outcome:
    registry.register(name, "d", 1_000)
    return registry.run(name, "d", 0, lambda: outcome)


def test_registry_never_runs_an_unknown_name() -> None:
    outcome = ExecutionRegistry(ManualClock()).run("n", "d", 0, lambda: ANSWER)
    assert outcome.unwrap_err().verdict is Verdict.MAY_HAVE_RUN


def test_registry_repeats_an_answer_and_refuses_another_body() -> None:
    registry = ExecutionRegistry(ManualClock())
    assert _run(registry, "n") == ANSWER
    assert _run(registry, "n", Err(not_run(FailureCode.STALE, ""))) == ANSWER
    failure = registry.run("n", "other", 0, lambda: ANSWER).unwrap_err()
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.code is FailureCode.CONFLICT


def test_registry_runs_a_name_again_after_it_was_not_run() -> None:
    registry = ExecutionRegistry(ManualClock())
    refusal: Outcome = Err(not_run(FailureCode.OVERLOADED, "full"))
    assert _run(registry, "n", refusal) == refusal
    assert _run(registry, "n") == ANSWER


def test_registry_reports_that_a_request_with_a_dropped_answer_ran() -> None:
    registry = ExecutionRegistry(ManualClock(), answers_max_bytes=250)
    for name in "abc":
        _run(registry, name)
    assert _run(registry, "a").unwrap_err().verdict is Verdict.RAN
    assert _run(registry, "c") == ANSWER


def test_registry_that_is_full_refuses_until_executions_expire() -> None:
    clock = ManualClock()
    registry = ExecutionRegistry(clock, max_executions=1)
    _run(registry, "a")
    failure = registry.register("b", "d", 2_000)
    assert failure is not None
    assert failure.verdict is Verdict.NOT_RUN
    clock.advance(1_000)
    assert registry.register("b", "d", 2_000) is None
    late = registry.register("a", "d", 1_000)
    assert late is not None
    assert late.verdict is Verdict.MAY_HAVE_RUN


def test_registry_shares_an_outcome_and_times_out_as_may_have_run() -> None:
    registry = ExecutionRegistry(MonotonicClock())
    registry.register("n", "d", 2**62)
    entered, may_finish = threading.Event(), threading.Event()
    runs: list[int] = []

    def execute() -> Outcome:
        runs.append(1)
        entered.set()
        may_finish.wait(JOIN_TIMEOUT_S)
        return ANSWER

    outcomes: list[Outcome] = []
    first = threading.Thread(
        target=lambda: outcomes.append(registry.run("n", "d", 2**62, execute))
    )
    first.start()
    entered.wait(JOIN_TIMEOUT_S)
    timed_out = registry.run("n", "d", 0, execute).unwrap_err()
    assert timed_out.verdict is Verdict.MAY_HAVE_RUN
    second = threading.Thread(
        target=lambda: outcomes.append(
            registry.run("n", "d", MonotonicClock().now_ms() + 30_000, execute)
        )
    )
    second.start()
    may_finish.set()
    first.join(JOIN_TIMEOUT_S)
    second.join(JOIN_TIMEOUT_S)
    assert outcomes == [ANSWER, ANSWER]
    assert len(runs) == 1
