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
    """Measure the cost of each additional worker, task, record or peer.

    :param output: JSON file to write the measurement to; an idle cost
        that it already holds is kept.
    :param page: Markdown page whose tables are regenerated.
    """
    idle = None
    if output is not None and output.exists():
        idle = _read_measurement(output).idle
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
        _refresh_tables(page, measurement)


def idle(
    *,
    admin_url: str,
    seconds: float = 60.0,
    output: Path | None = None,
    page: Path | None = None,
) -> None:
    """Measure the resource use of a running entry instance while idle.

    :param admin_url: base URL of the instance's operator interface.
    :param seconds: duration of the measurement, in seconds.
    :param output: JSON file of an earlier measurement; the result is
        added to it.
    :param page: Markdown page whose tables are regenerated; needs output.
    """
    try:
        idle_cost = measure_idle(admin_url, seconds)
    except BenchError as error:
        print(error, file=sys.stderr)
        sys.exit(ExitCode.UNREACHABLE)
    print(
        f"processor {idle_cost.core_share:.2%}, "
        f"memory {idle_cost.memory_mb:.0f} MB, "
        f"traffic {idle_cost.bytes_per_second:.0f} bytes/s, "
        f"workers {idle_cost.workers}, over {idle_cost.seconds:.0f} s"
    )
    if output is None:
        return
    measurement = _read_measurement(output)._replace(idle=idle_cost)
    measurement.to_file(output)
    if page is not None:
        _refresh_tables(page, measurement)


def _read_measurement(path: Path) -> Measurement:
    try:
        return Measurement.from_file(path)
    except MeasurementError as error:
        print(error, file=sys.stderr)
        sys.exit(ExitCode.INVALID_FILE)


def _refresh_tables(page: Path, measurement: Measurement) -> None:
    page.write_text(refresh_page(page.read_text("utf-8"), measurement))
