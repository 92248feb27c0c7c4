"""Checks of recorded histories of small requests."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.verdict import Verdict


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator


class RequestSent(NamedTuple):
    """A caller sent one attempt of a request.

    :param attempt: unique id of the attempt.
    :param name: ticket, idempotency key or other name that all attempts
        of the request share.
    :param is_idempotent: whether the request may be executed repeatedly.
    """

    attempt: str
    name: str
    body: bytes
    is_idempotent: bool = False


class ExecutionStarted(NamedTuple):
    """A backend server began to execute an attempt."""

    attempt: str
    server: str


class ExecutionEnded(NamedTuple):
    """A backend server finished executing an attempt."""

    attempt: str
    server: str


class ResponseReceived(NamedTuple):
    """A caller received the response to an attempt.

    :param verdict: verdict of a failure; ``None`` for a result.
    :param body: the request's body, as echoed in a result.
    """

    attempt: str
    verdict: Verdict | None
    body: bytes = b""


class RequestViolation(NamedTuple):
    """Violation of an invariant by a history of requests.

    :param invariant: name of the invariant.
    :param subject: attempt, request name or backend server concerned.
    """

    invariant: str
    subject: str


RequestEvent = (
    RequestSent | ExecutionStarted | ExecutionEnded | ResponseReceived
)


def check_requests(
    events: Iterable[RequestEvent], slots: int
) -> tuple[RequestViolation, ...]:
    """Return the violations in a complete history of requests.

    :param slots: maximum number of requests that a backend server may
        execute at once.
    """
    history = tuple(events)
    return (
        *_check_response_count(history),
        *_check_echoed_body(history),
        *_check_not_run_verdicts(history),
        *_check_single_execution(history),
        *_check_results_have_execution(history),
        *_check_slot_limit(history, slots),
    )


def _check_response_count(
    history: tuple[RequestEvent, ...],
) -> Iterator[RequestViolation]:
    responses = Counter(
        item.attempt for item in history if isinstance(item, ResponseReceived)
    )
    sent = {item.attempt for item in history if isinstance(item, RequestSent)}
    for attempt in sorted(sent | set(responses)):
        if attempt not in sent or responses[attempt] != 1:
            yield RequestViolation("one response per attempt", attempt)


def _check_echoed_body(
    history: tuple[RequestEvent, ...],
) -> Iterator[RequestViolation]:
    bodies = {
        item.attempt: item.body
        for item in history
        if isinstance(item, RequestSent)
    }
    for event in history:
        if (
            not isinstance(event, ResponseReceived)
            or event.verdict is not None
        ):
            continue
        if event.body != bodies.get(event.attempt):
            yield RequestViolation(
                "response belongs to request", event.attempt
            )


def _check_not_run_verdicts(
    history: tuple[RequestEvent, ...],
) -> Iterator[RequestViolation]:
    started = {
        item.attempt for item in history if isinstance(item, ExecutionStarted)
    }
    for event in history:
        is_not_run = (
            isinstance(event, ResponseReceived)
            and event.verdict is Verdict.NOT_RUN
        )
        if is_not_run and event.attempt in started:
            yield RequestViolation("no execution after not_run", event.attempt)


def _check_single_execution(
    history: tuple[RequestEvent, ...],
) -> Iterator[RequestViolation]:
    sent = {
        item.attempt: item for item in history if isinstance(item, RequestSent)
    }
    executions = Counter(
        sent[item.attempt].name
        for item in history
        if isinstance(item, ExecutionStarted)
        and item.attempt in sent
        and not sent[item.attempt].is_idempotent
    )
    for name, count in executions.items():
        if count > 1:
            yield RequestViolation("at most one execution", name)


def _check_results_have_execution(
    history: tuple[RequestEvent, ...],
) -> Iterator[RequestViolation]:
    names = {
        item.attempt: item.name
        for item in history
        if isinstance(item, RequestSent)
    }
    executed = {
        names.get(item.attempt)
        for item in history
        if isinstance(item, ExecutionStarted)
    }
    for event in history:
        is_result = (
            isinstance(event, ResponseReceived) and event.verdict is None
        )
        if is_result and names.get(event.attempt) not in executed:
            yield RequestViolation(
                "result only after an execution", event.attempt
            )


def _check_slot_limit(
    history: tuple[RequestEvent, ...], slots: int
) -> Iterator[RequestViolation]:
    running: Counter[str] = Counter()
    for event in history:
        if isinstance(event, ExecutionStarted):
            running[event.server] += 1
            if running[event.server] > slots:
                yield RequestViolation("slot limit", event.server)
        elif isinstance(event, ExecutionEnded):
            running[event.server] -= 1
