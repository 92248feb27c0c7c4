"""The ``bench requests`` and ``bench waiting`` commands."""

from __future__ import annotations

import sys

from collections.abc import Sequence

import orjson

from magnoliapitch.bench.request import PathFigure
from magnoliapitch.bench.request import measure_paths
from magnoliapitch.bench.request import profile_owner
from magnoliapitch.bench.waiting import WaitingFigure
from magnoliapitch.bench.waiting import measure_waiting


def requests(
    *,
    count: int = 2_000,
    callers: int = 1,
    json: bool = False,
    profile: bool = False,
) -> None:
    """Compare requests through an entry with direct calls to a backend.

    Everything runs in one process, so callers, entry and backend server
    also compete for the Python interpreter; with one caller the difference
    between the paths is the cost of the entry itself.

    :param count: number of requests on each path.
    :param callers: number of concurrent callers.
    :param json: print JSON instead of a table.
    :param profile: print a profile of the entry's threads instead.
    """
    if profile:
        print(profile_owner(count))
        return
    figures = measure_paths(count, callers)
    if json:
        _print_json(figures)
        return
    print("path     p50 ms  p99 ms  requests/s  added p50 ms  ratio")
    for item in figures:
        print(
            f"{item.path:<8} {item.p50_ms:6.2f}  {item.p99_ms:6.2f}  "
            f"{item.requests_per_s:10.0f}  {item.added_p50_ms:12.2f}  "
            f"{item.ratio:5.2f}"
        )


def waiting(*, json: bool = False) -> None:
    """Measure the cost of 64 to 1,024 waiting callers of a listener.

    :param json: print JSON instead of a table.
    """
    figures = measure_waiting()
    if json:
        _print_json(figures)
        return
    print("threads  added MB  KB a thread  start s  requests/s")
    for item in figures:
        print(
            f"{item.threads:7}  {item.added_mb:8.1f}  "
            f"{item.kb_per_thread:11.1f}  {item.start_s:7.2f}  "
            f"{item.requests_per_s:10.0f}"
        )


def _print_json(figures: Sequence[PathFigure | WaitingFigure]) -> None:
    rows = [figure._asdict() for figure in figures]
    sys.stdout.write(orjson.dumps(rows).decode() + "\n")
