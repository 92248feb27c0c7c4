from __future__ import annotations

import io

from typing import TYPE_CHECKING
from typing import Any

import pytest

from magnoliapitch.event import configure_logging
from magnoliapitch.event.rate_limit import LineRateLimit


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

MAX_LINES = 10


class Log:
    """Lines that a rate limit admits, and events that it logs itself."""

    def __init__(self) -> None:
        self.now_s = 0
        self.lines: list[Mapping[str, Any]] = []
        self._limit = LineRateLimit(lambda: self.now_s, MAX_LINES)

    def log_line(
        self, event: str, level: str = "info", **fields: object
    ) -> None:
        line = {"event": event, "level": level, **fields}
        if self._limit.admits(line):
            self.lines.append(line)

    def count(self, event: str) -> int:
        return sum(line["event"] == event for line in self.lines)


@pytest.fixture
def log() -> Iterator[Log]:
    log = Log()
    configure_logging("entry-1", "az", write=log.lines.append)
    yield log
    configure_logging("none", "none", stream=io.StringIO())


def test_number_of_lines_beyond_the_limit_is_logged(log: Log) -> None:
    for number in range(25):
        log.log_line("step-done", number=number)
    assert log.count("step-done") == MAX_LINES
    log.now_s += 1
    log.log_line("step-done", number=25)
    omitted = [x for x in log.lines if x["event"] == "log-lines-left-out"]
    assert [(x["kind"], x["count"]) for x in omitted] == [("step-done", 15)]
    assert log.lines[-1]["number"] == 25


def test_each_kind_of_line_has_a_limit_of_its_own(
    log: Log,
) -> None:
    for number in range(1_000):
        log.log_line("step-done", number=number)
    log.log_line("step-starting")
    assert log.count("step-starting") == 1


def test_warnings_and_lines_with_a_reason_are_always_admitted(
    log: Log,
) -> None:
    for number in range(40):
        log.log_line("start-failed", "warning", number=number)
        log.log_line("call-answered", number=number, reason="no room")
    assert log.count("start-failed") == 40
    assert log.count("call-answered") == 40
