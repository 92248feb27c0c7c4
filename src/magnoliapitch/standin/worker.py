"""In-memory stand-ins for workers that run tasks under leases."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING
from typing import NamedTuple

from result import Err
from result import Ok
from result import Result

from magnoliapitch.history import LeaseEnded
from magnoliapitch.history import LeaseStarted
from magnoliapitch.resource import NO_RESOURCES
from magnoliapitch.resource import Resources
from magnoliapitch.verdict import Failure
from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run
from magnoliapitch.worker.lease import LeaseGrant
from magnoliapitch.worker.lease import LeaseKind
from magnoliapitch.worker.lease import LeaseState
from magnoliapitch.worker.lease import LeaseView
from magnoliapitch.worker.lease import WorkerView


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.clock import Clock
    from magnoliapitch.membership.instance import InstanceInfo


DEFAULT_RUN_MS = 200


class TaskStart(NamedTuple):
    """Record of a task that started to run on a worker."""

    at_ms: int
    worker_id: str
    lease_id: str


class _LeaseRecord(NamedTuple):
    view: LeaseView
    ends_at_ms: int

    @property
    def task_ends_at_ms(self) -> int:
        """Time of the worker's clock at which the task ends by itself."""
        return min(self.view.expires_at_ms, self.ends_at_ms)

    @property
    def is_running_task(self) -> bool:
        """Whether it is the lease of a task that still runs."""
        is_task = self.view.kind is LeaseKind.TASK
        return is_task and self.view.state is LeaseState.RUNNING


class StandinWorker:
    """One worker, whose monotonic clock has its own origin.

    :param skew_ms: difference of its clock from the common clock, in
        milliseconds.
    :ivar down: whether calls to the worker fail; its tasks continue.
    :ivar fails_all_tasks: whether tasks that end by themselves fail.
    :ivar fences_epochs: whether it refuses grants below the highest epoch
        that it has seen.
    :ivar boot_count: number of boots so far.
    :ivar events: starts and ends of its tasks, in order.
    """

    def __init__(self, info: InstanceInfo, clock: Clock, skew_ms: int) -> None:
        self.info = info
        self.down = False
        self.fails_all_tasks = False
        self.fences_epochs = False
        self.boot_count = 1
        self.events: list[LeaseStarted | LeaseEnded] = []
        self._epoch = 0
        self._clock = clock
        self._skew_ms = skew_ms
        self._records_by_lease: dict[str, _LeaseRecord] = {}

    @property
    def boot_id(self) -> str:
        """Id of the current boot."""
        return f"{self.info.instance_id}-{self.boot_count}"

    def now_ms(self) -> int:
        """Return the time of its monotonic clock, in milliseconds."""
        return self._clock.now_ms() + self._skew_ms

    def view(self) -> WorkerView:
        """Return a view with all unexpired leases."""
        self._advance_to_now()
        leases = tuple(
            record.view for record in self._records_by_lease.values()
        )
        return WorkerView(
            self.info.instance_id, self.boot_id, self.now_ms(), leases
        )

    def start(self, grant: LeaseGrant, run_ms: int) -> bool:
        """Start a lease and return whether its grant was accepted.

        :param run_ms: run time of the task, in milliseconds.
        """
        self._advance_to_now()
        if not self._accepts(grant):
            return False
        if self.fences_epochs:
            self._epoch = max(self._epoch, grant.epoch)
        view = LeaseView(
            grant.lease_id,
            grant.epoch,
            grant.expires_at_ms,
            grant.kind,
            grant.resources,
            LeaseState.RUNNING,
            grant.entry,
            grant.resources,
        )
        ends_at_ms = self.now_ms() + run_ms
        self._records_by_lease[grant.lease_id] = _LeaseRecord(view, ends_at_ms)
        if grant.kind is LeaseKind.TASK:
            self.events.append(
                LeaseStarted(
                    self._clock.now_ms(),
                    self.info.instance_id,
                    grant.lease_id,
                    grant.resources,
                )
            )
        return True

    def renew(self, lease_id: str, expires_at_ms: int) -> None:
        """Raise the expiry of a lease that has not expired.

        :param expires_at_ms: time of the worker's clock; one that is not
            later than the current expiry changes nothing.
        """
        self._advance_to_now()
        record = self._records_by_lease.get(lease_id)
        if record is None or expires_at_ms <= record.view.expires_at_ms:
            return
        view = record.view._replace(expires_at_ms=expires_at_ms)
        self._records_by_lease[lease_id] = record._replace(view=view)

    def stop(self, lease_id: str) -> None:
        """End a lease and stop its task."""
        self._advance_to_now()
        record = self._records_by_lease.pop(lease_id, None)
        if record is not None:
            self._record_end(record, self.now_ms())

    def restart(self) -> None:
        """Restart: lose every lease and start the clock of a new boot at 0."""
        self._advance_to_now()
        for record in self._records_by_lease.values():
            self._record_end(record, self.now_ms())
        self.boot_count += 1
        self._skew_ms = -self._clock.now_ms()
        self._epoch = 0
        self._records_by_lease.clear()

    def reserved(self) -> Resources:
        """Return the resources that running tasks reserve now."""
        self._advance_to_now()
        total = NO_RESOURCES
        for record in self._records_by_lease.values():
            if record.view.state is LeaseState.RUNNING:
                total = total.plus(record.view.resources)
        return total

    def _accepts(self, grant: LeaseGrant) -> bool:
        if grant.boot_id != self.boot_id or grant.epoch < self._epoch:
            return False
        if grant.expires_at_ms <= self.now_ms():
            return False
        return grant.lease_id not in self._records_by_lease

    def _record_end(self, record: _LeaseRecord, at_ms: int) -> None:
        if record.is_running_task:
            self.events.append(
                LeaseEnded(
                    at_ms - self._skew_ms,
                    self.info.instance_id,
                    record.view.lease_id,
                )
            )

    def _advance_to_now(self) -> None:
        now_ms = self.now_ms()
        for lease_id, record in list(self._records_by_lease.items()):
            if record.task_ends_at_ms <= now_ms:
                self._record_end(record, record.task_ends_at_ms)
            if record.view.expires_at_ms <= now_ms:
                del self._records_by_lease[lease_id]
                continue
            if not record.is_running_task or record.ends_at_ms > now_ms:
                continue
            state = (
                LeaseState.FAILED
                if self.fails_all_tasks
                else LeaseState.FINISHED
            )
            view = record.view._replace(state=state, progress=1.0)
            self._records_by_lease[lease_id] = record._replace(view=view)


