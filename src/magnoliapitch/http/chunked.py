"""Chunked request bodies, read within limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cheroot.server import ChunkedRFile


if TYPE_CHECKING:
    from magnoliapitch.http.reader import DeadlineReader


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

        :raises ValueError: if it is too long.
        """
        line = self._reader.readline(self._line_max_bytes + 1)
        if len(line) > self._line_max_bytes:
            raise ValueError(
                "the line with the size of a chunk is longer than "
                f"{self._line_max_bytes} bytes"
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


__all__ = ["ChunkedBody"]
