"""Checks histories of small requests."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.verdict import Verdict


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator


class Asked(NamedTuple):
    """A caller sent an attempt.

    :param attempt: unique id of the attempt.
    :param name: ticket, key or other name shared by attempts of a request.
    """

    attempt: str
    name: str
    body: bytes
    is_idempotent: bool = False


class Started(NamedTuple):
    """A backend server began to execute an attempt."""

    attempt: str
    server: str


class Ended(NamedTuple):
    """A backend server finished executing an attempt."""

    attempt: str
    server: str


class Answered(NamedTuple):
    """A caller got the answer to an attempt.

    :param verdict: verdict of a failure, or nothing for a result.
    :param body: what the result says the request was.
    """

    attempt: str
    verdict: Verdict | None
    body: bytes = b""


class Violation(NamedTuple):
    """A promise that a history breaks.

    :param promise: the promise, one of the functions below.
    """

    promise: str
    subject: str


RequestEvent = Asked | Started | Ended | Answered


def check_requests(
    events: Iterable[RequestEvent], slots: int
) -> tuple[Violation, ...]:
    """Return what a complete history breaks.

    :param slots: requests that a backend server executes at once.
    """
    history = tuple(events)
    return (
        *_one_answer(history),
        *_own_answer(history),
        *_no_run_after_not_run(history),
        *_at_most_one_run(history),
        *_result_of_a_run(history),
        *_slots_kept(history, slots),
    )


def _one_answer(history: tuple[RequestEvent, ...]) -> Iterator[Violation]:
    answers = Counter(e.attempt for e in history if isinstance(e, Answered))
    asked = {e.attempt for e in history if isinstance(e, Asked)}
    for attempt in sorted(asked | set(answers)):
        if attempt not in asked or answers[attempt] != 1:
            yield Violation("one answer", attempt)


def _own_answer(history: tuple[RequestEvent, ...]) -> Iterator[Violation]:
    bodies = {e.attempt: e.body for e in history if isinstance(e, Asked)}
    for event in history:
        if not isinstance(event, Answered) or event.verdict is not None:
            continue
        if event.body != bodies.get(event.attempt):
            yield Violation("own answer", event.attempt)


def _no_run_after_not_run(
    history: tuple[RequestEvent, ...],
) -> Iterator[Violation]:
    started = {e.attempt for e in history if isinstance(e, Started)}
    for event in history:
        is_not_run = (
            isinstance(event, Answered) and event.verdict is Verdict.NOT_RUN
        )
        if is_not_run and event.attempt in started:
            yield Violation("no run after not_run", event.attempt)


def _at_most_one_run(
    history: tuple[RequestEvent, ...],
) -> Iterator[Violation]:
    asked = {e.attempt: e for e in history if isinstance(e, Asked)}
    runs = Counter(
        asked[e.attempt].name
        for e in history
        if isinstance(e, Started)
        and e.attempt in asked
        and not asked[e.attempt].is_idempotent
    )
    for name, count in runs.items():
        if count > 1:
            yield Violation("at most one run", name)


def _result_of_a_run(
    history: tuple[RequestEvent, ...],
) -> Iterator[Violation]:
    names = {e.attempt: e.name for e in history if isinstance(e, Asked)}
    run = {names.get(e.attempt) for e in history if isinstance(e, Started)}
    for event in history:
        is_result = isinstance(event, Answered) and event.verdict is None
        if is_result and names.get(event.attempt) not in run:
            yield Violation("result of a run", event.attempt)


def _slots_kept(
    history: tuple[RequestEvent, ...], slots: int
) -> Iterator[Violation]:
    running: Counter[str] = Counter()
    for event in history:
        if isinstance(event, Started):
            running[event.server] += 1
            if running[event.server] > slots:
                yield Violation("slots kept", event.server)
        elif isinstance(event, Ended):
            running[event.server] -= 1