class StandinWorkers:
    """Worker pool of in-memory workers.

    :param run_ms_of: returns the run time of a granted task, in
        milliseconds; by default the payload names it.
    :ivar by_id: workers by instance id.
    :ivar history: starts of tasks on all workers, in order.
    """

    def __init__(
        self,
        infos: tuple[InstanceInfo, ...],
        clock: Clock,
        run_ms_of: Callable[[LeaseGrant], int] | None = None,
        fences_epochs: bool = False,
    ) -> None:
        self.fences_epochs = fences_epochs
        self.by_id = {
            info.instance_id: StandinWorker(info, clock, 1_000 * number)
            for number, info in enumerate(infos, 1)
        }
        for target in self.by_id.values():
            target.fences_epochs = fences_epochs
        self.history: list[TaskStart] = []
        self._clock = clock
        self._run_ms_of = run_ms_of or _default_run_ms
        self._lock = threading.Lock()

    def view(self, worker: InstanceInfo) -> Result[WorkerView, Failure]:
        """Return the worker's unexpired leases and their usage."""
        return self._call(worker, lambda _target: None)

    def start(
        self, worker: InstanceInfo, grants: tuple[LeaseGrant, ...]
    ) -> Result[WorkerView, Failure]:
        """Start leases; each lease id starts at most once."""

        def apply(target: StandinWorker) -> None:
            for grant in grants:
                started = target.start(grant, self._run_ms_of(grant))
                if started and grant.kind is LeaseKind.TASK:
                    self.history.append(
                        TaskStart(
                            self._clock.now_ms(),
                            worker.instance_id,
                            grant.lease_id,
                        )
                    )

        return self._call(worker, apply)

    def renew(
        self,
        worker: InstanceInfo,
        lease_ids: tuple[str, ...],
        expires_at_ms: int,
    ) -> Result[WorkerView, Failure]:
        """Raise the expiry of unexpired leases.

        :param expires_at_ms: time of the worker's clock, in milliseconds.
        """

        def apply(target: StandinWorker) -> None:
            for lease_id in lease_ids:
                target.renew(lease_id, expires_at_ms)

        return self._call(worker, apply)

    def stop(
        self, worker: InstanceInfo, lease_ids: tuple[str, ...]
    ) -> Result[WorkerView, Failure]:
        """Stop tasks and end their leases."""

        def apply(target: StandinWorker) -> None:
            for lease_id in lease_ids:
                target.stop(lease_id)

        return self._call(worker, apply)

    def checkpoint(
        self, worker: InstanceInfo, lease_ids: tuple[str, ...]
    ) -> Result[WorkerView, Failure]:
        """Save the progress of tasks and end their leases."""
        return self.stop(worker, lease_ids)

    def throttle(
        self,
        worker: InstanceInfo,
        lease_id: str,  # noqa: ARG002
        cpu_millis: int,  # noqa: ARG002
    ) -> Result[WorkerView, Failure]:
        """Limit the processor share of a task.

        :param cpu_millis: limit, in thousandths of a processor.
        """
        return self._call(worker, lambda _target: None)

    def _call(
        self, worker: InstanceInfo, apply: Callable[[StandinWorker], None]
    ) -> Result[WorkerView, Failure]:
        with self._lock:
            target = self.by_id.get(worker.instance_id)
            if target is None or target.down:
                return Err(
                    not_run(
                        FailureCode.UNAVAILABLE,
                        f"worker {worker.instance_id} is unreachable",
                    )
                )
            apply(target)
            return Ok(target.view())


def _default_run_ms(grant: LeaseGrant) -> int:
    """Return the run time in a payload ``run_ms=N``, else the default."""
    key, _, value = grant.payload.partition("=")
    if key == "run_ms" and value.isdigit():
        return int(value)
    return DEFAULT_RUN_MS
