"""Side effects of the controller of one leadership."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from magnoliapitch.control.advisor_calls import AdvisorCalls
    from magnoliapitch.control.committer import Committer
    from magnoliapitch.control.delegation.router import WorkerRouter
    from magnoliapitch.control.events import Event
    from magnoliapitch.control.job_deletions import JobDeletions
    from magnoliapitch.ledger.leader_appender import Batch
    from magnoliapitch.planner.plan import IdleCalls
    from magnoliapitch.planner.plan import PlannedPermitRequest
    from magnoliapitch.planner.plan import PlannedStart
    from magnoliapitch.workload.run import StartOrder
    from magnoliapitch.workload.run import StopOrder
    from magnoliapitch.workload.worker import WorkerInfo


class LeaderEffects:
    """The ``Effects`` of a leader, carried out by threads for calls.

    :param put_event: adds the outcome of a call to the leadership's events.
    :param leads_in: returns whether this instance leads in an epoch.
    :ivar router: passes calls to workers on; None before there is one.
    """

    def __init__(
        self,
        epoch: int,
        committer: Committer,
        job_deletions: JobDeletions,
        advisor_calls: AdvisorCalls,
        put_event: Callable[[Event], None],
        leads_in: Callable[[int], bool],
    ) -> None:
        self.router: WorkerRouter | None = None
        self._epoch = epoch
        self._committer = committer
        self._job_deletions = job_deletions
        self._advisor_calls = advisor_calls
        self._put_event = put_event
        self._leads_in = leads_in

    def close(self) -> None:
        """End all calls to workers; none is made from then on."""
        if self.router is not None:
            self.router.close()
            self.router = None

    def start_lease_renewal(self, worker: WorkerInfo, token: int) -> None:
        """Renew a worker's lease repeatedly."""
        if self.router is not None:
            self.router.start_lease_renewal(worker, token)

    def stop_lease_renewal(self, worker_id: str) -> None:
        """Stop renewing a worker's lease, if it is renewed."""
        if self.router is not None:
            self.router.stop_lease_renewal(worker_id)

    def acknowledge(self, worker_id: str, sequence: int) -> None:
        """Let a worker drop ended runs up to a sequence number."""
        if self.router is not None:
            self.router.acknowledge(worker_id, sequence)

    def start(
        self, worker: WorkerInfo, planned: PlannedStart, order: StartOrder
    ) -> None:
        """Order a worker to start a run."""
        if self.router is not None:
            self.router.start(worker, planned, order)

    def order_stop(self, worker: WorkerInfo, order: StopOrder) -> None:
        """Order a worker to stop a run."""
        if self.router is not None:
            self.router.order_stop(worker, order)

    def commit(self, batch: Batch) -> None:
        """Store records under the leader's epoch.

        A batch of a former controller must not be stored under the next
        epoch.
        """
        self._committer.commit(
            batch, lambda: self._leads_in(self._epoch), self._put_event
        )

    def delete_jobs(self, job_ids: Sequence[str]) -> None:
        """Mark stored jobs for deletion, which happens in batches."""
        self._job_deletions.add(job_ids)

    def request_permits(
        self, request: PlannedPermitRequest, timeout_ms: int
    ) -> bool:
        """Call the advisor for permits if a channel to it is idle.

        :return: whether the call was started.
        """
        return self._advisor_calls.begin(request, timeout_ms, self._put_event)

    def idle_advisor_calls(self) -> IdleCalls:
        """Return the advisor calls that can be started now."""
        return self._advisor_calls.idle_calls()

    def available_start_orders(self) -> int:
        """Return the number of start orders that may be sent now."""
        return self.router.available_start_orders() if self.router else 0

    def max_start_orders(self) -> int:
        """Return how many start orders may be unanswered at a time."""
        return self.router.max_start_orders() if self.router else 0


__all__ = ["LeaderEffects"]
