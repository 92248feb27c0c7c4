"""Reads requests from a socket with one deadline for each whole request.

A socket timeout alone limits only each single read, so that a client could
hold a connection by sending one byte at a time.
"""

from __future__ import annotations

import io
import socket
import time

from typing import TYPE_CHECKING
from typing import Any

from cheroot.makefile import StreamWriter


if TYPE_CHECKING:
    import threading


# Many clients send the body right after the head, in another segment.
GRACE_S = 0.005


class TooManyWaitsError(OSError):
    """So many threads wait for bodies that no further one may."""


class _DeadlineSocketIO(socket.SocketIO):
    def __init__(self, stream: socket.socket, timeout_s: float) -> None:
        super().__init__(stream, "r")
        self._stream = stream
        self._timeout_s = timeout_s
        self.restart_deadline()
        self.bytes_received = 0
        self.prefetched = bytearray()
        self.waits: threading.Semaphore | None = None

    def prefetch(self, max_bytes: int, wait_s: float = 0) -> bool:
        """Receive what has arrived.

        :param max_bytes: most bytes to keep until they are read.
        :param wait_s: longest wait if nothing has arrived.
        :return: whether more may come; not if the client has closed its side
            or the connection is broken.
        """
        missing_bytes = max_bytes - len(self.prefetched)
        if missing_bytes <= 0:
            return True
        self._stream.settimeout(wait_s)
        try:
            data = self._stream.recv(missing_bytes)
        except (BlockingIOError, TimeoutError):
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
        now_s = time.monotonic()
        self._deadline_s = now_s + self._timeout_s
        self._grace_end_s = now_s + GRACE_S

    def end_grace(self) -> None:
        """Let the request wait for data only within the limit of waits."""
        self._grace_end_s = 0.0

    def remaining_grace_s(self) -> float:
        """Return how long the request may be waited for without a limit."""
        return max(0.0, self._grace_end_s - time.monotonic())

    def readinto(self, buffer: Any) -> int | None:
        """Read the available bytes, waiting for some if there are none.

        :raises TimeoutError: if the deadline of the request has passed.
        :raises TooManyWaitsError: if it would have to wait, and too many
            others do.
        """
        if not self.prefetched:
            wait_s = min(self.remaining_grace_s(), self._remaining_s())
            if self.prefetch(len(buffer), wait_s) and not self.prefetched:
                return self._wait_and_read(buffer)
        count = min(len(buffer), len(self.prefetched))
        buffer[:count] = self.prefetched[:count]
        del self.prefetched[:count]
        return count

    def _wait_and_read(self, buffer: Any) -> int | None:
        if self.waits is None:
            return self._read(buffer)
        if not self.waits.acquire(blocking=False):
            raise TooManyWaitsError(
                "too many requests whose body arrives slowly"
            )
        try:
            return self._read(buffer)
        finally:
            self.waits.release()

    def _read(self, buffer: Any) -> int | None:
        self._stream.settimeout(self._remaining_s())
        try:
            received_count = super().readinto(buffer)
        finally:
            self._stream.settimeout(self._timeout_s)
        self.bytes_received += received_count or 0
        return received_count

    def _remaining_s(self) -> float:
        remaining_s = self._deadline_s - time.monotonic()
        if remaining_s <= 0:
            # cheroot recognises a timeout by this text and responds with 408.
            raise TimeoutError("timed out")
        return remaining_s


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

    def remaining_grace_s(self) -> float:
        """Return how long the request may be waited for without a limit."""
        return self._deadline_io.remaining_grace_s()

    def end_grace(self) -> None:
        """Let the request wait for data only within the limit of waits."""
        self._deadline_io.end_grace()

    def limit_waits(self, waits: threading.Semaphore) -> None:
        """Let reads wait for data only while they hold the semaphore."""
        self._deadline_io.waits = waits

    def receive(self, max_bytes: int, wait_s: float = 0) -> bool:
        """Receive what has arrived.

        :param max_bytes: most bytes to keep beyond those in the buffer.
        :param wait_s: longest wait if nothing has arrived.
        :return: whether more may come; not if the client has closed its side
            or the connection is broken.
        """
        return self._deadline_io.prefetch(max_bytes, wait_s)

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
