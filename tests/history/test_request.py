from __future__ import annotations

import pytest

from magnoliapitch.history.request import Answered
from magnoliapitch.history.request import Asked
from magnoliapitch.history.request import Ended
from magnoliapitch.history.request import RequestEvent
from magnoliapitch.history.request import Started
from magnoliapitch.history.request import check_requests
from magnoliapitch.verdict import Verdict


GOOD: tuple[RequestEvent, ...] = (
    Asked("a1", "a", b"a"),
    Started("a1", "s"),
    Asked("a2", "a", b"a"),
    Ended("a1", "s"),
    Answered("a1", Verdict.MAY_HAVE_RUN),
    Answered("a2", None, b"a"),
    Asked("b1", "b", b"b"),
    Answered("b1", Verdict.NOT_RUN),
)


def test_checker_accepts_a_history_that_keeps_every_promise() -> None:
    assert check_requests(GOOD, slots=1) == ()


@pytest.mark.parametrize(
    ("extra", "promise"),
    [
        ((Answered("a1", Verdict.MAY_HAVE_RUN),), "one answer"),
        ((Asked("c1", "c", b"c"),), "one answer"),
        ((Answered("x", Verdict.NOT_RUN),), "one answer"),
        (
            (Asked("a3", "a", b"a"), Answered("a3", None, b"b")),
            "own answer",
        ),
        ((Started("b1", "s"), Ended("b1", "s")), "no run after not_run"),
        ((Started("a2", "s"), Ended("a2", "s")), "at most one run"),
        (
            (Asked("c1", "c", b"c"), Answered("c1", None, b"c")),
            "result of a run",
        ),
        (
            (
                Asked("c1", "c", b"c", is_idempotent=True),
                Started("c1", "s"),
                Started("c1", "s"),
                Answered("c1", None, b"c"),
            ),
            "slots kept",
        ),
    ],
)
def test_checker_finds_each_broken_promise(
    extra: tuple[RequestEvent, ...], promise: str
) -> None:
    found = check_requests((*GOOD, *extra), slots=1)
    assert {item.promise for item in found} == {promise}
