from __future__ import annotations

import pytest

from magnoliapitch.history import Event
from magnoliapitch.history import JobAccepted
from magnoliapitch.history import JobCancelled
from magnoliapitch.history import LeaseEnded
from magnoliapitch.history import LeaseStarted
from magnoliapitch.history import OffsetApplied
from magnoliapitch.history import TaskFinished
from magnoliapitch.history import WorkerCapacityReported
from magnoliapitch.history import check_history
from magnoliapitch.resource import Resources


ONE = Resources(1_000)
CAPACITIES: list[Event] = [
    WorkerCapacityReported(0, "w1", ONE),
    WorkerCapacityReported(0, "w2", ONE),
]
VALID_RUN: list[Event] = [
    *CAPACITIES,
    JobAccepted(0, "j", 1),
    LeaseStarted(10, "w1", "j/0/0", ONE),
    LeaseEnded(20, "w1", "j/0/0"),
    TaskFinished(25, "j", 0),
]
V1 = (("roster", 1),)
V2 = (("roster", 2),)

INVALID_HISTORIES: dict[str, list[Event]] = {
    "one-place": [
        *CAPACITIES,
        LeaseStarted(10, "w1", "j/0/0", ONE),
        LeaseStarted(19, "w2", "j/0/1", ONE),
        LeaseEnded(20, "w1", "j/0/0"),
    ],
    "capacity": [
        *CAPACITIES,
        LeaseStarted(10, "w1", "j/0/0", ONE),
        LeaseStarted(19, "w1", "k/0/0", ONE),
        LeaseEnded(20, "w1", "j/0/0"),
    ],
    "job-end": [*CAPACITIES, JobAccepted(0, "j", 1)],
    "job-end-twice": [*VALID_RUN, TaskFinished(30, "j", 0)],
    "no-rerun": [
        *VALID_RUN,
        LeaseStarted(26, "w2", "j/0/1", ONE),
        LeaseEnded(27, "w2", "j/0/1"),
    ],
    "configuration": [OffsetApplied(1, "a", 5), OffsetApplied(2, "a", 4)],
    "configuration-differs": [
        OffsetApplied(1, "a", 5, V1),
        OffsetApplied(2, "b", 5, V2),
    ],
}


@pytest.mark.parametrize("name", INVALID_HISTORIES)
def test_checker_finds_the_violation(name: str) -> None:
    (violation,) = check_history(INVALID_HISTORIES[name])
    assert name.startswith(violation.invariant)


def test_checkers_accept_a_valid_history() -> None:
    more_events: list[Event] = [
        LeaseStarted(20, "w1", "k/0/0", ONE),
        LeaseEnded(40, "w1", "k/0/0"),
        JobAccepted(0, "k", 1),
        JobCancelled(39, "k"),
        OffsetApplied(1, "a", 5, V1),
        OffsetApplied(2, "b", 5, V1),
    ]
    assert check_history([*VALID_RUN, *more_events]) == ()
