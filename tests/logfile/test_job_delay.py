"""Causes of delays, each from the log lines of one job."""

from __future__ import annotations

import pytest

from magnoliapitch.logfile import DelayCause
from magnoliapitch.logfile import find_delays
from magnoliapitch.logfile import parse_events


def lines(*events: str) -> list[str]:
    """Return log lines; each event is its second, name and fields."""
    return [
        f"time=2026-12-03T10:00:{second}Z event={name} instance=a {fields}"
        for second, name, fields in (event.split(" ", 2) for event in events)
    ]


STORED = "01.000 call-answered job=0a call=submit queue=q outcome=stored"
REFUSED = "01.000 call-answered job=0a call=submit queue=q outcome=not_run"
STARTED = "05.000 step-starting job=0a step=0"
DONE = "06.000 step-done job=0a step=0 outcome=completed"


@pytest.mark.parametrize(
    ("cause", "events"),
    [
        (DelayCause.ROOM, [STORED, STARTED, DONE]),
        (
            DelayCause.STORE,
            [f'{REFUSED} reason="the store does not answer"', STARTED, DONE],
        ),
        (DelayCause.REFUSED, [f'{REFUSED} reason="busy"', STARTED, DONE]),
        (
            DelayCause.HAND_OVER,
            [
                STORED,
                "02.000 leadership-resigned outcome=stored",
                "04.000 leadership-begun epoch=2",
                STARTED,
                DONE,
            ],
        ),
        (
            DelayCause.HAND_OVER,
            [
                STORED,
                "02.000 leadership-claimed epoch=2",
                "02.100 leadership-begun epoch=2",
                STARTED,
                DONE,
            ],
        ),
        (
            DelayCause.ADVISOR,
            [STORED, "04.900 advice-failed job=0a step=0", STARTED, DONE],
        ),
        (
            DelayCause.SILENT_WORKER,
            [
                STORED,
                "01.100 step-starting job=0a step=0",
                "04.900 run-absent job=0a task=1",
                STARTED,
                DONE,
            ],
        ),
        (
            DelayCause.FAILED_RUN,
            [
                STORED,
                "01.100 step-starting job=0a step=0",
                "04.900 run-ended job=0a task=1 kind=failed",
                STARTED,
                DONE,
            ],
        ),
        (
            DelayCause.RUNNING,
            [STORED, "01.100 step-starting job=0a step=0", DONE],
        ),
    ],
)
def test_the_cause_of_most_of_the_time_is_named(
    cause: DelayCause, events: list[str]
) -> None:
    (delay,) = find_delays(parse_events(lines(*events)), 3_000)
    assert delay.cause is cause
    assert delay.end_after_ms == 5_000


def test_jobs_that_were_complete_in_time_are_left_out() -> None:
    events = parse_events(lines(STORED, STARTED, DONE))
    assert find_delays(events, 5_000) == []


def test_a_job_that_never_ended_is_named() -> None:
    events = parse_events(lines(STORED, STARTED))
    (delay,) = find_delays(events, 60_000)
    assert delay.start_after_ms == 4_000
    assert delay.end_after_ms is None


def test_a_job_of_which_only_the_submission_is_known_is_named() -> None:
    (delay,) = find_delays(parse_events(lines(STORED)), 3_000)
    assert delay.start_after_ms is None


def test_a_job_whose_submission_is_missing_is_left_out() -> None:
    assert find_delays(parse_events(lines(STARTED, DONE)), 0) == []
