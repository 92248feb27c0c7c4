from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from result import Err
from result import Ok

from magnoliapitch.clock import ManualClock
from magnoliapitch.clock import MonotonicClock
from magnoliapitch.peer.message import ForwardedAnswer
from magnoliapitch.request.execution_registry import OnceBook
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import Verdict
from magnoliapitch.verdict import not_run


if TYPE_CHECKING:
    from magnoliapitch.request.dispatcher import Outcome


ANSWER: Outcome = Ok(ForwardedAnswer("r", 200, b"x" * 100))
JOIN_S = 30


def _run(book: OnceBook, name: str, outcome: Outcome = ANSWER) -> Outcome:
    book.open(name, "d", 1_000)
    return book.run(name, "d", 0, lambda: outcome)


def test_book_never_runs_a_name_it_does_not_know() -> None:
    outcome = OnceBook(ManualClock()).run("n", "d", 0, lambda: ANSWER)
    assert outcome.unwrap_err().verdict is Verdict.MAY_HAVE_RUN


def test_book_repeats_an_answer_and_refuses_another_body() -> None:
    book = OnceBook(ManualClock())
    assert _run(book, "n") == ANSWER
    assert _run(book, "n", Err(not_run(FailureCode.STALE, ""))) == ANSWER
    failure = book.run("n", "other", 0, lambda: ANSWER).unwrap_err()
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.code is FailureCode.CONFLICT


def test_book_lets_a_name_run_after_it_was_not_run() -> None:
    book = OnceBook(ManualClock())
    refusal: Outcome = Err(not_run(FailureCode.OVERLOADED, "full"))
    assert _run(book, "n", refusal) == refusal
    assert _run(book, "n") == ANSWER


def test_book_tells_that_a_dropped_answer_ran() -> None:
    book = OnceBook(ManualClock(), answers_max_bytes=250)
    for name in "abc":
        _run(book, name)
    assert _run(book, "a").unwrap_err().verdict is Verdict.RAN
    assert _run(book, "c") == ANSWER


def test_book_that_is_full_refuses_until_records_expire() -> None:
    clock = ManualClock()
    book = OnceBook(clock, records_max=1)
    _run(book, "a")
    failure = book.open("b", "d", 2_000)
    assert failure is not None
    assert failure.verdict is Verdict.NOT_RUN
    clock.advance(1_000)
    assert book.open("b", "d", 2_000) is None
    late = book.open("a", "d", 1_000)
    assert late is not None
    assert late.verdict is Verdict.MAY_HAVE_RUN


def test_book_joins_attempts_and_keeps_doubt_of_a_broken_one() -> None:
    book = OnceBook(MonotonicClock())
    book.open("n", "d", 2**62)
    entered, go_on = threading.Event(), threading.Event()
    runs: list[int] = []

    def execute() -> Outcome:
        runs.append(1)
        entered.set()
        go_on.wait(JOIN_S)
        return ANSWER

    found: list[Outcome] = []
    first = threading.Thread(
        target=lambda: found.append(book.run("n", "d", 2**62, execute))
    )
    first.start()
    entered.wait(JOIN_S)
    impatient = book.run("n", "d", 0, execute).unwrap_err()
    assert impatient.verdict is Verdict.MAY_HAVE_RUN
    second = threading.Thread(
        target=lambda: found.append(
            book.run("n", "d", MonotonicClock().now_ms() + 30_000, execute)
        )
    )
    second.start()
    go_on.set()
    first.join(JOIN_S)
    second.join(JOIN_S)
    assert found == [ANSWER, ANSWER]
    assert len(runs) == 1
