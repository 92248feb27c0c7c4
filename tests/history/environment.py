"""The platform and the workers of a simulation, with faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Result

from magnoliapitch.verdict import FailureCode
from magnoliapitch.verdict import not_run
from magnoliapitch.worker.lease import LeaseKind


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.journal.log import LogSlice
    from magnoliapitch.membership.instance import InstanceInfo
    from magnoliapitch.verdict import Failure
    from magnoliapitch.worker.lease import LeaseGrant
    from magnoliapitch.worker.lease import WorkerView
    from tests.history.simulation import Simulation


UNREACHABLE = not_run(FailureCode.UNAVAILABLE, "cut")


class Environment:
    """The platform and the workers as seen by one entry instance.

    :ivar is_log_unreachable: whether calls to the log and the instance
        list fail.
    :ivar unreachable_workers: ids of the workers to which calls fail.
    :ivar start_delay_ms: delay of each start of a task; 0 for none.
    :ivar call_delay_max_ms: maximum delay of a delayed call.
    :ivar delayed_call_share: share of the calls to workers that are
        delayed.
    """

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.is_log_unreachable = False
        self.unreachable_workers: set[str] = set()
        self.start_delay_ms = 0
        self.call_delay_max_ms = 0
        self.delayed_call_share = 0.0

    def append(self, data: bytes) -> Result[int, Failure]:
        if self.is_log_unreachable:
            return Err(UNREACHABLE)
        return self.simulation.append(data)

    def read(
        self, from_offset: int, limit: int, wait_ms: int = 0
    ) -> Result[LogSlice, Failure]:
        if self.is_log_unreachable:
            return Err(UNREACHABLE)
        return self.simulation.cluster.log.read(from_offset, limit)

    def instances(self) -> Result[tuple[InstanceInfo, ...], Failure]:
        if self.is_log_unreachable:
            return Err(UNREACHABLE)
        return self.simulation.cluster.instance_list.instances()


class FaultyWorkers:
    """Workers whose calls fail or are delayed as the environment says."""

    fences_epochs = False

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._workers = environment.simulation.cluster.workers

    def view(self, worker: InstanceInfo) -> Result[WorkerView, Failure]:
        return self._call(worker, lambda: self._workers.view(worker))

    def start(
        self, worker: InstanceInfo, grants: tuple[LeaseGrant, ...]
    ) -> Result[WorkerView, Failure]:
        def call() -> Result[WorkerView, Failure]:
            return self._workers.start(worker, grants)

        delay_ms = self._environment.start_delay_ms
        if delay_ms and grants[0].kind is LeaseKind.TASK:
            return self._environment.simulation.delay(delay_ms, call)
        return self._call(worker, call)

    def renew(
        self,
        worker: InstanceInfo,
        lease_ids: tuple[str, ...],
        expires_at_ms: int,
    ) -> Result[WorkerView, Failure]:
        return self._call(
            worker,
            lambda: self._workers.renew(worker, lease_ids, expires_at_ms),
        )

    def stop(
        self, worker: InstanceInfo, lease_ids: tuple[str, ...]
    ) -> Result[WorkerView, Failure]:
        return self._call(
            worker, lambda: self._workers.stop(worker, lease_ids)
        )

    def checkpoint(
        self, worker: InstanceInfo, lease_ids: tuple[str, ...]
    ) -> Result[WorkerView, Failure]:
        return self.stop(worker, lease_ids)

    def throttle(
        self, worker: InstanceInfo, lease_id: str, cpu_millis: int
    ) -> Result[WorkerView, Failure]:
        return self.view(worker)

    def _call(
        self,
        worker: InstanceInfo,
        call: Callable[[], Result[WorkerView, Failure]],
    ) -> Result[WorkerView, Failure]:
        environment = self._environment
        simulation = environment.simulation
        if worker.instance_id in environment.unreachable_workers:
            return Err(UNREACHABLE)
        if (
            not environment.delayed_call_share
            or simulation.rng.random() > environment.delayed_call_share
        ):
            return call()
        delay_ms = int(
            simulation.rng.integers(0, environment.call_delay_max_ms)
        )
        return simulation.delay(delay_ms, call)
