"""How long tasks that last are without a run, and how long they may be.

From the loss of a run with its worker to the next one pass:

- a whole lease on the slowest clock, with its margin: a worker that is only
  cut off works on until then;
- what the shared clock does not count: the time from the last stored reading
  to the claim of an instance that had not read it;
- at most ``START_BOUND_MS``.

A worker or leader that returns only after that gets some time to be heard.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.control.timing import LEASE_EXPIRY_MARGIN_MS
from magnoliapitch.control.timing import MIN_CLOCK_RATE_RATIO
from magnoliapitch.workload.job import TaskKey
from tests.control.simulation import ROUND_MS
from tests.control.simulation import TIMING


if TYPE_CHECKING:
    from tests.control.simulation import Simulation


# From the end of the last lease to the start, permits and commits included.
START_BOUND_MS = 900
# A leader that begins has read a list of workers after this time; a worker
# that answers again has been called after it.
HEARD_AFTER_MS = 500
WHOLE_LEASE_MS = (
    int(TIMING.lease_ms / MIN_CLOCK_RATE_RATIO) + LEASE_EXPIRY_MARGIN_MS
)


class LateRun(NamedTuple):
    """A run that began too late, or has not begun.

    :param waited_ms: time without a run.
    :param bound_ms: longest time allowed.
    """

    task: TaskKey
    waited_ms: int
    bound_ms: int


class _Missing:
    def __init__(self, lost_ms: int) -> None:
        self.lost_ms = lost_ms
        self.unread_ms = 0
        self.heard_ms = 0

    @property
    def due_ms(self) -> int:
        lease_end_ms = self.lost_ms + WHOLE_LEASE_MS + self.unread_ms
        return max(lease_end_ms, self.heard_ms) + START_BOUND_MS


class MissingRuns:
    """Looks at a simulation in each round.

    :ivar late: tasks that were without a run for too long.
    :ivar longest_ms: longest time that a task was without a run.
    """

    def __init__(self, simulation: Simulation) -> None:
        self.late: list[LateRun] = []
        self.longest_ms = 0
        self._simulation = simulation
        self._silent_since_ms: dict[str, int] = {}
        self._worker_by_task: dict[TaskKey, str] = {}
        self._missing: dict[TaskKey, _Missing] = {}
        self._controller = simulation.controller
        self._clock_records = simulation._clock_records
        self._read_ms = simulation.now_ms
        self._is_unread = False
        self._forget = simulation.forget_reading_times
        simulation.forget_reading_times = self._forget_reading_times  # type: ignore[method-assign]
        self._look()

    @property
    def is_any_missing(self) -> bool:
        """Return whether a task that has run is without a run."""
        return bool(self._missing)

    def check(self) -> None:
        """Check that no task was, or is, without a run for too long."""
        now_ms = self._simulation.now_ms
        overdue = [
            _late(task, missing, now_ms)
            for task, missing in self._missing.items()
            if now_ms > missing.due_ms
        ]
        assert self.late + overdue == []

    def _forget_reading_times(self) -> None:
        self._is_unread = True
        self._forget()

    def _look(self) -> None:
        self._look_at_workers()
        self._look_at_leader()
        self._look_at_tasks()
        self._simulation.schedule(ROUND_MS, self._look)

    def _look_at_workers(self) -> None:
        simulation = self._simulation
        for worker_id, worker in simulation.workers.items():
            if worker.is_gone or simulation.is_silent(worker_id):
                self._silent_since_ms.setdefault(worker_id, simulation.now_ms)
            elif self._silent_since_ms.pop(worker_id, None) is not None:
                self._expect_no_start_before(worker_id)

    def _expect_no_start_before(self, worker_id: str) -> None:
        heard_ms = self._simulation.now_ms + HEARD_AFTER_MS
        for task, missing in self._missing.items():
            if self._worker_by_task[task] == worker_id:
                missing.heard_ms = max(missing.heard_ms, heard_ms)

    def _look_at_leader(self) -> None:
        simulation = self._simulation
        if simulation.controller is not self._controller:
            self._controller = simulation.controller
            for missing in self._missing.values():
                missing.heard_ms = simulation.now_ms + HEARD_AFTER_MS
                if self._is_unread:
                    since_ms = max(missing.lost_ms, self._read_ms)
                    missing.unread_ms += simulation.now_ms - since_ms
            self._is_unread = False
        if simulation._clock_records is not self._clock_records:
            self._clock_records = simulation._clock_records
            self._read_ms = simulation.now_ms

    def _look_at_tasks(self) -> None:
        simulation = self._simulation
        running = {
            task: worker_id
            for worker_id, worker in simulation.workers.items()
            if not worker.is_gone and not worker.is_down
            for task in worker.running
            if simulation.specs[task.job_id].steps[task.step].is_long_running
        }
        for task in self._worker_by_task.keys() - running.keys():
            if task not in self._missing:
                worker_id = self._worker_by_task[task]
                lost_ms = self._silent_since_ms.get(
                    worker_id, simulation.now_ms
                )
                self._missing[task] = _Missing(lost_ms)
        for task in self._missing.keys() & running.keys():
            missing = self._missing.pop(task)
            late = _late(task, missing, simulation.now_ms)
            self.longest_ms = max(self.longest_ms, late.waited_ms)
            if simulation.now_ms > missing.due_ms:
                self.late.append(late)
        self._worker_by_task.update(running)


def _late(task: TaskKey, missing: _Missing, now_ms: int) -> LateRun:
    lost_ms = missing.lost_ms
    return LateRun(task, now_ms - lost_ms, missing.due_ms - lost_ms)


__all__ = ["LateRun", "MissingRuns"]
