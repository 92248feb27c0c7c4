"""Reads the byte counts that the kernel keeps for TCP connections."""

from __future__ import annotations

import os
import socket
import stat
import struct

from pathlib import Path
from typing import NamedTuple


DESCRIPTOR_DIRECTORY = Path("/proc/self/fd")
TCP_INFO_BYTES = 256
# Offset of ``tcpi_bytes_acked`` in Linux's ``struct tcp_info``, which
# ``tcpi_bytes_received`` follows; both are unsigned 64-bit numbers.
BYTES_ACKED_OFFSET = 120


class ConnectionBytes(NamedTuple):
    """Byte counts of one or more connections.

    :param received: bytes received.
    :param sent: bytes sent and acknowledged by the peer.
    """

    received: int
    sent: int

    def plus(self, other: ConnectionBytes) -> ConnectionBytes:
        """Return the sum of both counts."""
        return ConnectionBytes(
            self.received + other.received, self.sent + other.sent
        )


def read_connection_bytes() -> dict[int, ConnectionBytes]:
    """Return the byte counts of every open TCP connection of this process.

    :return: byte counts by inode number of the socket.
    """
    bytes_by_inode: dict[int, ConnectionBytes] = {}
    for name in os.listdir(DESCRIPTOR_DIRECTORY):
        try:
            inode, connection_bytes = _read_descriptor(int(name))
        except OSError:
            continue
        if connection_bytes is not None:
            bytes_by_inode[inode] = connection_bytes
    return bytes_by_inode


def _read_descriptor(descriptor: int) -> tuple[int, ConnectionBytes | None]:
    status = os.fstat(descriptor)
    if not stat.S_ISSOCK(status.st_mode):
        return status.st_ino, None
    with socket.socket(fileno=os.dup(descriptor)) as duplicate_socket:
        if duplicate_socket.family not in (socket.AF_INET, socket.AF_INET6):
            return status.st_ino, None
        tcp_info = duplicate_socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    if len(tcp_info) < BYTES_ACKED_OFFSET + 16:
        return status.st_ino, None
    sent, received = struct.unpack_from("=QQ", tcp_info, BYTES_ACKED_OFFSET)
    return status.st_ino, ConnectionBytes(received, sent)
