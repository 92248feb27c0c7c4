"""Events that instances have logged."""

from __future__ import annotations

import re

from datetime import datetime
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterable


_KEY_AND_VALUE = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


class LogEvent(NamedTuple):
    """One event, parsed from a log line.

    :param time_ms: wall-clock time in milliseconds since 1970.
    :param name: name of the event.
    :param instance: id of the instance that logged it.
    :param fields: all keys and values of the line.
    """

    time_ms: int
    name: str
    instance: str
    fields: dict[str, str]


def parse_events(lines: Iterable[str]) -> list[LogEvent]:
    """Return the events of log lines in time order.

    Lines of other programs are left out.
    """
    events = [event for event in map(_parse_line, lines) if event]
    return sorted(events, key=lambda event: event.time_ms)


def _parse_line(line: str) -> LogEvent | None:
    fields = {
        key: value.strip('"') for key, value in _KEY_AND_VALUE.findall(line)
    }
    try:
        logged_at = datetime.fromisoformat(fields["time"])
        return LogEvent(
            int(logged_at.timestamp() * 1_000),
            fields["event"],
            fields["instance"],
            fields,
        )
    except (KeyError, ValueError):
        return None
