"""Interface to the side effects of the controller."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliapitch.ledger.leader_appender import Batch
    from magnoliapitch.planner.plan import IdleCalls
    from magnoliapitch.planner.plan import PlannedPermitRequest
    from magnoliapitch.planner.plan import PlannedStart
    from magnoliapitch.workload.run import StartOrder
    from magnoliapitch.workload.run import StopOrder
    from magnoliapitch.workload.worker import WorkerInfo


class Effects(Protocol):
    """Calls that a controller makes without waiting for their outcome.

    The outcome of each arrives later as an event, except where noted.
    """

    def start_lease_renewal(self, worker: WorkerInfo, token: int) -> None:
        """Renew a worker's lease repeatedly; an event follows each call.

        :param token: fencing token of all calls to the worker.
        """

    def stop_lease_renewal(self, worker_id: str) -> None:
        """Stop renewing a worker's lease; no event follows."""

    def acknowledge(self, worker_id: str, sequence: int) -> None:
        """Let a worker drop ended runs up to a sequence number.

        No event follows.
        """

    def start(
        self, worker: WorkerInfo, planned: PlannedStart, order: StartOrder
    ) -> None:
        """Order a worker to start a run."""

    def order_stop(self, worker: WorkerInfo, order: StopOrder) -> None:
        """Order a worker to stop a run."""

    def commit(self, batch: Batch) -> None:
        """Store records under the leader's epoch."""

    def delete_jobs(self, job_ids: Sequence[str]) -> None:
        """Delete stored jobs that have ended; no event follows."""

    def request_permits(
        self, request: PlannedPermitRequest, timeout_ms: int
    ) -> bool:
        """Call the advisor for permits, unless every channel is busy.

        :return: whether the call was started and an event will follow.
        """

    def idle_advisor_calls(self) -> IdleCalls:
        """Return the advisor calls that can be started now."""

    def available_start_orders(self) -> int:
        """Return the number of start orders that may be sent now."""

    def max_start_orders(self) -> int:
        """Return how many start orders may be unanswered at a time."""
