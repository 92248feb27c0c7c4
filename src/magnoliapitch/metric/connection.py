"""Byte counters that the kernel keeps for TCP connections."""

from __future__ import annotations

import os
import socket
import stat
import struct

from pathlib import Path
from typing import NamedTuple


DESCRIPTORS = Path("/proc/self/fd")
TCP_INFO_BYTES = 256
BYTES_ACKED_OFFSET = 120


class ConnectionBytes(NamedTuple):
    """Bytes of one or more connections."""

    received: int
    sent: int

    def plus(self, other: ConnectionBytes) -> ConnectionBytes:
        """Return the sum of both."""
        return ConnectionBytes(
            self.received + other.received, self.sent + other.sent
        )


def read_connections() -> dict[int, ConnectionBytes]:
    """Return the counters of every open TCP connection by inode."""
    found: dict[int, ConnectionBytes] = {}
    for name in os.listdir(DESCRIPTORS):
        try:
            inode, counters = _read_descriptor(int(name))
        except OSError:
            continue
        if counters is not None:
            found[inode] = counters
    return found


def _read_descriptor(number: int) -> tuple[int, ConnectionBytes | None]:
    status = os.fstat(number)
    if not stat.S_ISSOCK(status.st_mode):
        return status.st_ino, None
    with socket.socket(fileno=os.dup(number)) as duplicate:
        if duplicate.family not in (socket.AF_INET, socket.AF_INET6):
            return status.st_ino, None
        info = duplicate.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    if len(info) < BYTES_ACKED_OFFSET + 16:
        return status.st_ino, None
    sent, received = struct.unpack_from("=QQ", info, BYTES_ACKED_OFFSET)
    return status.st_ino, ConnectionBytes(received, sent)
