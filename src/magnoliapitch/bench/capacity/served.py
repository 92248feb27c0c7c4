"""Stand-ins behind HTTP, with the bytes on the wire counted."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from magnoliapitch.bench.capacity import sample
from magnoliapitch.bench.capacity.relay import CountingRelay
from magnoliapitch.bench.exceptions import BenchError
from magnoliapitch.clock import MonotonicClock
from magnoliapitch.standin.backend import StandinBackends
from magnoliapitch.standin.instance import StandinInstanceList
from magnoliapitch.standin.log import StandinLog
from magnoliapitch.standin.server import StandinServer
from magnoliapitch.standin.worker import StandinWorkers
from magnoliapitch.worker.http_pool import HttpWorkerPool
from magnoliapitch.worker.lease import LeaseGrant
from magnoliapitch.worker.lease import WorkerView


if TYPE_CHECKING:
    from collections.abc import Iterator

    from magnoliapitch.membership.instance import InstanceInfo


LONG_MS = 10_000_000
THREADS = 4


class ServedWorker:
    """One worker over HTTP that runs some tasks."""

    def __init__(self, info: InstanceInfo, tasks: int) -> None:
        self._info = info
        self._pool = HttpWorkerPool()
        view = self._pool.view(info).unwrap()
        grants = tuple(_grant(number, view) for number in range(tasks))
        started = self._pool.start(info, grants).unwrap()
        if len(started.leases) != tasks:
            raise BenchError(f"{len(started.leases)} of {tasks} tasks run")
        self._lease_ids = tuple(grant.lease_id for grant in grants)
        self._expires_at_ms = view.now_ms + LONG_MS

    def renew(self) -> None:
        """Renew every lease and read the worker's view."""
        self._expires_at_ms += 1
        self._pool.renew(
            self._info, self._lease_ids, self._expires_at_ms
        ).unwrap()


@contextmanager
def served_worker(tasks: int) -> Iterator[tuple[ServedWorker, CountingRelay]]:
    """Serve a worker with running tasks for the length of the context."""
    worker = sample.worker_info(1)
    workers = StandinWorkers(
        (worker,), MonotonicClock(), lambda _grant: LONG_MS
    )
    instance_list = StandinInstanceList((worker,))
    with served_cell(StandinLog(), instance_list, workers) as relay:
        url = f"http://127.0.0.1:{relay.port}/workers/{worker.instance_id}"
        yield ServedWorker(worker._replace(url=url), tasks), relay


@contextmanager
def served_cell(
    log: StandinLog,
    instance_list: StandinInstanceList,
    workers: StandinWorkers,
) -> Iterator[CountingRelay]:
    """Serve stand-ins behind a relay for the length of the context."""
    backends = StandinBackends()
    server = StandinServer(log, instance_list, workers, backends, THREADS)
    server.start()
    relay = CountingRelay(int(server.url.rpartition(":")[2]))
    relay.start()
    try:
        yield relay
    finally:
        relay.stop()
        server.stop()


def _grant(number: int, view: WorkerView) -> LeaseGrant:
    return LeaseGrant(
        f"{sample.job_id(number)}/0/0",
        1,
        view.now_ms + LONG_MS,
        resources=sample.TASK_SIZE,
        entry=sample.ENTRY_NAME,
        boot_id=view.boot_id,
    )
