"""Reads and writes the results of the capacity benchmark."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import orjson

from pydantic import TypeAdapter
from pydantic import ValidationError

from magnoliapitch.bench.slope import Slope
from magnoliapitch.capacity.exceptions import MeasurementError
from magnoliapitch.json_value import to_json_value


if TYPE_CHECKING:
    from pathlib import Path


class IdleCost(NamedTuple):
    """Resources an idle entry process uses, read from the operating system.

    :param core_share: processor time divided by elapsed time, 1.0 for one
        whole core.
    :param memory_mb: resident memory, in mebibytes.
    :param bytes_per_second: traffic to and from the platform and workers.
    :param workers: number of workers that the entry owned.
    :param seconds: duration of the measurement, in seconds.
    """

    core_share: float
    memory_mb: float
    bytes_per_second: float
    workers: int
    seconds: float


class Measurement(NamedTuple):
    """Measured values that the capacity estimate is computed from.

    :param slopes: straight-line fits of a cost against a size.
    :param idle: cost of one idle entry process, None if not measured.
    :param machine: processor architecture and Python version of the run.
    """

    slopes: tuple[Slope, ...]
    machine: str = ""
    idle: IdleCost | None = None

    @classmethod
    def from_file(cls, path: Path) -> Measurement:
        """Read a measurement from a JSON file.

        :raises MeasurementError: if the file cannot be read or is not a
            valid measurement.
        """
        try:
            return _ADAPTER.validate_json(path.read_bytes())
        except (OSError, ValidationError) as error:
            raise MeasurementError(
                f"{path}: cannot read the measurement: {error}"
            ) from error

    def to_file(self, path: Path) -> None:
        """Write the measurement to a file as indented JSON."""
        options = orjson.OPT_INDENT_2
        path.write_bytes(
            orjson.dumps(to_json_value(self), option=options) + b"\n"
        )

    def slope(self, name: str) -> Slope:
        """Return the slope with the given name.

        :raises MeasurementError: if the measurement has no such slope.
        """
        for slope in self.slopes:
            if slope.name == name:
                return slope
        raise MeasurementError(
            f"no slope {name!r} in the measurement; measure again with "
            "`magnoliapitch bench capacity`"
        )


_ADAPTER = TypeAdapter(Measurement)
