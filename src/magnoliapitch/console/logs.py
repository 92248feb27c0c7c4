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


logs = App(name="logs", help="Read what instances have logged.")

# Longer silences in a job's story are pointed out.
GAP_MS = 1_000
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# After a job's last event, what comes so soon may have to do with it.
AFTER_MS = 10_000
MEANWHILE_MAX_LINES = 8
_LEADER_EVENTS = frozenset(
    (
        "leadership-begun",
        "leadership-claimed",
        "leadership-lost",
        "leadership-resigned",
    )
)
# Events of a whole instance, which name no job and explain many.
_BACKGROUND_EVENTS = _LEADER_EVENTS | {
    "entry-started",
    "store-available",
    "store-unavailable",
    "worker-list-unavailable",
}
_HEAD_KEYS = ("time", "level", "event", "instance", "zone", "job")


class Line(NamedTuple):
    """One event of a log.

    :param time_ms: wall-clock time, ms since 1970.
    """

    time_ms: int
    event: str
    instance: str
    fields: dict[str, str]


@logs.command
def explain(job_or_request: str, *files: Path) -> None:
    """Print the story of a job or request over all instances.

    :param job_or_request: id of the job or of the request.
    :param files: logs of the instances, in any order.
    """
    every = _read(files)
    lines = _matching(job_or_request, every)
    if not lines:
        raise CommandError(
            f"no event of {job_or_request} in {len(files)} files",
            ExitCode.FAILED,
        )
    background = _background(lines, every)
    first_ms = lines[0].time_ms
    for line, following in zip_longest(lines, lines[1:]):
        print(_dated(line, first_ms))
        end_ms = following.time_ms if following else line.time_ms + AFTER_MS
        silent_ms = end_ms - line.time_ms
        if silent_ms <= GAP_MS:
            continue
        if following:
            print(f"{'':>10}  ... {silent_ms} ms silent")
        _print_meanwhile(background, line.time_ms, end_ms, first_ms)


def _print_meanwhile(
    background: list[Line], from_ms: int, to_ms: int, first_ms: int
) -> None:
    """Print what else was going on, which may explain a silence."""
    found = [x for x in background if from_ms < x.time_ms <= to_ms]
    for line in found[:MEANWHILE_MAX_LINES]:
        print(f"{_dated(line, first_ms)}  (meanwhile)")
    if len(found) > MEANWHILE_MAX_LINES:
        left = len(found) - MEANWHILE_MAX_LINES
        print(f"{'':>10}  ... {left} more (meanwhile)")


def _background(lines: list[Line], every: list[Line]) -> list[Line]:
    """Return what leaders and the story's instances believed or lost."""
    places = {line.instance for line in lines}
    places |= {x.instance for x in every if x.event in _LEADER_EVENTS}
    return [
        line
        for line in every
        if line.event in _BACKGROUND_EVENTS and line.instance in places
    ]


def _read(files: tuple[Path, ...]) -> list[Line]:
    lines = [line for line in map(_parse, _texts(files)) if line]
    return sorted(lines, key=lambda line: line.time_ms)


def _matching(wanted: str, lines: list[Line]) -> list[Line]:
    """Return the events of an id, and of the job that they name."""
    ids = {wanted}
    for line in lines:
        if line.fields.get("request_id") == wanted and "job" in line.fields:
            ids.add(line.fields["job"])
    return [line for line in lines if ids & _ids_of(line)]


def _ids_of(line: Line) -> set[str]:
    return {line.fields.get("job", ""), line.fields.get("request_id", "")}


def _texts(files: tuple[Path, ...]) -> list[str]:
    texts: list[str] = []
    for file in files:
        try:
            texts += file.read_text("utf-8", "replace").splitlines()
        except OSError as error:
            print(f"{file}: {error.strerror}", file=sys.stderr)
    return texts


def _parse(text: str) -> Line | None:
    fields = {key: value.strip('"') for key, value in _PAIR.findall(text)}
    try:
        time = datetime.fromisoformat(fields["time"])
        return Line(
            int(time.timestamp() * 1_000),
            fields["event"],
            fields["instance"],
            fields,
        )
    except (KeyError, ValueError):
        # Lines of other programs may stand between.
        return None


def _dated(line: Line, first_ms: int) -> str:
    return f"{line.time_ms - first_ms:>7} ms  {_told(line)}"


def _told(line: Line) -> str:
    rest = " ".join(
        f"{key}={value}"
        for key, value in line.fields.items()
        if key not in _HEAD_KEYS and value
    )
    return f"{line.instance}  {line.event}  {rest}".rstrip()
