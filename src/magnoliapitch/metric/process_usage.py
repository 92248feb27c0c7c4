"""What the process itself uses, from the operating system's counters."""

from __future__ import annotations

import os
import resource
import threading
import time

from pathlib import Path
from typing import NamedTuple

from magnoliapitch.metric.connection import ConnectionBytes
from magnoliapitch.metric.connection import read_connections


PAGE_BYTES = resource.getpagesize()
STATM = Path("/proc/self/statm")
DESCRIPTORS = Path("/proc/self/fd")


class ProcessUsage(NamedTuple):
    """Use of the machine by this process.

    :param cpu_s: processor seconds since the start.
    :param elapsed_s: seconds since the meter was made.
    :param memory_bytes: resident memory now.
    :param threads: threads now.
    :param descriptors: open files and sockets now.
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
    """Reads the counters of this process.

    Bytes of a connection are known up to the last reading before it was
    closed, so those of connections shorter than the interval between two
    readings are missing.
    """

    def __init__(self) -> None:
        self._started_s = time.monotonic()
        self._lock = threading.Lock()
        self._bytes_by_inode: dict[int, ConnectionBytes] = {}
        self._closed = ConnectionBytes(0, 0)

    def read(self) -> ProcessUsage:
        """Return the cost up to now."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        total = self._read_bytes()
        return ProcessUsage(
            usage.ru_utime + usage.ru_stime,
            time.monotonic() - self._started_s,
            int(STATM.read_text("ascii").split()[1]) * PAGE_BYTES,
            threading.active_count(),
            len(os.listdir(DESCRIPTORS)),
            total.received,
            total.sent,
        )

    def _read_bytes(self) -> ConnectionBytes:
        with self._lock:
            found = read_connections()
            for inode, old in self._bytes_by_inode.items():
                if inode not in found:
                    self._closed = self._closed.plus(old)
            self._bytes_by_inode = found
            total = self._closed
            for item in found.values():
                total = total.plus(item)
            return total
