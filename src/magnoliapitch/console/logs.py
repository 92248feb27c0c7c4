"""The ``logs`` commands."""

from __future__ import annotations

import re
import sys

from datetime import datetime
from itertools import zip_longest
from pathlib import Path
from typing import NamedTuple

from cyclopts import App

from magnoliapitch.console.exceptions import CommandError
from magnoliapitch.console.exit_code import ExitCode


logs = App(name="logs", help="Analyse the logs of instances.")

# Longer gaps between two events of a job are reported.
MIN_REPORTED_GAP_MS = 1_000
_KEY_AND_VALUE = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# Instance events this soon after a job's last event may explain its end.
AFTER_LAST_EVENT_MS = 10_000
MAX_BACKGROUND_LINES = 8
_LEADER_EVENT_NAMES = frozenset(
    (
        "leadership-begun",
        "leadership-claimed",
        "leadership-lost",
        "leadership-resigned",
    )
)
# Events of a whole instance: they name no job but may explain gaps in many.
_INSTANCE_EVENT_NAMES = _LEADER_EVENT_NAMES | {
    "entry-started",
    "store-available",
    "store-unavailable",
    "worker-list-unavailable",
}
_OMITTED_KEYS = ("time", "level", "event", "instance", "zone", "job")


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


@logs.command
def explain(job_or_request: str, *files: Path) -> None:
    """Print the events of a job or request on all instances, in time order.

    Long gaps are pointed out, with events of the instances that may
    explain them.

    :param job_or_request: id of the job or of the request.
    :param files: log files of the instances, in any order.
    """
    all_events = _read_events(files)
    events = _events_of_id(job_or_request, all_events)
    if not events:
        raise CommandError(
            f"no event of job or request {job_or_request} in {len(files)} "
            "log files",
            ExitCode.FAILED,
        )
    background = _background_events(events, all_events)
    first_ms = events[0].time_ms
    for event, following in zip_longest(events, events[1:]):
        print(_format_with_time(event, first_ms))
        end_ms = (
            following.time_ms
            if following
            else event.time_ms + AFTER_LAST_EVENT_MS
        )
        gap_ms = end_ms - event.time_ms
        if gap_ms <= MIN_REPORTED_GAP_MS:
            continue
        if following:
            print(f"{'':>10}  ... {gap_ms} ms without an event")
        _print_background(background, event.time_ms, end_ms, first_ms)


def _print_background(
    background: list[LogEvent], from_ms: int, to_ms: int, first_ms: int
) -> None:
    """Print the instance events in a gap, which may explain it."""
    matching = [item for item in background if from_ms < item.time_ms <= to_ms]
    for event in matching[:MAX_BACKGROUND_LINES]:
        print(f"{_format_with_time(event, first_ms)}  (meanwhile)")
    if len(matching) > MAX_BACKGROUND_LINES:
        omitted_count = len(matching) - MAX_BACKGROUND_LINES
        print(f"{'':>10}  ... {omitted_count} more (meanwhile)")


def _background_events(
    events: list[LogEvent], all_events: list[LogEvent]
) -> list[LogEvent]:
    """Return the instance events of leaders and of the job's instances."""
    instances = {event.instance for event in events}
    instances |= {
        item.instance
        for item in all_events
        if item.name in _LEADER_EVENT_NAMES
    }
    return [
        event
        for event in all_events
        if event.name in _INSTANCE_EVENT_NAMES and event.instance in instances
    ]


def _read_events(files: tuple[Path, ...]) -> list[LogEvent]:
    events = [event for event in map(_parse_line, _read_lines(files)) if event]
    return sorted(events, key=lambda event: event.time_ms)


def _events_of_id(
    job_or_request_id: str, events: list[LogEvent]
) -> list[LogEvent]:
    """Return the events of a job or request id.

    The events of a request include those of the job that it submitted.
    """
    ids = {job_or_request_id}
    for event in events:
        if (
            event.fields.get("request_id") == job_or_request_id
            and "job" in event.fields
        ):
            ids.add(event.fields["job"])
    return [event for event in events if ids & _event_ids(event)]


def _event_ids(event: LogEvent) -> set[str]:
    return {event.fields.get("job", ""), event.fields.get("request_id", "")}


def _read_lines(files: tuple[Path, ...]) -> list[str]:
    lines: list[str] = []
    for file in files:
        try:
            lines += file.read_text("utf-8", "replace").splitlines()
        except OSError as error:
            print(
                f"{file}: cannot be read, skipped: {error.strerror}",
                file=sys.stderr,
            )
    return lines


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
        # The file may also hold lines of other programs.
        return None


def _format_with_time(event: LogEvent, first_ms: int) -> str:
    return f"{event.time_ms - first_ms:>7} ms  {_format_event(event)}"


def _format_event(event: LogEvent) -> str:
    extra_fields = " ".join(
        f"{key}={value}"
        for key, value in event.fields.items()
        if key not in _OMITTED_KEYS and value
    )
    return f"{event.instance}  {event.name}  {extra_fields}".rstrip()
