"""A new leader builds its state from many jobs, and frees it at the end."""

from __future__ import annotations

import gc
import itertools
import threading

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from magnoliapitch.clock import ManualClock
from magnoliapitch.collector import collections_paused
from magnoliapitch.ledger.claim_delay import LEADER_TIMEOUT_MS
from magnoliapitch.ledger.records import JOB_PREFIX
from magnoliapitch.ledger.records import encode_job
from magnoliapitch.planner.tracked_job import TrackedJob
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.control.test_driver import EmptyFollower
from tests.control.test_driver import NoSystems
from tests.control.test_driver import SlowLeadership
from tests.control.test_driver import make_driver
from tests.control.test_driver import step_until


if TYPE_CHECKING:
    from magnoliapitch.control.driver import ControlDriver
    from magnoliapitch.verdict import Failure


ADDING_MS = 200


class KeptLeadership(SlowLeadership):
    """Records when the claim is stored again.

    :ivar outcome: answer to each call that stores the claim again.
    """

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(clock)
        self.outcome: Result[None, Failure] = Ok(None)
        self.kept_ms: list[int] = []
        self.is_kept = threading.Event()

    def keep_claim(self) -> Result[None, Failure]:
        self.kept_ms.append(self._clock.now_ms())
        self.is_kept.set()
        return self.outcome


class SlowlyAddedJobs:
    """Stored jobs, each of which takes an instance long to add.

    :ivar added_count: number of jobs that were added.
    """

    def __init__(
        self, clock: ManualClock, leadership: KeptLeadership, count: int
    ) -> None:
        self.follower = EmptyFollower()
        self.added_count = 0
        self._clock = clock
        self._leadership = leadership
        for number in range(count):
            spec = JobSpec(f"j{number}", "q", "", (StepSpec(1),))
            key = JOB_PREFIX + spec.job_id
            self.follower.job_table.apply({key: encode_job(spec)}, (key,))

    def configuration(self) -> None:
        """Take the time of a job; the queue of each is looked up once."""
        self.added_count += 1
        self._leadership.is_kept.clear()
        self._clock.advance(ADDING_MS)
        # Another thread stores the claim.
        self._leadership.is_kept.wait(0.05)


def prepare_slowly(
    count: int, outcome: Result[None, Failure]
) -> tuple[KeptLeadership, SlowlyAddedJobs, ControlDriver]:
    clock = ManualClock(0)
    leadership = KeptLeadership(clock)
    leadership.outcome = outcome
    jobs = SlowlyAddedJobs(clock, leadership, count)
    driver = make_driver(
        clock,
        leadership,
        NoSystems(),
        NoSystems(),
        follower=jobs.follower,
        configuration=jobs.configuration,
    )
    leadership.claim_with(epoch=1)
    driver.step()
    leadership.release.set()
    return leadership, jobs, driver


# Each new leader was taken for lost before its first heartbeat, and so was
# the next one: nobody led any more.
def test_the_claim_is_kept_while_the_state_is_built() -> None:
    leadership, jobs, _ = prepare_slowly(30, Ok(None))
    assert jobs.added_count >= 30
    last_ms = jobs.added_count * ADDING_MS
    times_ms = [0, *leadership.kept_ms, last_ms]
    gaps_ms = [
        later - earlier for earlier, later in itertools.pairwise(times_ms)
    ]
    assert max(gaps_ms) < LEADER_TIMEOUT_MS


def test_an_instance_that_was_replaced_builds_no_further() -> None:
    fenced = Err(not_run(FailureCode.FENCED, "a higher epoch was seen"))
    leadership, jobs, driver = prepare_slowly(30, fenced)
    assert jobs.added_count < 30
    assert leadership.claim is None
    assert driver._controller is None


def tracked_job_count() -> int:
    return sum(isinstance(found, TrackedJob) for found in gc.get_objects())


# The state of a former leadership lay in memory beside that of the next one.
def test_the_state_is_freed_when_the_leadership_ends() -> None:
    gc.collect()
    earlier_count = tracked_job_count()
    _, _, driver = prepare_slowly(30, Ok(None))
    assert driver._controller is not None
    assert tracked_job_count() == earlier_count + 30
    with collections_paused():
        driver._controller.stop_leading("the test ends it")
        step_until(driver, lambda: driver._controller is None)
        assert tracked_job_count() == earlier_count
