from __future__ import annotations

import pytest

from magnoliapitch.history.request import ExecutionEnded
from magnoliapitch.history.request import ExecutionStarted
from magnoliapitch.history.request import RequestEvent
from magnoliapitch.history.request import RequestSent
from magnoliapitch.history.request import ResponseReceived
from magnoliapitch.history.request import check_requests
from magnoliapitch.verdict import Verdict


VALID_HISTORY: tuple[RequestEvent, ...] = (
    RequestSent("a1", "a", b"a"),
    ExecutionStarted("a1", "s"),
    RequestSent("a2", "a", b"a"),
    ExecutionEnded("a1", "s"),
    ResponseReceived("a1", Verdict.MAY_HAVE_RUN),
    ResponseReceived("a2", None, b"a"),
    RequestSent("b1", "b", b"b"),
    ResponseReceived("b1", Verdict.NOT_RUN),
)


def test_checker_accepts_a_valid_history() -> None:
    assert check_requests(VALID_HISTORY, slots=1) == ()


@pytest.mark.parametrize(
    ("extra", "invariant"),
    [
        (
            (ResponseReceived("a1", Verdict.MAY_HAVE_RUN),),
            "one response per attempt",
        ),
        ((RequestSent("c1", "c", b"c"),), "one response per attempt"),
        (
            (ResponseReceived("x", Verdict.NOT_RUN),),
            "one response per attempt",
        ),
        (
            (RequestSent("a3", "a", b"a"), ResponseReceived("a3", None, b"b")),
            "response belongs to request",
        ),
        (
            (ExecutionStarted("b1", "s"), ExecutionEnded("b1", "s")),
            "no execution after not_run",
        ),
        (
            (ExecutionStarted("a2", "s"), ExecutionEnded("a2", "s")),
            "at most one execution",
        ),
        (
            (RequestSent("c1", "c", b"c"), ResponseReceived("c1", None, b"c")),
            "result only after an execution",
        ),
        (
            (
                RequestSent("c1", "c", b"c", is_idempotent=True),
                ExecutionStarted("c1", "s"),
                ExecutionStarted("c1", "s"),
                ResponseReceived("c1", None, b"c"),
            ),
            "slot limit",
        ),
    ],
)
def test_checker_finds_each_violation(
    extra: tuple[RequestEvent, ...], invariant: str
) -> None:
    found = check_requests((*VALID_HISTORY, *extra), slots=1)
    assert {item.invariant for item in found} == {invariant}
