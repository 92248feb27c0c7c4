"""The ``logs`` commands."""

from __future__ import annotations

import re
import sys

from datetime import datetime
from pathlib import Path
from typing import NamedTuple

from cyclopts import App

from magnoliapitch.console.exceptions import CommandError
from magnoliapitch.console.exit_code import ExitCode


logs = App(name="logs", help="Read what instances have logged.")

# Longer silences in a job's story are pointed out.
GAP_MS = 1_000
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
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
    lines = _matching(job_or_request, files)
    if not lines:
        raise CommandError(
            f"no event of {job_or_request} in {len(files)} files",
            ExitCode.FAILED,
        )
    previous_ms = first_ms = lines[0].time_ms
    for line in lines:
        if line.time_ms - previous_ms > GAP_MS:
            print(f"{'':>10}  ... {line.time_ms - previous_ms} ms silent")
        previous_ms = line.time_ms
        print(f"{line.time_ms - first_ms:>7} ms  {_told(line)}")


def _matching(wanted: str, files: tuple[Path, ...]) -> list[Line]:
    """Return the events of an id, and of the job that they name."""
    lines = [line for line in map(_parse, _texts(files)) if line]
    ids = {wanted}
    for line in lines:
        if line.fields.get("request_id") == wanted and "job" in line.fields:
            ids.add(line.fields["job"])
    return sorted(
        (line for line in lines if ids & _ids_of(line)),
        key=lambda line: line.time_ms,
    )


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


def _told(line: Line) -> str:
    rest = " ".join(
        f"{key}={value}"
        for key, value in line.fields.items()
        if key not in _HEAD_KEYS and value
    )
    return f"{line.instance}  {line.event}  {rest}".rstrip()
