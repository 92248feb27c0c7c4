"""Jobs of all shapes under changes of queues, leaders and workers.

CI draws the same cases each time. To search for new ones, run this with
``--hypothesis-profile=search``.
"""

from __future__ import annotations

import random

from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from magnoliapitch.ledger.state_table import JobState
from magnoliapitch.resource import Resources
from magnoliapitch.workload.job_limits import find_limit_failure
from magnoliapitch.workload.run import EndKind
from tests.control.job_strategies import QUEUE_NAMES
from tests.control.job_strategies import jobs
from tests.control.job_strategies import schedules
from tests.control.search_settings import search_settings
from tests.control.simulation import Simulation
from tests.control.simulation import queue
from tests.control.simulation import workers


if TYPE_CHECKING:
    from magnoliapitch.workload.configuration import Queue
    from magnoliapitch.workload.job import JobSpec
    from magnoliapitch.workload.job import TaskKey
    from tests.control.job_strategies import Step
    from tests.control.simulated_worker import SimulatedWorker


WORKER_COUNT = 6
CAPACITY = Resources(8_000, 32_000)
JOB_COUNT = 6
BEFORE_MS = 300
LEAVE_MS = 4_000
# Longer than all leases and pauses, and the work of all jobs.
SETTLE_MS = 90_000
KINDS = (
    "submit",
    "submit",
    "remove_queue",
    "return_queue",
    "replace_queue",
    "lose_leader",
    "take_over",
    "cancel",
    "cut",
    "mend",
    "end_done",
    "end_failed",
    "crash",
    "leave",
)


class Search:
    """Plays a schedule, and checks what callers and workers see."""

    def __init__(self, specs: list[JobSpec]) -> None:
        self.simulation = Simulation(
            [queue(name) for name in QUEUE_NAMES],
            workers(WORKER_COUNT, CAPACITY),
        )
        self.simulation.actual_duration_ms = self._duration_ms
        self._specs = specs
        self._submitted: list[JobSpec] = []
        self._cancelled_ids: set[str] = set()

    def _duration_ms(self, task: TaskKey) -> float:
        step = self.simulation.specs[task.job_id].steps[task.step]
        if step.is_long_running:
            return 1e9
        return random.Random(f"{task}").choice((50.0, 400.0, 2_500.0))

    def play(self, schedule: list[Step]) -> None:
        """Let a schedule happen, then let everything settle.

        Half of the jobs are there before.
        """
        for _ in range(JOB_COUNT // 2):
            self.submit(0)
        self.simulation.run(BEFORE_MS)
        for step in schedule:
            getattr(self, step.kind)(step.choice)
            self.simulation.run(step.after_ms)
        self.mend(0)
        if self.simulation.controller.is_over:
            self.take_over(0)
        self.simulation.run(SETTLE_MS)

    def submit(self, choice: int) -> None:
        del choice
        if self._specs:
            spec = self._specs.pop()
            self._submitted.append(spec)
            self.simulation.submit(spec)

    def remove_queue(self, choice: int) -> None:
        queues = dict(self.simulation.configuration.queues_by_name)
        queues.pop(QUEUE_NAMES[choice % len(QUEUE_NAMES)], None)
        self._configure(queues)

    def return_queue(self, choice: int) -> None:
        name = QUEUE_NAMES[choice % len(QUEUE_NAMES)]
        queues = dict(self.simulation.configuration.queues_by_name)
        self._configure({**queues, name: queue(name)})

    def replace_queue(self, choice: int) -> None:
        name = QUEUE_NAMES[choice % len(QUEUE_NAMES)]
        queues = dict(self.simulation.configuration.queues_by_name)
        other = queue(name, choice % 3)._replace(attempts=1 + choice % 4)
        self._configure({**queues, name: other})

    def lose_leader(self, choice: int) -> None:
        del choice
        self.simulation.controller.is_over = True

    def take_over(self, choice: int) -> None:
        if choice % 2:
            self.simulation.forget_reading_times()
        self.simulation.take_over()

    def cancel(self, choice: int) -> None:
        if self._submitted:
            spec = self._submitted[choice % len(self._submitted)]
            self._cancelled_ids.add(spec.job_id)
            self.simulation.cancel(spec.job_id)

    def cut(self, choice: int) -> None:
        names = sorted(self.simulation.workers)
        self.simulation.unreachable_worker_ids = {
            names[choice % len(names)],
            names[choice // 7 % len(names)],
        }

    def mend(self, choice: int) -> None:
        del choice
        self.simulation.unreachable_worker_ids = set()

    def crash(self, choice: int) -> None:
        """Crash a worker; another one takes its place."""
        live = self._live_workers()
        if live:
            live[choice % len(live)].crash()

    def leave(self, choice: int) -> None:
        """Let a worker say that it leaves; another one takes its place."""
        live = self._live_workers()
        if live:
            worker = live[choice % len(live)]
            worker.leave()
            self.simulation.schedule(LEAVE_MS, lambda: _end_leaving(worker))

    def _live_workers(self) -> list[SimulatedWorker]:
        return [
            worker
            for worker in self.simulation.workers.values()
            if not (worker.is_gone or worker.is_down)
            and not worker.info.is_draining
        ]

    def end_done(self, choice: int) -> None:
        self._end(choice, EndKind.DONE)

    def end_failed(self, choice: int) -> None:
        self._end(choice, EndKind.FAILED)

    def _end(self, choice: int, kind: EndKind) -> None:
        for number, worker in enumerate(self.simulation.workers.values()):
            if number % 2 == choice % 2:
                for run in list(worker.running.values()):
                    worker.end(run, kind)

    def _configure(self, queues: dict[str, Queue]) -> None:
        self.simulation.configuration = self.simulation.configuration._replace(
            queues_by_name=queues
        )
        self.simulation.controller.handle_configuration_changed()

    def check(self) -> None:
        """Check that nothing accepted is lost, or done more than once."""
        simulation = self.simulation
        assert simulation.violations == []
        running = {
            key
            for worker in simulation.workers.values()
            for key in worker.running
        }
        for spec in self._submitted:
            finished = simulation.finished.get(spec.job_id)
            outcome = None if finished is None else finished.outcome
            if spec.job_id in self._cancelled_ids:
                assert outcome is not None
            elif spec.steps[0].is_long_running:
                assert outcome is None
                assert len(
                    [key for key in running if key.job_id == spec.job_id]
                ) == spec.occurrences * sum(
                    step.task_count for step in spec.steps
                )
            elif outcome is JobState.FAILED:
                attempts = simulation.history.attempts
                assert attempts.explains_failure(spec.job_id)
            else:
                assert outcome is JobState.COMPLETED


def _end_leaving(worker: SimulatedWorker) -> None:
    """End a worker; the one that takes its place does not leave."""
    worker.stay()
    worker.crash()


@search_settings(20)
@given(
    st.tuples(*(jobs(f"j{number}") for number in range(JOB_COUNT))),
    schedules(KINDS),
)
def test_accepted_jobs_run_to_their_end_whatever_happens(
    specs: tuple[JobSpec, ...], schedule: list[Step]
) -> None:
    assert all(find_limit_failure(spec) is None for spec in specs)
    search = Search(list(specs))
    search.play(schedule)
    search.check()
