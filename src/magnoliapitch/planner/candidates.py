"""Workers that may take tasks during one planning round."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from magnoliapitch.planner.tracked import TrackedStep
    from magnoliapitch.planner.tracked_job import TrackedJob
    from magnoliapitch.planner.tracked_worker import TrackedWorker
    from magnoliapitch.resource import Resources
    from magnoliapitch.workload.worker import WorkerInfo


# Share of a worker's reserved CPU that is expected to become free soon.
SOON_FREED_SHARE = 0.5


class Candidate:
    """A worker and its free capacity during one planning round.

    :ivar free: capacity that is left for the rest of the round.
    :ivar reserved_for: the only job that may be placed here; None if any may.
    :ivar speed_class: class of the worker's learned speed; 0 is nominal.
    """

    __slots__ = ("free", "info", "reserved_for", "speed_class", "worker")

    def __init__(self, worker: TrackedWorker, info: WorkerInfo) -> None:
        self.worker = worker
        self.info = info
        self.free: Resources = worker.free
        self.reserved_for: TrackedJob | None = None
        self.speed_class = 0

    def copy(self) -> Candidate:
        """Return a copy that can be reserved independently."""
        copy = Candidate(self.worker, self.info)
        copy.free = self.free
        copy.reserved_for = self.reserved_for
        copy.speed_class = self.speed_class
        return copy

    def accepts(self, job: TrackedJob) -> bool:
        """Return whether the worker is not reserved for another job."""
        return self.reserved_for is None or self.reserved_for is job

    def reserve(self, amount: Resources) -> None:
        """Reserve capacity for the rest of the round."""
        self.free = self.free.minus(amount)

    def release(self, amount: Resources) -> None:
        """Release capacity that was reserved in this round."""
        self.free = self.free.plus(amount)


class CandidateWorkers:
    """Every worker that takes new tasks, with its free capacity.

    :ivar candidates_by_id: candidates by worker id.
    """

    def __init__(self, workers: Iterable[TrackedWorker]) -> None:
        self.candidates_by_id: dict[str, Candidate] = {
            worker.worker_id: Candidate(worker, worker.info)
            for worker in workers
            if worker.takes_new_runs and worker.info is not None
        }
        self._most_free_first: list[Candidate] | None = None
        self._by_class: defaultdict[int, list[Candidate]] | None = None
        self._suit_by_needs: dict[tuple[str, str, Resources], bool] = {}

    def suit(self, step: TrackedStep) -> bool:
        """Return whether any worker could run a step if it were idle."""
        needs = (step.job.queue.service, step.spec.label, step.reservation)
        is_suited = self._suit_by_needs.get(needs)
        if is_suited is None:
            is_suited = any(
                suits(candidate, step)
                for candidate in self.candidates_by_id.values()
            )
            self._suit_by_needs[needs] = is_suited
        return is_suited

    def eligible(self, step: TrackedStep) -> Iterator[Candidate]:
        """Return the workers that could run a step if the advisor permits.

        They are ordered by the free CPU at the first call in the round,
        the most first.
        """
        return (
            candidate
            for candidate in self._by_free_cpu()
            if is_eligible(candidate, step)
        )

    def eligible_of_class(
        self, step: TrackedStep, speed_class: int, *, is_full: bool
    ) -> Iterator[Candidate]:
        """Return the same workers, but only those of one class of speeds.

        :param is_full: whether to return those without enough free CPU for a
            task of the step, or the others.
        """
        if self._by_class is None:
            self._by_class = defaultdict(list)
            for candidate in self._by_free_cpu():
                self._by_class[candidate.speed_class].append(candidate)
        cpu_millis = step.reservation.cpu_millis
        return (
            candidate
            for candidate in self._by_class[speed_class]
            if (candidate.free.cpu_millis < cpu_millis) is is_full
            and is_eligible(candidate, step)
        )

    def _by_free_cpu(self) -> list[Candidate]:
        if self._most_free_first is None:
            self._most_free_first = sorted(
                self.candidates_by_id.values(),
                key=lambda candidate: -candidate.free.cpu_millis,
            )
        return self._most_free_first

    def permitted(self, step: TrackedStep) -> list[Candidate]:
        """Return the workers that the advisor has permitted for a step."""
        candidates = (
            self.candidates_by_id.get(worker_id)
            for worker_id in step.permitted_worker_ids
        )
        return [
            candidate
            for candidate in candidates
            if candidate is not None and candidate.accepts(step.job)
        ]


def is_eligible(candidate: Candidate, step: TrackedStep) -> bool:
    """Return whether a worker could run a step if the advisor permits."""
    return candidate.accepts(step.job) and suits(candidate, step)


def suits(candidate: Candidate, step: TrackedStep) -> bool:
    """Return whether an idle worker could run a step of any job."""
    return (
        candidate.info.service == step.job.queue.service
        and (not step.spec.label or step.spec.label in candidate.info.labels)
        and step.reservation.fits(candidate.info.capacity)
    )


def free_task_count(candidate: Candidate, step: TrackedStep) -> int:
    """Return how many tasks of a step fit a worker's free capacity."""
    count = _task_count_within(candidate.free, step)
    if count > 0 and step.spec.max_per_worker:
        used = sum(run.task.step is step for run in candidate.worker.runs)
        count = min(count, step.spec.max_per_worker - used)
    return max(0, count)


def idle_task_count(candidate: Candidate, step: TrackedStep) -> int:
    """Return how many tasks of a step would fit an idle worker."""
    return _task_count_on_worker(candidate.info.capacity, step)


def task_count_beside_services(candidate: Candidate, step: TrackedStep) -> int:
    """Return how many tasks fit once only long-running work is left."""
    room = room_beside_services(candidate)
    return max(0, _task_count_on_worker(room, step))


def room_beside_services(candidate: Candidate) -> Resources:
    """Return the capacity of a worker that no long-running work uses."""
    room = candidate.info.capacity
    for run in candidate.worker.runs:
        if run.task.step.spec.is_long_running:
            room = room.minus(run.resources)
    return room


def release(step: TrackedStep, candidates: Iterable[Candidate]) -> None:
    """Release the capacity that was reserved for a task on each worker."""
    for candidate in candidates:
        candidate.release(step.reservation)


def most_free_cpu_first(candidate: Candidate) -> int:
    """Return a sort key that puts the worker with the most free CPU first."""
    return -candidate.free.cpu_millis


def expected_task_count_soon(candidate: Candidate, step: TrackedStep) -> int:
    """Return how many tasks of a step will probably fit a worker soon."""
    total = candidate.info.capacity.cpu_millis
    free = candidate.free.cpu_millis
    free_soon = free + SOON_FREED_SHARE * (total - free)
    return max(
        free_task_count(candidate, step),
        int(free_soon // max(1, step.reservation.cpu_millis)),
    )


def _task_count_on_worker(amount: Resources, step: TrackedStep) -> int:
    """Return how many tasks fit an amount of one worker, at most its limit."""
    count = _task_count_within(amount, step)
    return min(count, step.spec.max_per_worker or count)


def _task_count_within(amount: Resources, step: TrackedStep) -> int:
    reservation = step.reservation
    count = step.spec.task_count
    if reservation.cpu_millis:
        count = min(count, amount.cpu_millis // reservation.cpu_millis)
    if reservation.memory_mb:
        count = min(count, amount.memory_mb // reservation.memory_mb)
    if reservation.accelerators:
        count = min(count, amount.accelerators // reservation.accelerators)
    return count
