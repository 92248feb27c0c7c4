"""Room on workers during one round of decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from magnoliapitch.planner.tracked import StepEntry
    from magnoliapitch.planner.tracked import WorkerEntry
    from magnoliapitch.resource import Resources
    from magnoliapitch.workload.worker import WorkerInfo


class Slot:
    """A worker's room that is left in this round."""

    __slots__ = ("free", "info", "worker")

    def __init__(self, worker: WorkerEntry, info: WorkerInfo) -> None:
        self.worker = worker
        self.info = info
        self.free: Resources = worker.free

    def take(self, amount: Resources) -> None:
        """Use up room for the rest of the round."""
        self.free = self.free.minus(amount)

    def give_back(self, amount: Resources) -> None:
        """Undo a use of room."""
        self.free = self.free.plus(amount)


class Room:
    """The room of every worker that takes work.

    :ivar slots_by_id: by the worker's id.
    """

    def __init__(self, workers: Iterable[WorkerEntry]) -> None:
        self.slots_by_id: dict[str, Slot] = {
            worker.worker_id: Slot(worker, worker.info)
            for worker in workers
            if worker.is_usable
            and worker.info is not None
            and not worker.info.is_draining
        }
        self._emptiest_first: list[Slot] | None = None

    def eligible(self, step: StepEntry) -> Iterator[Slot]:
        """Return the workers that may ever run a step, advice apart.

        Those that had the most room when the round began come first.
        """
        if self._emptiest_first is None:
            self._emptiest_first = sorted(
                self.slots_by_id.values(),
                key=lambda slot: -slot.free.cpu_millis,
            )
        return (slot for slot in self._emptiest_first if _allows(slot, step))

    def good(self, step: StepEntry) -> list[Slot]:
        """Return the workers that the advisor has permitted."""
        slots = (self.slots_by_id.get(worker_id) for worker_id in step.good)
        return [slot for slot in slots if slot is not None]


def _allows(slot: Slot, step: StepEntry) -> bool:
    return (
        slot.info.service == step.job.queue.service
        and (not step.spec.label or step.spec.label in slot.info.labels)
        and step.charge.fits(slot.info.capacity)
    )


def spare_tasks(slot: Slot, step: StepEntry) -> int:
    """Return how many tasks of a step a worker has room for."""
    count = _tasks_within(slot.free, step)
    if count > 0 and step.spec.max_per_worker:
        used = sum(run.task.step is step for run in slot.worker.runs)
        count = min(count, step.spec.max_per_worker - used)
    return max(0, count)


def tasks_when_empty(slot: Slot, step: StepEntry) -> int:
    """Return how many tasks of a step a worker takes that runs nothing."""
    count = _tasks_within(slot.info.capacity, step)
    return min(count, step.spec.max_per_worker or count)


def _tasks_within(amount: Resources, step: StepEntry) -> int:
    charge = step.charge
    count = step.spec.task_count
    if charge.cpu_millis:
        count = min(count, amount.cpu_millis // charge.cpu_millis)
    if charge.memory_mb:
        count = min(count, amount.memory_mb // charge.memory_mb)
    if charge.accelerators:
        count = min(count, amount.accelerators // charge.accelerators)
    return count
