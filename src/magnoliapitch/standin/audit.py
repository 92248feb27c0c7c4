"""Stand-in workers that check guarantees at every start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.job.spec import parse_lease_id
from magnoliapitch.standin.worker import StandinWorkers
from magnoliapitch.worker.lease import LeaseKind
from magnoliapitch.worker.lease import LeaseState


if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from magnoliapitch.clock import Clock
    from magnoliapitch.membership.instance import InstanceInfo
    from magnoliapitch.standin.worker import StandinWorker
    from magnoliapitch.verdict import Failure
    from magnoliapitch.worker.lease import LeaseGrant
    from magnoliapitch.worker.lease import WorkerView


class AuditedWorkers(StandinWorkers):
    """Workers that record violations of two guarantees.

    The tasks on a worker never reserve more than its capacity, and a task
    never runs on two workers at once. Unreachable workers are checked too,
    since their tasks continue to run.
    """

    def __init__(
        self,
        infos: tuple[InstanceInfo, ...],
        clock: Clock,
        run_ms_of: Callable[[LeaseGrant], int] | None = None,
    ) -> None:
        super().__init__(infos, clock, run_ms_of)
        self._problems: list[str] = []

    def start(
        self, worker: InstanceInfo, grants: tuple[LeaseGrant, ...]
    ) -> Result[WorkerView, Failure]:
        """Start leases and check the guarantees afterwards."""
        outcome = super().start(worker, grants)
        with self._lock:
            self._check_capacity(self.by_id[worker.instance_id])
            self._check_single_worker()
        return outcome

    def problems(self) -> tuple[str, ...]:
        """Return descriptions of the violations, each once."""
        return tuple(dict.fromkeys(self._problems))

    def reserved_cpu_share(self) -> float:
        """Return the share of all workers' processors that tasks reserve now.

        :return: ratio of reserved to total processors.
        """
        with self._lock:
            reserved = 0
            capacity = 0
            for target in self.by_id.values():
                reserved += target.reserved().cpu_millis
                capacity += target.info.capacity.cpu_millis
        return reserved / capacity

    def find_running_worker(self) -> str | None:
        """Return the id of a reachable worker that runs a task, if any."""
        with self._lock:
            for worker_id, target in self.by_id.items():
                if not target.down and target.reserved().cpu_millis:
                    return worker_id
        return None

    def _check_capacity(self, target: StandinWorker) -> None:
        reserved = target.reserved()
        if not reserved.fits(target.info.capacity):
            worker_id = target.info.instance_id
            self._problems.append(
                f"tasks on {worker_id} reserve {reserved}; "
                f"its capacity is {target.info.capacity}"
            )

    def _check_single_worker(self) -> None:
        worker_by_task: dict[tuple[str, int], str] = {}
        for worker_id, target in self.by_id.items():
            for lease in target.view().leases:
                key = parse_lease_id(lease.lease_id)
                if (
                    key is None
                    or lease.kind is not LeaseKind.TASK
                    or lease.state is not LeaseState.RUNNING
                ):
                    continue
                task = (key.job_id, key.task)
                other_id = worker_by_task.setdefault(task, worker_id)
                if other_id != worker_id:
                    self._problems.append(
                        f"task {key.task} of {key.job_id} runs on "
                        f"{other_id} and {worker_id}"
                    )
