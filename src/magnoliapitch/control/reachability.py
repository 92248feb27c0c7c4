"""Which workers answer, and until when their leases may last."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.control.lease import WorkerLease


if TYPE_CHECKING:
    from magnoliapitch.control.timing import ControlTiming


# A worker that was not reached for this long gets no new work.
MAX_ANSWER_AGE_MS = 1_800


class WorkerReachability:
    """What the leader knows of its contact with each worker.

    :param claimed_ms: when the leader's claim was stored.
    """

    def __init__(self, timing: ControlTiming, claimed_ms: int) -> None:
        self._timing = timing
        self._claimed_ms = claimed_ms
        self._lease_by_worker: dict[str, WorkerLease] = {}
        self._reported_ms_by_worker: dict[str, int] = {}
        self._silent_ms_by_worker: dict[str, int] = {}

    def record_answer(
        self, worker_id: str, clock_ms: int, sent_ms: int, received_ms: int
    ) -> None:
        """Note an answer with the worker's clock."""
        self._lease(worker_id).record_clock(clock_ms, sent_ms, received_ms)
        if sent_ms >= self._silent_ms_by_worker.get(worker_id, 0):
            self._reported_ms_by_worker[worker_id] = received_ms

    def record_unanswered_renewal(self, worker_id: str) -> None:
        """Note a look that was not answered."""
        self._reported_ms_by_worker.pop(worker_id, None)

    def record_unanswered_order(self, worker_id: str, now_ms: int) -> None:
        """Note an unanswered order; only a later look counts from now on."""
        self._silent_ms_by_worker[worker_id] = now_ms
        self.record_unanswered_renewal(worker_id)

    def is_answering(self, worker_id: str) -> bool:
        """Return whether the last call was answered."""
        return worker_id in self._reported_ms_by_worker

    def is_reachable(self, worker_id: str, now_ms: int) -> bool:
        """Return whether a worker answered a short while ago."""
        reported_ms = self._reported_ms_by_worker.get(worker_id)
        return (
            reported_ms is not None
            and now_ms - reported_ms <= MAX_ANSWER_AGE_MS
        )

    def deadline(self, worker_id: str, now_ms: int) -> int | None:
        """Return the end of a lease that is given now, or None for none.

        An unanswered renewal may count all the same. So a worker that did
        not answer gets no further one, or its lease would never be over.
        """
        lease = self._lease_by_worker.get(worker_id)
        if lease is None or not lease.has_clock:
            return None
        if not self.is_answering(worker_id):
            return None
        return lease.next_deadline(now_ms)

    def leases_expired_at_ms(self, worker_id: str) -> int:
        """Return when every lease of a worker is surely over."""
        return self._lease(worker_id).all_leases_expired_at_ms()

    def forget(self, worker_id: str) -> None:
        """Forget a worker that is gone."""
        self._lease_by_worker.pop(worker_id, None)
        self._reported_ms_by_worker.pop(worker_id, None)
        self._silent_ms_by_worker.pop(worker_id, None)

    def _lease(self, worker_id: str) -> WorkerLease:
        lease = self._lease_by_worker.get(worker_id)
        if lease is None:
            inherited_leases_end_ms = self._claimed_ms + self._timing.takeover_ms
            lease = WorkerLease(self._timing, inherited_leases_end_ms)
            self._lease_by_worker[worker_id] = lease
        return lease
