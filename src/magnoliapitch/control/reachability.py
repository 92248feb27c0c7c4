"""Tracking of workers' answers and of the ends of their leases."""

from __future__ import annotations

import threading

from collections import Counter
from typing import TYPE_CHECKING

from magnoliapitch.control.lease import WorkerLease


if TYPE_CHECKING:
    from magnoliapitch.control.stored_leases import StoredLeases
    from magnoliapitch.control.timing import ControlTiming
    from magnoliapitch.ledger.elapsed_clock import LeaderClock


# A worker whose last answer is older gets no new runs.
MAX_ANSWER_AGE_MS = 2_200
# A worker that has not answered for this long, or left this many renewals in a
# row unanswered, counts as silent.
SILENT_AFTER_MS = 1_000
SILENT_AFTER_RENEWALS = 2


class WorkerReachability:
    """Last answers and leases of each worker, as far as the leader knows.

    Lease renewal threads call ``next_lease_deadline``; one other thread calls
    the rest.

    :param claimed_ms: when the leader's claim was sent, by its clock.
    :param clock: the shared clock as the leader continues it.
    """

    def __init__(
        self,
        timing: ControlTiming,
        claimed_ms: int,
        clock: LeaderClock,
        stored_leases: StoredLeases,
    ) -> None:
        self._timing = timing
        self._claimed_ms = claimed_ms
        self._stored_leases = stored_leases
        self._inherited_leases_end_ms = claimed_ms + timing.takeover_ms
        if clock.inherited_ms is not None:
            self._inherited_leases_end_ms = (
                clock.local_ms(clock.inherited_ms) + timing.takeover_ms
            )
        # Held while a lease is granted, and while what it rests on changes.
        self._lock = threading.Lock()
        self._lease_by_worker: dict[str, WorkerLease] = {}
        self._answered_ms_by_worker: dict[str, int] = {}
        # Without an answer, when the worker was first called.
        self._last_answer_ms_by_worker: dict[str, int] = {}
        self._unanswered_order_ms_by_worker: dict[str, int] = {}
        # Renewals in a row, since the last answer.
        self._unanswered_count_by_worker: Counter[str] = Counter()

    def record_called(self, worker_id: str, now_ms: int) -> None:
        """Record that the leader calls a worker from now on."""
        self._last_answer_ms_by_worker.setdefault(worker_id, now_ms)

    def record_answer(
        self, worker_id: str, clock_ms: int, sent_ms: int, received_ms: int
    ) -> None:
        """Record an answered renewal with the worker's clock.

        A renewal that was sent before the last unanswered order does not
        make the worker reachable again.
        """
        lease = self._lease_of(worker_id)
        with self._lock:
            lease.record_clock(clock_ms, sent_ms, received_ms)
        self._last_answer_ms_by_worker[worker_id] = received_ms
        self._unanswered_count_by_worker.pop(worker_id, None)
        self._stored_leases.discard(worker_id)
        if sent_ms >= self._unanswered_order_ms_by_worker.get(worker_id, 0):
            self._answered_ms_by_worker[worker_id] = received_ms

    def record_unanswered_renewal(self, worker_id: str) -> None:
        """Record a renewal that was not answered."""
        self._unanswered_count_by_worker[worker_id] += 1
        self._record_unanswered(worker_id)

    def record_unanswered_order(self, worker_id: str, now_ms: int) -> None:
        """Record an unanswered order; only renewals sent later count."""
        self._unanswered_order_ms_by_worker[worker_id] = now_ms
        self._record_unanswered(worker_id)

    def _record_unanswered(self, worker_id: str) -> None:
        with self._lock:
            self._answered_ms_by_worker.pop(worker_id, None)

    def is_answering(self, worker_id: str) -> bool:
        """Return whether the worker's last call was answered."""
        return worker_id in self._answered_ms_by_worker

    def silent_ms(self, worker_id: str, now_ms: int) -> int:
        """Return since when a worker has not answered this leader, in ms.

        It counts from the claim if the worker was never called.
        """
        answered_ms = self._last_answer_ms_by_worker.get(
            worker_id, self._claimed_ms
        )
        return now_ms - answered_ms

    def is_silent(self, worker_id: str, now_ms: int) -> bool:
        """Return whether a worker has not answered for some time."""
        if self.is_answering(worker_id):
            return False
        return (
            self._unanswered_count_by_worker[worker_id]
            >= SILENT_AFTER_RENEWALS
            or self.silent_ms(worker_id, now_ms) >= SILENT_AFTER_MS
        )

    def lost_ms(self, worker_id: str, now_ms: int) -> int:
        """Return for how long a worker has answered no leader, in ms.

        If it has not answered this one, it counts from when the newest lease
        of a former leader began, which follows from the end of that lease.
        """
        silent_ms = self.silent_ms(worker_id, now_ms)
        lease = self._lease_of(worker_id)
        if lease.has_clock:
            return silent_ms
        began_ms = lease.all_leases_expired_at_ms() - self._timing.takeover_ms
        return max(silent_ms, now_ms - began_ms)

    def has_granted(self, worker_id: str) -> bool:
        """Return whether this leader has granted a lease to a worker."""
        lease = self._lease_by_worker.get(worker_id)
        return lease is not None and lease.is_granted

    def is_reachable(self, worker_id: str, now_ms: int) -> bool:
        """Return whether the last call was answered, and recently."""
        answered_ms = self._answered_ms_by_worker.get(worker_id)
        return (
            answered_ms is not None
            and now_ms - answered_ms <= MAX_ANSWER_AGE_MS
        )

    def next_lease_deadline(
        self, worker_id: str, begin_ms: int, *, is_leaving: bool = False
    ) -> int | None:
        """Return the end of a lease that begins at a time, or None.

        A renewal may take effect on the worker although its answer is lost.
        So a worker that did not answer gets no further lease; otherwise the
        time when its leases have expired would move on without end.
        """
        with self._lock:
            lease = self._lease_by_worker.get(worker_id)
            if lease is None or not lease.has_clock:
                return None
            if not self.is_answering(worker_id):
                return None
            if not self.may_grant(worker_id):
                return None
            return lease.next_deadline(begin_ms, is_leaving=is_leaving)

    def may_grant(self, worker_id: str) -> bool:
        """Return whether no end of the worker's leases is stored."""
        return self._stored_leases.may_grant(worker_id)

    def store_lease_end(self, worker_id: str, address: str = "") -> None:
        """Store when the leases of a worker that does not answer end.

        :param address: address of the worker, by which the next leader finds
            the worker that has taken its place.
        """
        with self._lock:
            self._stored_leases.put(
                worker_id, self.leases_expired_at_ms(worker_id), address
            )

    def discard_lease_end(self, worker_id: str) -> None:
        """Delete the stored end of a worker's leases, since it has no runs."""
        self._stored_leases.discard(worker_id)

    def estimated_clock_ms(self, worker_id: str, now_ms: int) -> int | None:
        """Return a worker's clock, rather too early than too late.

        :return: the clock in ms, or None if it is not known.
        """
        lease = self._lease_by_worker.get(worker_id)
        return None if lease is None else lease.estimated_clock_ms(now_ms)

    def leases_expired_at_ms(self, worker_id: str) -> int:
        """Return when every lease of a worker has certainly expired."""
        return self._lease_of(worker_id).all_leases_expired_at_ms()

    def record_restart(self, worker_id: str, now_ms: int) -> None:
        """Begin the lease of a worker that has restarted.

        Calls that were meant for its former incarnation may have granted it
        one already.
        """
        self._lease_by_worker[worker_id] = WorkerLease(
            self._timing,
            self._inherited_end_ms(
                worker_id, now_ms + self._timing.restart_ms
            ),
        )

    def forget(self, worker_id: str) -> None:
        """Drop the data of a worker that is gone."""
        self._lease_by_worker.pop(worker_id, None)
        self._answered_ms_by_worker.pop(worker_id, None)
        self._last_answer_ms_by_worker.pop(worker_id, None)
        self._unanswered_order_ms_by_worker.pop(worker_id, None)
        self._unanswered_count_by_worker.pop(worker_id, None)
        self._stored_leases.discard(worker_id)

    def _lease_of(self, worker_id: str) -> WorkerLease:
        lease = self._lease_by_worker.get(worker_id)
        if lease is None:
            end_ms = self._inherited_end_ms(
                worker_id, self._inherited_leases_end_ms
            )
            lease = WorkerLease(self._timing, end_ms)
            self._lease_by_worker[worker_id] = lease
        return lease

    def _inherited_end_ms(self, worker_id: str, latest_ms: int) -> int:
        """Return the stored end of a worker's leases, or the latest one."""
        stored_ms = self._stored_leases.inherited_end_ms(worker_id)
        return latest_ms if stored_ms is None else min(stored_ms, latest_ms)
