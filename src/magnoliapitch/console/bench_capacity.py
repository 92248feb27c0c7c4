"""The ``bench capacity`` and ``bench idle`` commands."""

from __future__ import annotations

import platform
import sys

from pathlib import Path

from magnoliapitch.bench.capacity import measure_slopes
from magnoliapitch.bench.exceptions import BenchError
from magnoliapitch.bench.idle import measure_idle
from magnoliapitch.capacity import Measurement
from magnoliapitch.capacity import MeasurementError
from magnoliapitch.capacity import refresh_page
from magnoliapitch.console.exit_code import ExitCode


def capacity(*, output: Path | None = None, page: Path | None = None) -> None:
    """Measure what one more worker, task, record or peer costs.

    :param output: JSON file for the measurement; a measured idle cost in
        it is kept.
    :param page: Markdown page whose tables are made anew.
    """
    idle = None
    if output is not None and output.exists():
        idle = _load(output).idle
    machine = f"Python {platform.python_version()} on {platform.machine()}"
    measurement = Measurement(measure_slopes(), machine, idle)
    for slope in measurement.slopes:
        print(
            f"{slope.name}: {slope.per_item:.1f} {slope.unit} each, "
            f"fixed {slope.fixed:.0f}, residual {slope.residual:.1%}"
        )
    if output is not None:
        measurement.to_file(output)
    if page is not None:
        _refresh(page, measurement)


def idle(
    *,
    admin_url: str,
    seconds: float = 60.0,
    output: Path | None = None,
    page: Path | None = None,
) -> None:
    """Measure what a running entry instance uses while idle.

    :param admin_url: base address of its operators' listener.
    :param seconds: length of the observation.
    :param output: JSON file of a measurement to add the result to.
    :param page: Markdown page whose tables are made anew.
    """
    try:
        found = measure_idle(admin_url, seconds)
    except BenchError as error:
        print(error, file=sys.stderr)
        sys.exit(ExitCode.UNREACHABLE)
    print(
        f"core {found.core_share:.2%}, memory {found.memory_mb:.0f} MB, "
        f"traffic {found.bytes_per_second:.0f} bytes/s, "
        f"workers {found.workers}, over {found.seconds:.0f} s"
    )
    if output is None:
        return
    measurement = _load(output)._replace(idle=found)
    measurement.to_file(output)
    if page is not None:
        _refresh(page, measurement)


def _load(path: Path) -> Measurement:
    try:
        return Measurement.from_file(path)
    except MeasurementError as error:
        print(error, file=sys.stderr)
        sys.exit(ExitCode.INVALID_FILE)


def _refresh(page: Path, measurement: Measurement) -> None:
    page.write_text(refresh_page(page.read_text("utf-8"), measurement))
