"""Stand-ins served over HTTP through a relay that counts the bytes."""

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


TASK_AND_LEASE_MS = 10_000_000  # longer than any benchmark
SERVER_THREADS = 4


class RemoteWorker:
    """HTTP client of one worker on which tasks run.

    :param tasks: number of tasks to start.
    :raises BenchError: if not all of them start.
    """

    def __init__(self, info: InstanceInfo, tasks: int) -> None:
        self._info = info
        self._pool = HttpWorkerPool()
        view = self._pool.view(info).unwrap()
        grants = tuple(_grant(number, view) for number in range(tasks))
        view_after_start = self._pool.start(info, grants).unwrap()
        if len(view_after_start.leases) != tasks:
            raise BenchError(
                f"the worker started {len(view_after_start.leases)} "
                f"of {tasks} tasks"
            )
        self._lease_ids = tuple(grant.lease_id for grant in grants)
        self._expires_at_ms = view.now_ms + TASK_AND_LEASE_MS

    def renew(self) -> None:
        """Renew every lease and read the worker's view."""
        self._expires_at_ms += 1
        self._pool.renew(
            self._info, self._lease_ids, self._expires_at_ms
        ).unwrap()


@contextmanager
def serve_worker(tasks: int) -> Iterator[tuple[RemoteWorker, CountingRelay]]:
    """Serve a worker with running tasks while the context lasts.

    :param tasks: number of running tasks.
    """
    worker = sample.worker_info(1)
    workers = StandinWorkers(
        (worker,), MonotonicClock(), lambda _grant: TASK_AND_LEASE_MS
    )
    instance_list = StandinInstanceList((worker,))
    with serve_standins(StandinLog(), instance_list, workers) as relay:
        url = f"http://127.0.0.1:{relay.port}/workers/{worker.instance_id}"
        yield RemoteWorker(worker._replace(url=url), tasks), relay


@contextmanager
def serve_standins(
    log: StandinLog,
    instance_list: StandinInstanceList,
    workers: StandinWorkers,
) -> Iterator[CountingRelay]:
    """Serve stand-ins through a relay while the context lasts."""
    backends = StandinBackends()
    server = StandinServer(
        log, instance_list, workers, backends, SERVER_THREADS
    )
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
        view.now_ms + TASK_AND_LEASE_MS,
        resources=sample.TASK_SIZE,
        entry=sample.ENTRY_NAME,
        boot_id=view.boot_id,
    )
