"""Calls to a group of workers: lease renewals and orders."""

from __future__ import annotations

import threading

from typing import TYPE_CHECKING

from magnoliapitch.control.lease_renewer import LeaseRenewer


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.clock import Clock
    from magnoliapitch.control.events import Event
    from magnoliapitch.control.order_sender import OrderSender
    from magnoliapitch.planner.plan import PlannedStart
    from magnoliapitch.workload.client import WorkerClient
    from magnoliapitch.workload.run import StartOrder
    from magnoliapitch.workload.run import StopOrder
    from magnoliapitch.workload.worker import WorkerInfo


class WorkerGroup:
    """Renews the leases of workers and sends them orders; thread-safe.

    :param next_deadline: takes a worker's id and the time; returns the end of
        its next lease on its own clock, or None to only get a report.
    :param post: called with the outcome of every call.
    """

    def __init__(
        self,
        workers: WorkerClient,
        clock: Clock,
        order_sender: OrderSender,
        next_deadline: Callable[[str, int], int | None],
        post: Callable[[Event], None],
    ) -> None:
        self._workers = workers
        self._clock = clock
        self._order_sender = order_sender
        self._next_deadline = next_deadline
        self._post = post
        self._lock = threading.Lock()
        self._renewer_by_worker: dict[str, LeaseRenewer] = {}

    def add(self, worker: WorkerInfo, token: int) -> None:
        """Renew a worker's lease repeatedly.

        :param token: fencing token of the leader for the worker.
        """
        worker_id = worker.worker_id
        renewer = LeaseRenewer(
            worker,
            token,
            self._workers,
            self._clock,
            lambda now_ms: self._next_deadline(worker_id, now_ms),
            self._post,
        )
        with self._lock:
            former = self._renewer_by_worker.get(worker_id)
            self._renewer_by_worker[worker_id] = renewer
        if former is not None:
            former.stop()
        renewer.start()

    def remove(self, worker_id: str) -> None:
        """Stop renewing a worker's lease, if it is renewed here."""
        with self._lock:
            renewer = self._renewer_by_worker.pop(worker_id, None)
        if renewer is not None:
            renewer.stop()

    def close(self) -> None:
        """Stop renewing all leases."""
        with self._lock:
            worker_ids = list(self._renewer_by_worker)
        for worker_id in worker_ids:
            self.remove(worker_id)

    def acknowledge(self, worker_id: str, sequence: int) -> None:
        """Let a worker drop ended runs up to a sequence number."""
        renewer = self._renewer_by_worker.get(worker_id)
        if renewer is not None:
            renewer.acknowledge(sequence)

    def start(
        self, worker: WorkerInfo, planned: PlannedStart, order: StartOrder
    ) -> None:
        """Order a worker to start a run."""
        self._order_sender.start(worker, planned, order, self._post)

    def order_stop(self, worker: WorkerInfo, order: StopOrder) -> None:
        """Order a worker to stop a run."""
        self._order_sender.order_stop(worker, order, self._post)

    def available_start_orders(self) -> int:
        """Return the number of start orders that may be sent now."""
        return self._order_sender.window.available()

    def max_start_orders(self) -> int:
        """Return how many start orders may be unanswered at a time."""
        return self._order_sender.window.limit()
