"""What the controller has done by others, without waiting."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliapitch.ledger.leadership import Batch
    from magnoliapitch.planner.plan import PlannedPermitRequest
    from magnoliapitch.planner.plan import PlannedStart
    from magnoliapitch.workload.run import StartOrder
    from magnoliapitch.workload.run import StopOrder
    from magnoliapitch.workload.worker import WorkerInfo


class Effects(Protocol):
    """Each call is answered later by an event, except where noted."""

    def start_lease_renewal(self, worker: WorkerInfo) -> None:
        """Renew a worker's lease from now on, again and again."""

    def stop_lease_renewal(self, worker_id: str) -> None:
        """Renew a worker's lease no more; no event follows."""

    def acknowledge(self, worker_id: str, number: int) -> None:
        """Let a worker forget ends up to a number; no event follows."""

    def start(
        self, worker: WorkerInfo, planned: PlannedStart, order: StartOrder
    ) -> None:
        """Order a worker to start a run."""

    def order_stop(self, worker: WorkerInfo, order: StopOrder) -> None:
        """Order a worker to stop a run."""

    def commit(self, batch: Batch) -> None:
        """Store records under the leader's epoch."""

    def delete_jobs(self, job_ids: Sequence[str]) -> None:
        """Drop stored jobs that are over; no event follows."""

    def request_permits(self, request: PlannedPermitRequest, timeout_ms: int) -> bool:
        """Ask the advisor, unless all that can ask are busy.

        :return: whether the call was begun and an event will follow.
        """

    def available_advisor_calls(self) -> int:
        """Return how many calls to the advisor can be begun now."""
