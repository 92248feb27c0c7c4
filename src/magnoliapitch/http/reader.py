"""Reads requests from a socket with one deadline for each whole request.

A socket timeout alone limits only each single read, so that a client could
hold a connection by sending one byte at a time.
"""

from __future__ import annotations

import io
import socket
import time

from typing import Any

from cheroot.makefile import StreamWriter


class _DeadlineSocketIO(socket.SocketIO):
    def __init__(self, stream: socket.socket, timeout_s: float) -> None:
        super().__init__(stream, "r")
        self._stream = stream
        self._timeout_s = timeout_s
        self._deadline_s = time.monotonic() + timeout_s
        self.bytes_received = 0
        self.prefetched = bytearray()

    def prefetch(self, max_bytes: int) -> bool:
        """Receive what has arrived, without waiting for more.

        :param max_bytes: most bytes to keep until they are read.
        :return: whether more may come; not if the client has closed its side
            or the connection is broken.
        """
        missing_bytes = max_bytes - len(self.prefetched)
        if missing_bytes <= 0:
            return True
        self._stream.settimeout(0)
        try:
            data = self._stream.recv(missing_bytes)
        except BlockingIOError:
            return True
        except OSError:
            return False
        finally:
            self._stream.settimeout(self._timeout_s)
        self.prefetched += data
        self.bytes_received += len(data)
        return bool(data)

    def restart_deadline(self) -> None:
        """Restart the deadline for the next request."""
        self._deadline_s = time.monotonic() + self._timeout_s

    def readinto(self, buffer: Any) -> int | None:
        """Read the available bytes, waiting for some if there are none.

        :raises TimeoutError: if the deadline of the request has passed.
        """
        if self.prefetched:
            count = min(len(buffer), len(self.prefetched))
            buffer[:count] = self.prefetched[:count]
            del self.prefetched[:count]
            return count
        remaining_s = self._deadline_s - time.monotonic()
        if remaining_s <= 0:
            # cheroot recognises a timeout by this text and responds with 408.
            raise TimeoutError("timed out")
        self._stream.settimeout(remaining_s)
        try:
            received_count = super().readinto(buffer)
        finally:
            self._stream.settimeout(self._timeout_s)
        self.bytes_received += received_count or 0
        return received_count


class DeadlineReader(io.BufferedReader):
    """Buffered reader of a connection with a deadline for each request.

    The deadline is the socket's timeout, counted from the last restart.

    :ivar bytes_read: bytes returned to the caller so far.
    """

    def __init__(self, stream: socket.socket, buffer_bytes: int) -> None:
        self._deadline_io = _DeadlineSocketIO(stream, stream.gettimeout() or 0)
        super().__init__(self._deadline_io, buffer_bytes)
        self.bytes_read = 0

    def restart_deadline(self) -> None:
        """Restart the deadline for the next request."""
        self._deadline_io.restart_deadline()

    @property
    def unread_count(self) -> int:
        """Return how many bytes were received and not read."""
        return self._deadline_io.bytes_received - self.bytes_read

    def has_data(self) -> bool:
        """Return whether received bytes were not read."""
        return self.unread_count > 0

    def receive(self, max_bytes: int) -> bool:
        """Receive what has arrived, without waiting for more.

        :param max_bytes: most bytes to keep beyond those in the buffer.
        :return: whether more may come; not if the client has closed its side
            or the connection is broken.
        """
        return self._deadline_io.prefetch(max_bytes)

    def unread(self) -> bytes:
        """Return the received bytes, which remain to be read."""
        prefetched = bytes(self._deadline_io.prefetched)
        if self.unread_count > len(prefetched):
            # There is something in the buffer, so that nothing is read for it.
            return self.peek() + prefetched
        return prefetched

    def read(self, size: int | None = -1, /) -> bytes:
        """Read bytes and add them to ``bytes_read``."""
        data = super().read(size)
        self.bytes_read += len(data)
        return data

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read a line and add its length to ``bytes_read``."""
        line = super().readline(size)
        self.bytes_read += len(line)
        return line


def make_file(stream: socket.socket, mode: str, buffer_bytes: int) -> Any:
    """Return a buffered reader or writer of a connection.

    :param mode: reader if it contains ``r``, else writer.
    """
    if "r" in mode:
        return DeadlineReader(stream, buffer_bytes)
    return StreamWriter(stream, mode, buffer_bytes)
