"""Measured slopes, as the capacity bench writes them."""

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


class Idle(NamedTuple):
    """Cost of an idle entry process, from the operating system.

    :param core_share: processor time divided by elapsed time.
    :param memory_mb: resident memory, in mebibytes.
    :param bytes_per_second: traffic to the platform and workers.
    :param workers: workers that the entry owned.
    :param seconds: length of the observation.
    """

    core_share: float
    memory_mb: float
    bytes_per_second: float
    workers: int
    seconds: float


class Measurement(NamedTuple):
    """Everything that the capacity arithmetic starts from.

    :param slopes: fitted slopes.
    :param idle: cost of one idle entry process, if it was measured.
    :param machine: processor and interpreter of the run.
    """

    slopes: tuple[Slope, ...]
    machine: str = ""
    idle: Idle | None = None

    @classmethod
    def from_file(cls, path: Path) -> Measurement:
        """Read a measurement.

        :raises MeasurementError: if the file is no measurement.
        """
        try:
            return _ADAPTER.validate_json(path.read_bytes())
        except (OSError, ValidationError) as error:
            raise MeasurementError(f"{path}: {error}") from error

    def to_file(self, path: Path) -> None:
        """Write the measurement."""
        options = orjson.OPT_INDENT_2
        path.write_bytes(
            orjson.dumps(to_json_value(self), option=options) + b"\n"
        )

    def slope(self, name: str) -> Slope:
        """Return a slope by its name.

        :raises MeasurementError: if it was not measured.
        """
        for slope in self.slopes:
            if slope.name == name:
                return slope
        raise MeasurementError(f"no slope {name!r} was measured")


_ADAPTER = TypeAdapter(Measurement)
