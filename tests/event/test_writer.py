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

# More lines than the pipe and the queue can hold.
LINE_COUNT = 3_000
QUEUE_MAX_LINES = 200
# Longest total time that logging all lines may take with a stopped reader.
MAX_LOGGING_S = 2.0
READ_TIMEOUT_S = 10.0


class Pipe:
    """A pipe that is read only on request."""

    def __init__(self) -> None:
        read_end, write_end = os.pipe()
        self.reader: TextIO = os.fdopen(read_end)
        self.writer: TextIO = os.fdopen(write_end, "w")

    def read_lines(self, count: int) -> tuple[list[int], int]:
        """Read until ``count`` lines were read or reported as lost.

        :return: numbers of the lines, and how many were reported as lost.
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
        thread.join(READ_TIMEOUT_S)
        return numbers, sum(lost)


@pytest.fixture
def pipe() -> Iterator[Pipe]:
    pipe = Pipe()
    yield pipe
    configure_logging("none", "none", stream=io.StringIO())
    if not pipe.reader.closed:
        pipe.reader.close()


def log_lines(count: int = LINE_COUNT) -> float:
    """Log lines and return the time that it took, in seconds."""
    started_s = time.monotonic()
    for number in range(count):
        log_event("step-done", number=number, text="x" * 100)
    return time.monotonic() - started_s


def start_writer(pipe: Pipe) -> LineWriter:
    limit = LineRateLimit(max_lines=2 * LINE_COUNT)
    writer = LineWriter(pipe.writer, QUEUE_MAX_LINES, limit)
    configure_logging("entry-1", "az", write=writer.write)
    return writer


def test_stopped_reader_blocks_no_caller_and_gets_the_lost_count(
    pipe: Pipe,
) -> None:
    writer = start_writer(pipe)
    assert log_lines() < MAX_LOGGING_S
    assert writer.lost > 0
    numbers, lost = pipe.read_lines(LINE_COUNT)
    assert numbers[0] == 0
    assert numbers == sorted(set(numbers))
    assert len(numbers) + lost == LINE_COUNT


def test_slow_reader_gets_complete_lines_in_order(pipe: Pipe) -> None:
    writer = start_writer(pipe)
    numbers: list[int] = []

    def read() -> None:
        for line in pipe.reader:
            if "number=" in line:
                numbers.append(int(line.split("number=")[1].split()[0]))
            time.sleep(0.0005)

    thread = threading.Thread(target=read, daemon=True)
    thread.start()
    assert log_lines() < MAX_LOGGING_S
    writer.close()
    pipe.writer.close()
    thread.join()
    assert numbers
    assert numbers == sorted(set(numbers))


def test_closed_reader_blocks_no_caller(pipe: Pipe) -> None:
    writer = start_writer(pipe)
    pipe.reader.close()
    assert log_lines(500) < MAX_LOGGING_S
    writer.close()
    assert writer.lost > 0


def test_close_waits_for_the_last_lines(pipe: Pipe) -> None:
    writer = start_writer(pipe)
    log_event("step-done", number=1)
    writer.close()
    assert "number=1" in pipe.reader.readline()
