"""The ``logs`` commands."""

from __future__ import annotations

import sys

from collections import Counter
from itertools import zip_longest
from pathlib import Path

from cyclopts import App

from magnoliapitch.console.exceptions import CommandError
from magnoliapitch.console.exit_code import ExitCode
from magnoliapitch.logfile import JobDelay
from magnoliapitch.logfile import LogEvent
from magnoliapitch.logfile import find_delays
from magnoliapitch.logfile import parse_events


logs = App(name="logs", help="Analyse the logs of instances.")

# Longer gaps between two events of a job are reported.
MIN_REPORTED_GAP_MS = 1_000
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


@logs.command
def delays(*files: Path, slower_than_ms: int = 3_000, queue: str = "") -> None:
    """Print the jobs that took long or never ended, and what they waited for.

    :param files: log files of all instances, in any order.
    :param slower_than_ms: leave out jobs that were complete after this time.
    :param queue: queue whose jobs are printed; by default those of all.
    """
    events = _read_events(files)
    if not events:
        raise CommandError(
            f"no event in {len(files)} log files", ExitCode.FAILED
        )
    found = [
        delay
        for delay in find_delays(events, slower_than_ms)
        if queue in ("", delay.queue)
    ]
    first_ms = events[0].time_ms
    for delay in found:
        print(_format_delay(delay, first_ms))
    count_by_cause = Counter(delay.cause for delay in found)
    for cause, count in count_by_cause.most_common():
        print(f"{count:>7}  {cause}")


def _format_delay(delay: JobDelay, first_ms: int) -> str:
    submitted_ms = delay.submitted_ms - first_ms
    return (
        f"{submitted_ms:>7} ms  {delay.instance}  {delay.job_id}  "
        f"queue={delay.queue} start_after_ms={_or_none(delay.start_after_ms)} "
        f"end_after_ms={_or_none(delay.end_after_ms)} cause={delay.cause} "
        f"cause_ms={delay.cause_ms}"
    )


def _or_none(duration_ms: int | None) -> str:
    return "none" if duration_ms is None else str(duration_ms)


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
    return parse_events(_read_lines(files))


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


def _format_with_time(event: LogEvent, first_ms: int) -> str:
    return f"{event.time_ms - first_ms:>7} ms  {_format_event(event)}"


def _format_event(event: LogEvent) -> str:
    extra_fields = " ".join(
        f"{key}={value}"
        for key, value in event.fields.items()
        if key not in _OMITTED_KEYS and value
    )
    return f"{event.instance}  {event.name}  {extra_fields}".rstrip()
