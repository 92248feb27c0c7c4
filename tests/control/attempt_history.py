"""Which runs failed in a simulation, and what that allows.

Two checks look at every start of a task and at every job that is shown as
failed:

- BUDGET: no task starts after as many runs as its queue allows have ended as
  failed, if these ends are taken note of then or later. An end is taken note
  of when its acknowledgement reaches the worker, unless the lease of the
  worker expired between the two; that stands for good. Starts of steps that
  may have copies are judged only from a moment after the last of these ends
  was taken note of, and only if the worker carried the order out in time.
- Stricter than the users' rule: no task starts a moment after so many ends
  were acknowledged, whether a lease has expired before or not, unless the
  worker carried the order out late. The leader knew of them.
- LOST: no job is shown as failed unless one of its tasks has ended as failed
  so often, whether that was taken note of or not, or enough workers have
  crashed under it, or the store has refused its progress.

The runs of a gang count once a number. Orders that are carried out late are
judged like others, since the users' rule has no bound on time but for copies.
If the attempts of a queue change, the most lenient value counts that was in
force between the decision and what is judged.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING
from typing import NamedTuple

from magnoliapitch.ledger.records import split_progress_key
from magnoliapitch.workload.job import TaskKey


if TYPE_CHECKING:
    from collections.abc import Iterable

    from magnoliapitch.workload.job import JobSpec
    from magnoliapitch.workload.job import StepKey
    from tests.control.simulation import Simulation


# Longest time from the decision to start a task until the worker begins it.
MAX_ORDER_AGE_MS = 10_000
# Starts may be begun for this long after the last end was acknowledged.
ACKNOWLEDGED_NOTICE_MS = 1_000
# Workers that crash under a task before it may be given up.
MIN_CRASHES_TO_GIVE_UP = 3


class FailedRun:
    """A run that has ended as failed on its worker.

    :ivar number: number of the run; members of a gang share it.
    :ivar event: number of the end among all events of the history.
    :ivar acknowledged_ms: when the acknowledgement of the end reached the
        worker; None before.
    :ivar has_lapsed: whether the lease of the worker expired before.
    """

    __slots__ = (
        "acknowledged_ms",
        "ended_ms",
        "event",
        "has_lapsed",
        "number",
        "task",
    )

    def __init__(
        self, task: TaskKey, number: int, event: int, ended_ms: int
    ) -> None:
        self.task = task
        self.number = number
        self.event = event
        self.ended_ms = ended_ms
        self.acknowledged_ms: int | None = None
        self.has_lapsed = False

    @property
    def is_noted(self) -> bool:
        """Return whether the end was taken note of."""
        return self.acknowledged_ms is not None and not self.has_lapsed

    def is_acknowledged_before(self, time_ms: int) -> bool:
        """Return whether the leader knew of the end before a time."""
        return (
            self.acknowledged_ms is not None and self.acknowledged_ms < time_ms
        )


class _Start(NamedTuple):
    """A run that a worker has begun.

    :param event: number of the start among all events of the history.
    :param attempts: most attempts that the order may rest on.
    :param is_late: whether the order was carried out late.
    """

    task: TaskKey
    number: int
    event: int
    started_ms: int
    attempts: int
    is_late: bool


class _Limit(NamedTuple):
    """Attempts of a queue from a time on; None while it is not defined."""

    since_ms: int
    attempts: int | None


class AttemptHistory:
    """Starts, failed runs and attempts in force, with their checks.

    :ivar refused_job_ids: jobs of which the store has refused a record.
    """

    def __init__(self, simulation: Simulation) -> None:
        self.refused_job_ids: set[str] = set()
        self._simulation = simulation
        self._event = 0
        self._configuration: object = None
        self._limits_by_queue: dict[str, list[_Limit]] = defaultdict(list)
        self._failed_by_unit: dict[TaskKey | StepKey, list[FailedRun]] = (
            defaultdict(list)
        )
        self._starts_by_unit: dict[TaskKey | StepKey, list[_Start]] = (
            defaultdict(list)
        )
        self._reported: set[_Start] = set()

    def record_configuration(self) -> None:
        """Remember the attempts of the queues if they have changed."""
        configuration = self._simulation.configuration
        if configuration is self._configuration:
            return
        self._configuration = configuration
        queues = configuration.queues_by_name
        for name in queues.keys() | self._limits_by_queue.keys():
            attempts = queues[name].attempts if name in queues else None
            limits = self._limits_by_queue[name]
            if not limits or limits[-1].attempts != attempts:
                limits.append(_Limit(self._simulation.now_ms, attempts))

    def record_start(
        self, task: TaskKey, number: int, *, is_late: bool
    ) -> None:
        """Record that a worker has begun a run, and judge it."""
        self.record_configuration()
        spec = self._simulation.specs[task.job_id]
        if spec.steps[task.step].is_long_running:
            return
        now_ms = self._simulation.now_ms
        attempts = max(self._limits(spec, now_ms - MAX_ORDER_AGE_MS))
        start = _Start(
            task, number, self._next_event(), now_ms, attempts, is_late
        )
        unit = self._unit(task)
        self._starts_by_unit[unit].append(start)
        self._judge_starts(unit)

    def record_failed(self, task: TaskKey, number: int) -> FailedRun:
        """Record that a run has ended as failed on its worker."""
        self.record_configuration()
        now_ms = self._simulation.now_ms
        failed = FailedRun(task, number, self._next_event(), now_ms)
        self._failed_by_unit[self._unit(task)].append(failed)
        return failed

    def record_acknowledged(self, failed: FailedRun) -> None:
        """Record that an end was acknowledged, and judge the starts."""
        failed.acknowledged_ms = self._simulation.now_ms
        self._judge_starts(self._unit(failed.task))

    def record_refused(self, keys: Iterable[str]) -> None:
        """Record that the store has refused records of progress."""
        self.refused_job_ids.update(split_progress_key(key)[0] for key in keys)

    def record_shown_as_failed(self, job_id: str) -> None:
        """Check that a job that is shown as failed has a cause for it."""
        self.record_configuration()
        if not self.explains_failure(job_id):
            spec = self._simulation.specs[job_id]
            self._add_violation(
                f"{job_id} is shown as failed after "
                f"{self._most_failures(job_id)} failed runs of a task, "
                f"attempts {min(self._limits(spec, 0))}"
            )

    def explains_failure(self, job_id: str) -> bool:
        """Return whether failed runs, crashes or the store failed a job."""
        return (
            job_id in self.refused_job_ids
            or any(
                count >= MIN_CRASHES_TO_GIVE_UP and task.job_id == job_id
                for task, count in self._simulation.crashes_under.items()
            )
            or any(
                self._has_used_up_attempts(job_id, failed)
                for unit, failed in self._failed_by_unit.items()
                if unit.job_id == job_id
            )
        )

    def _has_used_up_attempts(
        self, job_id: str, failed: list[FailedRun]
    ) -> bool:
        """Return whether runs have failed often enough at some time."""
        spec = self._simulation.specs[job_id]
        if spec.steps[failed[0].task.step].is_long_running:
            return False
        first_ms_by_number: dict[int, int] = {}
        for one in failed:
            first_ms_by_number.setdefault(one.number, one.ended_ms)
        return any(
            count >= min(self._limits(spec, ended_ms))
            for count, ended_ms in enumerate(first_ms_by_number.values(), 1)
        )

    def _most_failures(self, job_id: str) -> int:
        return max(
            (
                _count_runs(failed)
                for unit, failed in self._failed_by_unit.items()
                if unit.job_id == job_id
            ),
            default=0,
        )

    def _judge_starts(self, unit: TaskKey | StepKey) -> None:
        for start in self._starts_by_unit[unit]:
            count = max(
                _count_runs(self._noted_before(unit, start)),
                _count_runs(self._known_before(unit, start)),
            )
            if count >= start.attempts and start not in self._reported:
                self._reported.add(start)
                self._add_violation(
                    f"{start.task} run {start.number} was started at "
                    f"{start.started_ms} after {count} failed runs, "
                    f"attempts {start.attempts}"
                )

    def _noted_before(
        self, unit: TaskKey | StepKey, start: _Start
    ) -> Iterable[FailedRun]:
        """Return the noted failed runs that the users' rule counts."""
        spec = self._simulation.specs[start.task.job_id]
        if spec.steps[start.task.step].is_speculative:
            return []
        return [
            failed
            for failed in self._failed_by_unit.get(unit, ())
            if failed.is_noted and failed.event < start.event
        ]

    def _known_before(
        self, unit: TaskKey | StepKey, start: _Start
    ) -> Iterable[FailedRun]:
        """Return the failed runs of which the leader knew well before."""
        if start.is_late:
            return []
        latest_ms = start.started_ms - ACKNOWLEDGED_NOTICE_MS
        return [
            failed
            for failed in self._failed_by_unit.get(unit, ())
            if failed.is_acknowledged_before(latest_ms)
        ]

    def _unit(self, task: TaskKey) -> TaskKey | StepKey:
        """Return what attempts are counted for: a task, or a gang."""
        step = self._simulation.specs[task.job_id].steps[task.step]
        return task.step_key if step.is_gang else task

    def _limits(self, spec: JobSpec, since_ms: int) -> list[int]:
        """Return the attempts in force from a time on, until now.

        A job whose queue is removed keeps the queue as it was last, or as it
        accepted the job.
        """
        limits = self._limits_by_queue.get(spec.queue, [])
        if not limits and spec.accepting_queue is not None:
            return [spec.accepting_queue.attempts]
        values: list[int] = []
        for number, limit in enumerate(limits):
            later = limits[number + 1 : number + 2]
            if later and later[0].since_ms < since_ms:
                continue
            if limit.attempts is not None:
                values.append(limit.attempts)
                continue
            if spec.accepting_queue is not None:
                values.append(spec.accepting_queue.attempts)
            if number:
                values.append(limits[number - 1].attempts or 1)
        return values

    def _next_event(self) -> int:
        self._event += 1
        return self._event

    def _add_violation(self, description: str) -> None:
        self._simulation.violations.append(description)


def _count_runs(failed: Iterable[FailedRun]) -> int:
    return len({one.number for one in failed})


__all__ = ["AttemptHistory", "FailedRun"]
