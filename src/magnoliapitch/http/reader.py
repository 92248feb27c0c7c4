"""Reads a request within one deadline, however slowly it arrives."""

from __future__ import annotations

import io
import socket
import time

from typing import Any

from cheroot.makefile import StreamWriter


class _DeadlineIO(socket.SocketIO):
    def __init__(self, stream: socket.socket, timeout_s: float) -> None:
        super().__init__(stream, "r")
        self._stream = stream
        self._timeout_s = timeout_s
        self._deadline_s = time.monotonic() + timeout_s
        self.bytes_received = 0

    def restart(self) -> None:
        """Give the next request its full time."""
        self._deadline_s = time.monotonic() + self._timeout_s

    def readinto(self, buffer: Any) -> int | None:
        """Read what has arrived.

        :raises TimeoutError: when the request took too long.
        """
        left_s = self._deadline_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("timed out")
        self._stream.settimeout(left_s)
        try:
            count = super().readinto(buffer)
        finally:
            self._stream.settimeout(self._timeout_s)
        self.bytes_received += count or 0
        return count


class DeadlineReader(io.BufferedReader):
    """Buffered reader of a connection whose requests have a deadline.

    :ivar bytes_read: bytes handed out so far.
    """

    def __init__(self, stream: socket.socket, buffer_bytes: int) -> None:
        self._deadline = _DeadlineIO(stream, stream.gettimeout() or 0)
        super().__init__(self._deadline, buffer_bytes)
        self.bytes_read = 0

    def restart(self) -> None:
        """Give the next request its full time."""
        self._deadline.restart()

    def has_data(self) -> bool:
        """Return whether bytes have arrived that were not handed out."""
        return self._deadline.bytes_received > self.bytes_read

    def read(self, size: int | None = -1, /) -> bytes:
        """Read and count bytes."""
        data = super().read(size)
        self.bytes_read += len(data)
        return data

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read and count a line."""
        line = super().readline(size)
        self.bytes_read += len(line)
        return line


def make_file(stream: socket.socket, mode: str, buffer_bytes: int) -> Any:
    """Return a buffered reader or writer of a connection."""
    if "r" in mode:
        return DeadlineReader(stream, buffer_bytes)
    return StreamWriter(stream, mode, buffer_bytes)
