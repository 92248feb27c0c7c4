"""Bytes on the wire of calls with their headers, by number of items."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliapitch.bench.capacity import sample
from magnoliapitch.bench.capacity.processor import sample_heartbeat
from magnoliapitch.bench.capacity.registry import size_slope
from magnoliapitch.bench.capacity.relay import CountingRelay
from magnoliapitch.bench.capacity.relayed_standins import serve_standins
from magnoliapitch.bench.capacity.relayed_standins import serve_worker
from magnoliapitch.clock import MonotonicClock
from magnoliapitch.journal.http_log import HttpLog
from magnoliapitch.membership.http_instance_list import HttpInstanceList
from magnoliapitch.peer.node import PeerNode
from magnoliapitch.standin.instance import StandinInstanceList
from magnoliapitch.standin.log import StandinLog
from magnoliapitch.standin.worker import StandinWorkers


if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliapitch.journal.record import RecordEntry
    from magnoliapitch.peer.message import Heartbeat


MEASURED_CALLS = 20
HEARTBEAT_COUNTS = (5, 10, 20, 40)
ITEM_COUNTS = (1, 4, 8, 16)
HEARTBEAT_TIMEOUT_MS = 5_000


@size_slope("bytes on the wire of a renewal, by tasks", ITEM_COUNTS)
def renewal(size: int) -> float:
    """Return the bytes of renewing the leases of running tasks.

    The response, with the worker's view, is included.
    """
    with serve_worker(size) as (worker, relay):
        return _bytes_per_call(relay, worker.renew)


@size_slope("bytes on the wire of a log read, by entries", ITEM_COUNTS)
def log_read(size: int) -> float:
    """Return the bytes of reading one record of task ends."""
    log = StandinLog()
    entries: list[RecordEntry] = [sample.task_end(n) for n in range(size)]
    (record,) = sample.log_records(entries, size)
    log.append(record.data)
    workers = StandinWorkers((), MonotonicClock())
    with serve_standins(log, StandinInstanceList(), workers) as relay:
        client = HttpLog(f"http://127.0.0.1:{relay.port}/log")
        return _bytes_per_call(relay, lambda: client.read(0, 1))


@size_slope("bytes on the wire of an instance list", ITEM_COUNTS)
def instance_list(size: int) -> float:
    """Return the bytes of reading a list of workers."""
    listed = StandinInstanceList(
        tuple(sample.worker_info(number) for number in range(size))
    )
    workers = StandinWorkers((), MonotonicClock())
    with serve_standins(StandinLog(), listed, workers) as relay:
        client = HttpInstanceList(f"http://127.0.0.1:{relay.port}")
        return _bytes_per_call(relay, client.instances)


@size_slope("bytes on the wire of heartbeats", HEARTBEAT_COUNTS)
def heartbeats(size: int) -> float:
    """Return the bytes of heartbeats on one connection."""
    server = PeerNode(("127.0.0.1", 0))
    server.handler = _EchoHandler()  # type: ignore[assignment]
    client = PeerNode(("127.0.0.1", 0))
    client.handler = server.handler
    server.start()
    client.start()
    relay = CountingRelay(server.port)
    relay.start()
    try:
        address = f"127.0.0.1:{relay.port}"
        for _ in range(size):
            client.heartbeat(
                address, sample_heartbeat(), HEARTBEAT_TIMEOUT_MS
            ).unwrap()
        return float(relay.total_bytes)
    finally:
        client.stop()
        server.stop()
        relay.stop()


class _EchoHandler:
    def heartbeat(self, beat: Heartbeat) -> Heartbeat:
        return beat


def _bytes_per_call(relay: CountingRelay, call: Callable[[], object]) -> float:
    call()
    bytes_before = relay.total_bytes
    for _ in range(MEASURED_CALLS):
        call()
    return (relay.total_bytes - bytes_before) / MEASURED_CALLS
