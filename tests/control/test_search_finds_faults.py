"""The searches find faults again that the review and the users have found.

Each fix is taken out by a patch, and cases are drawn until one fails.
"""

from __future__ import annotations

import random

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import pytest

from hypothesis import Phase
from hypothesis import find
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.strategies import SearchStrategy

from magnoliapitch.control.job_loader import JobLoader
from magnoliapitch.ledger.elapsed_clock import ElapsedClock
from magnoliapitch.planner.tracked import TrackedStep
from magnoliapitch.workload.run import EndKind
from tests.control.job_strategies import jobs
from tests.control.job_strategies import schedules
from tests.control.test_accepted_jobs_search import JOB_COUNT
from tests.control.test_accepted_jobs_search import KINDS
from tests.control.test_accepted_jobs_search import Search
from tests.control.test_leaders_lost_at_each_step import CASES
from tests.control.test_leaders_lost_at_each_step import LostLeader


MAX_CASES = 60


def _play_search(case: Any) -> None:
    specs, schedule = case
    search = Search(list(specs))
    search.play(schedule)
    search.check()


def _play_lost_leader(case: Any) -> None:
    lost = LostLeader(case)
    lost.play()
    lost.check()


class _Kind(NamedTuple):
    cases: SearchStrategy[Any]
    play: Callable[[Any], None]


ACCEPTED_JOBS = _Kind(
    st.tuples(
        st.tuples(*(jobs(f"j{number}") for number in range(JOB_COUNT))),
        schedules(KINDS),
    ),
    _play_search,
)
LOST_LEADERS = _Kind(CASES, _play_lost_leader)


class Mutant(NamedTuple):
    """A fix that is taken out.

    :param patch: what stands in its place.
    :param kind: the search that is to find the fault.
    """

    owner: type
    name: str
    patch: Callable[..., Any]
    kind: _Kind


def _skip_unknown_queues(original: Callable[..., Any]) -> Callable[..., Any]:
    def add(loader: Any, stored: Any, now_ms: int) -> None:
        queues = loader._configuration().queues_by_name
        if stored.spec is not None and stored.spec.queue in queues:
            original(loader, stored, now_ms)

    return add


MUTANTS = {
    "review/4: jobs of queues that were removed are left out": Mutant(
        JobLoader, "_add", _skip_unknown_queues(JobLoader._add), ACCEPTED_JOBS
    ),
    "review/5: services that end as done are done": Mutant(
        TrackedStep,
        "is_completed_by",
        lambda _, kind: kind is EndKind.DONE,
        ACCEPTED_JOBS,
    ),
    "LOST: leases rest on claims": Mutant(
        ElapsedClock,
        "_basis_ms",
        lambda _, stamp: stamp.elapsed_ms,
        LOST_LEADERS,
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_a_search_finds_a_fault_whose_fix_is_taken_out(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    mutant = MUTANTS[name]
    monkeypatch.setattr(mutant.owner, mutant.name, mutant.patch)
    played = 0

    def fails(case: Any) -> bool:
        nonlocal played
        played += 1
        try:
            mutant.kind.play(case)
        except (AssertionError, TimeoutError):
            return True
        return False

    # Without a failure among them, this raises an error.
    find(
        mutant.kind.cases,
        fails,
        settings=settings(
            max_examples=MAX_CASES,
            phases=[Phase.generate],
            deadline=None,
            database=None,
        ),
        random=random.Random(0),
    )
    print(f"{name}: found in case {played}")
