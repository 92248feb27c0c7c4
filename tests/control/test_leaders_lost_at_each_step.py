"""A leader is lost at any commit in the life of some jobs, with a worker.

CI draws the same cases each time; see ``test_accepted_jobs_search.py``.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job import JobSpec
from magnoliapitch.workload.job import StepSpec
from tests.control.search_settings import search_settings
from tests.control.simulation import TIMING
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


SIZE = Resources(1_000, 2_000)
SERVICE = JobSpec(
    "service", "q", "text", (StepSpec(2, SIZE, is_long_running=True),)
)
JOBS = (
    SERVICE,
    JobSpec(
        "steps",
        "q",
        "text",
        (
            StepSpec(3, SIZE),
            StepSpec(2, SIZE, depends_on=(0,), is_gang=True),
            StepSpec(2, SIZE, depends_on=(0,), saves_progress=True),
            StepSpec(1, SIZE, depends_on=(1, 2)),
        ),
    ),
    JobSpec("timed", "q", "text", (StepSpec(2, SIZE),), 3, 0, 900),
)
TASK_MS = 700.0
# From the first commit to a while after the end of the last job.
MAX_COMMITS = 45
LEADERLESS_MS = 1_200
CUT_MS = 3_000
# A list of workers, a commit and the start of what is waited for.
START_MS = 1_500
SETTLE_MS = 30_000


class Loss(Enum):
    """What of the leader's last commit has happened."""

    NOT_STORED = "not stored"
    STORED = "stored"


class Fate(Enum):
    """What happens to a worker with runs while the leader is lost."""

    STAYS = "stays"
    GONE = "gone"
    CUT = "cut"
    LEAVES = "leaves"


class Case(NamedTuple):
    """One way to lose a leader.

    :param commits: number of commits before.
    :param unprepared: leaders that claim and are lost before they begin.
    """

    commits: int
    loss: Loss
    fate: Fate
    unprepared: int


CASES = st.builds(
    Case,
    st.integers(0, MAX_COMMITS),
    st.sampled_from(Loss),
    st.sampled_from(Fate),
    st.integers(0, 3),
)


class LostLeader:
    """Plays a case."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self._commits = 0
        self._is_lost = False
        self.simulation = Simulation([queue("q")], workers(4))
        self.simulation.actual_duration_ms = lambda task: (
            1e9 if task.job_id == SERVICE.job_id else TASK_MS
        )
        self.simulation.on_commit = self._record_commit
        for job in JOBS:
            self.simulation.submit(job)

    def _record_commit(self, batch: object) -> None:
        del batch
        self._commits += 1
        if self._commits <= self._case.commits or self._is_lost:
            return
        self._is_lost = True
        self.simulation.controller.is_over = True
        if self._case.loss is Loss.NOT_STORED:
            self.simulation.claim()

    def play(self) -> None:
        """Lose the leader and a worker; then another one leads."""
        simulation, case = self.simulation, self._case
        simulation.run_until(lambda: self._is_lost)
        lost_ms = simulation.now_ms
        self._befall()
        for _ in range(case.unprepared):
            simulation.run(LEADERLESS_MS)
            simulation.claim()
        simulation.run(LEADERLESS_MS)
        simulation.take_over()
        wait_ms = TIMING.takeover_ms - (simulation.now_ms - lost_ms)
        simulation.run(max(0, wait_ms) + START_MS)
        self.check_services()
        simulation.run(SETTLE_MS)

    def _befall(self) -> None:
        simulation = self.simulation
        worker = max(
            simulation.workers.values(), key=lambda worker: len(worker.running)
        )
        worker_id = worker.info.worker_id
        if self._case.fate is Fate.GONE:
            worker.running.clear()
            worker.is_gone = True
            simulation.unreachable_worker_ids = {worker_id}
        elif self._case.fate is Fate.CUT:
            simulation.unreachable_worker_ids = {worker_id}
            simulation.schedule(CUT_MS, self._mend)
        elif self._case.fate is Fate.LEAVES:
            worker.leave()

    def _mend(self) -> None:
        self.simulation.unreachable_worker_ids = set()

    def check_services(self) -> None:
        """Check that every long-running task runs."""
        running = [
            key.position
            for worker in self.simulation.workers.values()
            for key in worker.running
            if key.job_id == SERVICE.job_id
        ]
        assert sorted(running) == [0, 1]

    def check(self) -> None:
        """Check what callers see at the end, and what is stored."""
        simulation = self.simulation
        assert simulation.violations == []
        assert {
            job_id: finished.outcome
            for job_id, finished in simulation.finished.items()
        } == {"steps": JobState.COMPLETED, "timed": JobState.COMPLETED}
        self.check_services()
        stored = simulation.job_table.get(SERVICE.job_id)
        state = simulation.controller.state
        assert stored is not None
        assert stored.progress == state.progress(SERVICE.job_id)


@search_settings(60)
@given(CASES)
def test_nothing_is_lost_or_done_twice_wherever_a_leader_is_lost(
    case: Case,
) -> None:
    lost = LostLeader(case)
    lost.play()
    lost.check()
