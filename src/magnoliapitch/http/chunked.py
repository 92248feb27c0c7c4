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

# So many chunks of a body may have any size. Each takes about the same time
# to parse, so that their number, not their length, bounds the time of a body.
FREE_CHUNKS = 1_024


class _SizeLines:
    """Reads the lines with the sizes of the chunks, and their content.

    :param line_max_bytes: longest accepted line.
    :param chunk_mean_bytes: least data for each chunk beyond
        ``FREE_CHUNKS``.
    """

    def __init__(
        self,
        reader: DeadlineReader,
        line_max_bytes: int,
        chunk_mean_bytes: int,
    ) -> None:
        self._reader = reader
        self._line_max_bytes = line_max_bytes
        self._chunk_mean_bytes = chunk_mean_bytes
        self._chunk_count = 0
        self._content_bytes = 0
        self.close = reader.close

    def read(self, size: int) -> bytes:
        """Read the data of a chunk, or the line end behind it."""
        content = self._reader.read(size)
        self._content_bytes += len(content)
        return content

    def readline(self) -> bytes:
        """Read the line with the size of a chunk.

        :raises ValueError: if it is too long, or no such line, or if there
            are too many chunks for their data.
        """
        self._check_count()
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
        self._chunk_count += 1
        return line

    def _check_count(self) -> None:
        further_count = self._chunk_count - FREE_CHUNKS
        if further_count <= 0:
            return
        data_bytes = self._content_bytes - len(_CRLF) * self._chunk_count
        if data_bytes < further_count * self._chunk_mean_bytes:
            raise ValueError(
                f"{data_bytes} bytes came in {self._chunk_count} chunks; "
                f"each chunk beyond {FREE_CHUNKS} needs "
                f"{self._chunk_mean_bytes} bytes of the body"
            )


class ChunkedBody(ChunkedRFile):
    """A chunked body whose size lines and number of chunks are bounded.

    :param max_bytes: longest accepted body, with the lines between chunks.
    :param line_max_bytes: longest accepted line.
    :param chunk_mean_bytes: least data for each chunk beyond
        ``FREE_CHUNKS``.
    """

    def __init__(
        self,
        reader: DeadlineReader,
        max_bytes: int,
        line_max_bytes: int,
        chunk_mean_bytes: int,
    ) -> None:
        lines = _SizeLines(reader, line_max_bytes, chunk_mean_bytes)
        super().__init__(lines, max_bytes)


def trailers_length(data: bytes) -> int | None:
    """Return the length of the trailers, with the empty line that ends them.

    :param data: what follows the last chunk.
    :return: the length in bytes; None if the end is not there.
    """
    if data.startswith(_CRLF):
        return len(_CRLF)
    end = data.find(2 * _CRLF)
    return None if end < 0 else end + 2 * len(_CRLF)


__all__ = ["FREE_CHUNKS", "ChunkedBody", "trailers_length"]
