"""Chunked request bodies, read within limits."""

from __future__ import annotations

import re

from typing import TYPE_CHECKING

from cheroot.server import ChunkedRFile


if TYPE_CHECKING:
    from magnoliapitch.http.reader import DeadlineReader


# Sizes are hexadecimal digits (RFC 9112), of which the library's conversion
# would also take signs and underscores.
_SIZE_LINE = re.compile(rb"[0-9A-Fa-f]{1,16}[ \t]*(;[^\r\n]*)?\r\n")


_CRLF = b"\r\n"


class _SizeLines:
    """Reads the lines with the sizes of the chunks, and their content.

    :param line_max_bytes: longest accepted line.
    """

    def __init__(self, reader: DeadlineReader, line_max_bytes: int) -> None:
        self._reader = reader
        self._line_max_bytes = line_max_bytes
        self.read = reader.read
        self.close = reader.close

    def readline(self) -> bytes:
        """Read the line with the size of a chunk.

        :raises ValueError: if it is too long, or no such line.
        """
        line = self._reader.readline(self._line_max_bytes + 1)
        if len(line) > self._line_max_bytes:
            raise ValueError(
                "the line with the size of a chunk is longer than "
                f"{self._line_max_bytes} bytes"
            )
        if not _SIZE_LINE.fullmatch(line):
            raise ValueError(
                f"the size of a chunk must be hexadecimal, found {line[:40]!r}"
            )
        return line


class ChunkedBody(ChunkedRFile):
    """A chunked body whose size lines are bounded.

    :param max_bytes: longest accepted body, with the lines between chunks.
    :param line_max_bytes: longest accepted line.
    """

    def __init__(
        self, reader: DeadlineReader, max_bytes: int, line_max_bytes: int
    ) -> None:
        super().__init__(_SizeLines(reader, line_max_bytes), max_bytes)


def trailers_length(data: bytes) -> int | None:
    """Return the length of the trailers, with the empty line that ends them.

    :param data: what follows the last chunk.
    :return: the length in bytes; None if the end is not there.
    """
    if data.startswith(_CRLF):
        return len(_CRLF)
    end = data.find(2 * _CRLF)
    return None if end < 0 else end + 2 * len(_CRLF)


__all__ = ["ChunkedBody", "trailers_length"]
