"""What ran in a simulation, and the checks that need to remember it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from tests.control.attempt_history import AttemptHistory


if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliapitch.workload.job import TaskKey
    from tests.control.simulation import Simulation


# Once this many workers have crashed under a task that crashes them, it may
# not be started this often.
CRASHES_BEFORE_LIMIT = 3
MAX_STARTS_AFTER_CRASHES = 3


class RunHistory:
    """Starts, crashes and acknowledged ends of tasks.

    :ivar starts: number of starts of each task.
    :ivar crashes_under: number of workers that crashed under a run of each
        task, whichever task caused it.
    :ivar failures_of: number of runs of each task that ended as failed.
    :ivar attempts: checks of the attempts that failed runs use up.
    """

    def __init__(self, simulation: Simulation) -> None:
        self.starts: Counter[TaskKey] = Counter()
        self.crashes_under: Counter[TaskKey] = Counter()
        self.failures_of: Counter[TaskKey] = Counter()
        self.attempts = AttemptHistory(simulation)
        self._simulation = simulation
        self._starts_after_crashes: Counter[TaskKey] = Counter()
        self._last_start_ms: dict[TaskKey, int] = {}
        self._acknowledged_done: set[TaskKey] = set()

    def record_acknowledged_done(self, task: TaskKey, done_ms: int) -> None:
        """Check that a task was not started after an acknowledged end.

        Tasks of services are started again however they end.
        """
        spec = self._simulation.specs[task.job_id]
        if spec.steps[task.step].is_long_running:
            return
        self._acknowledged_done.add(task)
        if self._last_start_ms.get(task, 0) > done_ms:
            self._add_violation(f"{task} was started again after its end")

    def record_start(self, task: TaskKey) -> None:
        """Count a start; check that a deadly task is given up in time."""
        self.starts[task] += 1
        self._last_start_ms[task] = self._simulation.now_ms
        if task in self._acknowledged_done:
            self._add_violation(f"{task} was started after its end")
        crash_count = self.crashes_under[task]
        if (
            not self._simulation.crashes_worker(task)
            or crash_count < CRASHES_BEFORE_LIMIT
        ):
            return
        self._starts_after_crashes[task] += 1
        if self._starts_after_crashes[task] >= MAX_STARTS_AFTER_CRASHES:
            self._add_violation(
                f"{task} was started again after {crash_count} crashes"
            )

    def record_crash(
        self, tasks: Sequence[TaskKey], culprit: TaskKey | None
    ) -> None:
        """Record the tasks that ran on a worker that has crashed."""
        self.crashes_under.update(tasks)
        if culprit is not None and culprit not in tasks:
            self.crashes_under[culprit] += 1

    def _add_violation(self, description: str) -> None:
        self._simulation.violations.append(description)
