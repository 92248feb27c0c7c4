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
from magnoliapitch.control.reachability import WorkerReachability
from magnoliapitch.control.stored_leases import StoredLeases
from magnoliapitch.control.timing import LEASE_EXPIRY_MARGIN_MS
from magnoliapitch.control.timing import MIN_CLOCK_RATE_RATIO
from magnoliapitch.control.timing import ControlTiming
from magnoliapitch.ledger.elapsed_clock import ElapsedClock
from magnoliapitch.ledger.elapsed_clock import LeaderClock
from magnoliapitch.planner import restore
from magnoliapitch.planner.ahead_requests import AheadRequests
from magnoliapitch.planner.scheduler_state import SchedulerState
from magnoliapitch.planner.tracked import TrackedStep
from magnoliapitch.planner.tracked_task import TrackedTask
from magnoliapitch.workload.run import EndedRun
from magnoliapitch.workload.run import EndKind
from tests.control.job_strategies import jobs
from tests.control.job_strategies import schedules
from tests.control.test_accepted_jobs_search import JOB_COUNT
from tests.control.test_accepted_jobs_search import KINDS
from tests.control.test_accepted_jobs_search import Search
from tests.control.test_attempts_under_faults import EFFECTS_TYPES
from tests.control.test_attempts_under_faults import FailingRun
from tests.control.test_leaders_lost_at_each_step import CASES
from tests.control.test_leaders_lost_at_each_step import LostLeader
from tests.control.test_time_without_run import CASES as WAIT_CASES
from tests.control.test_time_without_run import play as play_wait


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


def _play_failing_runs(case: Any) -> None:
    run = FailingRun(*case)
    run.play()
    run.check()


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
WAITS = _Kind(WAIT_CASES, play_wait)
FAILING_RUNS = _Kind(
    st.tuples(st.integers(0, 100_000), st.sampled_from(EFFECTS_TYPES)),
    _play_failing_runs,
)


class Mutant(NamedTuple):
    """A fix that is taken out.

    :param patch: what stands in its place.
    :param kind: the search that is to find the fault.
    """

    owner: Any
    name: str
    patch: Any
    kind: _Kind


def _skip_unknown_queues(original: Callable[..., Any]) -> Callable[..., Any]:
    def add(loader: Any, stored: Any, now_ms: int) -> None:
        queues = loader._configuration().queues_by_name
        if stored.spec is not None and stored.spec.queue in queues:
            original(loader, stored, now_ms)

    return add


def _restore_without_failures(original: Callable[..., Any]) -> Any:
    def restore_task(
        state: Any, task: Any, progress: Any, now_ms: int
    ) -> None:
        forgotten = progress._replace(failures=0, failed_runs=())
        original(state, task, forgotten, now_ms)

    return restore_task


def _ignore_ends_of_lost_runs(original: Callable[..., Any]) -> Any:
    def record_end(
        state: Any, worker_id: str, end: EndedRun, now_ms: int
    ) -> bool:
        is_tracked = state.run(end.task, end.run, worker_id) is not None
        if end.kind is EndKind.FAILED and not is_tracked:
            return False
        return bool(original(state, worker_id, end, now_ms))

    return record_end


def _takeover_ms_and_a_second(timing: ControlTiming) -> int:
    longest_ms = (timing.lease_ms + 1_000) / MIN_CLOCK_RATE_RATIO
    return int(longest_ms) + LEASE_EXPIRY_MARGIN_MS


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
    "LOST, issue 46: the wait for leases begins anew": Mutant(
        ElapsedClock,
        "continue_as",
        lambda _, epoch, former, now_ms: LeaderClock(epoch, epoch, -now_ms),
        WAITS,
    ),
    "LOST, issue 46: stored silence is not used": Mutant(
        StoredLeases, "inherited_end_ms", lambda *_: None, WAITS
    ),
    "LOST: leases are waited for a second longer": Mutant(
        ControlTiming,
        "takeover_ms",
        property(_takeover_ms_and_a_second),
        WAITS,
    ),
    "LOST: advice is asked for after the wait": Mutant(
        AheadRequests, "request", lambda *_: None, WAITS
    ),
    "LOST: suspects are held anew by each leader": Mutant(
        WorkerReachability, "lost_ms", WorkerReachability.silent_ms, WAITS
    ),
    "BUDGET, issue 57: failed runs are forgotten with the leader": Mutant(
        restore,
        "_restore_task",
        _restore_without_failures(restore._restore_task),
        FAILING_RUNS,
    ),
    "LOST, issue 57: each member of a gang counts": Mutant(
        TrackedTask, "_has_counted_failure", lambda *_: False, FAILING_RUNS
    ),
    "BUDGET, issue 57: failed runs that were given up do not count": Mutant(
        SchedulerState,
        "record_end",
        _ignore_ends_of_lost_runs(SchedulerState.record_end),
        FAILING_RUNS,
    ),
    "BUDGET: tasks start whatever has failed": Mutant(
        TrackedStep, "has_failed", property(lambda _: False), FAILING_RUNS
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
