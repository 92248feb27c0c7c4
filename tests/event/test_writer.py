from __future__ import annotations

import io
import os
import threading
import time

from typing import TYPE_CHECKING

import pytest

from magnoliapitch.event import configure_logging
from magnoliapitch.event import log_event
from magnoliapitch.event.rate_limit import LineRateLimit
from magnoliapitch.event.writer import LineWriter


if TYPE_CHECKING:
    from collections.abc import Iterator
    from typing import TextIO

# More than a pipe and the queue hold.
MANY_LINES = 3_000
QUEUE_LINES = 200
# What a caller may notice of a stopped reader, for all lines together.
CALLER_MAX_S = 2.0
READ_MAX_S = 10.0


class Pipe:
    """A pipe whose reader reads only when told."""

    def __init__(self) -> None:
        read_end, write_end = os.pipe()
        self.reader: TextIO = os.fdopen(read_end)
        self.writer: TextIO = os.fdopen(write_end, "w")

    def read_all(self, count: int) -> tuple[list[int], int]:
        """Read until so many lines were read or told as lost.

        :return: numbers of the lines, and how many were told as lost.
        """
        numbers: list[int] = []
        lost: list[int] = []

        def read() -> None:
            while len(numbers) + sum(lost) < count:
                line = self.reader.readline()
                if "log-lines-lost" in line:
                    lost.append(int(line.rsplit("count=", 1)[1]))
                else:
                    numbers.append(int(line.split("number=")[1].split()[0]))

        thread = threading.Thread(target=read, daemon=True)
        thread.start()
        thread.join(READ_MAX_S)
        return numbers, sum(lost)


@pytest.fixture
def pipe() -> Iterator[Pipe]:
    pipe = Pipe()
    yield pipe
    configure_logging("none", "none", stream=io.StringIO())
    if not pipe.reader.closed:
        pipe.reader.close()


def log_many(count: int = MANY_LINES) -> float:
    """Log lines and return how long the caller was held up, in seconds."""
    started_s = time.monotonic()
    for number in range(count):
        log_event("step-done", number=number, text="x" * 100)
    return time.monotonic() - started_s


def start(pipe: Pipe) -> LineWriter:
    limit = LineRateLimit(max_lines=2 * MANY_LINES)
    writer = LineWriter(pipe.writer, QUEUE_LINES, limit)
    configure_logging("entry-1", "az", write=writer.write)
    return writer


def test_a_stopped_reader_holds_nobody_up_and_learns_what_it_missed(
    pipe: Pipe,
) -> None:
    writer = start(pipe)
    assert log_many() < CALLER_MAX_S
    assert writer.lost > 0
    numbers, lost = pipe.read_all(MANY_LINES)
    assert numbers[0] == 0
    assert numbers == sorted(set(numbers))
    assert len(numbers) + lost == MANY_LINES


def test_a_slow_reader_gets_whole_lines_in_order(pipe: Pipe) -> None:
    writer = start(pipe)
    numbers: list[int] = []

    def read() -> None:
        for line in pipe.reader:
            if "number=" in line:
                numbers.append(int(line.split("number=")[1].split()[0]))
            time.sleep(0.0005)

    thread = threading.Thread(target=read, daemon=True)
    thread.start()
    assert log_many() < CALLER_MAX_S
    writer.close()
    pipe.writer.close()
    thread.join()
    assert numbers
    assert numbers == sorted(set(numbers))


def test_a_reader_that_is_gone_harms_nothing(pipe: Pipe) -> None:
    writer = start(pipe)
    pipe.reader.close()
    assert log_many(500) < CALLER_MAX_S
    writer.close()
    assert writer.lost > 0


def test_the_last_lines_are_written_at_the_end(pipe: Pipe) -> None:
    writer = start(pipe)
    log_event("step-done", number=1)
    writer.close()
    assert "number=1" in pipe.reader.readline()
