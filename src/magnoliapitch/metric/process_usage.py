"""Reads the resource usage of the process from the operating system."""

from __future__ import annotations

import os
import resource
import threading
import time

from pathlib import Path
from typing import NamedTuple

from magnoliapitch.metric.connection import DESCRIPTOR_DIRECTORY
from magnoliapitch.metric.connection import ConnectionBytes
from magnoliapitch.metric.connection import read_connection_bytes


PAGE_BYTES = resource.getpagesize()
STATM_PATH = Path("/proc/self/statm")


class ProcessUsage(NamedTuple):
    """Resource usage of this process.

    :param cpu_s: processor seconds used since the process started.
    :param elapsed_s: seconds since the meter was created.
    :param memory_bytes: current resident memory.
    :param threads: current number of threads.
    :param descriptors: current number of open files and sockets.
    :param received_bytes: bytes received on TCP connections.
    :param sent_bytes: bytes sent and acknowledged on TCP connections.
    """

    cpu_s: float
    elapsed_s: float
    memory_bytes: int
    threads: int
    descriptors: int
    received_bytes: int
    sent_bytes: int


class ProcessUsageMeter:
    """Reads the resource usage of this process; thread-safe.

    The byte counts of a closed connection are those of the last reading
    before it was closed. Bytes of connections that were opened and closed
    between two readings are therefore missing.
    """

    def __init__(self) -> None:
        self._started_s = time.monotonic()
        self._lock = threading.Lock()
        self._bytes_by_inode: dict[int, ConnectionBytes] = {}
        self._closed_total = ConnectionBytes(0, 0)

    def read(self) -> ProcessUsage:
        """Return the current resource usage."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        total = self._read_connection_total()
        return ProcessUsage(
            usage.ru_utime + usage.ru_stime,
            time.monotonic() - self._started_s,
            int(STATM_PATH.read_text("ascii").split()[1]) * PAGE_BYTES,
            threading.active_count(),
            len(os.listdir(DESCRIPTOR_DIRECTORY)),
            total.received,
            total.sent,
        )

    def _read_connection_total(self) -> ConnectionBytes:
        with self._lock:
            open_by_inode = read_connection_bytes()
            for inode, last_bytes in self._bytes_by_inode.items():
                if inode not in open_by_inode:
                    self._closed_total = self._closed_total.plus(last_bytes)
            self._bytes_by_inode = open_by_inode
            total = self._closed_total
            for connection_bytes in open_by_inode.values():
                total = total.plus(connection_bytes)
            return total
